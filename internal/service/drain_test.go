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

// startDrainable starts a service with the given stop timeout. The function shutdown sends it the shutdown signal; 100 ms later it asks its
// peers to leave. The result of Run arrives on done.
func startDrainable(t *testing.T, vm string, stopTimeout time.Duration) (s *Service, shutdown func(), done <-chan error) {
	t.Helper()
	cfg := config(vm)
	cfg.StopTimeout, cfg.Server.DrainGrace = stopTimeout, stopTimeout/4
	s, err := New(cfg, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	s.drainDelay = 100 * time.Millisecond
	shutdownSignal, result := make(chan struct{}), make(chan error, 1)
	go func() { result <- s.Run(shutdownSignal) }()
	return s, func() { close(shutdownSignal) }, result
}

// newCall returns an encoded request of class krog, whose request ID is body followed by id.
func newCall(id uint64, body string) []byte {
	return msgpackrpc.AppendRequest(nil, id, "krog", []byte(body), "i", body+strconv.FormatUint(id, 10),
		"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "20000", "m", "1")
}

// expect reads the next reply and fails the test unless it has the given ID, notification and error.
func (p peer) expect(t *testing.T, id uint64, notification, wantError string) {
	t.Helper()
	if reply, err := msgpackrpc.ReadReply(p.r); err != nil || reply.ID != id || reply.Notification != notification || reply.Error != wantError {
		t.Fatalf("got reply %+v, error %v; want ID %d, notification %q, error %q", reply, err, id, notification, wantError)
	}
}

// Guards the order of a drain. A request that crosses the notification to send no more is served, a request after the drain window
// is rejected, and a client that stays idle on its connection sees an orderly close (EOF, no reset) at the end.
func TestRestsUntilTheEnd(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	s, shutdown, done := startDrainable(t, vm, 4*time.Second)
	active, idle := dial(t, s.Addrs()[0], newCall(1, "a")), dial(t, s.Addrs()[0], newCall(1, "b"))
	active.expect(t, 1, "", "")
	idle.expect(t, 1, "", "")
	shutdown()
	for !s.core.Phase().ShuttingDown() {
		time.Sleep(time.Millisecond)
	}
	drainStartedAt := time.Now()
	active.expect(t, 0, "lastCall", "")
	idle.expect(t, 0, "lastCall", "")
	active.Write(newCall(2, "crosses"))
	active.expect(t, 2, "", "")
	time.Sleep(time.Until(drainStartedAt.Add(s.cfg.Server.DrainGrace + 10*time.Millisecond))) // until the drain window is over
	active.Write(newCall(3, "late"))
	active.expect(t, 3, "", "Full")
	if n := s.runs("krog"); n != 3 {
		t.Errorf("got %d runs, want 3", n)
	}
	for _, p := range []peer{active, idle} {
		if n, err := p.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
			t.Errorf("at the end: read %d bytes and error %v, want EOF", n, err)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A shutdown signal while the link to the interpreter is down: the pending request is answered without waiting for the link, and
// the process ends before it would be stopped.
func TestShutdownWithoutInterpreter(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	faultProxy, err := faults.Listen(vm, false, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer faultProxy.Close()
	s, shutdown, done := startDrainable(t, faultProxy.Addr(), 4*time.Second)
	s.exitMargin = 2 * time.Second // ends before the module would answer, which a loaded machine may delay
	p := dial(t, s.Addrs()[0], append(newCall(1, "a"), newCall(2, "hold")...))
	p.expect(t, 1, "", "")
	for s.stats.Get("read", "msgpack", "krog") < 2 {
		time.Sleep(time.Millisecond)
	}
	faultProxy.Cut(true)
	for s.stats.Get("interpreter", "link_down") == 0 {
		time.Sleep(time.Millisecond)
	}
	shutdown()
	p.expect(t, 0, "lastCall", "")
	p.expect(t, 2, "", "Error")
	if n := s.stats.Get("backstop"); n != 1 {
		t.Errorf("backstop answered %d requests, want 1 (the pending one)", n)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", s.Addrs()[0].String()); err == nil {
		conn.Close()
		t.Error("the listening address is still open after Run returned")
	}
}
