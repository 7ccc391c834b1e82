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
	Name      string
	IP        string // loopback address to listen on
	Settings  silverpath.Settings
	MemoryMB  float64
	Sockets   int  // maximum number of connections
	Cold      bool // the server begins in slow start
	Echo      bool // runs end at once with the request's body as their result; if false, they end at once as failed
	Group     *quorum.Client
	Docs      []string         // the group's documents to follow; ignored if Group is nil
	OnApplied func(doc string) // called after a new version of a document is applied; may be nil
}

// Server is a server of a cell without an interpreter. Its health checks, slow start and documents are handled by the service's own code.
type Server struct {
	Traffic
	Stats metrics.Counters
	Addr  string
	core  *core.Core
	front *listener.Listener
	tasks *taskGroup
	group *quorum.Client
}

// NewServer starts a server. It returns an error if the settings are invalid, the address can't be listened on, or the process
// can't follow one of the documents.
func NewServer(cfg ServerConfig) (*Server, error) {
	s := &Server{tasks: newTaskGroup(), group: cfg.Group}
	logger := discardLog()
	var err error
	s.core, err = core.New(core.Config{Name: cfg.Name, Settings: cfg.Settings, MemoryMB: cfg.MemoryMB, Cell: true, Log: logger, Stats: &s.Stats})
	if err != nil {
		return nil, err
	}
	if err := s.core.Attach(noopRunner{s.core, cfg.Echo}, nil); err != nil {
		return nil, err
	}
	ln, err := listen(cfg.IP, &s.Traffic)
	if err != nil {
		s.stopCore()
		return nil, err
	}
	s.Addr = ln.Addr().String()
	s.front = listener.New(msgpackrpc.Name, ln, cfg.Sockets, s.core.IdleAfter, msgpackrpc.New(s.core, logger, &s.Stats).Serve, logger, &s.Stats)
	s.tasks.wg.Go(s.front.Serve)
	if cfg.Group != nil {
		watcher, err := newWatcher(FollowerConfig{Name: cfg.Name, Group: cfg.Group, Docs: cfg.Docs, Site: cfg.Settings, OnApplied: cfg.OnApplied}, s.core.Reconfigure, nil, nil, &s.Stats)
		if err != nil {
			s.Close()
			return nil, err
		}
		s.core.SetBlockRule(watcher.StopReasonFor)
		s.tasks.start(watcher.Run)
	}
	s.core.Started(cfg.Cold, 0)
	s.core.RunnerReady()
	return s, nil
}

// Core returns the server's core.
func (s *Server) Core() *core.Core { return s.core }

// stopCore begins and ends the core's draining phase at once, so that the core rejects later requests.
func (s *Server) stopCore() {
	s.core.Drain(0)
	s.core.Stop()
}

// Close stops the server and waits until all its goroutines have ended.
func (s *Server) Close() {
	s.stopCore()
	s.front.Close()
	s.front.EndConnections(closeTimeout)
	s.tasks.stop()
	if s.group != nil {
		s.group.Close()
	}
}

const closeTimeout = 100 * time.Millisecond // for connections to end when a server closes

// noopRunner is a core.Runner that does no work: each run ends at once, successfully with the request's body if echo is set, else as failed.
type noopRunner struct {
	core *core.Core
	echo bool
}

func (n noopRunner) Run(id, _ string, body []byte) {
	if n.echo {
		go n.core.RunEnded(id, silverpath.OK, 0, body)
		return
	}
	go n.core.RunEnded(id, silverpath.Failed, 0, nil)
}

func (noopRunner) Resume(string, []byte) {}

func (n noopRunner) Probe() { n.core.Gauges(silverpath.Gauges{}) }

// Site parses the text of a configuration, in the format of the service's configuration file.
func Site(text string) (settings.Config, error) { return settings.ParseConfig([]byte(text), "", "") }
