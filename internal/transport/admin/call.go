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
	maxHeadBytes = 4 << 10 // of the request line and the headers
	maxBodyBytes = 4 << 10 // bodies are read and discarded
)

// status is the HTTP status code of a response.
type status int

// reasonPhrases has the reason phrase of each status.
var reasonPhrases = map[status]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// rejection is the response to a request that is not executed.
type rejection struct {
	code    status
	counter string // label of the counter of rejected requests
	message string
}

// Error returns the text of the response.
func (r *rejection) Error() string { return r.message }

// request is a parsed HTTP request.
type request struct {
	method, path string
	query        string
	bodyLength   int // in bytes
}

// readHead reads the request line and the headers, whose lines end with \n or \r\n. It returns a *rejection for a malformed or too large
// request, and io.EOF if the connection ends before a line is complete.
func readHead(r *bufio.Reader) (req request, err error) {
	remaining := maxHeadBytes
	readLine := func() ([]byte, error) {
		b, err := r.ReadSlice('\n')
		remaining -= len(b)
		if errors.Is(err, bufio.ErrBufferFull) || remaining < 0 {
			return nil, &rejection{431, "too_large", "request line and headers over 4 KiB"}
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r")), err
	}
	requestLine, err := readLine()
	if err != nil {
		return req, err
	}
	if err := req.parseRequestLine(string(requestLine)); err != nil {
		return req, err
	}
	for hasLength := false; ; {
		b, err := readLine()
		if err != nil {
			return req, err
		}
		if len(b) == 0 {
			return req, nil
		}
		if err := req.parseHeader(string(b), &hasLength); err != nil {
			return req, err
		}
	}
}

// parseRequestLine parses a line METHOD /PATH?QUERY HTTP/1.1. It accepts HTTP/1.0 too.
func (c *request) parseRequestLine(line string) error {
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

// parseHeader parses one header line. It uses only Content-Length, which may be repeated with the same value, and rejects
// Transfer-Encoding.
func (c *request) parseHeader(line string, hasLength *bool) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.TrimSpace(name) != name {
		return &rejection{400, "malformed", "a header line is not NAME: VALUE"}
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
		if err != nil || *hasLength && int(n) != c.bodyLength {
			return &rejection{400, "malformed", "Content-Length is no number"}
		}
		if n > maxBodyBytes {
			return &rejection{413, "too_large", "a body over 4 KiB"}
		}
		c.bodyLength, *hasLength = int(n), true
	case "transfer-encoding":
		return &rejection{411, "malformed", "give a Content-Length"}
	}
	return nil
}

// readRequest reads one request and discards its body.
func readRequest(r *bufio.Reader) (request, error) {
	req, err := readHead(r)
	if err == nil && req.bodyLength > 0 {
		_, err = io.CopyN(io.Discard, r, int64(req.bodyLength))
	}
	return req, err
}
