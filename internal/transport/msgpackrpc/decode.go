package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"silverpath/internal/policy/admission"
	"silverpath/internal/transport/bufferpool"
)

// errMalformed is the error for input that violates the protocol or exceeds a bound. The connection is closed after it.
var errMalformed = errors.New("malformed message")

// malformed returns an error that wraps errMalformed and describes the violation.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// message is one message from a balancer with the parameters that its method takes.
type message struct {
	kind    kind
	id      uint64 // id of the request, or of the one that methodCancel cancels
	method  string
	status  bool // the request asks for the state of the service
	skipped bool // decoder.rejects reported true for the class: fields and body were skipped
	fields  map[string]string
	body    []byte
}

// decoder reads MessagePack values from a connection. It checks each length against its bound before it allocates memory.
type decoder struct {
	r             *bufio.Reader
	statusEnabled bool // StatusMethod is handled as a method, not as a class
	inCell        bool // probes come from routers and may have fields
	maxBody       int  // largest body, in bytes; 0: MaxBodyBytes
	// reservation is the memory that a body over bufferpool.Size needs; nil: bodies are smaller.
	reservation *admission.BodyReservation
	// keepField reports whether a field is kept. The values of other fields are checked and dropped, so that a peer can't make a request
	// hold memory for fields that nobody reads. Nil: all are kept.
	keepField func(name string) bool
	// rejects reports whether every request of a class is rejected, so that its fields and body need not be decoded. Nil: none is.
	rejects func(class string) bool
}

// number reads an unsigned big-endian integer of n bytes.
func (d decoder) number(n int) (uint64, error) {
	var b [8]byte
	if _, err := io.ReadFull(d.r, b[8-n:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// length reads a length of size bytes. If size is 0, it uses the length inline that the caller took from the type byte. It returns an
// error if the length exceeds maxLength. What names the value in the error.
func (d decoder) length(what string, maxLength int, inline uint64, size int) (int, error) {
	n, err := inline, error(nil)
	if size > 0 {
		n, err = d.number(size)
	}
	if err != nil {
		return 0, err
	}
	if n > uint64(maxLength) {
		return 0, malformed("%s of length %d exceeds its bound", what, n)
	}
	return int(n), nil
}

// bodyLimit returns the largest allowed body, in bytes.
func (d decoder) bodyLimit() int {
	if d.maxBody > 0 {
		return d.maxBody
	}
	return MaxBodyBytes
}

// array reads the header of an array and returns its length.
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
	return 0, malformed("byte %#02x, want an array", b)
}

// uint reads a non-negative integer.
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
	case b >= 0xd0 && b <= 0xd3: // signed formats, which some encoders use for positive numbers
		n := 1 << (b - 0xd0)
		v, err := d.number(n)
		if err == nil && v>>(8*n-1) != 0 {
			err = malformed("negative number")
		}
		return v, err
	}
	return 0, malformed("byte %#02x, want a number", b)
}

// bytes reads a str or bin value of at most maxLength bytes. What names the value in errors.
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
		err = malformed("byte %#02x, want a %s", b, what)
	}
	if err != nil {
		return nil, err
	}
	return bufferpool.ReadBody(d.r, n, d.reservation)
}

// str reads a string of at most maxStringBytes bytes. The parameter what names the value in errors.
func (d decoder) str(what string) (string, error) {
	v, err := d.bytes(what, maxStringBytes)
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
		err = malformed("byte %#02x, want a map", b)
	}
	if err != nil {
		return nil, err
	}
	m := make(map[string]string, min(n, maxAttemptFields/2))
	for range n {
		key, err := d.str("field name")
		if err != nil {
			return nil, err
		}
		value, err := d.str("field")
		if err != nil {
			return nil, err
		}
		if d.keepField == nil || d.keepField(key) {
			m[key] = value
		}
	}
	return m, nil
}

// valueLayout describes the part of a value that follows its first byte.
type valueLayout struct {
	size       int    // number of bytes that follow, without those that a length counts
	elements   int    // number of nested values that follow
	lengthSize int    // bytes of the length field; 0: there is none
	perLength  int    // nested values per unit of the length; 0: the length counts bytes
	what       string // name of the value in errors
	invalid    bool   // no value begins with this byte
}

// layouts maps the first byte of a value to the layout of the rest, as in the MessagePack specification.
var layouts = func() (all [256]valueLayout) {
	set := func(first, last int, layoutOf func(i int) valueLayout) {
		for b := first; b <= last; b++ {
			all[b] = layoutOf(b - first)
		}
	}
	set(0x80, 0x8f, func(i int) valueLayout { return valueLayout{elements: 2 * i} }) // fixmap
	set(0x90, 0x9f, func(i int) valueLayout { return valueLayout{elements: i} })     // fixarray
	set(0xa0, 0xbf, func(i int) valueLayout { return valueLayout{size: i} })         // fixstr
	set(0xc1, 0xc1, func(int) valueLayout { return valueLayout{invalid: true} })
	set(0xc4, 0xc6, func(i int) valueLayout { return valueLayout{lengthSize: 1 << i, what: "value"} })        // bin
	set(0xc7, 0xc9, func(i int) valueLayout { return valueLayout{size: 1, lengthSize: 1 << i, what: "ext"} }) // ext, with a type byte
	set(0xca, 0xcb, func(i int) valueLayout { return valueLayout{size: 4 << i} })                             // float
	set(0xcc, 0xcf, func(i int) valueLayout { return valueLayout{size: 1 << i} })                             // uint
	set(0xd0, 0xd3, func(i int) valueLayout { return valueLayout{size: 1 << i} })                             // int
	set(0xd4, 0xd8, func(i int) valueLayout { return valueLayout{size: 1 + 1<<i} })                           // fixext
	set(0xd9, 0xdb, func(i int) valueLayout { return valueLayout{lengthSize: 1 << i, what: "value"} })        // str
	set(0xdc, 0xdd, func(i int) valueLayout { return valueLayout{lengthSize: 2 << i, perLength: 1, what: "array"} })
	set(0xde, 0xdf, func(i int) valueLayout { return valueLayout{lengthSize: 2 << i, perLength: 2, what: "map"} })
	return all // the other bytes are complete values: fixint, nil, false and true
}()

// skip reads past one value. It is used for parameters that the method does not take, and for requests that are rejected without
// decoding. Depth is the nesting depth of the value.
func (d decoder) skip(depth int) error {
	if depth > maxDepth {
		return malformed("values nested too deeply")
	}
	b, err := d.r.ReadByte()
	if err != nil {
		return err
	}
	layout := &layouts[b]
	size, elements := layout.size, layout.elements
	switch {
	case layout.invalid:
		return malformed("invalid type byte %#02x", b)
	case layout.perLength > 0:
		n, err := d.length(layout.what, maxElements, 0, layout.lengthSize)
		if err != nil {
			return err
		}
		elements = n * layout.perLength
	case layout.lengthSize > 0:
		n, err := d.length(layout.what, d.bodyLimit(), 0, layout.lengthSize)
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

// message reads one message. It returns io.EOF if the stream ended between two messages, and io.ErrUnexpectedEOF if it ended within one.
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

// readMessage reads the kind, id and method of a message, then its parameters.
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
		return malformed("array of %d elements with message type %d", n, k)
	}
	if m.method, err = d.str("method"); err != nil {
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

// readParams reads the parameters that the message's method takes. It returns the number of parameters read; the caller skips the rest.
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
		return 0, malformed("%d parameters for method %q", params, m.method)
	case d.rejects != nil && d.rejects(m.method):
		m.skipped = true
		return 0, nil
	}
	if m.fields, err = d.fields(); err == nil {
		m.body, err = d.bytes("body", d.bodyLimit())
	}
	return 2, err
}

// readNotification reads the id of a request, the one parameter of methodCancel. Other notifications are ignored.
func (d decoder) readNotification(m *message, params int) (read int, err error) {
	if m.method != methodCancel {
		return 0, nil
	}
	if params == 0 {
		return 0, malformed("%s without a request id", methodCancel)
	}
	m.id, err = d.uint()
	return 1, err
}
