package service

import (
	"errors"
	"io"
	"log"
	"net"
	"strconv"
	"testing"
	"time"

	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/msgpackrpc"
)

// leaving is a service that is told to leave by the returned function, whose peers are asked to leave soon after.
func leaving(t *testing.T, vm string, stop time.Duration) (s *Service, leave func(), done <-chan error) {
	t.Helper()
	cfg := config(vm)
	cfg.StopTimeout, cfg.Server.DrainGrace = stop, stop/4
	s, err := New(cfg, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	s.drainDelay = 100 * time.Millisecond
	notice, over := make(chan struct{}), make(chan error, 1)
	go func() { over <- s.Run(notice) }()
	return s, func() { close(notice) }, over
}

func call(id uint64, body string) []byte {
	return msgpackrpc.AppendRequest(nil, id, "krog", []byte(body), "i", body+strconv.FormatUint(id, 10),
		"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "20000", "m", "1")
}

func (p peer) expect(t *testing.T, id uint64, notification, outcome string) {
	t.Helper()
	if a, err := msgpackrpc.ReadReply(p.r); err != nil || a.ID != id || a.Notification != notification || a.Error != outcome {
		t.Fatalf("%+v, %v; want %d %q %q", a, err, id, notification, outcome)
	}
}

// A request that crosses the word to bring no more is served, one that comes when nothing may be run any more is refused, and
// a client that rests on its connection until the service ends it sees the end in good order.
func TestRestsUntilTheEnd(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	s, leave, done := leaving(t, vm, 4*time.Second)
	busy, rests := dial(t, s.Addrs()[0], call(1, "a")), dial(t, s.Addrs()[0], call(1, "b"))
	busy.expect(t, 1, "", "")
	rests.expect(t, 1, "", "")
	leave()
	for !s.core.Phase().ShuttingDown() {
		time.Sleep(time.Millisecond)
	}
	told := time.Now()
	busy.expect(t, 0, "lastCall", "")
	rests.expect(t, 0, "lastCall", "")
	busy.Write(call(2, "crosses"))
	busy.expect(t, 2, "", "")
	time.Sleep(time.Until(told.Add(s.cfg.Server.DrainGrace + 10*time.Millisecond))) // until the window is over
	busy.Write(call(3, "late"))
	busy.expect(t, 3, "", "Full")
	if n := s.runs("krog"); n != 3 {
		t.Errorf("%d runs, want 3", n)
	}
	for _, p := range []peer{busy, rests} {
		if n, err := p.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%d bytes and %v at the end", n, err)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// The notice to leave while the link to the interpreter is down: what is in hand is answered, nobody waits for the link, and
// the process ends in time.
func TestShutdownWithoutInterpreter(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	way, err := faults.Listen(vm, false, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer way.Close()
	s, leave, done := leaving(t, way.Addr(), 4*time.Second)
	s.exitMargin = 2 * time.Second // long before the module would answer: it may be held up, as on a loaded machine
	p := dial(t, s.Addrs()[0], append(call(1, "a"), call(2, "hold")...))
	p.expect(t, 1, "", "")
	for s.stats.Get("read", "msgpack", "krog") < 2 {
		time.Sleep(time.Millisecond)
	}
	way.Cut(true)
	for s.stats.Get("interpreter", "link_down") == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	p.expect(t, 0, "lastCall", "")
	p.expect(t, 2, "", "Error")
	if n := s.stats.Get("backstop"); n != 1 {
		t.Errorf("%d answered by the backstop, want the one in hand", n)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", s.Addrs()[0].String()); err == nil {
		conn.Close()
		t.Error("the address is open after the end")
	}
}
