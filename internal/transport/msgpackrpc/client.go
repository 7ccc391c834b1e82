package msgpackrpc

import "bufio"

// This file is the other end of the wire, as a balancer has it. The stand-in callers of the tests use it.

// maxResult bounds a result, in bytes.
const maxResult = 64 << 10

// Reply is what a balancer reads: an answer, the answer to a probe, or a notification.
type Reply struct {
	ID           uint64
	Notification string // empty: an answer
	Error        string // empty: served, or a probe's answer
	Body         []byte
	Healthy      bool // of a probe
	Fields       map[string]string
}

// Unprocessed reports whether this stands for the answer to a request that was never taken, as its connection was ended before.
func (a Reply) Unprocessed() bool { return a.Notification == methodLastTaken }

// AppendRequest appends a request as a balancer sends it, with its fields given as name and value in turn.
func AppendRequest(b []byte, id uint64, class string, body []byte, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	b = appendArray(appendText(b, class), 2)
	return appendBin(appendFields(b, fields), body)
}

// AppendProbe appends a health check, with what its sender says with it as name and value in turn.
func AppendProbe(b []byte, id uint64, fields ...string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendText(b, methodProbe), 1), fields)
}

// AppendStatus appends a request for the state of the service.
func AppendStatus(b []byte, id uint64) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(request)), id)
	return appendFields(appendArray(appendText(b, StatusMethod), 1), nil)
}

// AppendCancel appends the notice that nobody waits for a request any more.
func AppendCancel(b []byte, id uint64) []byte {
	b = appendText(appendUint(appendArray(b, 3), uint64(notification)), methodCancel)
	return appendUint(appendArray(b, 1), id)
}

// ReadReply reads the next message of a service.
func ReadReply(r *bufio.Reader) (Reply, error) { return readReply(r, maxResult) }

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
		if a.Notification, err = d.text("method"); err != nil {
			return a, err
		}
		if a.Notification == methodLastTaken {
			if n, err = d.array(); err == nil && n != 1 {
				err = malformed("%d parameters of %q", n, methodLastTaken)
			}
			if err == nil {
				a.ID, err = d.uint()
			}
			return a, err
		}
		return a, d.skip(0)
	case kind(k) != response || n != 4:
		return a, malformed("%d elements of type %d", n, k)
	}
	if a.ID, err = d.uint(); err != nil {
		return a, err
	}
	if null, err := d.null(); err != nil {
		return a, err
	} else if !null {
		if err := d.pair(func() error { a.Error, err = d.text("error"); return err }, &a.Fields); err != nil {
			return a, err
		}
		if null, err = d.null(); err == nil && !null {
			err = malformed("a result beside an error")
		}
		return a, err
	}
	return a, d.pair(func() error {
		b, err := r.Peek(1)
		if err == nil && b[0]&0xfe == 0xc2 {
			a.Healthy = b[0] == 0xc3
			_, err = r.Discard(1)
			return err
		}
		a.Body, err = d.bytes("result", maxResult)
		return err
	}, &a.Fields)
}

// null passes over a nil, if that is next.
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
