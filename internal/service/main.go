package service

import (
	"errors"
	"io"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"silverpath/internal/events"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
)

// Signals holds the channels on which a process receives its signals. Shutdown signals have a channel of their own, so that a
// reload that blocks can't delay them.
type Signals struct {
	Shutdown chan os.Signal // SIGTERM, SIGINT
	Others   chan os.Signal // SIGHUP: reload; SIGUSR1: print the counters
}

// NotifySignals starts the delivery of signals to the returned channels. It is called first in the process, so that a signal that
// arrives during the start is not lost.
func NotifySignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}
	signal.Notify(s.Shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Others, syscall.SIGHUP, syscall.SIGUSR1)
	return s
}

// Main runs a service in this process until a shutdown signal, which also interrupts a start that waits for its addresses. Main
// calls load to read the configuration at the start and at each SIGHUP, and writes the log to out. It returns an error of load, of
// opening the service, or of Run, as a single line.
func Main(load func() (settings.Config, error), signals Signals, out io.Writer, hooks Hooks) error {
	cfg, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(softMemoryLimit(cfg))
	l := log.New(out, "", log.Lmicroseconds|log.LUTC)
	if cfg.JSONLog {
		l = log.New(events.NewJSONWriter(out, cfg.Name), "", 0)
	}
	shutdown := make(chan struct{})
	go func() { // ends after the first shutdown signal; later ones are ignored
		events.Log(l, "shutdown", <-signals.Shutdown)
		close(shutdown)
	}()
	s, err := openWithRetry(cfg, l, hooks, addressRetryFor, shutdown)
	if errors.Is(err, errShutdownBeforeOpen) {
		events.Log(l, "exit")
		return nil
	}
	if err != nil {
		return err
	}
	s.logAddresses()
	go s.handleSignals(signals.Others, load, out) // runs until the process exits
	err = s.Run(shutdown)
	s.stats.Print(out)
	events.Log(l, "exit")
	return err
}

// logAddresses logs the address of each open front.
func (s *Service) logAddresses() {
	for _, ln := range s.listeners {
		events.Log(s.log, "listening", ln.Name(), ln.Addr())
	}
	if s.snmpAgent != nil {
		events.Log(s.log, "listening", "snmp", s.snmpAgent.Addr())
	}
	if s.admin != nil {
		events.Log(s.log, "listening", admin.Name, s.admin.Addr())
	}
}

// handleSignals reloads the configuration on SIGHUP and prints the counters on SIGUSR1. If a reload fails, the current
// configuration stays in effect.
func (s *Service) handleSignals(signals <-chan os.Signal, load func() (settings.Config, error), out io.Writer) {
	for sig := range signals {
		if sig == syscall.SIGUSR1 {
			s.stats.Print(out)
			continue
		}
		cfg, err := load()
		if err == nil {
			err = s.Reload(cfg)
		}
		if err != nil {
			s.stats.Inc("reloads", "bad")
			events.Log(s.log, "reload.bad", err)
		}
	}
}
