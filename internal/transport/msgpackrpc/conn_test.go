package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"silverpath/internal/core"
)

// service is the other end of a connection, played by the test.
type service struct {
	net.Conn
	d decoder
}

var done = core.Answer{Outcome: core.Served, Body: []byte("done")}

func pair() (*Conn, service) {
	near, far := net.Pipe()
	return NewConn(near), service{far, decoder{r: bufio.NewReader(far)}}
}

func (s service) next(t *testing.T) message {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(10 * time.Second))
	m, err := s.d.message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// send sends a try and returns what the service read of it.
func send(t *testing.T, c *Conn, s service, try Attempt) (message, uint64, <-chan Reply) {
	t.Helper()
	type sent struct {
		id    uint64
		reply <-chan Reply
	}
	over := make(chan sent, 1)
	go func() {
		id, reply, err := c.Send(func(id uint64) []byte { return try.Append(nil, id) })
		if err != nil {
			t.Error(err)
		}
		over <- sent{id, reply}
	}()
	m := s.next(t)
	x := <-over
	return m, x.id, x.reply
}

// Ids rise, at most 32 requests are open, a request that is given up is said to be, and its late answer goes nowhere.
func TestConn(t *testing.T) {
	c, s := pair()
	defer c.Close()
	try := Attempt{ID: "a", Class: "krog", Tenant: "t", Key: "k", ReceivedAt: time.UnixMilli(7), Timeout: 80 * time.Millisecond, MemoryKB: 1.5,
		Caller: 3, Rank: 0.25, Body: []byte("x"), KnownOnly: true, Incarnation: 9}
	first, id, reply := send(t, c, s, try)
	f := first.fields
	if first.id != 1 || id != 1 || f["i"] != "a" || f["s"] != "7" || f["d"] != "80" || f["m"] != "1.50" || f["n"] != "1" || f["b"] != "9" || f["k"] != "k" || f["p"] != "0.2500" {
		t.Fatalf("%+v", first)
	}
	for n := uint64(2); n <= MaxInFlight; n++ {
		if room, usable := c.Capacity(); !room || !usable {
			t.Fatalf("no room for request %d", n)
		}
		if m, _, _ := send(t, c, s, try); m.id != n {
			t.Fatalf("id %d, want %d", m.id, n)
		}
	}
	if room, usable := c.Capacity(); room || !usable {
		t.Errorf("room for request %d", MaxInFlight+1)
	}
	if _, _, err := c.Send(func(uint64) []byte { return nil }); !errors.Is(err, ErrFull) {
		t.Errorf("request %d: %v", MaxInFlight+1, err)
	}
	go c.Cancel(id)
	if m := s.next(t); m.method != methodCancel || m.id != id {
		t.Errorf("%+v", m)
	}
	s.Write(appendAnswer(nil, id, done, nil))
	s.Write(appendAnswer(nil, 2, done, nil))
	select {
	case a := <-reply:
		t.Errorf("an answer to what was given up: %+v", a)
	case <-time.After(20 * time.Millisecond):
	}
}

// Told to bring no more, a connection takes none, and closes once all on it is answered. One that breaks closes what is
// open without a reply.
func TestDrainNotification(t *testing.T) {
	c, s := pair()
	_, _, reply := send(t, c, s, Attempt{ID: "a", Class: "krog", ReceivedAt: time.Now(), MemoryKB: 1})
	s.Write(appendArray(appendStr(appendUint(appendArray(nil, 3), uint64(notification)), methodDrain), 0))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, usable := c.Capacity(); !usable {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("it takes more after the last call")
		}
	}
	s.Write(appendAnswer(nil, 1, done, nil))
	if a, ok := <-reply; !ok || string(a.Body) != "done" {
		t.Errorf("%+v, %v", a, ok)
	}
	if _, err := s.d.message(); err == nil {
		t.Error("it stays open")
	}
	c, s = pair()
	_, _, reply = send(t, c, s, Attempt{ID: "a", Class: "krog", ReceivedAt: time.Now(), MemoryKB: 1})
	s.Close()
	if a, ok := <-reply; ok {
		t.Errorf("%+v off a broken connection", a)
	}
	if _, _, err := c.Send(func(uint64) []byte { return nil }); err == nil {
		t.Error("a broken connection is written to")
	}
}
