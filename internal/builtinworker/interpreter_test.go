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

// A machine does what its shape says: up to the point of collapse runs don't hold each other up, past it each takes from
// all, and a change of shape holds from its time on.
func TestMachine(t *testing.T) {
	p := NewMachine(4, Shape{Knee: 2, Thrash: 1, Speed: 1})
	p.Add(0, "a", time.Second)
	p.Add(0, "b", 2*time.Second)
	if at, some := p.NextEnd(); !some || at != time.Second {
		t.Fatalf("the first end at %v, %v", at, some)
	}
	if ends := p.Advance(1500 * time.Millisecond); len(ends) != 1 || ends[0] != "a" {
		t.Fatalf("ends %v", ends)
	}
	p.Reshape(1500*time.Millisecond, Shape{Knee: 2, Thrash: 1, Speed: 0.1})
	if at, _ := p.NextEnd(); at.Round(time.Millisecond) != 6500*time.Millisecond {
		t.Fatalf("half a second of work ends at %v on a machine ten times slower", at)
	}
	p = NewMachine(4, Shape{Knee: 2, Thrash: 1, Speed: 1})
	for i := range 4 { // twice the point: half the throughput, of 2 it is 1
		p.Add(0, fmt.Sprint(i), time.Second)
	}
	if ends := p.Advance(10 * time.Second); len(ends) != 4 {
		t.Fatalf("ends %v", ends)
	}
	if runs, busy := p.Integrals(); runs != 16 || busy != 16 {
		t.Errorf("%v runs and %v busy cores × seconds, want 4 runs for 4 s", runs, busy)
	}
}

// link is a service's end of a link.
type link struct {
	net.Conn
	lines *bufio.Scanner
}

func dial(t *testing.T, i *Interpreter, last int) link {
	t.Helper()
	conn, err := net.Dial("tcp", i.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	fmt.Fprintf(conn, `{"type":"CONNECT","n":%d}`+"\n", last)
	return link{conn, bufio.NewScanner(conn)}
}

func (l link) next(t *testing.T) *fastjson.Value {
	t.Helper()
	if !l.lines.Scan() {
		t.Fatalf("no notice: %v", l.lines.Err())
	}
	return fastjson.MustParse(l.lines.Text())
}

// The interpreter speaks the protocol: a run is started once whatever is sent, its end has a number and the result, and a
// new link brings all notices after the last one read.
func TestInterpreter(t *testing.T) {
	i, err := Listen(Config{Listen: "127.0.0.1:0", Cores: 2, Shape: Shape{Knee: 2, Speed: 1}, RunFactor: 4, MemoryKB: 100,
		Other: Class{MinWork: time.Millisecond, MaxWork: time.Millisecond}, Audit: true})
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
		t.Errorf("run %d times", n)
	}
	again := dial(t, i, 0)
	again.next(t)
	if v := again.next(t); v.GetInt("n") != 1 {
		t.Errorf("on a new link %v", v)
	}
	i.Release("a")
	if why, most := i.Failure(); why != "" || most > 0.41 || most < 0.09 {
		t.Errorf("fell: %q, memory %v", why, most)
	}
	i.Play([]Fault{{Memory: 2, Knee: 0.5}})
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if why, _ := i.Failure(); strings.HasPrefix(why, "memory") && i.Knee() == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a machine whose memory is filled twice over does not fall")
		}
	}
}
