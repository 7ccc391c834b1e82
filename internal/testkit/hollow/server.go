package hollow

import (
	"time"

	"silverpath"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/settings"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// ServerConfig sets up a Server.
type ServerConfig struct {
	Name     string
	IP       string // of the loopback range
	Settings silverpath.Settings
	MemoryMB float64
	Sockets  int  // connections at most
	Cold     bool // in its slow start as it begins
	Echo     bool // it answers requests, each with its own body, at once
	Group    *quorum.Client
	Docs     []string // of the group; it follows none without one
	Took     func(doc string)
}

// Server is a server of a cell without an interpreter: its health checks, slow start and documents are those of the real one.
type Server struct {
	Traffic
	Stats metrics.Counters
	Addr  string
	core  *core.Core
	front *listener.Listener
	run   *running
	group *quorum.Client
}

// NewServer starts one.
func NewServer(cfg ServerConfig) (*Server, error) {
	s := &Server{run: run(), group: cfg.Group}
	l := silent()
	var err error
	s.core, err = core.New(core.Config{Name: cfg.Name, Settings: cfg.Settings, MemoryMB: cfg.MemoryMB, Cell: true, Log: l, Stats: &s.Stats})
	if err != nil {
		return nil, err
	}
	if err := s.core.Attach(nothing{s.core, cfg.Echo}, nil); err != nil {
		return nil, err
	}
	ln, err := listen(cfg.IP, &s.Traffic)
	if err != nil {
		s.end()
		return nil, err
	}
	s.Addr = ln.Addr().String()
	s.front = listener.New(msgpackrpc.Name, ln, cfg.Sockets, s.core.IdleAfter, msgpackrpc.New(s.core, l, &s.Stats).Serve, l, &s.Stats)
	s.run.all.Go(s.front.Serve)
	if cfg.Group != nil {
		f, err := newFollower(FollowerConfig{Name: cfg.Name, Group: cfg.Group, Docs: cfg.Docs, Site: cfg.Settings, OnApplied: cfg.Took}, s.core.Reconfigure, nil, nil, &s.Stats)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.core.SetBlockRule(f.StopReasonFor)
		s.run.keep(f.Run)
	}
	s.core.Started(cfg.Cold, 0)
	s.core.RunnerReady()
	return s, nil
}

// Core is the server's own.
func (s *Server) Core() *core.Core { return s.core }

// end has the core take nothing more, and its clock stop.
func (s *Server) end() {
	s.core.Drain(0)
	s.core.Stop()
}

// Close ends it and waits until nothing of it runs.
func (s *Server) Close() {
	s.end()
	s.front.Close()
	s.front.EndConnections(endWithin)
	s.run.end()
	if s.group != nil {
		s.group.Close()
	}
}

const endWithin = 100 * time.Millisecond

// nothing is a Runner that does no work.
type nothing struct {
	core *core.Core
	echo bool
}

func (n nothing) Run(id, _ string, body []byte) {
	if n.echo {
		go n.core.RunEnded(id, silverpath.OK, 0, body)
		return
	}
	go n.core.RunEnded(id, silverpath.Failed, 0, nil)
}

func (nothing) Resume(string, []byte) {}

func (n nothing) Probe() { n.core.Gauges(silverpath.Gauges{}) }

// Site reads the settings that a hollow process has from a configuration's text, as the real one's file.
func Site(text string) (settings.Config, error) { return settings.ParseConfig([]byte(text), "", "") }
