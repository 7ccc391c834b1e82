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

// program runs Main with the given configuration. It returns what is told to it, its log, and its end.
func program(t *testing.T, load func() (settings.Config, error)) (Signals, *output, <-chan error) {
	t.Helper()
	limit, procs := debug.SetMemoryLimit(-1), runtime.GOMAXPROCS(0)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		runtime.GOMAXPROCS(procs)
	})
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &output{}, make(chan error, 1)
	go func() { done <- Main(load, signals, out, Hooks{}) }()
	return signals, out, done
}

func taken(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// A process whose addresses the one before it still has waits for them, one after the other, and then serves.
func TestStartsOnceAddressesAreFree(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	first, second, third := taken(t), taken(t), taken(t)
	cfg := config(vm)
	cfg.StopTimeout = time.Second
	cfg.Listen, cfg.SCGI.Listen, cfg.Admin = first.Addr().String(), second.Addr().String(), third.Addr().String()
	signals, out, done := program(t, func() (settings.Config, error) { return cfg, nil })
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

// The notice to leave holds while a start waits for its addresses.
func TestShutdownDuringStart(t *testing.T) {
	cfg := config("127.0.0.1:1")
	cfg.Listen = taken(t).Addr().String()
	signals, out, done := program(t, func() (settings.Config, error) { return cfg, nil })
	out.await(t, "an address is taken")
	signals.Shutdown <- syscall.SIGTERM
	if err := <-done; err != nil || !strings.Contains(out.said(), "told to leave: terminated") || strings.Contains(out.said(), "listening on") {
		t.Fatalf("%v:\n%s", err, out.said())
	}
}

// A reload that does not end, and others that wait behind it, hold no notice to leave back. A second notice changes nothing,
// and a reload in a drain is taken up.
func TestShutdownDuringReload(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	cfg := config(vm)
	cfg.StopTimeout = 5 * time.Second
	cfg.Server.DrainGrace = time.Second
	loads, going := make(chan error), make(chan bool, 20)
	begun := false
	signals, out, done := program(t, func() (settings.Config, error) {
		if !begun {
			begun = true
			return cfg, nil
		}
		going <- true
		return cfg, <-loads
	})
	out.await(t, "phase serving")
	for range 9 {
		signals.Others <- syscall.SIGHUP
	}
	<-going // the first reload does not end, the others fill what there is for signals
	signals.Shutdown <- syscall.SIGTERM
	out.await(t, "phase draining")
	signals.Shutdown <- syscall.SIGTERM
	loads <- errors.New("too late")
	out.await(t, "the old configuration holds: too late")
	<-going
	loads <- nil
	out.await(t, "reload: done")
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.said(), "told to leave"); n != 1 {
		t.Errorf("told to leave %d times", n)
	}
}

func (o *output) said() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
