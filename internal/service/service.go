// Package service is one process of the program, a server or a router: it builds the parts of its role, connects them, serves
// until the notice to leave and drains. What decides stands below it in core, proxy and policy; here is only which parts there
// are, in which order they open and close, and how the process's memory and descriptors are shared out among them.
//
// The way through the package: Main (main.go) reads the configuration and hears the signals; New (service.go) opens the parts
// step by step (open.go), those of a server (server.go) or a router (router.go); Run serves; drain (drain.go) ends it. A reload
// is Reload (reload.go); documents of a group come in by configwatch.go.
package service

import (
	"context"
	"log"
	"net"
	"sync"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/controlplane/command"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/storage/heartbeat"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/interpreter"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/loadreport"
	"silverpath/internal/transport/restartlink"
	"silverpath/internal/transport/snmp"
	"silverpath/internal/transport/vault"
)

// Hooks wrap parts of the service for whoever starts it: tests put faults between the parts by them. A nil hook wraps nothing.
type Hooks struct {
	// WrapStore wraps the store of idempotency keys, as the core calls it.
	WrapStore func(core.Store) core.Store
	// WrapHeartbeat wraps the check whether the heartbeat on disk still lasts, which gates the start of idempotent requests.
	WrapHeartbeat func(lasts func() bool) func() bool
}

// Service is one process's service, open or running. New makes it, Run runs it once.
type Service struct {
	cfg   settings.Config
	hooks Hooks
	log   *log.Logger
	stats *metrics.Counters
	core  *core.Core
	tasks []func(context.Context) // run beside the listeners, from Run until it ends

	// The fronts. The SNMP agent and the admin API are nil where no address is set for them.
	listeners       []*listener.Listener
	listenerBudgets []listenerBudget // in the order of listeners
	snmpAgent       *snmp.Agent
	admin           *admin.Server

	// What does the work: in a server the interpreter's link with the vault below, which are nil where an SCGI application server
	// does it; in a router the proxy.
	interpreter   *interpreter.Link
	vault         *vault.Client
	router        *proxy.Runner
	builtinWorker *builtinworker.Interpreter // nil but in a start without a configuration

	// Each is nil where the edge file does not set it up, the last where the process shares no socket.
	commands    *command.Executor       // takes the fleet's commands
	configWatch *configwatch.Watcher    // acts on a group's documents
	store       *idempotencystore.Store // keeps idempotency keys over a restart
	heartbeat   *heartbeat.Heartbeats   // leaves a heartbeat on disk
	restartLink *restartlink.Link       // to the process that this one replaces, or that replaces it

	loadReporter *loadreport.Reporter // reports nowhere while its address is empty

	settingsMu        sync.Mutex // guards cfg, which a reload or a document changes, and the two fields below
	classesGeneration int        // how often classes of the group were applied
	classesFromGroup  bool       // the group's document sets the classes, not the file

	exitMargin time.Duration // see the constant; shorter in tests
	drainDelay time.Duration // see the function; shorter in tests

	// While the service opens:
	addressRetryUntil time.Time       // until then an address in use is tried again
	shutdown          <-chan struct{} // closed at the notice to leave; nil: none can come
}

// New builds a service in its role and opens its addresses. An error names the field of the configuration that it came of, and
// leaves nothing open. New is called once, by Main or a test; Run must follow.
func New(cfg settings.Config, l *log.Logger) (*Service, error) {
	return openWithRetry(cfg, l, Hooks{}, 0, nil)
}

// openWithRetry is New for a process: an address in use is tried again for retryFor, or until shutdown is closed.
func openWithRetry(cfg settings.Config, l *log.Logger, hooks Hooks, retryFor time.Duration, shutdown <-chan struct{}) (*Service, error) {
	s := &Service{
		cfg: cfg, hooks: hooks, log: l, stats: &metrics.Counters{}, exitMargin: exitMargin, drainDelay: drainDelay(cfg),
		addressRetryUntil: time.Now().Add(retryFor), shutdown: shutdown,
	}
	build := s.buildServer
	if cfg.Edge.Router != nil {
		build = s.buildRouter
	}
	b := descriptorBudget(cfg)
	for _, step := range []func() error{
		s.openCore,
		func() error { return build(b) },
		func() error { return s.openFronts(b) },
		s.openSNMP,
		s.openAdmin,
		s.startReporting,
	} {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// close closes what a start has opened that failed later on.
func (s *Service) close() {
	for _, l := range s.listeners {
		l.Close()
	}
	if s.snmpAgent != nil {
		s.snmpAgent.Close()
	}
	if s.admin != nil {
		s.admin.Close()
	}
	if s.builtinWorker != nil {
		s.builtinWorker.Close()
	}
	if s.store != nil {
		s.store.Abandon()
	}
}

// Addrs returns the addresses listened on, in the order MessagePack-RPC, SCGI, SNMP; those that are off are left out.
func (s *Service) Addrs() []net.Addr {
	var list []net.Addr
	for _, l := range s.listeners {
		list = append(list, l.Addr())
	}
	if s.snmpAgent != nil {
		list = append(list, s.snmpAgent.Addr())
	}
	return list
}

// Stats returns the service's counters.
func (s *Service) Stats() *metrics.Counters { return s.stats }

// Run serves until shutdown is closed, then drains. It returns once everything is answered and no peer is left, or exitMargin
// before the process is stopped; the error says how many requests had no answer then. It is called once.
func (s *Service) Run(shutdown <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.builtinWorker != nil {
		defer s.builtinWorker.Close()
	}
	for _, run := range s.tasks {
		go run(ctx) // each ends with ctx, at the latest with the process
	}
	for _, l := range s.listeners {
		go s.serve(ctx, l)
	}
	if s.snmpAgent != nil {
		go s.snmpAgent.Serve()
		defer s.snmpAgent.Close()
	}
	if s.admin != nil {
		go s.admin.Serve()
		defer s.admin.Close()
	}
	<-shutdown
	err := s.drain()
	cancel()
	if s.store != nil {
		s.store.Close()
	}
	if s.restartLink != nil {
		<-s.restartLink.Released() // before the last log lines: the process that replaces this one waits for nothing else
	}
	return err
}

// serve accepts a front's connections until its listener closes. Where another process shares the socket, what is accepted has
// to be read, so that nothing is accepted before this process may take requests.
func (s *Service) serve(ctx context.Context, l *listener.Listener) {
	if s.restartLink != nil {
		select {
		case <-s.core.PairReady():
		case <-ctx.Done():
			return
		}
	}
	l.Serve()
}
