package msgpackrpc

import (
	"bufio"
	"errors"
	"net"
	"testing"
	"time"

	"silverpath/internal/core"
)

// serverEnd is the server's end of a connection. The test reads and writes its messages.
type serverEnd struct {
	net.Conn
	d decoder
}

var done = core.Answer{Outcome: core.Served, Body: []byte("done")}

func newConnPair() (*Conn, serverEnd) {
	near, far := net.Pipe()
	return NewConn(near), serverEnd{far, decoder{r: bufio.NewReader(far)}}
}

func (s serverEnd) readMessage(t *testing.T) message {
	t.Helper()
	s.SetReadDeadline(time.Now().Add(10 * time.Second))
	m, err := s.d.message()
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// send sends an attempt. It returns the message that the service read, and the id and reply channel that Send returned.
func send(t *testing.T, c *Conn, s serverEnd, attempt Attempt) (message, uint64, <-chan Reply) {
	t.Helper()
	type sent struct {
		id    uint64
		reply <-chan Reply
	}
	results := make(chan sent, 1)
	go func() {
		id, reply, err := c.Send(func(id uint64) []byte { return attempt.Append(nil, id) })
		if err != nil {
			t.Error(err)
		}
		results <- sent{id, reply}
	}()
	m := s.readMessage(t)
	result := <-results
	return m, result.id, result.reply
}

// Message ids increase, and at most MaxInFlight requests are in flight. Cancel notifies the server, and a late answer to the cancelled
// request is dropped.
func TestConn(t *testing.T) {
	c, s := newConnPair()
	defer c.Close()
	attempt := Attempt{ID: "a", Class: "krog", Tenant: "t", Key: "k", ReceivedAt: time.UnixMilli(7), Timeout: 80 * time.Millisecond, MemoryKB: 1.5,
		Caller: 3, Rank: 0.25, Body: []byte("x"), KnownOnly: true, Incarnation: 9}
	first, id, reply := send(t, c, s, attempt)
	f := first.fields
	if first.id != 1 || id != 1 || f["i"] != "a" || f["s"] != "7" || f["d"] != "80" || f["m"] != "1.50" || f["n"] != "1" || f["b"] != "9" || f["k"] != "k" || f["p"] != "0.2500" {
		t.Fatalf("message of the attempt: %+v", first)
	}
	for n := uint64(2); n <= MaxInFlight; n++ {
		if hasCapacity, usable := c.Capacity(); !hasCapacity || !usable {
			t.Fatalf("no capacity for request %d", n)
		}
		if m, _, _ := send(t, c, s, attempt); m.id != n {
			t.Fatalf("id %d, want %d", m.id, n)
		}
	}
	if hasCapacity, usable := c.Capacity(); hasCapacity || !usable {
		t.Errorf("capacity for request %d", MaxInFlight+1)
	}
	if _, _, err := c.Send(func(uint64) []byte { return nil }); !errors.Is(err, ErrFull) {
		t.Errorf("Send of request %d: %v, want ErrFull", MaxInFlight+1, err)
	}
	go c.Cancel(id)
	if m := s.readMessage(t); m.method != methodCancel || m.id != id {
		t.Errorf("message after Cancel: %+v", m)
	}
	s.Write(appendAnswer(nil, id, done, nil))
	s.Write(appendAnswer(nil, 2, done, nil))
	select {
	case a := <-reply:
		t.Errorf("reply to a cancelled request: %+v", a)
	case <-time.After(20 * time.Millisecond):
	}
}

// After methodDrain a connection accepts no more requests and closes when all requests on it are answered. When a connection breaks, the
// channels of its requests are closed without a reply.
func TestDrainNotification(t *testing.T) {
	c, s := newConnPair()
	_, _, reply := send(t, c, s, Attempt{ID: "a", Class: "krog", ReceivedAt: time.Now(), MemoryKB: 1})
	s.Write(appendArray(appendStr(appendUint(appendArray(nil, 3), uint64(notification)), methodDrain), 0))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, usable := c.Capacity(); !usable {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("connection accepts requests after methodDrain")
		}
	}
	s.Write(appendAnswer(nil, 1, done, nil))
	if a, ok := <-reply; !ok || string(a.Body) != "done" {
		t.Errorf("reply while draining: %+v, %v", a, ok)
	}
	if _, err := s.d.message(); err == nil {
		t.Error("drained connection stays open")
	}
	c, s = newConnPair()
	_, _, reply = send(t, c, s, Attempt{ID: "a", Class: "krog", ReceivedAt: time.Now(), MemoryKB: 1})
	s.Close()
	if a, ok := <-reply; ok {
		t.Errorf("reply on a broken connection: %+v", a)
	}
	if _, _, err := c.Send(func(uint64) []byte { return nil }); err == nil {
		t.Error("Send on a broken connection succeeded")
	}
}
