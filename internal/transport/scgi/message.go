// Package scgi is the second front: it serves web fronts that speak SCGI, and calls application servers that do (Upstream). The
// protocol is that of "SCGI: A Simple Common Gateway Interface alternative" (Neil Schemenauer): a netstring of headers, then a
// body; one request on a connection, and an answer as CGI gives it.
//
// docs/scgi.md has the mapping between SCGI's headers and a request.
package scgi

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const (
	maxHeaderBytes = 8 << 10 // of the netstring: a web front's own bound on HTTP headers
	maxHeaders     = 128     // of a request, or of an answer
)

// Errors of a peer that speaks something else, or beyond the bounds: a client gets a status for each, an application server's run fails.
var (
	errMalformed = errors.New("malformed request")
	errTooLarge  = errors.New("request too large")
)

// malformed returns an errMalformed that says what is wrong.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// message is one SCGI request.
type message struct {
	headers map[string]string
	size    uint64 // of the body, as the headers have it
	body    []byte
}

// readMessage reads a request whose body has at most the given size. io.EOF means that nothing was sent.
func readMessage(r *bufio.Reader, maxBody int) (message, error) {
	m, err := readHead(r)
	if err == nil {
		err = m.readBody(r, maxBody)
	}
	return m, err
}

// readHead reads a request's headers, which are enough to refuse it by.
func readHead(r *bufio.Reader) (message, error) {
	var m message
	if _, err := r.Peek(1); err != nil {
		return m, err
	}
	block, err := readNetstring(r)
	if err == nil {
		m.size, err = m.parse(block)
	}
	return m, unexpectedEOF(err)
}

// readBody reads the body that follows the headers.
func (m *message) readBody(r *bufio.Reader, maxBody int) error {
	if m.size > uint64(maxBody) {
		return fmt.Errorf("%w: a body of %d bytes", errTooLarge, m.size)
	}
	m.body = make([]byte, m.size)
	_, err := io.ReadFull(r, m.body)
	return unexpectedEOF(err)
}

// unexpectedEOF makes the end of a stream within a request an io.ErrUnexpectedEOF, to tell it from one before it.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readNetstring reads LENGTH ":" BYTES ",".
func readNetstring(r *bufio.Reader) ([]byte, error) {
	n := 0
	for i := 0; ; i++ {
		b, err := r.ReadByte()
		if err != nil {
			return nil, err
		}
		if b == ':' && i > 0 {
			break
		}
		if b < '0' || b > '9' || i == 1 && n == 0 {
			return nil, malformed("byte %q in the length of a netstring", b)
		}
		if n = n*10 + int(b-'0'); n > maxHeaderBytes {
			return nil, fmt.Errorf("%w: headers of over %d bytes", errTooLarge, maxHeaderBytes)
		}
	}
	v := make([]byte, n+1)
	if _, err := io.ReadFull(r, v); err != nil {
		return nil, err
	}
	if v[n] != ',' {
		return nil, malformed("a netstring ends with %q", v[n])
	}
	return v[:n], nil
}

// parse splits the headers and returns the length of the body.
func (m *message) parse(block []byte) (size uint64, err error) {
	m.headers = map[string]string{}
	rest := string(block)
	for i := 0; rest != ""; i++ {
		name, tail, ok := strings.Cut(rest, "\x00")
		value, tail, terminated := strings.Cut(tail, "\x00")
		switch {
		case !ok || !terminated:
			return 0, malformed("a header without an end")
		case name == "":
			return 0, malformed("a header without a name")
		case i == 0 && name != "CONTENT_LENGTH":
			return 0, malformed("the first header is %q, not CONTENT_LENGTH", name)
		case i == maxHeaders:
			return 0, fmt.Errorf("%w: over %d headers", errTooLarge, maxHeaders)
		}
		if _, duplicate := m.headers[name]; duplicate {
			return 0, malformed("header %q given twice", name)
		}
		m.headers[name] = value
		rest = tail
	}
	if m.headers["SCGI"] != "1" {
		return 0, malformed("header SCGI is %q, not 1", m.headers["SCGI"])
	}
	length := m.headers["CONTENT_LENGTH"]
	if strings.Trim(length, "0123456789") != "" || length == "" {
		return 0, malformed("CONTENT_LENGTH is %q", length)
	}
	if size, err = strconv.ParseUint(length, 10, 63); err != nil {
		return 0, fmt.Errorf("%w: CONTENT_LENGTH is %s", errTooLarge, length)
	}
	return size, nil
}

// appendMessage appends a request with the headers given as name and value in turn.
func appendMessage(b, body []byte, headers ...string) []byte {
	fields := append([]string{"CONTENT_LENGTH", strconv.Itoa(len(body)), "SCGI", "1"}, headers...)
	n := 0
	for _, s := range fields {
		n += len(s) + 1
	}
	b = append(strconv.AppendInt(b, int64(n), 10), ':')
	for _, s := range fields {
		b = append(append(b, s...), 0)
	}
	return append(append(b, ','), body...)
}

// appendResponse appends an answer with the headers given as name and value in turn.
func appendResponse(b []byte, status string, body []byte, contentType string, headers ...string) []byte {
	b = fmt.Appendf(b, "Status: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", status, contentType, len(body))
	for i := 0; i < len(headers); i += 2 {
		b = fmt.Appendf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return append(append(b, "\r\n"...), body...)
}

// response is an application server's answer.
type response struct {
	status  int
	headers map[string]string // names in lower case
	body    []byte
}

// readResponse reads an answer as CGI gives it: headers, an empty line, and a body to the end of the stream or to the length stated.
// Without a Status the status is 200. A body cut short is an error, never a result.
func readResponse(r *bufio.Reader, maxBody int) (response, error) {
	headers, err := readResponseHeaders(r)
	if err != nil {
		return response{}, err
	}
	a := response{status: 200, headers: headers}
	if s, ok := headers["status"]; ok {
		code, _, _ := strings.Cut(s, " ")
		if a.status, err = strconv.Atoi(code); err != nil || a.status < 100 || a.status > 599 {
			return a, malformed("the answer's Status is %q", s)
		}
	}
	if s, ok := headers["content-length"]; ok {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxBody {
			return a, malformed("the answer's Content-Length is %q", s)
		}
		a.body = make([]byte, n)
		if _, err := io.ReadFull(r, a.body); err != nil {
			return a, fmt.Errorf("reading the body of the answer: %w", err)
		}
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBody)+1))
	if err != nil {
		return a, fmt.Errorf("reading the body of the answer: %w", err)
	}
	if len(body) > maxBody {
		return a, malformed("the answer's body has over %d bytes", maxBody)
	}
	a.body = body
	return a, nil
}

// readResponseHeaders reads the headers of an answer, up to the empty line, with names in lower case. There is at least one.
func readResponseHeaders(r *bufio.Reader) (map[string]string, error) {
	headers := map[string]string{}
	for i := 0; ; i++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, fmt.Errorf("reading the headers of the answer: %w", err)
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			break
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || name == "" || i == maxHeaders {
			return nil, malformed("%q where a header of the answer belongs", text)
		}
		headers[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if len(headers) == 0 {
		return nil, malformed("an answer without headers")
	}
	return headers, nil
}
