package idempotencystore

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"silverpath/internal/policy/idempotency"
)

// fixedFieldsSize is the size in bytes of a record's fixed fields: checksum, state and five numbers.
const fixedFieldsSize = 4 + 1 + 5*8

// maxRecordSize is the largest size in bytes of a record that is decoded. No interpreter can return a result of this size.
const maxRecordSize = 4 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeRecord returns the stored form of a record: a checksum of four bytes, the state, five numbers of eight bytes, the
// key and the ID with their lengths as varints, and the result. Numbers are big-endian.
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

var errUnreadableRecord = errors.New("unreadable record")

// decodeRecord decodes a record, or returns errUnreadableRecord. The result shares no memory with b.
func decodeRecord(seq uint64, b []byte) (r idempotency.Record, err error) {
	if len(b) < fixedFieldsSize || len(b) > maxRecordSize || crc32.Checksum(b[4:], castagnoli) != binary.BigEndian.Uint32(b) {
		return r, errUnreadableRecord
	}
	r.Seq, r.State = seq, idempotency.State(b[4])
	if r.State == idempotency.Unknown || r.State >= idempotency.Expired {
		return r, errUnreadableRecord
	}
	field := func(i int) uint64 { return binary.BigEndian.Uint64(b[5+8*i:]) }
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt, r.Window, r.Fingerprint = time.Duration(field(0)), time.Duration(field(1)), time.Duration(field(2)), time.Duration(field(3)), field(4)
	rest := b[fixedFieldsSize:]
	readString := func() string {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			err = errUnreadableRecord
			return ""
		}
		t := string(rest[n : n+int(size)])
		rest = rest[n+int(size):]
		return t
	}
	if r.Key = readString(); err == nil {
		r.ID = readString()
	}
	if len(rest) > 0 && err == nil {
		r.Result = append([]byte(nil), rest...)
	}
	return r, err
}

// seqKey returns the database key of a record's sequence number. Keys sort in the order of the numbers.
func seqKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }
