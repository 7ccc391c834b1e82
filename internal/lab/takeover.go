package lab

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/ask"
	"silverpath/internal/standin"
)

// Takeover measures a service that is replaced under keyed load: by a process that starts beside the old one on the
// listening socket that both inherit, and, for comparison, by one that is started on the address once the old one has left.
func Takeover(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println("\n| replaced | times | tries | not answered | refused or failed | p50 ms | p99 ms | longest ms | p99 ms while two live | ready after ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for range 2 {
		for _, beside := range []bool{false, true} {
			takeover(b, bin, beside)
		}
	}
}

func takeover(b *testing.B, bin string, beside bool) {
	const (
		times = 5
		every = 3 * time.Second
		rate  = 150.0
	)
	dir, name := b.TempDir(), "started anew"
	machine := func() *standin.Interpreter {
		m, err := standin.Listen(standin.Config{Listen: "127.0.0.1:0", Cores: 6, Shape: standin.Shape{Knee: 6, Thrash: 1, Speed: 1},
			Other: standin.Class{Least: 10 * time.Millisecond, Most: 20 * time.Millisecond}, MemoryKB: 1 << 18, RunFactor: 4, Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(m.Close)
		return m
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := ln.Addr().String()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	ln.Close()
	if !beside {
		socket.Close()
	}
	generation := 0
	start := func() *Process {
		generation++
		file := filepath.Join(dir, fmt.Sprintf("%d.json", generation))
		text := strings.Replace(Site{Cores: 6, MemoryKB: 1 << 18, ProcMB: 192, Sockets: 1024}.config(machine().Addr()),
			`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, addr), 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		p := &Process{read: make(chan struct{}), cmd: exec.Command(bin, "serve", "--config", file)}
		p.cmd.Env = append(os.Environ(), "TMPDIR="+dir)
		if beside {
			p.cmd.Env = append(p.cmd.Env, "LB_SOCKET_FD=3")
			p.cmd.ExtraFiles = []*os.File{socket}
		}
		p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		errs, err := p.cmd.StderrPipe()
		if err == nil {
			err = p.cmd.Start()
		}
		if err != nil {
			b.Fatal(err)
		}
		up := make(chan bool, 1)
		go p.follow(errs, up)
		if !<-up {
			b.Fatalf("the service did not come up:\n%s", p.Log())
		}
		return p
	}
	leave := func(p *Process) {
		p.cmd.Process.Signal(syscall.SIGTERM)
		<-p.read
		p.cmd.Wait()
	}
	if beside {
		name = "beside the old one"
	}

	old := start()
	var mu sync.Mutex
	all, two := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	pair, unheard, turned := false, 0, 0
	var load sync.WaitGroup
	load.Go(func() {
		flood(rate, times*every+2*time.Second, 24, func(worker int) string {
			began := time.Now()
			mu.Lock()
			inPair := pair
			mu.Unlock()
			outcome := "unheard"
			key := fmt.Sprintf("%d-%d", worker, began.UnixNano())
			r, err := ask.Once(ask.Platform, addr, ask.Request{Class: "oddaja", Key: key, Body: []byte(key), Wait: 2 * time.Second})
			if err == nil {
				outcome = r.Outcome
			}
			took := time.Since(began).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			all.RecordValue(took)
			if inPair {
				two.RecordValue(took)
			}
			switch outcome {
			case "unheard":
				unheard++
			case "served":
			default:
				turned++
			}
			return outcome
		}, "served")
	})
	ready := time.Duration(0)
	for range times {
		time.Sleep(every - time.Second)
		began := time.Now()
		if !beside {
			leave(old)
			old = start()
			ready += time.Since(began)
			time.Sleep(time.Until(began.Add(time.Second)))
			continue
		}
		next := start()
		ready += time.Since(began)
		mu.Lock()
		pair = true
		mu.Unlock()
		time.Sleep(time.Until(began.Add(time.Second)))
		mu.Lock()
		pair = false
		mu.Unlock()
		leave(old)
		old = next
	}
	load.Wait()
	leave(old)
	ms := func(h *hdrhistogram.Histogram, q float64) string {
		if h.TotalCount() == 0 {
			return ""
		}
		return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(q))/1000)
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %s | %s | %s | %s | %d |\n", name, times, all.TotalCount(), unheard, turned, ms(all, 50),
		ms(all, 99), ms(all, 100), ms(two, 99), ready.Milliseconds()/times)
	b.ReportMetric(float64(unheard), "unheard-"+strings.ReplaceAll(name, " ", "-"))
}
