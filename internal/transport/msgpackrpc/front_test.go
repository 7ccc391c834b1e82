package msgpackrpc

import (
	"bufio"
	"errors"
	"io"
	"log"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/testkit/pipes"
	"silverpath/internal/transport/listener"
)

// A balancer may reuse the message id of a cancelled request. The late answer to the cancelled request must not be written, since the
// balancer would take it for the answer to the second request.
func TestReusedNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := core.New(core.Config{Settings: silverpath.Settings{Cores: 1, MemoryKB: 1,
			Classes: []silverpath.Class{{Name: "x", Deadline: time.Second}}}, MemoryMB: 16})
		if err != nil {
			t.Fatal(err)
		}
		f, p := New(c, log.New(io.Discard, "", 0), &metrics.Counters{}), pipes.Listen()
		l := listener.New("test", p, 1, func() time.Duration { return 0 }, func(conn net.Conn, slot *listener.Slot) {
			fc := &frontConn{Front: f, conn: conn, slot: slot, pending: map[uint64]string{7: "second"}}
			fc.respond(7, "first", core.Answer{Outcome: core.Served, Body: []byte("first")})
			fc.respond(7, "second", core.Answer{Outcome: core.Served, Body: []byte("second")})
			fc.respond(7, "second", core.Answer{Outcome: core.Served, Body: []byte("third")})
		}, log.New(io.Discard, "", 0), &metrics.Counters{})
		go l.Serve()
		defer l.Close()
		r := bufio.NewReader(p.Dial())
		if a, err := ReadReply(r); err != nil || a.ID != 7 || string(a.Body) != "second" {
			t.Fatalf("answer: %+v, %v", a, err)
		}
		if _, err := ReadReply(r); !errors.Is(err, io.EOF) {
			t.Fatalf("read after the answer: %v, want io.EOF", err)
		}
	})
}
