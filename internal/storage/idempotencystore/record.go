package idempotencystore

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"silverpath/internal/policy/idempotency"
)

// recordFixed is the bytes of a record before its key: checksum, state and five numbers.
const recordFixed = 4 + 1 + 5*8

// maxRecord is the bytes of a record that is read, at most: more than a runner can bring.
const maxRecord = 4 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord is a record as it is written: a checksum of four bytes, the state, five numbers of eight bytes, key and name with their
// lengths, and the result. Numbers are big-endian.
func encodeRecord(r *idempotency.Record) []byte {
	b := make([]byte, 4, 64+r.Size())
	b = append(b, byte(r.State))
	for _, n := range []uint64{uint64(r.RecordedAt), uint64(r.ReceivedAt), uint64(r.ExpiresAt), uint64(r.Window), r.Fingerprint} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Key)))
	b = append(b, r.Key...)
	b = binary.AppendUvarint(b, uint64(len(r.ID)))
	b = append(b, r.ID...)
	b = append(b, r.Result...)
	binary.BigEndian.PutUint32(b, crc32.Checksum(b[4:], castagnoli))
	return b
}

var errUnreadableRecord = errors.New("a record that can't be read")

// decodeRecord reads a record, or returns errUnreadableRecord. What it returns shares nothing with what it read.
func decodeRecord(seq uint64, b []byte) (r idempotency.Record, err error) {
	if len(b) < recordFixed || len(b) > maxRecord || crc32.Checksum(b[4:], castagnoli) != binary.BigEndian.Uint32(b) {
		return r, errUnreadableRecord
	}
	r.Seq, r.State = seq, idempotency.State(b[4])
	if r.State == idempotency.Unknown || r.State >= idempotency.Expired {
		return r, errUnreadableRecord
	}
	n := func(i int) uint64 { return binary.BigEndian.Uint64(b[5+8*i:]) }
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt, r.Window, r.Fingerprint = time.Duration(n(0)), time.Duration(n(1)), time.Duration(n(2)), time.Duration(n(3)), n(4)
	rest := b[recordFixed:]
	text := func() string {
		size, used := binary.Uvarint(rest)
		if used <= 0 || size > uint64(len(rest)-used) {
			err = errUnreadableRecord
			return ""
		}
		t := string(rest[used : used+int(size)])
		rest = rest[used+int(size):]
		return t
	}
	if r.Key = text(); err == nil {
		r.ID = text()
	}
	if len(rest) > 0 && err == nil {
		r.Result = append([]byte(nil), rest...)
	}
	return r, err
}

// seqKey is the key in the file of a record's number: keys sort as numbers do.
func seqKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }
