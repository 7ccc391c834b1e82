package msgpackrpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/testkit/pipes"
	"silverpath/internal/transport/listener"
)

// worker is a stand-in runner that reports started runs on a channel. The test ends them.
type worker struct {
	*core.Core
	runs chan string
}

func (w worker) Run(id, _ string, _ []byte) { w.runs <- id }
func (w worker) Resume(string, []byte)      {}
func (w worker) Probe()                     { w.Gauges(silverpath.Gauges{}) }

// startFront starts a core and its front on a listener with at most maxConns connections.
func startFront(t *testing.T, ln net.Listener, maxConns int) (worker, *listener.Listener, *metrics.Counters) {
	t.Helper()
	counters, logger := &metrics.Counters{}, log.New(io.Discard, "", 0)
	c, err := core.New(core.Config{Settings: silverpath.Settings{Cores: 4, MemoryKB: 10000, MaxRunsPerCore: 8, RunsWindow: time.Second,
		Classes: []silverpath.Class{{Name: "x", Objective: 20 * time.Second, Deadline: 30 * time.Second, Weight: 1}}}, MemoryMB: 16, Log: logger, Stats: counters})
	if err != nil {
		t.Fatal(err)
	}
	w := worker{c, make(chan string, 100)}
	if err := c.Attach(w, nil); err != nil {
		t.Fatal(err)
	}
	c.RunnerReady()
	l := listener.New(Name, ln, maxConns, func() time.Duration { return 0 }, New(c, logger, counters).Serve, logger, counters)
	go l.Serve()
	return w, l, counters
}

func encodeRequest(id uint64) []byte {
	return AppendRequest(nil, id, "x", []byte("body"), "i", fmt.Sprintf("%016x", id), "s", fmt.Sprint(time.Now().UnixMilli()), "d", "30000", "m", "1")
}

// Input after a complete request must not affect its answer. The input is an incomplete message that stalls or is cut off by the end of
// the stream, or a malformed message with more data after it. The answer must arrive and the connection must end without a reset.
func TestHalfMessageCostsNobody(t *testing.T) {
	incomplete := encodeRequest(2)[:20]
	garbage := []byte("\xc1" + strings.Repeat("x", 30000))
	t.Run("over loopback", func(t *testing.T) {
		for name, extra := range map[string][]byte{"incomplete, then the end": incomplete, "garbage": garbage} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			w, l, counters := startFront(t, ln, 10)
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			conn.Write(append(encodeRequest(1), extra...))
			if name != "garbage" {
				conn.(*net.TCPConn).CloseWrite()
			}
			id := <-w.runs
			for counters.Get("malformed", Name) == 0 { // until the front has read it
				time.Sleep(time.Millisecond)
			}
			w.RunEnded(id, silverpath.OK, 0, []byte("done"))
			r := bufio.NewReader(conn)
			if a, err := ReadReply(r); err != nil || a.ID != 1 || string(a.Body) != "done" {
				t.Errorf("%s: %+v, %v", name, a, err)
			}
			if _, err := ReadReply(r); !errors.Is(err, io.EOF) {
				t.Errorf("%s: read after the answer: %v, want io.EOF", name, err)
			}
			conn.Close()
			l.Close()
			w.Stop()
		}
	})
	t.Run("in simulated time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			p := pipes.Listen()
			w, l, counters := startFront(t, p, 10)
			conn := p.Dial()
			go conn.Write(append(encodeRequest(1), incomplete...)) // the rest is never sent
			id := <-w.runs
			time.Sleep(2 * listener.MessageTimeout)
			if n := counters.Get("too_slow", Name); n != 1 {
				t.Errorf("%d connections counted as too slow, want 1", n)
			}
			go w.RunEnded(id, silverpath.OK, 0, []byte("done"))
			if a, err := ReadReply(bufio.NewReader(conn)); err != nil || a.ID != 1 || string(a.Body) != "done" {
				t.Errorf("answer to the complete request: %+v, %v", a, err)
			}
			conn.Close()
			l.Close()
			w.Stop()
			time.Sleep(time.Minute)
		})
	})
}

// A connection is not idle while an answer is being written: a new connection waits for a slot instead of evicting it.
func TestAnswerBeingWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		w, l, _ := startFront(t, p, 1)
		conn := p.Dial()
		go conn.Write(encodeRequest(1))
		id := <-w.runs
		w.RunEnded(id, silverpath.OK, 0, []byte("done"))
		synctest.Wait() // the answer is being written: a write to a pipe blocks until it is read
		next := p.Dial()
		go next.Write(encodeRequest(2))
		time.Sleep(writeTimeout / 2)
		if n := len(w.runs); n != 0 {
			t.Fatal("request of the new connection ran before a slot was free")
		}
		if a, err := ReadReply(bufio.NewReader(conn)); err != nil || string(a.Body) != "done" {
			t.Fatalf("answer was cut off: %+v, %v", a, err)
		}
		w.RunEnded(<-w.runs, silverpath.OK, 0, []byte("then"))
		if a, err := ReadReply(bufio.NewReader(next)); err != nil || string(a.Body) != "then" {
			t.Fatalf("answer on the new connection: %+v, %v", a, err)
		}
		conn.Close()
		next.Close()
		l.Close()
		w.Stop()
		time.Sleep(time.Minute)
	})
}

// On a connection flooded with requests, those beyond maxInFlightServed are rejected at once and leave no state behind. The accepted
// requests are answered.
func TestFloodOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		w, l, counters := startFront(t, p, 10)
		conn := p.Dial()
		const sent = 500
		go func() {
			for id := range uint64(sent) {
				conn.Write(encodeRequest(id + 1))
			}
		}()
		answers := make(chan Reply, sent)
		go func() {
			for r := bufio.NewReader(conn); ; {
				a, err := ReadReply(r)
				if err != nil {
					return
				}
				answers <- a
			}
		}()
		startedAt := time.Now()
		synctest.Wait()
		if n := counters.Get("turned_away", Name, "too_many_open"); n == 0 || time.Since(startedAt) > 0 {
			t.Errorf("%d requests rejected after %v, want some at once", n, time.Since(startedAt))
		}
		for n := 0; n < sent; {
			select {
			case id := <-w.runs:
				w.RunEnded(id, silverpath.OK, 0, nil)
			case <-answers:
				n++
			}
		}
		time.Sleep(time.Second) // until the core has updated its view
		if v := w.View(); v.PendingAnswers != 0 || v.InProgress != 0 {
			t.Errorf("state left behind: %+v", v)
		}
		conn.Close()
		l.Close()
		w.Stop()
		time.Sleep(time.Minute)
	})
}

// Bytes that were read together with the previous message no longer show as unread on the socket. The connection must still not count as
// idle: evicting it would lose the request that these bytes begin.
func TestReadAheadIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		w, l, _ := startFront(t, p, 10)
		conn, encoded := p.Dial(), encodeRequest(2)
		go conn.Write(append(AppendProbe(nil, 1), encoded[:20]...))
		r := bufio.NewReader(conn)
		if a, err := ReadReply(r); err != nil || !a.Healthy {
			t.Fatalf("answer to the probe: %+v, %v", a, err)
		}
		l.EndConnections(100 * time.Millisecond) // closes idle connections
		go conn.Write(encoded[20:])
		synctest.Wait()
		select {
		case id := <-w.runs:
			w.RunEnded(id, silverpath.OK, 0, []byte("done"))
		default:
			t.Error("request that was read ahead in part was not run")
		}
		if a, err := ReadReply(r); err != nil || string(a.Body) != "done" {
			t.Errorf("answer to the request: %+v, %v", a, err)
		}
		conn.Close()
		l.Close()
		w.Stop()
		time.Sleep(time.Minute)
	})
}

// The pooled buffer of an answer must not be reused until its write has returned. Answers written to other connections meanwhile use other
// buffers.
func TestBufferOfAnAnswerBeingWritten(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // sync.Pool keeps buffers per processor
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		w, l, _ := startFront(t, p, 10)
		var conns []net.Conn
		for id, body := range []string{"first", "other", "third"} {
			conn := p.Dial()
			conns = append(conns, conn)
			go conn.Write(encodeRequest(uint64(id + 1)))
			w.RunEnded(<-w.runs, silverpath.OK, 0, []byte(body))
			synctest.Wait() // the answer is being written: a write to a pipe blocks until it is read
		}
		for id, want := range []string{"first", "other", "third"} {
			if a, err := ReadReply(bufio.NewReader(conns[id])); err != nil || a.ID != uint64(id+1) || string(a.Body) != want {
				t.Errorf("answer on connection %d: %+v, %v", id+1, a, err)
			}
			conns[id].Close()
		}
		l.Close()
		w.Stop()
		time.Sleep(time.Minute)
	})
}

// Guards against requests that run after their balancer has closed the connection in order. The close alone doesn't show that it has left, as
// it may still read; the first answer that can't be written does. The requests that are queued by then are dropped.
func TestFailedWriteDropsTheRequestsOfTheConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	w, _, counters := startFront(t, ln, 10)
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	const requests = 60
	var b []byte
	for id := range uint64(requests) {
		b = append(b, encodeRequest(id+1)...)
	}
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	running := startedRuns(w)
	r := bufio.NewReader(conn)
	for range requests - w.PendingAnswers() { // rejections; a close with unread answers would be a reset
		if _, err := ReadReply(r); err != nil {
			t.Fatal(err)
		}
	}
	conn.Close()
	end := func() {
		w.RunEnded(running[0], silverpath.OK, time.Millisecond, []byte("done"))
		running = append(running[1:], startedRuns(w)...)
	}
	for counters.Get("write_failed", Name) == 0 {
		if len(running) == 0 {
			t.Fatal("no write of an answer has failed")
		}
		end()
	}
	for began := len(running); began > 0; began-- {
		end()
	}
	if len(running) > 0 || counters.Get("answered", Name, "x", "gone") == 0 {
		t.Errorf("%d requests ran after a write had failed", len(running))
	}
}

// startedRuns returns the runs that begin until none does for a while.
func startedRuns(w worker) (ids []string) {
	for {
		select {
		case id := <-w.runs:
			ids = append(ids, id)
		case <-time.After(100 * time.Millisecond):
			return ids
		}
	}
}
