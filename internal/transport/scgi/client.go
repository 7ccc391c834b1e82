package scgi

import (
	"bufio"
	"strconv"
	"time"
)

// This file has the client side of the protocol, as a web server implements it. The command-line client and the tests use it.

// Reply is the response that a web server receives.
type Reply struct {
	Status     int
	RetryAfter time.Duration     // in whole seconds; 0 without a Retry-After header
	Headers    map[string]string // names in lower case
	Body       []byte
}

// AppendRequest appends an SCGI request to b and returns the result. Headers are alternating names and values.
func AppendRequest(b, body []byte, headers ...string) []byte {
	return appendMessage(b, body, headers...)
}

// ReadReply reads the response to the request of a connection. It fails if the response is malformed, truncated or longer than
// maxResultBytes.
func ReadReply(r *bufio.Reader) (Reply, error) {
	a, err := readResponse(r, maxResultBytes)
	if err != nil {
		return Reply{}, err
	}
	seconds, _ := strconv.Atoi(a.headers["retry-after"])
	return Reply{a.status, time.Duration(seconds) * time.Second, a.headers, a.body}, nil
}
