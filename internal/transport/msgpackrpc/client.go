package msgpackrpc

import "bufio"

// This file is the other end of the wire, as a balancer has it. The stand-in callers of the tests use it.

// Reply is a message that a balancer reads: the answer to a request, the answer to a probe, or a notification.
type Reply struct {
	ID           uint64            // of the request; of methodLastTaken: of the last request that was taken
	Notification string            // its method; empty: an answer
	Error        string            // ErrorFull or errorFailed, or a call's error; empty: served, or a probe's answer
	Body         []byte            // the result
	Healthy      bool              // a probe's result
	Fields       map[string]string // see the fields of an answer
}

// Unprocessed reports whether this stands in for the answer to a request that was never taken, since its connection was closed
// before: it may be sent again.
func (a Reply) Unprocessed() bool { return a.Notification == methodLastTaken }

// AppendRequest appends a request as a balancer sends it, with its fields given as name and value in turn.
func AppendRequest(b []byte, id uint64, class string, body []byte, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	b = appendArray(appendText(b, class), 2)
	return appendBin(appendFields(b, fields), body)
}

// AppendProbe appends a health check, with the fields of a router given as name and value in turn.
func AppendProbe(b []byte, id uint64, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendText(b, methodProbe), 1), fields)
}

// AppendStatus appends a request for the state of the service as JSON.
func AppendStatus(b []byte, id uint64) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendText(b, StatusMethod), 1), nil)
}

// AppendCancel appends the notification that nobody waits for the request of an id any more.
func AppendCancel(b []byte, id uint64) []byte {
	b = appendText(appendUint(appendArray(b, 3), uint64(notification)), methodCancel)
	return appendUint(appendArray(b, 1), id)
}

// ReadReply reads the next message of a service. io.EOF is a clean end.
func ReadReply(r *bufio.Reader) (Reply, error) { return readReply(r, maxResult) }

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
		return a, malformed("%d elements of type %d", n, k)
	}
	if a.ID, err = d.uint(); err != nil {
		return a, err
	}
	noError, err := d.null()
	if err != nil {
		return a, err
	}
	if !noError {
		return a, d.readError(&a)
	}
	return a, d.pair(func() error { return d.readResult(&a, maxResult) }, &a.Fields)
}

// readServerNotification reads the method of a notification, and the id that methodLastTaken has.
func (d decoder) readServerNotification(a *Reply) (err error) {
	if a.Notification, err = d.text("method"); err != nil {
		return err
	}
	if a.Notification != methodLastTaken {
		return d.skip(0)
	}
	n, err := d.array()
	if err == nil && n != 1 {
		err = malformed("%d parameters of %q", n, methodLastTaken)
	}
	if err == nil {
		a.ID, err = d.uint()
	}
	return err
}

// readError reads an error with its fields, beside which there is no result.
func (d decoder) readError(a *Reply) error {
	err := d.pair(func() (err error) { a.Error, err = d.text("error"); return err }, &a.Fields)
	if err != nil {
		return err
	}
	noResult, err := d.null()
	if err == nil && !noResult {
		err = malformed("a result beside an error")
	}
	return err
}

// readResult reads a result: a truth for a probe, bytes for all else.
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

// null reads past a nil, and reports whether that was next.
func (d decoder) null() (bool, error) {
	b, err := d.r.Peek(1)
	if err != nil || b[0] != 0xc0 {
		return false, err
	}
	_, err = d.r.Discard(1)
	return true, err
}

// pair reads [VALUE, FIELDS].
func (d decoder) pair(value func() error, fields *map[string]string) error {
	n, err := d.array()
	if err != nil {
		return err
	}
	if n != 2 {
		return malformed("%d elements where a value and its fields belong", n)
	}
	if err = value(); err == nil {
		*fields, err = d.fields()
	}
	return err
}
