package msgpackrpc

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
)

// validMessages has messages as balancers send them.
var validMessages = [][]byte{
	AppendRequest(nil, 7, "oddaja", []byte("a\x00b"), "i", "9b1f03aa5c7e2d41", "s", "1764576000123", "f", "4", "t", "acme",
		"d", "480", "m", "24.5", "p", "0.6250", "k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
	AppendRequest(nil, 70000, "lestvica", bytes.Repeat([]byte{0xc1}, MaxBodyBytes), "i", "0", "s", "1", "d", "1", "m", "1"),
	AppendProbe(nil, 1<<40),
	AppendCancel(nil, 300),
	{0x94, 0, 0xd0, 5, 0xd9, 1, 'x', 0xdc, 0, 3, 0xde, 0, 0, 0xc6, 0, 0, 0, 0, 0x92, 0xca, 1, 2, 3, 4, 0x81, 0xa1, 'k', 0xc0},
}

func decodeMessage(b []byte) (message, error) {
	return decoder{r: bufio.NewReader(bytes.NewReader(b))}.message()
}

func TestMessages(t *testing.T) {
	m, err := decodeMessage(validMessages[0])
	if err != nil || m.id != 7 || m.method != "oddaja" || string(m.body) != "a\x00b" || m.fields["k"] == "" || len(m.fields) != 8 {
		t.Fatalf("request: %+v, %v", m, err)
	}
	if m, err = decodeMessage(validMessages[3]); err != nil || m.kind != notification || m.id != 300 {
		t.Fatalf("cancellation: %+v, %v", m, err)
	}
	r := bufio.NewReader(bytes.NewReader(bytes.Join(validMessages, nil)))
	for i := range validMessages {
		if _, err := (decoder{r: r}).message(); err != nil {
			t.Fatalf("message %d of a stream: %v", i, err)
		}
	}
	if _, err := (decoder{r: r}).message(); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end of the stream: %v", err)
	}
}

// A message that is cut at any byte gives io.ErrUnexpectedEOF, neither a message nor io.EOF.
func TestCuts(t *testing.T) {
	for i, b := range validMessages {
		for n := 1; n < len(b); n++ {
			if _, err := decodeMessage(b[:n]); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("message %d cut at %d of %d: %v", i, n, len(b), err)
			}
		}
	}
}

// malformedMessages has malformed messages, as peers that are not balancers send them.
var malformedMessages = map[string][]byte{
	"not an array":      {0x81, 0, 0},
	"a response":        {0x94, 1, 1, 0xc0, 0xc0},
	"a negative id":     {0x94, 0, 0xd0, 0xff, 0xa1, 'x', 0x90},
	"a body too large":  AppendRequest(nil, 1, "x", make([]byte, MaxBodyBytes+1)),
	"a length of 4 GiB": {0x94, 0, 1, 0xdb, 0xff, 0xff, 0xff, 0xff},
	"a map of 4 G":      {0x94, 0, 1, 0xa1, 'x', 0x92, 0xdf, 0xff, 0xff, 0xff, 0xff},
	"a number as field": {0x94, 0, 1, 0xa1, 'x', 0x92, 0x81, 0xa1, 'i', 5, 0xc4, 0},
	"nested too deep":   append([]byte{0x93, 2, 0xa1, 'x', 0x91}, bytes.Repeat([]byte{0x91}, 50)...),
	"giveUp of nothing": {0x93, 2, 0xa6, 'g', 'i', 'v', 'e', 'U', 'p', 0x90},
	"no parameters":     {0x94, 0, 1, 0xa1, 'x', 0x90},
	"a body of 60 MB":   append([]byte{0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 0x03, 0x93, 0x87, 0x00}, make([]byte, 4096)...),
	"a length below 0":  {0x94, 0, 1, 0xa1, 'x', 0x92, 0x80, 0xc6, 0xff, 0xff, 0xff, 0xfe},
	"an array of 500 M": {0xdd, 0x20, 0x00, 0x00, 0x00},
	"a reserved byte":   {0xc1},
	"text":              []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
}

func TestMalformed(t *testing.T) {
	for name, b := range malformedMessages {
		if _, err := decodeMessage(b); !errors.Is(err, errMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Randomly altered messages give an error or a message within its bounds, never a panic or a large allocation. The seed is fixed.
func TestGarbage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 20000 {
		b := bytes.Clone(validMessages[rnd.IntN(len(validMessages))])
		for range 1 + rnd.IntN(4) {
			b[rnd.IntN(len(b))] = byte(rnd.Uint32())
		}
		if m, err := decodeMessage(b); err == nil && len(m.body) > MaxBodyBytes {
			t.Fatalf("body of %d bytes exceeds its bound", len(m.body))
		}
	}
}

func FuzzMessage(f *testing.F) {
	for _, b := range validMessages {
		f.Add(b)
	}
	for _, b := range malformedMessages {
		f.Add(b)
	}
	f.Add([]byte("\xdd\xff\xff\xff\xff"))
	f.Add(validMessages[0][:len(validMessages[0])/2])
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err == nil && (len(m.body) > MaxBodyBytes || len(m.fields) > maxElements || len(m.method) > maxStringBytes) {
			t.Fatal("message exceeds its bounds")
		}
	})
}

func TestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		a    core.Answer
		want Reply
	}{
		"served":  {core.Answer{Body: []byte("ok")}, Reply{Body: []byte("ok"), Fields: map[string]string{"v": "2.5"}}},
		"refused": {core.Answer{Outcome: core.Rejected, RetryAfter: 200 * time.Millisecond, Final: true}, Reply{Error: "Full", Fields: map[string]string{"v": "2.5", "w": "200", "l": "1"}}},
		"failed":  {core.Answer{Outcome: core.Failed}, Reply{Error: "Error", Fields: map[string]string{"v": "2.5"}}},
		"expired": {core.Answer{Outcome: core.Expired}, Reply{Error: "Error", Fields: map[string]string{"v": "2.5"}}},
	} {
		got, err := ReadReply(bufio.NewReader(bytes.NewReader(appendAnswer(nil, 9, c.a, []string{"v", "2.5"}))))
		if err != nil || got.ID != 9 || got.Error != c.want.Error || !bytes.Equal(got.Body, c.want.Body) || len(got.Fields) != len(c.want.Fields) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
		for k, v := range c.want.Fields {
			if got.Fields[k] != v {
				t.Errorf("%s: field %s is %q, want %q", name, k, got.Fields[k], v)
			}
		}
	}
	got, err := ReadReply(bufio.NewReader(bytes.NewReader(appendHealth(nil, 3, true, nil))))
	if err != nil || !got.Healthy || got.ID != 3 {
		t.Errorf("probe: %+v, %v", got, err)
	}
}

// mapRequest reports the name of an invalid field instead of an error that would close the connection, since the connection may carry other
// requests.
func TestFields(t *testing.T) {
	c, err := core.New(core.Config{Settings: silverpath.Settings{Cores: 1, MemoryKB: 1,
		Classes: []silverpath.Class{{Name: "x", Deadline: time.Second}}}, MemoryMB: 16})
	if err != nil {
		t.Fatal(err)
	}
	good := map[string]string{"i": "1", "s": "1000", "d": "500", "m": "24.5", "f": "4", "p": "0.5", "k": "key", "t": "acme"}
	for _, bad := range []struct{ field, value string }{{"", ""}, {"s", "-1"}, {"s", "99999999999999"}, {"s", ""}, {"d", "x"},
		{"d", "-1"}, {"d", "3600001"}, {"m", "NaN"}, {"m", "0"}, {"m", "2000"}, {"m", "Inf"}, {"i", ""}, {"p", "1"}, {"p", "NaN"}, {"f", "a"}, {"f", "-1"}} {
		field, value := bad.field, bad.value
		fields := map[string]string{}
		for k, v := range good {
			fields[k] = v
		}
		if field != "" {
			fields[field] = value
		}
		r, badField := mapRequest(message{method: "x", fields: fields}, time.Now(), c)
		if badField != field {
			t.Errorf("field %s=%q: invalid field %q", field, value, badField)
		}
		if field == "" && (r.Deadline != time.UnixMilli(1500) || r.ReceivedAt != time.UnixMilli(1000) || r.Key != "key" || r.MemoryKB != 24.5) {
			t.Errorf("mapped request: %+v", r)
		}
	}
	delete(good, "d")
	if r, badField := mapRequest(message{method: "x", fields: good}, time.Now(), c); badField != "" || r.Deadline != time.UnixMilli(2000) {
		t.Errorf("without field d: invalid field %q, deadline %v", badField, r.Deadline)
	}
}

// The decoder skips a request of a rejected class without keeping its fields and body, and reads the messages after it. A status request is
// malformed if status is not enabled. A skipped body still has to keep its bound.
func TestSkippedRequest(t *testing.T) {
	b := AppendRequest(nil, 3, "shut", bytes.Repeat([]byte("x"), 2000), "i", "a", "d", "7")
	b = AppendStatus(AppendProbe(AppendRequest(b, 4, "open", []byte("y"), "i", "b"), 5), 6)
	d := decoder{r: bufio.NewReader(bytes.NewReader(b)), statusEnabled: true, rejects: func(class string) bool { return class == "shut" }}
	if m, err := d.message(); err != nil || !m.skipped || m.id != 3 || m.fields != nil || m.body != nil {
		t.Fatalf("request of a rejected class: %+v, %v", m, err)
	}
	if m, err := d.message(); err != nil || m.skipped || m.id != 4 || string(m.body) != "y" || m.fields["i"] != "b" {
		t.Fatalf("request after the skipped one: %+v, %v", m, err)
	}
	if m, err := d.message(); err != nil || m.method != methodProbe {
		t.Fatalf("probe: %+v, %v", m, err)
	}
	if m, err := d.message(); err != nil || !m.status || m.id != 6 {
		t.Fatalf("status request: %+v, %v", m, err)
	}
	d = decoder{r: bufio.NewReader(bytes.NewReader(AppendStatus(nil, 1)))}
	if _, err := d.message(); !errors.Is(err, errMalformed) {
		t.Errorf("status request with status disabled: %v", err)
	}
	huge := append(appendStr(appendArray(append([]byte{0x94, 0, 1}, 0), 0)[:3], "shut"), 0x92, 0x80, 0xc6, 0x7f, 0xff, 0xff, 0xff)
	d = decoder{r: bufio.NewReader(bytes.NewReader(huge)), rejects: func(string) bool { return true }}
	if _, err := d.message(); !errors.Is(err, errMalformed) {
		t.Errorf("skipped body with a declared length of 2 GB: %v", err)
	}
}

// BenchmarkRead measures decoding a request, and skipping one of a rejected class.
func BenchmarkRead(b *testing.B) {
	raw := AppendRequest(nil, 3, "lestvica", bytes.Repeat([]byte("x"), 200), "i", "9b1f03aa5c7e2d41", "s", "1764576000123",
		"f", "4", "t", "acme", "d", "480", "m", "24.5", "p", "0.6250")
	for _, skip := range []bool{false, true} {
		b.Run(map[bool]string{false: "whole", true: "passed-over"}[skip], func(b *testing.B) {
			b.ReportAllocs()
			src := bytes.NewReader(raw)
			r := bufio.NewReader(src)
			d := decoder{r: r, inCell: skip, rejects: func(string) bool { return skip }}
			for b.Loop() {
				src.Reset(raw)
				r.Reset(src)
				if m, err := d.message(); err != nil || m.skipped != skip {
					b.Fatal(err)
				}
			}
		})
	}
}
