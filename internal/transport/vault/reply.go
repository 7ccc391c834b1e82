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

// Bounds of a reply. A reply that exceeds one is an error.
const (
	maxBodyBytes      = 64 << 10 // the same as for the result of a run
	maxHeaders        = 64
	maxInterimReplies = 8 // this many 1xx replies before the final one are an error
)

// reply is the server's final reply to a call.
type reply struct {
	status      int
	notReceived bool // X-Refused-Unseen: 1, the server never handled the call
	keepAlive   bool // the connection can be reused
	body        []byte
}

// outcome maps a reply to an outcome. Only notReceived proves that the call never ran.
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

// readLine reads a line and returns it without its line ending.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return "", fmt.Errorf("reading the reply: %w", err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// head is the status line of a reply and the headers that the client evaluates.
type head struct {
	status                 int
	notReceived, keepAlive bool
	contentLength          int // -1: no Content-Length header
	chunked                bool
}

// parseDigits parses a decimal number of at most 9 digits. Unlike strconv.Atoi it accepts no sign.
func parseDigits(s string) (int, error) {
	if s == "" || len(s) > 9 || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("invalid number %q", s)
	}
	return strconv.Atoi(s)
}

// readHead reads the status line and headers of one reply. Anything but plain HTTP/1 is an error, because a wrongly guessed length could
// give the run a reply that belongs to another call.
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
			return h, fmt.Errorf("too many headers, the first surplus one is %q", line)
		}
		if err := h.parseHeader(line); err != nil {
			return h, err
		}
	}
}

// parseStatusLine parses a status line "HTTP/1.1 STATUS REASON".
func (h *head) parseStatusLine(line string) (err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	h.status, err = parseDigits(code)
	if err != nil || version != "HTTP/1.1" && version != "HTTP/1.0" || h.status < 100 || h.status > 599 {
		return fmt.Errorf("invalid status line %q", line)
	}
	h.keepAlive, h.contentLength = version == "HTTP/1.1", -1
	return nil
}

// parseHeader parses one header line. It evaluates the headers that delimit the body, control reuse of the connection or report that
// the server never handled the call, and ignores all others.
func (h *head) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t") {
		return fmt.Errorf("invalid header line %q", line)
	}
	switch value = strings.TrimSpace(value); strings.ToLower(name) {
	case "content-length":
		length, err := parseDigits(value)
		if err != nil || length > maxBodyBytes || h.contentLength >= 0 && h.contentLength != length {
			return fmt.Errorf("invalid or conflicting Content-Length %q", value)
		}
		h.contentLength = length
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return fmt.Errorf("unsupported or repeated Transfer-Encoding %q", value)
		}
		h.chunked = true
	case "connection":
		h.keepAlive = h.keepAlive && !strings.EqualFold(value, "close")
	case "x-refused-unseen":
		h.notReceived = value == "1"
	}
	return nil
}

// readReply reads one reply. It skips 1xx replies before it and fails if there are maxInterimReplies or more of them.
func readReply(r *bufio.Reader) (reply, error) {
	var h head
	for n := 0; h.status < 200; n++ {
		var err error
		if h, err = readHead(r); err != nil {
			return reply{}, err
		}
		if n == maxInterimReplies {
			return reply{}, fmt.Errorf("%d or more interim (1xx) replies", maxInterimReplies)
		}
	}
	body, delimited, err := h.readBody(r)
	if err != nil {
		return reply{}, err
	}
	return reply{h.status, h.notReceived, h.keepAlive && delimited, body}, nil
}

// readBody reads the body of a reply. The result delimited is false if only the close of the connection marked the end of the body.
func (h head) readBody(r *bufio.Reader) (body []byte, delimited bool, err error) {
	switch {
	case h.chunked && h.contentLength >= 0:
		return nil, false, errors.New("reply has both Content-Length and Transfer-Encoding")
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
		// Reading until the connection closes would accept a truncated reply as complete.
		return nil, false, errors.New("reply with status 200 has neither Content-Length nor chunks")
	}
	body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.New("body too long")
	}
	if err != nil {
		return nil, false, fmt.Errorf("reading a reply's body of unstated length: %w", err)
	}
	return body, false, nil
}

// readChunks reads a chunked body and discards its trailers.
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
			return nil, fmt.Errorf("invalid or excessive chunk size %q", line)
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
			return nil, fmt.Errorf("expected the end of a chunk, got %q: %w", line, err)
		}
	}
}
