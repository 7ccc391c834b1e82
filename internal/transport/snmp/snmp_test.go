package snmp

import (
	"bytes"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
)

// encodeRequest encodes a request as a manager sends it, following RFC 3416.
func encodeRequest(pduType byte, id, nonRepeaters, repetitions int32, names ...oid) []byte {
	var binds []byte
	for _, n := range names {
		binds = append(binds, varBind(n, []byte{tagNull, 0})...)
	}
	pdu := appendInteger(appendInteger(appendInteger(nil, id), nonRepeaters), repetitions)
	pdu = appendElement(pdu, tagSequence, binds)
	m := appendElement([]byte{tagInteger, 1, version2c}, tagString, []byte("quiz"))
	return appendElement(nil, tagSequence, appendElement(m, pduType, pdu))
}

// binding is a variable binding of a response.
type binding struct {
	name  oid
	value element
}

// parseResponse decodes the response to the request with the given ID.
func parseResponse(t *testing.T, b []byte, id int32) (status, index int32, list []binding) {
	t.Helper()
	q, version, err := parse(b)
	if err != nil || version != version2c || q.pduType != tagResponse || q.id != id || q.community != "quiz" {
		t.Fatalf("invalid response: %+v, error %v", q, err)
	}
	b, _, _ = expectElement(b, tagSequence)
	_, b, _ = expectInteger(b)
	_, b, _ = expectElement(b, tagString)
	b, _, _ = expectElement(b, tagResponse)
	for range 3 {
		_, b, _ = expectInteger(b)
	}
	b, _, _ = expectElement(b, tagSequence)
	for len(b) > 0 {
		var varBindBody []byte
		varBindBody, b, _ = expectElement(b, tagSequence)
		name, rest, _ := expectOID(varBindBody)
		v, _, _ := nextElement(rest)
		list = append(list, binding{name, v})
	}
	return q.nonRepeaters, q.maxRepetitions, list
}

func newTestAgent(t *testing.T) *Agent {
	t.Helper()
	counters, discardLog := &metrics.Counters{}, log.New(io.Discard, "", 0)
	c, err := core.New(core.Config{Settings: silverpath.Settings{Cores: 1, MemoryKB: 1,
		Classes: []silverpath.Class{{Name: "x", Deadline: time.Second}}}, MemoryMB: 16, Log: discardLog, Stats: counters})
	if err != nil {
		t.Fatal(err)
	}
	a, err := Listen("127.0.0.1:0", "quiz", "n3", c, discardLog, counters, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	counters.Add(300, "read.msgpack.krog")
	counters.Add(1<<63, "read.msgpack.oddaja")
	return a
}

func counterOID(name string) oid {
	o := columnCounters
	for _, c := range []byte(name) {
		o = o.child(uint32(c))
	}
	return o
}

func TestGet(t *testing.T) {
	a := newTestAgent(t)
	reply, _ := a.respond(encodeRequest(tagGet, 77, 0, 0, objectName, objectPhase, counterOID("read.msgpack.krog"), counterOID("none"), mibRoot.child(9)))
	status, _, list := parseResponse(t, reply, 77)
	want := []element{{tagString, []byte("n3")}, {tagInteger, []byte{1}}, {tagCounter64, []byte{1, 44}},
		{tagNoSuchInstance, nil}, {tagNoSuchObject, nil}}
	if status != 0 || len(list) != len(want) {
		t.Fatalf("error status %d, %d bindings", status, len(list))
	}
	for i, w := range want {
		if got := list[i].value; got.tag != w.tag || !bytes.Equal(got.body, w.body) {
			t.Errorf("%v: tag %#x, value %x; want tag %#x, value %x", list[i].name, got.tag, got.body, w.tag, w.body)
		}
	}
}

// A walk from the root with GetNext returns every object once, in order, and then endOfMibView.
func TestWalk(t *testing.T) {
	a := newTestAgent(t)
	name, count := mibRoot, 0
	for ; ; count++ {
		reply, _ := a.respond(encodeRequest(tagGetNext, 1, 0, 0, name))
		_, _, list := parseResponse(t, reply, 1)
		if list[0].value.tag == tagEndOfMibView {
			break
		}
		if list[0].name.compare(name) <= 0 {
			t.Fatalf("GetNext returned %v after %v, which is not in order", list[0].name, name)
		}
		name = list[0].name
	}
	if count != 7 || name.compare(counterOID("read.msgpack.oddaja")) != 0 {
		t.Fatalf("%d objects, the last one is %v", count, name)
	}
	reply, _ := a.respond(encodeRequest(tagGetBulk, 2, 1, 50, objectName, mibRoot))
	_, _, list := parseResponse(t, reply, 2)
	if len(list) != 9 || list[0].name.compare(objectPhase) != 0 || list[8].value.tag != tagEndOfMibView {
		t.Fatalf("GetBulk: %d bindings, want 9 that end with endOfMibView", len(list))
	}
	if v := list[7].value; !bytes.Equal(v.body, []byte{0, 128, 0, 0, 0, 0, 0, 0, 0}) {
		t.Errorf("a counter of 2^63 is encoded as %x", v.body)
	}
}

// A response fits in one packet: that to a GetBulk request is truncated, and a Get request that would exceed the packet gets tooBig.
func TestLargeResponses(t *testing.T) {
	a := newTestAgent(t)
	var names []oid
	for i := range 150 {
		a.stats.Inc("some.long.name.of.a.counter", string(rune('a'+i%26)), string(rune('a'+i/26)))
		names = append(names, objectName.child(uint32(i), 1<<31, 1<<31, 1<<31))
	}
	reply, _ := a.respond(encodeRequest(tagGetBulk, 3, 0, 200, mibRoot))
	if _, _, list := parseResponse(t, reply, 3); len(reply) > maxResponseBytes || len(list) < 10 {
		t.Errorf("GetBulk: response of %d bytes with %d bindings", len(reply), len(list))
	}
	reply, _ = a.respond(encodeRequest(tagGet, 4, 0, 0, names...))
	if status, _, _ := parseResponse(t, reply, 4); status != statusTooBig {
		t.Errorf("error status %d, want tooBig", status)
	}
}

func TestNothingCanBeSet(t *testing.T) {
	reply, _ := newTestAgent(t).respond(encodeRequest(tagSet, 5, 0, 0, objectName))
	if status, index, _ := parseResponse(t, reply, 5); status != statusNotWritable || index != 1 {
		t.Errorf("error status %d, error index %d; want notWritable, 1", status, index)
	}
}

func TestUnanswered(t *testing.T) {
	a, valid := newTestAgent(t), encodeRequest(tagGet, 6, 0, 0, objectName)
	version1 := bytes.Clone(valid)
	version1[4] = 0
	for reason, b := range map[string][]byte{
		"malformed": valid[:20], "bad_version": version1,
		"bad_community": bytes.Replace(valid, []byte("quiz"), []byte("quid"), 1), "bad_request": encodeRequest(0xa4, 1, 0, 0),
	} {
		if reply, got := a.respond(b); reply != nil || got != reason {
			t.Errorf("%s: response %x, reason %q", reason, reply, got)
		}
	}
	rnd := rand.New(rand.NewPCG(7, 8))
	for range 20000 { // corrupted messages (fixed seed) are ignored or answered within the size limit
		b := bytes.Clone(valid)
		for range 1 + rnd.IntN(4) {
			b[rnd.IntN(len(b))] = byte(rnd.Uint32())
		}
		if reply, _ := a.respond(b); len(reply) > maxResponseBytes {
			t.Fatalf("response of %d bytes exceeds the limit", len(reply))
		}
	}
	for n := range len(valid) {
		if reply, reason := a.respond(valid[:n]); reply != nil || reason != "malformed" {
			t.Errorf("truncated to %d bytes: response %x, reason %q", n, reply, reason)
		}
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add(encodeRequest(tagGet, 1, 0, 0, objectName))
	f.Add(encodeRequest(tagGetBulk, 1, 0, 10, mibRoot))
	f.Fuzz(func(t *testing.T, b []byte) {
		a := &Agent{community: "quiz", source: newTestCore(t), stats: &metrics.Counters{}}
		if reply, _ := a.respond(b); len(reply) > maxResponseBytes {
			t.Fatalf("response of %d bytes exceeds the limit", len(reply))
		}
	})
}

func newTestCore(t *testing.T) *core.Core {
	c, err := core.New(core.Config{MemoryMB: 16})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// The agent ignores a malformed datagram and answers a request over UDP.
func TestServe(t *testing.T) {
	a := newTestAgent(t)
	go a.Serve()
	conn, err := net.Dial("udp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write([]byte("garbage"))
	conn.Write(encodeRequest(tagGet, 9, 0, 0, objectName))
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	b := make([]byte, 2000)
	n, err := conn.Read(b)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, list := parseResponse(t, b[:n], 9); string(list[0].value.body) != "n3" {
		t.Fatalf("response %+v, want the name n3", list)
	}
}

// The MIB of a service with pools holds them in order. That of a service without pools holds none.
func TestPools(t *testing.T) {
	set := admission.Config{Pools: []admission.Pool{{Name: "sheets", Classes: []string{"oddaja"}, Weight: 1, Floor: 0.5}}}
	c, err := core.New(core.Config{MemoryMB: 64, Pools: &set, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
		Cores: 4, MemoryKB: 1000, MaxRunsPerCore: 8, Classes: []silverpath.Class{{Name: "oddaja", Deadline: time.Second, Weight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Attach(probeOnlyRunner{c}, nil); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	for deadline := time.Now().Add(10 * time.Second); c.View().Pools == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the core published no state of the pools within 10 s")
		}
	}
	a := &Agent{community: "quiz", name: "n3", source: c, stats: &metrics.Counters{}}
	reply, _ := a.respond(encodeRequest(tagGetBulk, 1, 0, 50, mibRoot.child(3)))
	_, _, list := parseResponse(t, reply, 1)
	if len(list) != 21 || list[0].name.compare(objectLimit) != 0 || list[20].value.tag != tagEndOfMibView {
		t.Fatalf("%d bindings: %v", len(list), list)
	}
	if v := list[4]; v.name.compare(poolEntry.child(2, 1)) != 0 || string(v.value.body) != "sheets" {
		t.Errorf("%v has the value %q", v.name, v.value.body)
	}
	if v := list[5]; string(v.value.body) != "rest" {
		t.Errorf("%v has the value %q", v.name, v.value.body)
	}
	reply, _ = newTestAgent(t).respond(encodeRequest(tagGetNext, 2, 0, 0, mibRoot.child(3)))
	if _, _, list := parseResponse(t, reply, 2); list[0].value.tag != tagEndOfMibView {
		t.Errorf("service without pools: got %v, want endOfMibView", list[0])
	}
}

// probeOnlyRunner is a runner that answers probes and ignores runs.
type probeOnlyRunner struct{ c *core.Core }

func (probeOnlyRunner) Run(string, string, []byte) {}
func (probeOnlyRunner) Resume(string, []byte)      {}
func (s probeOnlyRunner) Probe()                   { s.c.Gauges(silverpath.Gauges{}) }
