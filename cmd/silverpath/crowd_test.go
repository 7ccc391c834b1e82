package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/builtinworker"
	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/msgpackrpc"
)

// Idle clients fill the descriptors of a server while the announce service is down. Descriptors for the
// server's own needs stay available: it answers operators, reconnects to the interpreter, and sends reports
// once the announce service is back. It serves new clients that send a request, and does not disconnect one
// with an open request.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	const maxDescriptors = 96
	interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1},
		DefaultClass: builtinworker.Class{MinWork: 5 * time.Millisecond, MaxWork: 10 * time.Millisecond}, RunFactor: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer interpreter.Close()
	interpreterLink, err := faults.Listen(interpreter.Addr(), false, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer interpreterLink.Close()
	announceConn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	announce := announceConn.LocalAddr().String()
	announceConn.Close() // the announce service is down
	config, err := os.ReadFile(writeServerConfig(t, "n1", interpreterLink.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	addr, mgmtAddr := freeAddr(t), freeAddr(t)
	text := strings.NewReplacer(`"sockets":256`, fmt.Sprintf(`"sockets":%d`, maxDescriptors), `"listen":"127.0.0.1:0"`, `"listen":"`+addr+`","announce":"`+announce+`"`).Replace(string(config))
	p := startProgram(t, []string{"serve", "--config", writeFile(t, "n1.json", text)}, "LB_MGMT="+mgmtAddr)
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Await(20*time.Second, 0, "phase serving"); err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second))
		return c
	}
	ask := func(c net.Conn, id int, wait time.Duration) {
		c.Write(msgpackrpc.AppendRequest(nil, 1, "oddaja", []byte(strconv.Itoa(id)), "i", fmt.Sprintf("%016x", id), "k", strconv.Itoa(id),
			"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", strconv.FormatInt(wait.Milliseconds(), 10), "m", "1"))
	}
	served := func(c net.Conn) error {
		a, err := msgpackrpc.ReadReply(bufio.NewReader(c))
		if err == nil && a.Error != "" {
			err = fmt.Errorf("error reply %s", a.Error)
		}
		return err
	}
	// A request stays open: the interpreter link is cut, so the server does not receive the result of the
	// run.
	open := dial()
	interpreterLink.Cut(true)
	ask(open, 1, 20*time.Second)
	for i := range 3 * maxDescriptors { // half of the clients send one probe and stay idle, the others send nothing
		c := dial()
		if i%2 == 0 {
			c.Write(msgpackrpc.AppendProbe(nil, 1))
			if _, err := msgpackrpc.ReadReply(bufio.NewReader(c)); err != nil {
				t.Fatalf("client %d: %v", i, err)
			}
		}
	}
	if code, body := benchmarks.Call(mgmtAddr, "GET /api/ready"); code != 200 {
		t.Errorf("GET /api/ready: status %d, body %q", code, body)
	}
	logLine := p.LineCount()
	interpreterLink.Cut(false)
	if _, err := p.Await(20*time.Second, logLine, "interpreter link live again"); err != nil {
		t.Error(err)
	}
	if err := served(open); err != nil {
		t.Errorf("client with an open request: %v", err)
	}
	for id := range 5 {
		c := dial()
		ask(c, 100+id, 20*time.Second)
		if err := served(c); err != nil {
			t.Errorf("new client with a request: %v", err)
		}
	}
	if announceConn, err = net.ListenPacket("udp", announce); err != nil {
		t.Fatal(err)
	}
	defer announceConn.Close()
	_ = announceConn.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, 100)
	if n, _, err := announceConn.ReadFrom(b); err != nil || string(b[:n]) != "announce n1 true" {
		t.Errorf("announcement %q, error %v", b[:n], err)
	}
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	if err != nil || len(list) > maxDescriptors {
		t.Errorf("%d open descriptors, error %v", len(list), err)
	}
	if log := p.Log(); strings.Contains(log, "accepting:") {
		t.Errorf("out of descriptors:\n%s", log)
	}
}
