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

// Signals are those that a process hears. The notices to leave have a channel of their own, so that none is lost behind
// whatever else comes.
type Signals struct{ Shutdown, Others chan os.Signal }

// NotifySignals has the process hear its signals, from before its start on.
func NotifySignals() Signals {
	s := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}
	signal.Notify(s.Shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Others, syscall.SIGHUP, syscall.SIGUSR1)
	return s
}

// Main runs a service in this process: its limits, its signals and its last words. Load reads the configuration
// at the start and again at every SIGHUP. A notice to leave holds at every moment, also before the service is open.
func Main(load func() (settings.Config, error), signals Signals, out io.Writer, parts Hooks) error {
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
		events.Log(l, "leaving", <-signals.Shutdown)
		close(shutdown)
	}()
	s, err := openWithRetry(cfg, l, parts, addressRetryFor, shutdown)
	if errors.Is(err, errShutdownBeforeOpen) {
		events.Log(l, "exit")
		return nil
	}
	if err != nil {
		return err
	}
	for _, ln := range s.listeners {
		events.Log(l, "listening", ln.Name(), ln.Addr())
	}
	if s.snmpAgent != nil {
		events.Log(l, "listening", "snmp", s.snmpAgent.Addr())
	}
	if s.admin != nil {
		events.Log(l, "listening", admin.Name, s.admin.Addr())
	}
	go func() { // likewise
		for sig := range signals.Others {
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
				events.Log(l, "reload.bad", err)
			}
		}
	}()
	err = s.Run(shutdown)
	s.stats.Print(out)
	events.Log(l, "exit")
	return err
}
