package msgpackrpc

import "encoding/binary"

func appendArray(b []byte, n int) []byte { return append(b, 0x90|byte(n)) } // requires n < 16

func appendMap(b []byte, n int) []byte { return append(b, 0x80|byte(n)) } // requires n < 16

func appendUint(b []byte, n uint64) []byte {
	switch {
	case n <= 0x7f:
		return append(b, byte(n))
	case n <= 0xff:
		return append(b, 0xcc, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(n))
	case n <= 0xffffffff:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), n)
}

func appendStr(b []byte, s string) []byte {
	switch n := len(s); {
	case n < 32:
		b = append(b, 0xa0|byte(n))
	case n <= 0xff:
		b = append(b, 0xd9, byte(n))
	default:
		b = binary.BigEndian.AppendUint16(append(b, 0xda), uint16(n))
	}
	return append(b, s...)
}

func appendBin(b, v []byte) []byte {
	switch n := len(v); {
	case n <= 0xff:
		b = append(b, 0xc4, byte(n))
	case n <= 0xffff:
		b = binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	default:
		b = binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
	}
	return append(b, v...)
}

func appendNil(b []byte) []byte { return append(b, 0xc0) }

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 0xc3)
	}
	return append(b, 0xc2)
}

// appendFields encodes a map of strings to strings. Pairs holds alternating names and values of at most 15 fields.
func appendFields(b []byte, pairs []string) []byte {
	b = appendMap(b, len(pairs)/2)
	for _, s := range pairs {
		b = appendStr(b, s)
	}
	return b
}
