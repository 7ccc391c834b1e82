package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/transport/client"
	"silverpath/internal/transport/msgpackrpc"
)

// sharedService returns a service whose processes run this test binary and inherit one listening socket. It
// skips the test in short mode.
func sharedService(t *testing.T) *benchmarks.Shared {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return benchmarks.NewShared(t, exe, []string{"SILVERPATH_RUN=1"}, true)
}

// endLoad stops a load and fails the test for each violated invariant, and if fewer than 50 requests were
// served.
func endLoad(t *testing.T, l *benchmarks.KeyedLoad) {
	t.Helper()
	for _, violation := range l.End() {
		t.Error(violation)
	}
	if l.Served < 50 {
		t.Errorf("%d requests served, want at least 50", l.Served)
	}
}

// Two processes share one socket under a load of keyed requests. Repeated replacements in the platform's
// order close no connection without an answer. If a process is killed or stalls at any moment, no request
// runs twice, no attempt gets an answer that differs from the run's, and the service continues to serve.
func TestTakeover(t *testing.T) {
	for seed := range uint64(3) {
		for name, scenario := range map[string]func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand){
			"replaced three times": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				for range 3 {
					next := s.Start()
					next.AwaitReady(t)
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
					old.Leave(t)
					if text := next.Log(); strings.Contains(text, "not all known") || strings.Contains(text, "without a link") {
						t.Error(text)
					}
					old = next
				}
			},
			"the old one is killed": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				next := s.Start()
				if rng.IntN(2) == 0 {
					next.AwaitReady(t)
				}
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				old.Kill()
				next.AwaitReady(t)
			},
			"the new one is killed before it is ready": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				next := s.Start()
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
				next.Kill()
				old.AwaitReady(t)
			},
			"the new one is killed when it is ready": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				next := s.Start()
				next.AwaitReady(t)
				time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
				next.Kill()
				third := s.Start()
				third.AwaitReady(t)
				old.Leave(t)
			},
			"one stalls": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				next := s.Start()
				next.AwaitReady(t)
				stalled := []*benchmarks.Generation{old, next}[rng.IntN(2)]
				_ = stalled.Signal(syscall.SIGSTOP)
				time.Sleep(700 * time.Millisecond)
				_ = stalled.Signal(syscall.SIGCONT)
				time.Sleep(100 * time.Millisecond)
				old.Leave(t)
			},
			"a third starts while two live": func(t *testing.T, s *benchmarks.Shared, l *benchmarks.KeyedLoad, old *benchmarks.Generation, rng *rand.Rand) {
				next := s.Start()
				next.AwaitReady(t)
				third := s.Start()
				time.Sleep(200 * time.Millisecond)
				if code := third.Call("GET /api/ready"); code != 503 {
					t.Errorf("third process: readiness status %d, want 503", code)
				}
				old.Leave(t)
				third.AwaitReady(t)
				next.Leave(t)
			},
		} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				s := sharedService(t)
				old := s.Start()
				old.AwaitReady(t)
				l := s.Load(6, 3, 50*time.Millisecond, seed)
				time.Sleep(200 * time.Millisecond)
				scenario(t, s, l, old, rand.New(rand.NewPCG(seed, 7)))
				time.Sleep(200 * time.Millisecond)
				endLoad(t, l)
				if name == "replaced three times" && (l.Unanswered > 0 || l.Refused > l.Served/20) {
					t.Errorf("%d attempts without an answer, %d refused or failed, %d served", l.Unanswered, l.Refused, l.Served)
				}
				if left, _ := filepath.Glob(filepath.Join(s.Dir, "*.mark.*")); len(left) > 1 {
					t.Errorf("mark files are left: %v", left)
				}
			})
		}
	}
}

// Clients that stay idle, or stop in the middle of a request, fill the descriptors while the process is
// replaced. Each request that was read is answered, no other client's connection is closed without an answer,
// and both processes together stay within the limits of descriptors and memory.
func TestTakeoverInACrowd(t *testing.T) {
	s := sharedService(t)
	old := s.Start()
	old.AwaitReady(t)
	request := msgpackrpc.AppendRequest(nil, 1, "oddaja", make([]byte, 512), "i", "x", "k", "x", "s", "1", "d", "1000", "m", "1")
	stop := make(chan struct{})
	var idleClients sync.WaitGroup
	for c := range 400 {
		idleClients.Add(1)
		go func() {
			defer idleClients.Done()
			for {
				conn, err := net.DialTimeout("tcp", s.Addr, time.Second)
				if err == nil {
					conn.Write(request[:c%len(request)])
					conn.SetReadDeadline(time.Now().Add(2 * time.Second))
					_, _ = io.Copy(io.Discard, conn) // until the server closes the connection
					conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if n, _ := old.Usage(); n >= 100 {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the process has %d open descriptors, want at least 100 of idle clients", n)
		}
	}
	l := s.Load(4, 3, 50*time.Millisecond, 3)
	maxDescriptors, maxMemory := 0, 0
	sample := func(d time.Duration, generations ...*benchmarks.Generation) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			descriptors, memory := 0, 0
			for _, g := range generations {
				n, m := g.Usage()
				descriptors, memory = descriptors+n, memory+m
			}
			maxDescriptors, maxMemory = max(maxDescriptors, descriptors), max(maxMemory, memory)
		}
	}
	sample(500*time.Millisecond, old)
	oldAlone := maxDescriptors
	next := s.Start()
	sample(200*time.Millisecond, old, next)
	next.AwaitReady(t)
	sample(500*time.Millisecond, old, next)
	_ = old.Signal(syscall.SIGTERM)
	sample(300*time.Millisecond, old, next)
	old.Leave(t)
	sample(500*time.Millisecond, next)
	endLoad(t, l)
	close(stop)
	idleClients.Wait()
	t.Logf("descriptors: %d of the old process alone, at most %d of both; memory: at most %d MB; %d served, %d without an answer", oldAlone, maxDescriptors, maxMemory>>20, l.Served, l.Unanswered)
	if oldAlone < 100 || maxDescriptors > 256 || maxMemory > 64<<20 && !raceEnabled {
		t.Errorf("%d descriptors of 256, %d of the old process alone, %d MB of 64", maxDescriptors, oldAlone, maxMemory>>20)
	}
	if l.Unanswered > 0 {
		t.Errorf("%d attempts without an answer", l.Unanswered)
	}
}

// The SCGI front and the SNMP agent have the same addresses in both processes. After the older process has
// exited the newer one serves alone.
func TestTakeoverOfOtherFronts(t *testing.T) {
	s := sharedService(t)
	// Reserves the addresses: the sockets are bound with the option that both processes use, and do not
	// listen.
	var addrs []string
	for _, socketType := range []int{unix.SOCK_STREAM, unix.SOCK_DGRAM} {
		fd, err := unix.Socket(unix.AF_INET, socketType|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = unix.Close(fd) }()
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			t.Fatal(err)
		}
		at, err := unix.Getsockname(fd)
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port))
	}
	s.Edit = func(text string) string {
		return strings.Replace(text, `"settings"`, fmt.Sprintf(`"scgi":{"listen":%q},"snmp":{"listen":%q,"community":"x"},"settings"`,
			addrs[0], addrs[1]), 1)
	}
	old := s.Start()
	old.AwaitReady(t)
	next := s.Start()
	next.AwaitReady(t)
	for _, oldExits := range []bool{false, true} {
		if oldExits {
			old.Leave(t)
		}
		for range 8 {
			if r, err := client.Do(client.SCGI, addrs[0], client.Request{Class: "krog", Body: []byte("x"), Timeout: 4 * time.Second}); err != nil || r.Outcome != "served" {
				t.Fatalf("older process has exited: %v: reply %+v, error %v", oldExits, r, err)
			}
		}
	}
	if !strings.Contains(next.Log(), "snmp: listening on "+addrs[1]) {
		t.Error(next.Log())
	}
}

// A process that leaves without a successor on a held socket accepts late connections and refuses their
// requests. If it only closed its own descriptor, the socket would still accept connections and the clients
// would wait.
func TestLeaveOnHeldSocket(t *testing.T) {
	s := sharedService(t)
	s.Edit = func(text string) string { // exits after 3.7 s and starts no runs after 1.8 s
		return strings.Replace(text, `"stop_ms":1000`, `"stop_ms":3700`, 1)
	}
	g := s.Start()
	g.AwaitReady(t)
	_ = g.Signal(syscall.SIGTERM)
	for !strings.Contains(g.Log(), "phase draining") {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2100 * time.Millisecond) // after the drain window of 2 s, and 1.3 s before the process stops accepting
	l := s.Load(0, 1, 1, 1)
	began := time.Now()
	l.SendAttempt("late", "1")
	if l.Unanswered+l.Served > 0 || time.Since(began) > 400*time.Millisecond || s.Runs()["late"] > 0 {
		t.Errorf("%d without an answer, %d served, answered after %v", l.Unanswered, l.Served, time.Since(began))
	}
	g.Leave(t)
}

// Reloads invalid files of many kinds by SIGHUP under load. Each is rejected with one log line, changes
// nothing and loses no request. A valid file is applied afterwards.
func TestBadFilesUnderLoad(t *testing.T) {
	s := sharedService(t)
	g := s.Start()
	g.AwaitReady(t)
	data, err := os.ReadFile(g.File)
	if err != nil {
		t.Fatal(err)
	}
	good := string(data)
	bad := benchmarks.WithoutEachKey(good)
	if len(bad) < 25 {
		t.Fatalf("%d variants with a missing key, want at least 25", len(bad))
	}
	for i := 0; i < len(good)-2; i += 1 + len(good)/12 {
		bad[fmt.Sprint("cut at ", i)] = good[:i]
	}
	for _, value := range []string{"0", "-1", `"4400000"`, "null", "true", "[]", "1e99"} {
		bad["a deadline of "+value] = strings.Replace(good, `"deadline":4400000`, `"deadline":`+value, 1)
	}
	l := s.Load(8, 3, 50*time.Millisecond, 1)
	reload := func(text, line string, n int) {
		t.Helper()
		if err := os.WriteFile(g.File+".next", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(g.File+".next", g.File); err != nil {
			t.Fatal(err)
		}
		_ = g.Signal(syscall.SIGHUP)
		for deadline := time.Now().Add(20 * time.Second); strings.Count(g.Log(), line) < n; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%q is not logged %d times:\n%s", line, n, g.Log())
			}
		}
	}
	n := 0
	for variant, text := range bad {
		if text == good {
			t.Fatalf("%s: the variant equals the valid file", variant)
		}
		n++
		reload(text, "reload: the old configuration holds: ", n)
		time.Sleep(20 * time.Millisecond)
	}
	if strings.Contains(g.Log(), "reload: done") || strings.Contains(g.Log(), "taken up") {
		t.Errorf("an invalid file was applied:\n%s", g.Log())
	}
	reload(strings.Replace(good, `"worth":3`, `"worth":4`, 1), "reload: done", 1)
	endLoad(t, l)
	if l.Unanswered > 0 {
		t.Errorf("%d attempts without an answer", l.Unanswered)
	}
	g.Leave(t)
}
