package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// errMalformed is of a peer that speaks something else, or beyond the bounds. It closes its connection.
var errMalformed = errors.New("malformed message")

// malformed returns an errMalformed that says what is wrong.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// message is one message of a balancer, with the parameters that the methods take.
type message struct {
	kind    kind
	id      uint64 // of a request, or the one that methodCancel names
	method  string
	status  bool // asks for the state of the service
	skipped bool // its class is rejected whatever it says: fields and body were not read
	fields  map[string]string
	body    []byte
}

// decoder reads MessagePack values from a connection, with no value larger than its bound.
type decoder struct {
	r             *bufio.Reader
	statusEnabled bool // StatusMethod is a method, not a class
	inCell        bool // a probe may have fields: it comes from a router
	maxBody       int  // bytes of a body; 0: defaultMaxBody
	// rejects reports whether a request of a class is rejected whatever it says, so that reading it can be saved; nil: none is.
	rejects func(class string) bool
}

// number reads a big-endian number of n bytes.
func (d decoder) number(n int) (uint64, error) {
	var b [8]byte
	if _, err := io.ReadFull(d.r, b[8-n:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// length reads a length that the type byte holds, or that follows it in 1, 2 or 4 bytes.
func (d decoder) length(what string, maxLength int, fixed uint64, size int) (int, error) {
	n, err := fixed, error(nil)
	if size > 0 {
		n, err = d.number(size)
	}
	if err != nil {
		return 0, err
	}
	if n > uint64(maxLength) {
		return 0, malformed("%s of length %d", what, n)
	}
	return int(n), nil
}

// bodyLimit is the most bytes of a body.
func (d decoder) bodyLimit() int {
	if d.maxBody > 0 {
		return d.maxBody
	}
	return defaultMaxBody
}

// array reads the head of an array and returns its length.
func (d decoder) array() (int, error) {
	b, err := d.r.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case b&0xf0 == 0x90:
		return int(b & 0x0f), nil
	case b == 0xdc || b == 0xdd:
		return d.length("array", maxElements, 0, 2<<(b-0xdc))
	}
	return 0, malformed("byte %#02x where an array belongs", b)
}

// uint reads a number that is not negative.
func (d decoder) uint() (uint64, error) {
	b, err := d.r.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case b <= 0x7f:
		return uint64(b), nil
	case b >= 0xcc && b <= 0xcf:
		return d.number(1 << (b - 0xcc))
	case b >= 0xd0 && b <= 0xd3: // signed: some encoders write positive numbers so
		n := 1 << (b - 0xd0)
		v, err := d.number(n)
		if err == nil && v>>(8*n-1) != 0 {
			err = malformed("a negative number")
		}
		return v, err
	}
	return 0, malformed("byte %#02x where a number belongs", b)
}

// bytes reads a str or a bin.
func (d decoder) bytes(what string, maxLength int) ([]byte, error) {
	b, err := d.r.ReadByte()
	if err != nil {
		return nil, err
	}
	var n int
	switch {
	case b&0xe0 == 0xa0:
		n, err = d.length(what, maxLength, uint64(b&0x1f), 0)
	case b >= 0xd9 && b <= 0xdb:
		n, err = d.length(what, maxLength, 0, 1<<(b-0xd9))
	case b >= 0xc4 && b <= 0xc6:
		n, err = d.length(what, maxLength, 0, 1<<(b-0xc4))
	default:
		err = malformed("byte %#02x where a %s belongs", b, what)
	}
	if err != nil {
		return nil, err
	}
	v := make([]byte, n)
	_, err = io.ReadFull(d.r, v)
	return v, err
}

// text reads a text; what it is stands in the error.
func (d decoder) text(what string) (string, error) {
	v, err := d.bytes(what, maxText)
	return string(v), err
}

// fields reads a map of strings to strings.
func (d decoder) fields() (map[string]string, error) {
	b, err := d.r.ReadByte()
	if err != nil {
		return nil, err
	}
	var n int
	switch {
	case b&0xf0 == 0x80:
		n = int(b & 0x0f)
	case b == 0xde || b == 0xdf:
		n, err = d.length("map", maxElements, 0, 2<<(b-0xde))
	default:
		err = malformed("byte %#02x where a map belongs", b)
	}
	if err != nil {
		return nil, err
	}
	m := make(map[string]string, n)
	for range n {
		key, err := d.text("field name")
		if err != nil {
			return nil, err
		}
		if m[key], err = d.text("field"); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// layout is how a value goes on after its first byte.
type layout struct {
	size       int    // bytes that follow, beside those that a length counts
	elements   int    // values that follow
	lengthSize int    // bytes of a length that follows; 0: there is none
	perLength  int    // values for each of the length; 0: it counts bytes
	what       string // that has the length, for errors
	invalid    bool   // no value begins so
}

// layouts has the layout of a value by its first byte, as MessagePack's specification has it.
var layouts = func() (all [256]layout) {
	set := func(first, last int, at func(i int) layout) {
		for b := first; b <= last; b++ {
			all[b] = at(b - first)
		}
	}
	set(0x80, 0x8f, func(i int) layout { return layout{elements: 2 * i} }) // short maps
	set(0x90, 0x9f, func(i int) layout { return layout{elements: i} })     // short arrays
	set(0xa0, 0xbf, func(i int) layout { return layout{size: i} })         // short texts
	set(0xc1, 0xc1, func(int) layout { return layout{invalid: true} })
	set(0xc4, 0xc6, func(i int) layout { return layout{lengthSize: 1 << i, what: "value"} })        // bytes
	set(0xc7, 0xc9, func(i int) layout { return layout{size: 1, lengthSize: 1 << i, what: "ext"} }) // with a type byte
	set(0xca, 0xcb, func(i int) layout { return layout{size: 4 << i} })                             // floats
	set(0xcc, 0xcf, func(i int) layout { return layout{size: 1 << i} })                             // unsigned numbers
	set(0xd0, 0xd3, func(i int) layout { return layout{size: 1 << i} })                             // signed numbers
	set(0xd4, 0xd8, func(i int) layout { return layout{size: 1 + 1<<i} })                           // short ext
	set(0xd9, 0xdb, func(i int) layout { return layout{lengthSize: 1 << i, what: "value"} })        // texts
	set(0xdc, 0xdd, func(i int) layout { return layout{lengthSize: 2 << i, perLength: 1, what: "array"} })
	set(0xde, 0xdf, func(i int) layout { return layout{lengthSize: 2 << i, perLength: 2, what: "map"} })
	return all // the rest are small numbers, nil, false and true, after which nothing follows
}()

// skip reads past one value, for parameters that no method takes and for requests that are rejected unread.
func (d decoder) skip(depth int) error {
	if depth > maxDepth {
		return malformed("values nested too deep")
	}
	b, err := d.r.ReadByte()
	if err != nil {
		return err
	}
	at := &layouts[b]
	size, elements := at.size, at.elements
	switch {
	case at.invalid:
		return malformed("byte %#02x", b)
	case at.perLength > 0:
		n, err := d.length(at.what, maxElements, 0, at.lengthSize)
		if err != nil {
			return err
		}
		elements = n * at.perLength
	case at.lengthSize > 0:
		n, err := d.length(at.what, d.bodyLimit(), 0, at.lengthSize)
		if err != nil {
			return err
		}
		size += n
	}
	for range elements {
		if err := d.skip(depth + 1); err != nil {
			return err
		}
	}
	if size == 0 {
		return nil
	}
	_, err = d.r.Discard(size)
	return err
}

// message reads one message. io.EOF means that the stream ended between two messages.
func (d decoder) message() (message, error) {
	var m message
	if _, err := d.r.Peek(1); err != nil {
		return m, err
	}
	err := d.readMessage(&m)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return m, err
}

// readMessage reads a message: its kind, id and method, then its parameters.
func (d decoder) readMessage(m *message) error {
	n, err := d.array()
	if err != nil {
		return err
	}
	k, err := d.uint()
	if err != nil {
		return err
	}
	m.kind = kind(k)
	switch {
	case m.kind == request && n == 4:
		if m.id, err = d.uint(); err != nil {
			return err
		}
	case m.kind == notification && n == 3:
	default:
		return malformed("%d elements of type %d", n, k)
	}
	if m.method, err = d.text("method"); err != nil {
		return err
	}
	params, err := d.array()
	if err != nil {
		return err
	}
	read, err := d.readParams(m, params)
	for ; read < params && err == nil; read++ {
		err = d.skip(0)
	}
	return err
}

// readParams reads the parameters that the message's method takes, and returns how many of them it has read.
func (d decoder) readParams(m *message, params int) (read int, err error) {
	if m.kind == notification {
		return d.readNotification(m, params)
	}
	switch {
	case m.method == methodProbe:
		if d.inCell && params > 0 {
			m.fields, err = d.fields()
			return 1, err
		}
		return 0, nil
	case m.method == StatusMethod && params <= 1 && d.statusEnabled:
		m.status = true
		return 0, nil
	case params < 2:
		return 0, malformed("%d parameters of %q", params, m.method)
	case d.rejects != nil && d.rejects(m.method):
		m.skipped = true
		return 0, nil
	}
	if m.fields, err = d.fields(); err == nil {
		m.body, err = d.bytes("body", d.bodyLimit())
	}
	return 2, err
}

// readNotification reads the one parameter of methodCancel, the id of a request; other notifications mean nothing here.
func (d decoder) readNotification(m *message, params int) (read int, err error) {
	if m.method != methodCancel {
		return 0, nil
	}
	if params == 0 {
		return 0, malformed("%s of nothing", methodCancel)
	}
	m.id, err = d.uint()
	return 1, err
}
