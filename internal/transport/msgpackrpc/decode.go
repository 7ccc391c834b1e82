package msgpackrpc

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Bounds on what a message may hold. Anything beyond them is malformed.
const (
	defaultMaxBody = 2 << 10
	maxText        = 512
	maxElements    = 64
	maxDepth       = 4
)

var errMalformed = errors.New("malformed message")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// kind is the first element of a message.
type kind uint64

const (
	request kind = iota
	response
	notification
)

// message is one message of MessagePack-RPC with the parameters that the platform's methods take.
type message struct {
	kind    kind
	id      uint64 // of a request, or the one that methodCancel names
	method  string
	status  bool // asks for the state of the service
	skipped bool // passed over, as its class is shut
	fields  map[string]string
	body    []byte
}

// decoder reads MessagePack values from a connection, with no value larger than its bound.
type decoder struct {
	r             *bufio.Reader
	statusEnabled bool // status requests are known
	inCell        bool // probes may say something: they come from routers
	// maxBody bounds a body; 0: defaultMaxBody.
	maxBody int
	// rejects reports, of a class, that its request is refused whatever else it says, and so passed over unread.
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

func (d decoder) bodyLimit() int {
	if d.maxBody > 0 {
		return d.maxBody
	}
	return defaultMaxBody
}

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

// skip passes over one value, for parameters that no method of ours takes.
func (d decoder) skip(depth int) error {
	if depth > maxDepth {
		return malformed("values nested too deep")
	}
	b, err := d.r.ReadByte()
	if err != nil {
		return err
	}
	n, elements := 0, 0
	switch {
	case b <= 0x7f || b >= 0xe0 || b == 0xc0 || b == 0xc2 || b == 0xc3:
		return nil
	case b >= 0xca && b <= 0xcb: // floats
		n = 4 << (b - 0xca)
	case b >= 0xcc && b <= 0xcf:
		n = 1 << (b - 0xcc)
	case b >= 0xd0 && b <= 0xd3:
		n = 1 << (b - 0xd0)
	case b >= 0xd4 && b <= 0xd8: // fixed ext, with its type byte
		n = 1 + 1<<(b-0xd4)
	case b >= 0xc7 && b <= 0xc9: // ext
		n, err = d.length("ext", d.bodyLimit(), 0, 1<<(b-0xc7))
		n++
	case b == 0xc1:
		err = malformed("byte 0xc1")
	case b&0xf0 == 0x90:
		elements = int(b & 0x0f)
	case b == 0xdc || b == 0xdd:
		elements, err = d.length("array", maxElements, 0, 2<<(b-0xdc))
	case b&0xf0 == 0x80:
		elements = 2 * int(b&0x0f)
	case b == 0xde || b == 0xdf:
		elements, err = d.length("map", maxElements, 0, 2<<(b-0xde))
		elements *= 2
	case b&0xe0 == 0xa0:
		n = int(b & 0x1f)
	case b >= 0xd9 && b <= 0xdb:
		n, err = d.length("value", d.bodyLimit(), 0, 1<<(b-0xd9))
	case b >= 0xc4 && b <= 0xc6:
		n, err = d.length("value", d.bodyLimit(), 0, 1<<(b-0xc4))
	}
	for range elements {
		if err == nil {
			err = d.skip(depth + 1)
		}
	}
	if err == nil && n > 0 {
		_, err = d.r.Discard(n)
	}
	return err
}

// message reads one message. io.EOF means that the stream ended between two messages.
func (d decoder) message() (message, error) {
	var m message
	if _, err := d.r.Peek(1); err != nil {
		return m, err
	}
	err := d.readMessage(&m)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return m, err
}

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
	read := 0
	switch {
	case m.kind == notification && m.method == methodCancel:
		if params == 0 {
			return malformed("giveUp of nothing")
		}
		read = 1
		m.id, err = d.uint()
	case m.kind == request && m.method == methodProbe && d.inCell && params > 0:
		read = 1
		m.fields, err = d.fields()
	case m.kind == request && m.method == methodProbe:
	case m.kind == request && m.method == StatusMethod && params <= 1 && d.statusEnabled:
		m.status = true
	case m.kind == request && params >= 2 && d.rejects != nil && d.rejects(m.method):
		m.skipped = true
	case m.kind == request:
		if params < 2 {
			return malformed("%d parameters of %q", params, m.method)
		}
		read = 2
		if m.fields, err = d.fields(); err == nil {
			m.body, err = d.bytes("body", d.bodyLimit())
		}
	}
	for ; read < params && err == nil; read++ {
		err = d.skip(0)
	}
	return err
}
