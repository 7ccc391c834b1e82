package msgpackrpc

import "bufio"

// This file has the balancer's side of the protocol: it encodes requests and decodes the server's messages. Tests use it in stand-in
// callers.

// Reply is a message that a server sends: the answer to a request or a probe, or a notification.
type Reply struct {
	ID           uint64            // id of the request; for methodLastTaken, of the last request that the server took
	Notification string            // method of a notification; empty for an answer
	Error        string            // ErrorFull, errorFailed or a call's error code; empty if served, or for a probe
	Body         []byte            // result of a request or call
	Healthy      bool              // result of a probe
	Fields       map[string]string // see "Fields of an answer" in wire.go
}

// Unprocessed reports whether the server closed the connection without taking the request. Such a request may be sent again.
func (a Reply) Unprocessed() bool { return a.Notification == methodLastTaken }

// AppendRequest encodes a request as a balancer sends it. Fields holds alternating names and values.
func AppendRequest(b []byte, id uint64, class string, body []byte, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	b = appendArray(appendStr(b, class), 2)
	return appendBin(appendFields(b, fields), body)
}

// AppendProbe encodes a health check. Fields holds the alternating names and values of a router's probe.
func AppendProbe(b []byte, id uint64, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendStr(b, methodProbe), 1), fields)
}

// AppendStatus encodes a request for the state of the service as JSON.
func AppendStatus(b []byte, id uint64) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendStr(b, StatusMethod), 1), nil)
}

// AppendCancel encodes the notification that cancels the request with this id.
func AppendCancel(b []byte, id uint64) []byte {
	b = appendStr(appendUint(appendArray(b, 3), uint64(notification)), methodCancel)
	return appendUint(appendArray(b, 1), id)
}

// ReadReply reads the next message from a server. It returns io.EOF if the stream ended before the message.
func ReadReply(r *bufio.Reader) (Reply, error) { return readReply(r, maxResultBytes) }

// readReply is ReadReply for results of at most maxResult bytes.
func readReply(r *bufio.Reader, maxResult int) (Reply, error) {
	var a Reply
	d := decoder{r: r}
	n, err := d.array()
	if err != nil {
		return a, err
	}
	k, err := d.uint()
	switch {
	case err != nil:
		return a, err
	case kind(k) == notification && n == 3:
		return a, d.readServerNotification(&a)
	case kind(k) != response || n != 4:
		return a, malformed("array of %d elements with message type %d", n, k)
	}
	if a.ID, err = d.uint(); err != nil {
		return a, err
	}
	noError, err := d.skipNil()
	if err != nil {
		return a, err
	}
	if !noError {
		return a, d.readError(&a)
	}
	return a, d.valueAndFields(func() error { return d.readResult(&a, maxResult) }, &a.Fields)
}

// readServerNotification reads the method of a notification, and for methodLastTaken the request id.
func (d decoder) readServerNotification(a *Reply) (err error) {
	if a.Notification, err = d.str("method"); err != nil {
		return err
	}
	if a.Notification != methodLastTaken {
		return d.skip(0)
	}
	n, err := d.array()
	if err == nil && n != 1 {
		err = malformed("%d parameters for method %q", n, methodLastTaken)
	}
	if err == nil {
		a.ID, err = d.uint()
	}
	return err
}

// readError reads an error with its fields, and the nil result that must follow it.
func (d decoder) readError(a *Reply) error {
	err := d.valueAndFields(func() (err error) { a.Error, err = d.str("error"); return err }, &a.Fields)
	if err != nil {
		return err
	}
	noResult, err := d.skipNil()
	if err == nil && !noResult {
		err = malformed("answer has both an error and a result")
	}
	return err
}

// readResult reads a result: a boolean for a probe, otherwise bytes.
func (d decoder) readResult(a *Reply, maxResult int) error {
	b, err := d.r.Peek(1)
	if err == nil && b[0]&0xfe == 0xc2 { // false or true
		a.Healthy = b[0] == 0xc3
		_, err = d.r.Discard(1)
		return err
	}
	a.Body, err = d.bytes("result", maxResult)
	return err
}

// skipNil reports whether the next value is nil, and if so reads past it.
func (d decoder) skipNil() (bool, error) {
	b, err := d.r.Peek(1)
	if err != nil || b[0] != 0xc0 {
		return false, err
	}
	_, err = d.r.Discard(1)
	return true, err
}

// valueAndFields reads the array [VALUE, FIELDS]. Value reads the first element.
func (d decoder) valueAndFields(value func() error, fields *map[string]string) error {
	n, err := d.array()
	if err != nil {
		return err
	}
	if n != 2 {
		return malformed("%d elements, want a value and its fields", n)
	}
	if err = value(); err == nil {
		*fields, err = d.fields()
	}
	return err
}
