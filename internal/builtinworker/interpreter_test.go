package builtinworker

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fastjson"
)

// Up to the knee, runs do not slow each other down. Above it, total throughput falls. A change of shape takes effect at its time.
func TestMachine(t *testing.T) {
	m := NewMachine(4, Shape{Knee: 2, Thrash: 1, Speed: 1})
	m.Add(0, "a", time.Second)
	m.Add(0, "b", 2*time.Second)
	if at, found := m.NextEnd(); !found || at != time.Second {
		t.Fatalf("first end at %v, found %v, want 1s", at, found)
	}
	if ends := m.Advance(1500 * time.Millisecond); len(ends) != 1 || ends[0] != "a" {
		t.Fatalf("ends %v", ends)
	}
	m.SetShape(1500*time.Millisecond, Shape{Knee: 2, Thrash: 1, Speed: 0.1})
	if at, _ := m.NextEnd(); at.Round(time.Millisecond) != 6500*time.Millisecond {
		t.Fatalf("half a second of work on a machine ten times slower ends at %v, want 6.5s", at)
	}
	m = NewMachine(4, Shape{Knee: 2, Thrash: 1, Speed: 1})
	for i := range 4 { // twice the knee: total throughput is 1 instead of 2
		m.Add(0, fmt.Sprint(i), time.Second)
	}
	if ends := m.Advance(10 * time.Second); len(ends) != 4 {
		t.Fatalf("ends %v", ends)
	}
	if runs, busy := m.UsageIntegrals(); runs != 16 || busy != 16 {
		t.Errorf("%v runs and %v busy cores × seconds, want 4 runs for 4 s", runs, busy)
	}
}

// testConn is a service's end of a connection to the interpreter.
type testConn struct {
	net.Conn
	lines *bufio.Scanner
}

// dial connects to the interpreter as a service that has read all notices up to last.
func dial(t *testing.T, i *Interpreter, last int) testConn {
	t.Helper()
	conn, err := net.Dial("tcp", i.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(conn, `{"type":"CONNECT","n":%d}`+"\n", last)
	return testConn{conn, bufio.NewScanner(conn)}
}

// next reads one message of the interpreter.
func (l testConn) next(t *testing.T) *fastjson.Value {
	t.Helper()
	if !l.lines.Scan() {
		t.Fatalf("no notice: %v", l.lines.Err())
	}
	return fastjson.MustParse(l.lines.Text())
}

// A run is started once even if its command is repeated. The notice of its end has a number and the result. After a reconnection, the
// interpreter sends all notices after the last one that the service has read.
func TestInterpreter(t *testing.T) {
	i, err := Listen(Config{Listen: "127.0.0.1:0", Cores: 2, Shape: Shape{Knee: 2, Speed: 1}, RunFactor: 4, MemoryKB: 100,
		DefaultClass: Class{MinWork: time.Millisecond, MaxWork: time.Millisecond}, Audit: true})
	if err != nil {
		t.Fatal(err)
	}
	defer i.Close()
	l := dial(t, i, 0)
	if v := l.next(t); string(v.GetStringBytes("type")) != "BANNER" {
		t.Fatalf("%v", v)
	}
	i.Read("a", 10)
	apply := `{"type":"APPLY","job":"a","kind":"krog","data":"` + base64.StdEncoding.EncodeToString([]byte("body")) + `"}` + "\n"
	fmt.Fprint(l, apply, apply)
	v := l.next(t)
	result, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("data")))
	if v.GetInt("n") != 1 || string(v.GetStringBytes("state")) != "PASS" || string(result) != "krog: body #0.0" {
		t.Fatalf("%v", v)
	}
	fmt.Fprint(l, `{"type":"TOP","ref":"x"}`+"\n")
	if v = l.next(t); len(v.GetArray("gauges")) != 4 || string(v.GetStringBytes("ref")) != "x" {
		t.Fatalf("%v", v)
	}
	if n := i.Runs()["body"]; n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	reconnected := dial(t, i, 0)
	reconnected.next(t)
	if v := reconnected.next(t); v.GetInt("n") != 1 {
		t.Errorf("after a reconnection: notice %v, want number 1", v)
	}
	i.Release("a")
	if why, peak := i.Failure(); why != "" || peak > 0.41 || peak < 0.09 {
		t.Errorf("failure %q, peak memory %v", why, peak)
	}
	i.ScheduleFaults([]Fault{{Memory: 2, Knee: 0.5}})
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if why, _ := i.Failure(); strings.HasPrefix(why, "memory") && i.Knee() == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a machine with twice its memory in use has not failed")
		}
	}
}
