package service

import (
	"io"
	"log"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"

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
	s, err := New(cfg, l)
	if err != nil {
		return err
	}
	for _, ln := range s.listeners {
		l.Printf("%s: listening on %v", ln.Name(), ln.Addr())
	}
	if s.agent != nil {
		l.Printf("snmp: listening on %v", s.agent.Addr())
	}
	if s.mgmt != nil {
		l.Printf("%s: listening on %v", mgmt.Name, s.mgmt.Addr())
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
					l.Printf("reload: the old configuration holds: %v", err)
				}
			case !left:
				l.Printf("told to leave: %v", sig)
				left = true
				close(leave)
			}
		}
	}()
	err = s.Run(leave)
	s.stats.Print(out)
	l.Printf("exit")
	return err
}
