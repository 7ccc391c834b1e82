// Package snmp is a read-only SNMPv2c agent (RFC 3416). It reports the state and counters of the service under the MIB in
// docs/SILVERPATH-MIB.txt.
package snmp

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// The BER tags that the agent uses, from X.690 and RFC 3416.
const (
	tagInteger   = 0x02
	tagString    = 0x04
	tagNull      = 0x05
	tagOID       = 0x06
	tagSequence  = 0x30
	tagGauge32   = 0x42
	tagTimeTicks = 0x43
	tagCounter64 = 0x46

	tagNoSuchObject   = 0x80
	tagNoSuchInstance = 0x81
	tagEndOfMibView   = 0x82

	tagGet      = 0xa0
	tagGetNext  = 0xa1
	tagResponse = 0xa2
	tagSet      = 0xa3
	tagGetBulk  = 0xa5
)

const maxSubIDs = 128 // sub-identifiers of an object identifier, the limit of RFC 3416

var errMalformed = errors.New("malformed message")

// oid is an object identifier.
type oid []uint32

// compare orders identifiers lexicographically, as cmp.Compare does for numbers.
func (o oid) compare(p oid) int { return slices.CompareFunc(o, p, cmp.Compare[uint32]) }

// child returns a copy of the identifier with further sub-identifiers appended.
func (o oid) child(subIDs ...uint32) oid { return append(slices.Clone(o), subIDs...) }

// element is a decoded BER element.
type element struct {
	tag  byte
	body []byte
}

// nextElement decodes the first element of b and returns it and the rest of b. The error wraps errMalformed.
func nextElement(b []byte) (element, []byte, error) {
	if len(b) < 2 || b[0]&0x1f == 0x1f {
		return element{}, nil, fmt.Errorf("%w: truncated element or multi-byte tag", errMalformed)
	}
	n, rest := int(b[1]), b[2:]
	if n&0x80 != 0 {
		size := n & 0x7f
		if size == 0 || size > 3 || len(rest) < size {
			return element{}, nil, fmt.Errorf("%w: length encoded in %d bytes", errMalformed, size)
		}
		n = 0
		for _, c := range rest[:size] {
			n = n<<8 | int(c)
		}
		rest = rest[size:]
	}
	if n > len(rest) {
		return element{}, nil, fmt.Errorf("%w: element of %d bytes, but only %d bytes left", errMalformed, n, len(rest))
	}
	return element{b[0], rest[:n]}, rest[n:], nil
}

// expectElement decodes the first element of b, which must have the given tag, and returns its content and the rest of b.
func expectElement(b []byte, tag byte) ([]byte, []byte, error) {
	e, rest, err := nextElement(b)
	if err == nil && e.tag != tag {
		err = fmt.Errorf("%w: tag %#02x, want %#02x", errMalformed, e.tag, tag)
	}
	return e.body, rest, err
}

// expectInteger decodes the first element of b, which must be an integer of at most 4 bytes, and returns it and the rest of b.
func expectInteger(b []byte) (int32, []byte, error) {
	v, rest, err := expectElement(b, tagInteger)
	if err != nil {
		return 0, nil, err
	}
	if len(v) == 0 || len(v) > 4 {
		return 0, nil, fmt.Errorf("%w: integer of %d bytes", errMalformed, len(v))
	}
	n := int32(int8(v[0]))
	for _, c := range v[1:] {
		n = n<<8 | int32(c)
	}
	return n, rest, nil
}

// expectOID decodes the first element of b, which must be an object identifier, and returns it and the rest of b.
func expectOID(b []byte) (oid, []byte, error) {
	v, rest, err := expectElement(b, tagOID)
	if err != nil {
		return nil, nil, err
	}
	var o oid
	n, continued := uint64(0), false
	for _, c := range v {
		n, continued = n<<7|uint64(c&0x7f), c&0x80 != 0
		if n > 1<<32-1 || len(o) >= maxSubIDs {
			return nil, nil, fmt.Errorf("%w: object identifier exceeds its bounds", errMalformed)
		}
		if continued {
			continue
		}
		if o == nil {
			firstArc := min(n/40, 2)
			o = append(o, uint32(firstArc), uint32(n-40*firstArc))
		} else {
			o = append(o, uint32(n))
		}
		n = 0
	}
	if continued || o == nil {
		return nil, nil, fmt.Errorf("%w: truncated or empty object identifier", errMalformed)
	}
	return o, rest, nil
}

// appendElement appends an encoded element with the given tag and content to b.
func appendElement(b []byte, tag byte, body []byte) []byte {
	b = append(b, tag)
	switch n := len(body); {
	case n < 0x80:
		b = append(b, byte(n))
	case n <= 0xff:
		b = append(b, 0x81, byte(n))
	default: // a length of two bytes; no message of the agent reaches 64 KiB
		b = append(b, 0x82, byte(n>>8), byte(n))
	}
	return append(b, body...)
}

// appendInteger appends an encoded INTEGER to b.
func appendInteger(b []byte, n int32) []byte { return appendElement(b, tagInteger, intBytes(int64(n))) }

// appendUnsigned appends a number of an unsigned type (Gauge32, TimeTicks or Counter64) to b.
func appendUnsigned(b []byte, tag byte, n uint64) []byte {
	v := intBytes(int64(n))
	if n>>63 != 0 { // a leading 0 keeps the number positive, and the leading 0xff bytes that intBytes dropped are restored
		v = append([]byte{0}, v...)
		for len(v) < 9 {
			v = slices.Insert(v, 1, 0xff)
		}
	}
	return appendElement(b, tag, v)
}

// intBytes returns the shortest two's complement encoding of a number, as BER requires.
func intBytes(n int64) []byte {
	v := []byte{byte(n >> 56), byte(n >> 48), byte(n >> 40), byte(n >> 32), byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
	for len(v) > 1 && (v[0] == 0 && v[1] < 0x80 || v[0] == 0xff && v[1] >= 0x80) {
		v = v[1:]
	}
	return v
}

// appendOID appends an encoded object identifier to b. An identifier of less than two parts is encoded as empty.
func appendOID(b []byte, o oid) []byte {
	var v []byte
	appendSubID := func(n uint64) {
		var part []byte
		for first := true; first || n > 0; first = false {
			c := byte(n & 0x7f)
			if !first {
				c |= 0x80
			}
			part = append(part, c)
			n >>= 7
		}
		slices.Reverse(part)
		v = append(v, part...)
	}
	if len(o) >= 2 {
		appendSubID(uint64(o[0])*40 + uint64(o[1]))
		for _, n := range o[2:] {
			appendSubID(uint64(n))
		}
	}
	return appendElement(b, tagOID, v)
}
