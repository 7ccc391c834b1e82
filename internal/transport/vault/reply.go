package vault

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"silverpath"
)

// Bounds of a reply. One beyond them is no reply.
const (
	maxBodyBytes      = 64 << 10 // as of a result
	maxHeaders        = 64
	maxInterimReplies = 8 // of the class 1xx, before the reply proper
)

// reply is what came of a call.
type reply struct {
	status      int
	notReceived bool // the other side says that it never handled the call
	keepAlive   bool // the connection can take another call
	body        []byte
}

// outcome maps a reply to an outcome. Only the word that the call was not received proves that it never ran.
func (r reply) outcome() silverpath.Outcome {
	switch {
	case r.status == 200:
		return silverpath.OK
	case r.status == 503 && r.notReceived:
		return silverpath.Overloaded
	case r.status == 409 && r.notReceived:
		return silverpath.NotStarted
	case r.status == 504:
		return silverpath.TimedOut
	}
	return silverpath.Failed
}

// readLine reads a line, without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return "", fmt.Errorf("reading the reply: %w", err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// head is the head of a reply.
type head struct {
	status                 int
	notReceived, keepAlive bool
	contentLength          int // -1 where it is not told
	chunked                bool
}

// parseDigits reads a number that is nothing but digits.
func parseDigits(s string) (int, error) {
	if s == "" || len(s) > 9 || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("not a number: %q", s)
	}
	return strconv.Atoi(s)
}

// readHead reads one head. What is no plain HTTP/1 is an error: a length that is guessed wrong would hand the run another reply than the
// one that was made for it.
func readHead(r *bufio.Reader) (h head, err error) {
	line, err := readLine(r)
	if err != nil {
		return h, err
	}
	if err := h.parseStatusLine(line); err != nil {
		return h, err
	}
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil || line == "" {
			return h, err
		}
		if n == maxHeaders {
			return h, fmt.Errorf("not a header: %q", line)
		}
		if err := h.parseHeader(line); err != nil {
			return h, err
		}
	}
}

// parseStatusLine reads HTTP/1.1 STATUS REASON.
func (h *head) parseStatusLine(line string) (err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	h.status, err = parseDigits(code)
	if err != nil || version != "HTTP/1.1" && version != "HTTP/1.0" || h.status < 100 || h.status > 599 {
		return fmt.Errorf("not a status line: %q", line)
	}
	h.keepAlive, h.contentLength = version == "HTTP/1.1", -1
	return nil
}

// parseHeader reads one header, of which those matter that say where the body ends and what became of the call.
func (h *head) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("not a header: %q", line)
	}
	switch value = strings.TrimSpace(value); strings.ToLower(name) {
	case "content-length":
		length, err := parseDigits(value)
		if err != nil || length > maxBodyBytes || h.contentLength >= 0 && h.contentLength != length {
			return fmt.Errorf("Content-Length: %q", value)
		}
		h.contentLength = length
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return fmt.Errorf("Transfer-Encoding: %q", value)
		}
		h.chunked = true
	case "connection":
		h.keepAlive = h.keepAlive && !strings.EqualFold(value, "close")
	case "x-refused-unseen":
		h.notReceived = value == "1"
	}
	return nil
}

// readReply reads one reply. Answers of the class 1xx before it are passed over.
func readReply(r *bufio.Reader) (reply, error) {
	var h head
	for n := 0; h.status < 200; n++ {
		var err error
		if h, err = readHead(r); err != nil {
			return reply{}, err
		}
		if n == maxInterimReplies {
			return reply{}, fmt.Errorf("over %d answers of the class 1xx", maxInterimReplies)
		}
	}
	body, delimited, err := h.readBody(r)
	if err != nil {
		return reply{}, err
	}
	return reply{h.status, h.notReceived, h.keepAlive && delimited, body}, nil
}

// readBody reads the body of a reply. HasEnd is false where only the close of the connection ended it.
func (h head) readBody(r *bufio.Reader) (body []byte, delimited bool, err error) {
	switch {
	case h.chunked && h.contentLength >= 0:
		return nil, false, errors.New("both a length and chunks")
	case h.status == 204 || h.status == 304:
		return nil, true, nil
	case h.chunked:
		body, err = readChunks(r)
		return body, true, err
	case h.contentLength >= 0:
		body = make([]byte, h.contentLength)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, false, fmt.Errorf("reading the reply's body: %w", err)
		}
		return body, true, nil
	case h.status == 200:
		// To read to the end would take a reply that broke off for a whole one.
		return nil, false, errors.New("a reply without a length")
	}
	body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.New("too long")
	}
	if err != nil {
		return nil, false, fmt.Errorf("a reply's body without end: %w", err)
	}
	return body, false, nil
}

// readChunks reads a body in chunks, with the trailers after it.
func readChunks(r *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, fmt.Errorf("a chunk of size %q", line)
		}
		if n == 0 {
			for { // trailers
				if line, err = readLine(r); err != nil || line == "" {
					return body, err
				}
			}
		}
		offset := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[offset:]); err != nil {
			return nil, fmt.Errorf("reading a chunk: %w", err)
		}
		if line, err = readLine(r); err != nil || line != "" {
			return nil, fmt.Errorf("a chunk's end: %q: %w", line, err)
		}
	}
}
