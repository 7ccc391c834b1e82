package faults

import (
	"context"
	"io"
	"log"
	"testing"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// What is said goes through; lost it goes nowhere, one way only; held it comes later; twice it comes twice; spoilt it comes with
// other digits; cut nobody gets through.
func TestBetween(t *testing.T) {
	got := make(chan string, 64)
	f := msgpackrpc.NewCallServer("words", &metrics.Counters{}, func(_ context.Context, w msgpackrpc.Call) func() msgpackrpc.CallResult {
		got <- string(w.Body)
		return func() msgpackrpc.CallResult { return msgpackrpc.CallResult{Body: w.Body} }
	})
	ln, err := listener.Listen("words", "127.0.0.1:0", 8, func() time.Duration { return time.Minute }, f.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	defer ln.Close()
	b, err := Listen(ln.Addr().String(), true, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	conn, err := msgpackrpc.DialCalls(t.Context(), b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	say := func(s string) <-chan msgpackrpc.Reply {
		r, err := conn.Call(msgpackrpc.Call{Method: "echo", Body: []byte(s)})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	comes := func(c <-chan msgpackrpc.Reply, want bool) {
		t.Helper()
		wait := 5 * time.Second
		if !want {
			wait = 100 * time.Millisecond
		}
		select {
		case _, ok := <-c:
			if !ok || !want {
				t.Errorf("a reply: %v, wanted %v", ok, want)
			}
		case <-time.After(wait):
			if want {
				t.Error("no reply")
			}
		}
	}
	comes(say("1"), true)
	<-got
	b.Set(Back, Fate{Lost: true})
	comes(say("2"), false)
	if s := <-got; s != "2" {
		t.Error(s)
	}
	b.Set(Back, Fate{})
	b.Set(There, Fate{Held: true})
	held := say("3")
	comes(held, false)
	b.Set(There, Fate{})
	comes(held, true)
	<-got
	b.Set(There, Fate{Lost: true, Of: "bad"})
	comes(say("good"), true)
	comes(say("a bad one"), false)
	if s := <-got; s != "good" {
		t.Error(s)
	}
	b.Set(There, Fate{Twice: 1})
	comes(say("4"), true)
	<-got
	if s := <-got; s != "4" {
		t.Error(s)
	}
	b.Set(There, Fate{Swap: 1})
	say("5")
	say("6")
	if x, y := <-got, <-got; x != "6" || y != "5" {
		t.Error(x, y)
	}
	b.Set(There, Fate{Spoil: "rate: "})
	say("rate: 9, rate: x, weight: 1")
	if s := <-got; s != "rate: 1, rate: x, weight: 1" {
		t.Error(s)
	}
	b.Cut(true)
	if r, err := conn.Call(msgpackrpc.Call{Method: "echo"}); err == nil {
		if _, ok := <-r; ok {
			t.Error("a reply over a cut connection")
		}
	}
}
