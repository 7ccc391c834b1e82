package service

import (
	"io"
	"log"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

	"silverpath/internal/events"
	"silverpath/internal/mgmt"
	"silverpath/internal/settings"
)

// Main runs a service in this process: its limits, its signals and its last words. Load reads the configuration
// at the start and again at every SIGHUP.
func Main(load func() (settings.Config, error), signals <-chan os.Signal, out io.Writer) error {
	cfg, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(heapLimit(cfg))
	l := log.New(out, "", log.Lmicroseconds|log.LUTC)
	if cfg.JSONLog {
		l = log.New(events.NewMachine(out, cfg.Name), "", 0)
	}
	s, err := New(cfg, l)
	if err != nil {
		return err
	}
	for _, ln := range s.listeners {
		events.Say(l, "listening", ln.Name(), ln.Addr())
	}
	if s.agent != nil {
		events.Say(l, "listening", "snmp", s.agent.Addr())
	}
	if s.mgmt != nil {
		events.Say(l, "listening", mgmt.Name, s.mgmt.Addr())
	}
	leave := make(chan struct{})
	go func() {
		left := false
		for sig := range signals {
			switch {
			case sig == syscall.SIGUSR1:
				s.stats.Print(out)
			case sig == syscall.SIGHUP:
				cfg, err := load()
				if err == nil {
					err = s.Reload(cfg)
				}
				if err != nil {
					s.stats.Inc("reloads", "bad")
					events.Say(l, "reload.bad", err)
				}
			case !left:
				events.Say(l, "leaving", sig)
				left = true
				close(leave)
			}
		}
	}()
	err = s.Run(leave)
	s.stats.Print(out)
	events.Say(l, "exit")
	return err
}
