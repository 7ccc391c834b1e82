package service

import (
	"errors"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/settings"
)

// startMain runs Main with the given load function. It returns the channels for its signals, its log, and a channel with its result.
func startMain(t *testing.T, load func() (settings.Config, error)) (Signals, *logBuffer, <-chan error) {
	t.Helper()
	limit, procs := debug.SetMemoryLimit(-1), runtime.GOMAXPROCS(0)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		runtime.GOMAXPROCS(procs)
	})
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &logBuffer{}, make(chan error, 1)
	go func() { done <- Main(load, signals, out, Hooks{}) }()
	return signals, out, done
}

// occupyAddress returns a listener that occupies a loopback address.
func occupyAddress(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A start whose addresses are still held by the previous process waits for each of them in turn, and then serves.
func TestStartsOnceAddressesAreFree(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	first, second, third := occupyAddress(t), occupyAddress(t), occupyAddress(t)
	cfg := config(vm)
	cfg.StopTimeout = time.Second
	cfg.Listen, cfg.SCGI.Listen, cfg.Admin = first.Addr().String(), second.Addr().String(), third.Addr().String()
	signals, out, done := startMain(t, func() (settings.Config, error) { return cfg, nil })
	for _, ln := range []net.Listener{first, second, third} {
		out.await(t, "an address is taken, tried again for ")
		out.await(t, "listen tcp "+ln.Addr().String())
		ln.Close()
	}
	out.await(t, "phase serving")
	signals.Shutdown <- syscall.SIGTERM
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A shutdown signal interrupts a start that waits for its addresses.
func TestShutdownDuringStart(t *testing.T) {
	cfg := config("127.0.0.1:1")
	cfg.Listen = occupyAddress(t).Addr().String()
	signals, out, done := startMain(t, func() (settings.Config, error) { return cfg, nil })
	out.await(t, "an address is taken")
	signals.Shutdown <- syscall.SIGTERM
	if err := <-done; err != nil || !strings.Contains(out.contents(), "told to leave: terminated") || strings.Contains(out.contents(), "listening on") {
		t.Fatalf("Main returned %v, log:\n%s", err, out.contents())
	}
}

// A reload that blocks, with more reloads queued behind it, does not delay the shutdown signal. A second shutdown signal has no
// effect, and a reload during the drain is applied.
func TestShutdownDuringReload(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	cfg := config(vm)
	cfg.StopTimeout = 5 * time.Second
	cfg.Server.DrainGrace = time.Second
	loadResults, loadStarted := make(chan error), make(chan bool, 20)
	started := false
	signals, out, done := startMain(t, func() (settings.Config, error) {
		if !started {
			started = true
			return cfg, nil
		}
		loadStarted <- true
		return cfg, <-loadResults
	})
	out.await(t, "phase serving")
	for range 9 {
		signals.Others <- syscall.SIGHUP
	}
	<-loadStarted // the first reload blocks, the others fill the signal channel
	signals.Shutdown <- syscall.SIGTERM
	out.await(t, "phase draining")
	signals.Shutdown <- syscall.SIGTERM
	loadResults <- errors.New("load failed")
	out.await(t, "the old configuration holds: load failed")
	<-loadStarted
	loadResults <- nil
	out.await(t, "reload: done")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.contents(), "told to leave"); n != 1 {
		t.Errorf("shutdown was logged %d times, want once", n)
	}
}

// contents returns the log written so far.
func (o *logBuffer) contents() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
