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

// Signals are the channels of a process's signals. The notices to leave have one of their own, so that none is lost behind a
// reload that does not end.
type Signals struct {
	Shutdown chan os.Signal // SIGTERM, SIGINT
	Others   chan os.Signal // SIGHUP: reload; SIGUSR1: print the counters
}

// NotifySignals has the process hear its signals. It is called before anything else, so that a signal during the start counts.
func NotifySignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}
	signal.Notify(s.Shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Others, syscall.SIGHUP, syscall.SIGUSR1)
	return s
}

// Main runs a service in this process until the notice to leave, which holds at every moment, also before the service is open.
// Load reads the configuration, at the start and again at each SIGHUP; the log goes to out. The error is one line, of load, of New
// or of Run.
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
	go func() { // ends with the process; a second notice changes nothing
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
	s.logAddrs()
	go s.handleSignals(signals.Others, load, out) // ends with the process
	err = s.Run(shutdown)
	s.stats.Print(out)
	events.Log(l, "exit")
	return err
}

// logAddrs logs every address that is listened on.
func (s *Service) logAddrs() {
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

// handleSignals reloads at SIGHUP and prints the counters at SIGUSR1. A configuration that is no good leaves the old one in force.
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
