package msgpackrpc

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"silverpath/internal/core"
)

// Peers of other builds must be able to read the messages of this one. The test compares every kind of message, and every width of number
// and length, with literal bytes.
func TestLiteralBytes(t *testing.T) {
	long, longer := strings.Repeat("x", 32), strings.Repeat("y", 256)
	for _, c := range []struct {
		name      string
		got, want []byte
	}{
		{"request", AppendRequest(nil, 0x7f, "krog", []byte("b"), "i", "1"), []byte("\x94\x00\x7f\xa4krog\x92\x81\xa1i\xa11\xc4\x01b")},
		{"request, 1 byte of id", AppendRequest(nil, 0x80, long, nil), []byte("\x94\x00\xcc\x80\xd9\x20" + long + "\x92\x80\xc4\x00")},
		{"request, 2 bytes of id", AppendRequest(nil, 0x100, "k", []byte(longer)), []byte("\x94\x00\xcd\x01\x00\xa1k\x92\x80\xc5\x01\x00" + longer)},
		{"request, 4 bytes of id", AppendRequest(nil, 0x10000, "k", nil, "k", longer), []byte("\x94\x00\xce\x00\x01\x00\x00\xa1k\x92\x81\xa1k\xda\x01\x00" + longer + "\xc4\x00")},
		{"request, 8 bytes of id", AppendRequest(nil, 1<<32, "k", nil), []byte("\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1k\x92\x80\xc4\x00")},
		{"long body", AppendRequest(nil, 1, "k", make([]byte, 1<<16))[:10], []byte("\x94\x00\x01\xa1k\x92\x80\xc6\x00\x01")},
		{"probe", AppendProbe(nil, 1, "g", "7"), []byte("\x94\x00\x01\xa5probe\x91\x81\xa1g\xa17")},
		{"status", AppendStatus(nil, 1), []byte("\x94\x00\x01\xa6status\x91\x80")},
		{"cancel", AppendCancel(nil, 300), []byte("\x93\x02\xa6giveUp\x91\xcd\x01\x2c")},
		{"attempt", Attempt{ID: "a", Class: "krog", Tenant: "t", Key: "k", ReceivedAt: time.UnixMilli(7), Timeout: 80 * time.Millisecond, MemoryKB: 1.5,
			Caller: 3, Rank: 0.25, Body: []byte("x"), KnownOnly: true, Incarnation: 9}.Append(nil, 5),
			[]byte("\x94\x00\x05\xa4krog\x92\x8a\xa1i\xa1a\xa1s\xa17\xa1f\xa13\xa1d\xa280\xa1m\xa41.50\xa1t\xa1t\xa1p\xa60.2500\xa1k\xa1k\xa1n\xa11\xa1b\xa19\xc4\x01x")},
		{"served", appendAnswer(nil, 9, core.Answer{Body: []byte("ok")}, []string{"v", "2.5"}), []byte("\x94\x01\x09\xc0\x92\xc4\x02ok\x81\xa1v\xa32.5")},
		{"rejected", appendAnswer(nil, 9, core.Answer{Outcome: core.Rejected, RetryAfter: 200 * time.Millisecond, Final: true, Reason: "boot"}, nil),
			[]byte("\x94\x01\x09\x92\xa4Full\x83\xa1w\xa3200\xa1l\xa11\xa1x\xa4boot\xc0")},
		{"rejected, retry after less than 1 ms", appendAnswer(nil, 9, core.Answer{Outcome: core.Rejected, RetryAfter: time.Microsecond}, nil), []byte("\x94\x01\x09\x92\xa4Full\x81\xa1w\xa11\xc0")},
		{"failed", appendAnswer(nil, 9, core.Answer{Outcome: core.Failed, RetryAfter: time.Second, Final: true}, nil), []byte("\x94\x01\x09\x92\xa5Error\x80\xc0")},
		{"expired", appendAnswer(nil, 9, core.Answer{Outcome: core.Expired}, nil), []byte("\x94\x01\x09\x92\xa5Error\x80\xc0")},
		{"invalid", appendAnswer(nil, 9, core.Answer{Outcome: core.Invalid}, nil), []byte("\x94\x01\x09\x92\xa5Error\x80\xc0")},
		{"healthy", appendHealth(nil, 3, true, nil), []byte("\x94\x01\x03\xc0\x92\xc3\x80")},
		{"unhealthy", appendHealth(nil, 3, false, []string{"b", "1"}), []byte("\x94\x01\x03\xc0\x92\xc2\x81\xa1b\xa11")},
		{"call result", appendCallResult(nil, 4, CallResult{Body: []byte("ok"), Fields: []string{"n", "1"}}), []byte("\x94\x01\x04\xc0\x92\xc4\x02ok\x81\xa1n\xa11")},
		{"call error", appendCallResult(nil, 4, CallResult{Error: "Stale", Fields: []string{"n", "1"}}), []byte("\x94\x01\x04\x92\xa5Stale\x81\xa1n\xa11\xc0")},
	} {
		if !bytes.Equal(c.got, c.want) {
			t.Errorf("%s:\n got %s\nwant %s", c.name, fmt.Sprintf("%q", c.got), fmt.Sprintf("%q", c.want))
		}
	}
}
