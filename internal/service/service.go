// Package service runs one process of the program as a server or a router. It builds and connects the components of that role,
// serves until the shutdown signal, and drains. Request handling and policy are in the packages core, proxy and policy; this
// package decides which components exist, the order in which they open and close, and how the process's memory and file
// descriptors are divided among them.
//
// Main (main.go) reads the configuration and handles signals. New (service.go) opens the components step by step (open.go), with
// those of a server in server.go and those of a router in router.go. Run serves, and drain (drain.go) shuts down. Reload
// (reload.go) applies a changed configuration; configwatch.go applies the documents of a group.
package service

import (
	"context"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/controlplane/command"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/recovery"
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

// Hooks let tests wrap components of the service, for example to inject faults. A nil hook leaves its component unwrapped.
type Hooks struct {
	// WrapStore wraps the store of idempotency keys that the core uses.
	WrapStore func(core.Store) core.Store
	// WrapHeartbeat wraps the check that the heartbeat on disk is still valid. Idempotent requests start only while it is.
	WrapHeartbeat func(valid func() bool) func() bool
}

// Service is the service of one process. New opens it; Run serves and is called once.
type Service struct {
	cfg   settings.Config
	hooks Hooks
	log   *log.Logger
	stats *metrics.Counters
	core  *core.Core
	tasks []func(context.Context) // background tasks: Run starts them and cancels their context when it returns

	// Fronts. The SNMP agent and the admin API are nil if no address is configured for them.
	listeners       []*listener.Listener
	listenerBudgets []listenerBudget // same order as listeners
	bodies          *admission.BodyBudget
	snmpAgent       *snmp.Agent
	admin           *admin.Server

	// Back ends. A server uses the link to the interpreter, and the vault if one is configured; both are nil if an SCGI application
	// server handles the requests. A router uses the proxy.
	interpreter   *interpreter.Link
	vault         *vault.Client
	router        *proxy.Runner
	builtinWorker *builtinworker.Interpreter // set only if the process was started without a configuration

	// Each of these is nil unless the edge file configures it; restartLink is nil unless the process inherits its socket.
	commands    *command.Executor                    // executes fenced commands
	configWatch *configwatch.Watcher                 // applies the documents of a group
	store       *idempotencystore.Store              // keeps idempotency keys across restarts
	heartbeat   *heartbeat.Heartbeats                // writes the heartbeat on disk
	unknownRuns atomic.Pointer[recovery.UnknownRuns] // set with heartbeat; see unknownRunsRemaining
	restartLink *restartlink.Link                    // link to the predecessor or the successor of a hot restart

	loadReporter *loadreport.Reporter // sends no reports while its address is empty

	openedAt         time.Time                     // zero of clock
	settingsMu       sync.Mutex                    // guards cfg, which reloads and documents change, and the two fields below
	windows          configstore.WindowTransitions // idempotency windows of the classes, and of earlier settings
	classesFromGroup bool                          // the classes come from the group's document instead of the settings file

	exitMargin time.Duration // the constant exitMargin; tests change it
	drainDelay time.Duration // the result of the function drainDelay; tests shorten it

	// Used only while the service opens.
	addressRetryUntil time.Time       // end of the retries of an address in use
	shutdown          <-chan struct{} // closed at the shutdown signal; nil if the start can't be interrupted
}

// New builds a server or a router and opens its addresses. An error names the configuration field that caused it; before New
// returns an error, it closes the listeners, the store and the built-in worker that it has opened. After New succeeds, the caller
// must call Run.
func New(cfg settings.Config, l *log.Logger) (*Service, error) {
	return openWithRetry(cfg, l, Hooks{}, 0, nil)
}

// openWithRetry is like New, but retries an address in use for retryFor. If shutdown is closed during the retries, it returns
// errShutdownBeforeOpen.
func openWithRetry(cfg settings.Config, l *log.Logger, hooks Hooks, retryFor time.Duration, shutdown <-chan struct{}) (*Service, error) {
	s := &Service{
		cfg: cfg, hooks: hooks, log: l, stats: &metrics.Counters{}, exitMargin: exitMargin, drainDelay: drainDelay(cfg),
		addressRetryUntil: time.Now().Add(retryFor), shutdown: shutdown, openedAt: time.Now(), bodies: admission.NewBodyBudget(bodyMemory(cfg)),
	}
	s.windows = s.windows.Change(0, classWindows(cfg.Server.Classes))
	build := s.buildServer
	if cfg.Edge.Router != nil {
		build = s.buildRouter
	}
	b := descriptorBudget(cfg)
	for _, step := range []func() error{
		s.openCore,
		func() error { return build(b) },
		s.keepStoredWindows,
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

// close releases the components opened so far by a start that failed.
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

// Addrs returns the addresses of the MessagePack-RPC front, the SCGI front and the SNMP agent, in this order. Disabled ones are
// omitted.
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

// Run serves until shutdown is closed, then drains. It returns once every request is answered and every connection is closed, or
// exitMargin before the platform stops the process. The error gives the number of requests that were left unanswered. Run is
// called once.
func (s *Service) Run(shutdown <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.builtinWorker != nil {
		defer s.builtinWorker.Close()
	}
	for _, run := range s.tasks {
		go run(ctx) // a task returns when ctx is cancelled; Run does not wait for it
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
		<-s.restartLink.Released() // before Main writes its last log lines, since a replacement process waits only for this slot
	}
	return err
}

// serve accepts connections on l until l is closed. If another process shares the socket, serve first waits until this process
// may take requests, because this process must serve every connection that it accepts.
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
