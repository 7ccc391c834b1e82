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

// A proxy without faults forwards messages. Lost messages are dropped in one direction only, held ones arrive later, duplicated
// ones arrive twice, swapped ones arrive in reverse order, corrupted ones with other digits, and none arrives over a cut connection.
func TestBetween(t *testing.T) {
	received := make(chan string, 64)
	server := msgpackrpc.NewCallServer("test", &metrics.Counters{}, func(_ context.Context, call msgpackrpc.Call) func() msgpackrpc.CallResult {
		received <- string(call.Body)
		return func() msgpackrpc.CallResult { return msgpackrpc.CallResult{Body: call.Body} }
	})
	ln, err := listener.Listen("test", "127.0.0.1:0", 8, func() time.Duration { return time.Minute }, server.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	defer ln.Close()
	proxy, err := Listen(ln.Addr().String(), true, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	conn, err := msgpackrpc.DialCalls(t.Context(), proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	send := func(s string) <-chan msgpackrpc.Reply {
		replies, err := conn.Call(msgpackrpc.Call{Method: "echo", Body: []byte(s)})
		if err != nil {
			t.Fatal(err)
		}
		return replies
	}
	expectReply := func(c <-chan msgpackrpc.Reply, want bool) {
		t.Helper()
		wait := 5 * time.Second
		if !want {
			wait = 100 * time.Millisecond
		}
		select {
		case _, ok := <-c:
			if !ok || !want {
				t.Errorf("reply received: %v, want %v", ok, want)
			}
		case <-time.After(wait):
			if want {
				t.Error("no reply within 5 s")
			}
		}
	}
	expectReply(send("1"), true)
	<-received
	proxy.SetFault(ToClient, Fault{Drop: true})
	expectReply(send("2"), false)
	if s := <-received; s != "2" {
		t.Error(s)
	}
	proxy.SetFault(ToClient, Fault{})
	proxy.SetFault(ToListener, Fault{Hold: true})
	held := send("3")
	expectReply(held, false)
	proxy.SetFault(ToListener, Fault{})
	expectReply(held, true)
	<-received
	proxy.SetFault(ToListener, Fault{Drop: true, Match: "bad"})
	expectReply(send("good"), true)
	expectReply(send("a bad one"), false)
	if s := <-received; s != "good" {
		t.Error(s)
	}
	proxy.SetFault(ToListener, Fault{Duplicate: 1})
	expectReply(send("4"), true)
	<-received
	if s := <-received; s != "4" {
		t.Error(s)
	}
	proxy.SetFault(ToListener, Fault{Reorder: 1})
	send("5")
	send("6")
	if x, y := <-received, <-received; x != "6" || y != "5" {
		t.Error(x, y)
	}
	proxy.SetFault(ToListener, Fault{CorruptAfter: "rate: "})
	send("rate: 9, rate: x, weight: 1")
	if s := <-received; s != "rate: 1, rate: x, weight: 1" {
		t.Error(s)
	}
	proxy.Cut(true)
	if r, err := conn.Call(msgpackrpc.Call{Method: "echo"}); err == nil {
		if _, ok := <-r; ok {
			t.Error("got a reply over a cut connection")
		}
	}
}
