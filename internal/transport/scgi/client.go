package scgi

import (
	"bufio"
	"strconv"
	"time"
)

// This file is the other end of the wire, as a web front has it: the client on the command line and the tests use it.

// Reply is what a web front reads.
type Reply struct {
	Status     int
	RetryAfter time.Duration     // whole seconds; 0: none is told
	Headers    map[string]string // names in lower case
	Body       []byte
}

// AppendRequest appends a request as a web front sends it, with headers given as name and value in turn.
func AppendRequest(b, body []byte, headers ...string) []byte {
	return appendMessage(b, body, headers...)
}

// ReadReply reads the answer to the one request of a connection.
func ReadReply(r *bufio.Reader) (Reply, error) {
	a, err := readResponse(r, maxResultBytes)
	if err != nil {
		return Reply{}, err
	}
	seconds, _ := strconv.Atoi(a.headers["retry-after"])
	return Reply{a.status, time.Duration(seconds) * time.Second, a.headers, a.body}, nil
}
