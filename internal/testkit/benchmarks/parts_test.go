package benchmarks

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// A proxy counts the bytes of each direction, and closing it closes its connections.
func TestPipeCounts(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		b := make([]byte, 5)
		_, _ = io.ReadFull(c, b)
		c.Write([]byte("answer, longer"))
		_, _ = io.ReadFull(c, b)
	}()
	var in, out atomic.Int64
	p, err := newCountingProxy(ln.Addr().String(), &in, &out)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", p.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("asked"))
	b := make([]byte, 14)
	if _, err := io.ReadFull(c, b); err != nil || string(b) != "answer, longer" {
		t.Fatalf("read through the proxy: %q, %v", b, err)
	}
	if in.Load() != 14 || out.Load() != 5 {
		t.Errorf("counted %d bytes in and %d out, want 14 and 5", in.Load(), out.Load())
	}
	p.close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Read(b); err == nil {
		t.Error("the connection survived closing the proxy")
	}
}

// costOf skips a process that was restarted between the readings and returns the highest use of the others.
func TestCostOf(t *testing.T) {
	at := time.Now()
	use := func(pid int, cpu time.Duration, mb float64, at time.Time) processUsage {
		return processUsage{usage{cpu: cpu, resident: mb, at: at}, pid}
	}
	was := []processUsage{use(1, 0, 9, at), use(2, 0, 9, at), use(3, 0, 9, at)}
	now := []processUsage{use(1, time.Second, 7, at.Add(10*time.Second)), use(2, 2*time.Second, 8, at.Add(10*time.Second)), use(4, 9*time.Second, 99, at.Add(10*time.Second))}
	if c := costOf(was, now); c.CPU != 0.2 || c.Resident != 8 {
		t.Errorf("cost %+v, want CPU 0.2 and Resident 8", c)
	}
}
