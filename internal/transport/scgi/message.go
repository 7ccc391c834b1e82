// Package scgi implements the SCGI protocol on both sides: Front serves requests of web servers, and Upstream runs requests on an SCGI
// application server. The protocol is defined in "SCGI: A Simple Common Gateway Interface alternative" (Neil Schemenauer). A connection
// carries one request, which is a netstring of headers followed by a body, and a response in the format of CGI.
//
// docs/scgi.md defines the mapping between SCGI headers and a request.
package scgi

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"silverpath/internal/policy/admission"
	"silverpath/internal/transport/bufferpool"
)

const (
	maxHeaderBytes = 8 << 10 // of the netstring; web servers bound HTTP headers by the same size
	maxHeaders     = 128     // of a request or of a response
)

// Errors for input that violates the protocol or exceeds a bound. On the front each maps to a status of the response. On the upstream
// they fail the run.
var (
	errMalformed = errors.New("malformed request")
	errTooLarge  = errors.New("request too large")
)

// malformed returns an error that wraps errMalformed and adds details.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// message is one SCGI request.
type message struct {
	headers  map[string]string
	bodySize uint64 // from CONTENT_LENGTH
	body     []byte
}

// readHead reads the headers of a request, so that it can be rejected before its body is read. It returns io.EOF if the peer closed the
// connection without sending anything.
func readHead(r *bufio.Reader) (message, error) {
	var m message
	if _, err := r.Peek(1); err != nil {
		return m, err
	}
	block, err := readNetstring(r)
	if err == nil {
		m.bodySize, err = m.parseHeaders(block)
	}
	return m, unexpectedEOF(err)
}

// readBody reads the body that follows the headers. It returns errTooLarge, before it allocates memory, if the stated size exceeds
// maxBody, and bufferpool.ErrNoMemory if the reservation has no room for the body.
func (m *message) readBody(r *bufio.Reader, maxBody int, reservation *admission.BodyReservation) (err error) {
	if m.bodySize > uint64(maxBody) {
		return fmt.Errorf("%w: a body of %d bytes", errTooLarge, m.bodySize)
	}
	m.body, err = bufferpool.ReadBody(r, int(m.bodySize), reservation)
	return unexpectedEOF(err)
}

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, which distinguishes a truncated request from a connection without a request.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readNetstring reads a netstring, LENGTH ":" BYTES ",", of at most maxHeaderBytes and returns BYTES.
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

// parseHeaders parses the block of headers into m.headers and returns the length of the body.
func (m *message) parseHeaders(block []byte) (bodySize uint64, err error) {
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
	if bodySize, err = strconv.ParseUint(length, 10, 63); err != nil {
		return 0, fmt.Errorf("%w: CONTENT_LENGTH is %s", errTooLarge, length)
	}
	return bodySize, nil
}

// appendMessage appends a request to b. Headers are alternating names and values, and follow CONTENT_LENGTH and SCGI.
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

// appendResponse appends a response to b. Headers are alternating names and values.
func appendResponse(b []byte, status string, body []byte, contentType string, headers ...string) []byte {
	b = fmt.Appendf(b, "Status: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n", status, contentType, len(body))
	for i := 0; i < len(headers); i += 2 {
		b = fmt.Appendf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return append(append(b, "\r\n"...), body...)
}

// response is the response of an application server.
type response struct {
	status  int
	headers map[string]string // names in lower case
	body    []byte
}

// readResponse reads a response in the format of CGI: headers, an empty line, and a body that extends to Content-Length or, without that
// header, to the end of the stream. Without a Status header the status is 200. A body shorter than Content-Length is an error.
func readResponse(r *bufio.Reader, maxBody int) (response, error) {
	headers, err := readResponseHeaders(r)
	if err != nil {
		return response{}, err
	}
	a := response{status: 200, headers: headers}
	if s, ok := headers["status"]; ok {
		code, _, _ := strings.Cut(s, " ")
		if a.status, err = strconv.Atoi(code); err != nil || a.status < 100 || a.status > 599 {
			return a, malformed("invalid response header Status %q", s)
		}
	}
	if s, ok := headers["content-length"]; ok {
		n, err := strconv.Atoi(s)
		if err != nil || n < 0 || n > maxBody {
			return a, malformed("invalid or excessive response header Content-Length %q", s)
		}
		a.body = make([]byte, n)
		if _, err := io.ReadFull(r, a.body); err != nil {
			return a, fmt.Errorf("reading the response body: %w", err)
		}
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBody)+1))
	if err != nil {
		return a, fmt.Errorf("reading the response body: %w", err)
	}
	if len(body) > maxBody {
		return a, malformed("response body of more than %d bytes", maxBody)
	}
	a.body = body
	return a, nil
}

// readResponseHeaders reads the headers of a response up to the empty line and returns them with names in lower case. A response without
// headers is an error.
func readResponseHeaders(r *bufio.Reader) (map[string]string, error) {
	headers := map[string]string{}
	for i := 0; ; i++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return nil, fmt.Errorf("reading the response headers: %w", err)
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			break
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || name == "" || i == maxHeaders {
			return nil, malformed("invalid or surplus response header line %q", text)
		}
		headers[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	if len(headers) == 0 {
		return nil, malformed("response without headers")
	}
	return headers, nil
}
