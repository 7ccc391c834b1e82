package msgpackrpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"testing"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/transport/listener"
)

// A slow call does not delay later calls on its connection, and bodies may have MaxCallBody bytes. A longer body, or input that is not a
// call, closes the connection without a result and is counted as malformed.
func TestCalls(t *testing.T) {
	var c metrics.Counters
	release := make(chan struct{})
	f := NewCallServer("calls", &c, func(_ context.Context, call Call) func() CallResult {
		return func() CallResult {
			switch call.Method {
			case "slow":
				<-release
			case "wrong":
				return CallResult{Error: "Wrong", Fields: []string{"why", call.Fields["x"]}}
			}
			return CallResult{Body: call.Body}
		}
	})
	ln, err := listener.Listen("calls", "127.0.0.1:0", 8, func() time.Duration { return time.Minute }, f.Serve, log.New(io.Discard, "", 0), &c)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	defer ln.Close()
	conn, err := DialCalls(t.Context(), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	startCall := func(call Call) <-chan Reply {
		r, err := conn.Call(call)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	slow := startCall(Call{Method: "slow", Body: []byte("late")})
	long := strings.Repeat("x", MaxCallBody)
	if a := <-startCall(Call{Method: "echo", Body: []byte(long)}); string(a.Body) != long {
		t.Errorf("echo returned %d bytes, error %q", len(a.Body), a.Error)
	}
	if a := <-startCall(Call{Method: "wrong", Fields: map[string]string{"x": "because"}}); a.Error != "Wrong" || a.Fields["why"] != "because" {
		t.Errorf("reply to call \"wrong\": %+v", a)
	}
	close(release)
	if a := <-slow; string(a.Body) != "late" {
		t.Errorf("reply to call \"slow\": %+v", a)
	}
	if r, err := conn.Call(Call{Method: "echo", Body: append([]byte(long), 'x')}); err == nil { // the connection may break during the write
		if a, ok := <-r; ok {
			t.Errorf("call over the bound was answered: %+v", a)
		}
	}
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	raw.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(raw); len(b) > 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("read after an HTTP request: %q, %v", b, err)
	}
	for deadline := time.Now().Add(5 * time.Second); c.Get("malformed", "calls") < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d messages counted as malformed, want 2", c.Get("malformed", "calls"))
		}
	}
}

// ReadMessage returns the exact bytes of one message and reads nothing after it.
func TestReadMessage(t *testing.T) {
	first := AppendRequest(nil, 7, "krog", bytes.Repeat([]byte("b"), 300), "i", "x", "s", "1")
	second := AppendCancel(nil, 7)
	r := bufio.NewReader(bytes.NewReader(append(append([]byte{}, first...), second...)))
	for _, want := range [][]byte{first, second} {
		if got, err := ReadMessage(r, 1000); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("ReadMessage: %q, %v", got, err)
		}
	}
	if _, err := ReadMessage(r, 1000); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if _, err := ReadMessage(bufio.NewReader(bytes.NewReader(first)), 100); err == nil {
		t.Error("message over the bound was read")
	}
}

// Guards against a peer whose calls of ever new methods add counters without end.
func TestCountersOfCallsAreBounded(t *testing.T) {
	var c metrics.Counters
	s := NewCallServer("calls", &c, nil)
	for i := range 1000 {
		s.countCall(fmt.Sprint("method", i))
		s.countCall("method0")
	}
	if n := len(c.Snapshot()); n != maxCountedMethods+1 || c.Get("words", "calls", "method0") != 1001 || c.Get("words", "calls", "unknown") != 1000-maxCountedMethods {
		t.Errorf("%d counters: %v", n, c.Snapshot())
	}
}
