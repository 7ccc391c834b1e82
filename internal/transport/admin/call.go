package admin

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	maxHeadBytes = 4 << 10 // of request line and headers
	maxBodyBytes = 4 << 10 // what a call brings is read and not looked at
)

// status is the HTTP status of an answer.
type status int

// reasons has the reason phrase of each status.
var reasons = map[status]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// rejection is the answer to a call that is not made.
type rejection struct {
	code    status
	counter string // of its counter
	message string
}

// Error returns the line of the answer.
func (p *rejection) Error() string { return p.message }

// call is one call as it was read.
type call struct {
	method, path string
	query        string
	body         int // bytes
}

// readHead reads request line and headers, in lines that end with \n or \r\n. An error of the call is a *rejection; io.EOF says that
// nothing came.
func readHead(r *bufio.Reader) (c call, err error) {
	remaining := maxHeadBytes
	line := func() ([]byte, error) {
		b, err := r.ReadSlice('\n')
		remaining -= len(b)
		if errors.Is(err, bufio.ErrBufferFull) || remaining < 0 {
			return nil, &rejection{431, "too_large", "request line and headers over 4 KiB"}
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r")), err
	}
	first, err := line()
	if err != nil {
		return c, err
	}
	if err := c.parseRequestLine(string(first)); err != nil {
		return c, err
	}
	for hasLength := false; ; {
		b, err := line()
		if err != nil {
			return c, err
		}
		if len(b) == 0 {
			return c, nil
		}
		if err := c.parseHeader(string(b), &hasLength); err != nil {
			return c, err
		}
	}
}

// parseRequestLine reads METHOD /PATH?QUERY HTTP/1.1.
func (c *call) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/") {
		return &rejection{400, "malformed", "the first line is not METHOD /PATH HTTP/1.1"}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return &rejection{505, "malformed", "not HTTP/1.1"}
	}
	c.method = parts[0]
	c.path, c.query, _ = strings.Cut(parts[1], "?")
	return nil
}

// parseHeader reads one header, of which only the body's length matters. It may come twice if it says the same.
func (c *call) parseHeader(line string, hasLength *bool) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.TrimSpace(name) != name {
		return &rejection{400, "malformed", "a header line is not NAME: VALUE"}
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
		if err != nil || *hasLength && int(n) != c.body {
			return &rejection{400, "malformed", "Content-Length is no number"}
		}
		if n > maxBodyBytes {
			return &rejection{413, "too_large", "a body over 4 KiB"}
		}
		c.body, *hasLength = int(n), true
	case "transfer-encoding":
		return &rejection{411, "malformed", "give a Content-Length"}
	}
	return nil
}

// readCall reads one whole call.
func readCall(r *bufio.Reader) (call, error) {
	c, err := readHead(r)
	if err == nil && c.body > 0 {
		_, err = io.CopyN(io.Discard, r, int64(c.body))
	}
	return c, err
}
