// Package service puts the parts together and leads them from start to exit.
package service

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/controlplane/command"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/storage/heartbeat"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/testkit/standin"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/interpreter"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/loadreport"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/restartlink"
	"silverpath/internal/transport/scgi"
	"silverpath/internal/transport/snmp"
	"silverpath/internal/transport/vault"
)

const (
	softMemoryRatio     = 0.6 // of the memory limit: at which the collector works harder rather than let the heap grow
	reservedDescriptors = 16  // descriptors for logs, listeners, the links and the runtime
	// exitMargin is how long before the process is stopped it has left. The module answers what is left 100 ms
	// before that time.
	exitMargin = 60 * time.Millisecond
	// drainServeRatio is the share of the drain window in which peers are served as before: see drain.
	drainServeRatio = 0.8
	// acceptGrace is how long new connections are still taken after peers were asked to leave.
	acceptGrace = 50 * time.Millisecond
	// idleCloseLead is for how long, before that, connections on which nothing is owed are ended one by one, so that who rests on
	// them sees their end and not a reset.
	idleCloseLead = 60 * time.Millisecond
	// settleInterval is for what may still be under way on the connections when everything read has been answered.
	settleInterval = 100 * time.Millisecond
	// A process that another one takes over from is killed so long after the longest deadline, which counts as no more
	// than maxReplacedDeadline.
	replacedGrace       = 700 * time.Millisecond
	maxReplacedDeadline = 3 * time.Second
	// addressRetryFor is for how long a start waits for addresses that are taken, so that it is ready within 10 s or says why not.
	addressRetryFor      = 8 * time.Second
	addressRetryInterval = 20 * time.Millisecond
)

// Hooks are put round parts of the service by whoever starts it. What is nil stays as it is.
type Hooks struct {
	WrapStore     func(core.Store) core.Store       // round the store, as the core asks it
	WrapHeartbeat func(may func() bool) func() bool // round whether signs of life last
}

// Service is one running service.
type Service struct {
	cfg               settings.Config
	hooks             Hooks
	log               *log.Logger
	stats             *metrics.Counters
	core              *core.Core
	listeners         []*listener.Listener
	tasks             []func(context.Context)
	snmpAgent         *snmp.Agent
	admin             *admin.Server           // nil: none
	interpreter       *interpreter.Link       // nil where an application server does the work
	vault             *vault.Client           // likewise
	router            *proxy.Runner           // nil but in a router
	commands          *command.Orders         // nil: it takes no orders of the fleet
	configWatch       *configwatch.Watcher    // nil: it acts on its own files alone
	store             *idempotencystore.Store // nil: what ran is forgotten with the process
	heartbeat         *heartbeat.Keeper       // nil: it leaves no signs of life
	settingsMu        sync.Mutex              // of what holds at present of cfg, and of these:
	classesGeneration int                     // times that the group's classes were taken up
	classesFromGroup  bool                    // the classes are the group's
	restartLink       *restartlink.Pair       // nil: no process takes over from this one
	listenerBudgets   []listenerBudget        // of the descriptors, by listener
	builtinWorker     *standin.Interpreter    // nil but in a start without a configuration
	loadReporter      *loadreport.Reporter    // reports nowhere while its address is empty
	exitMargin        time.Duration           // see there
	drainDelay        time.Duration           // from the notice to leave until peers are asked to leave too
	addressRetryUntil time.Time               // until then an address that is taken is tried again
	shutdown          <-chan struct{}         // the notice to leave, while the service opens; nil: none can come
}

// listenerBudget is a listener's part of the descriptors.
type listenerBudget struct {
	ln       *listener.Listener
	maxConns int
}

// drainDelay is how long peers are served as before once the service was told to leave: see drain.
func drainDelay(c settings.Config) time.Duration {
	return min(time.Duration(drainServeRatio*float64(c.Server.DrainGrace)), c.StopTimeout/2)
}

// New builds a service in its role and opens its addresses. What a role consists of stands in a file of its own: a
// server in server.go, a router in router.go. What all have in common are the steps here, in their order.
func New(cfg settings.Config, l *log.Logger) (*Service, error) {
	return openWithRetry(cfg, l, Hooks{}, 0, nil)
}

// openWithRetry is New with patience: an address that is taken, as by the process before this one, which has not ended yet, is tried
// again for so long, or until the notice to leave.
func openWithRetry(cfg settings.Config, l *log.Logger, parts Hooks, retryFor time.Duration, shutdown <-chan struct{}) (*Service, error) {
	s := &Service{cfg: cfg, hooks: parts, log: l, stats: &metrics.Counters{}, drainDelay: drainDelay(cfg), exitMargin: exitMargin, addressRetryUntil: time.Now().Add(retryFor), shutdown: shutdown}
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

// openCore makes the core, and the place beside another process of this service.
func (s *Service) openCore() (err error) {
	cfg := s.cfg
	var pairing *core.PairConfig
	if cfg.ListenFD > 0 {
		if s.restartLink, err = restartlink.Open(os.TempDir(), cfg.Name, s.log, s.stats); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		pairing = s.restartLink.Config(s.shareLimits)
	}
	s.core, err = core.New(core.Config{
		Pair: pairing,
		Name: cfg.Name, Settings: cfg.Server, MemoryMB: cfg.MemoryMB, Status: cfg.Edge.Status, Log: s.log, Stats: s.stats,
		Pools: poolsOf(cfg), Cell: cfg.Edge.Cell,
	})
	return err
}

// openFronts opens the clients' fronts.
func (s *Service) openFronts(b DescriptorBudget) error {
	cfg := s.cfg
	if cfg.Listen != "" {
		f := msgpackrpc.New(s.core, s.log, s.stats)
		if cfg.ListenFD > 0 {
			ln, err := listener.Inherited(cfg.ListenFD)
			if err != nil {
				return fmt.Errorf("LB_SOCKET_FD: %w", err)
			}
			inherited := listener.New(msgpackrpc.Name, ln, b.RPC, s.core.IdleAfter, f.Serve, s.log, s.stats)
			inherited.ShareSocket()
			s.addListener(inherited, b.RPC)
		} else if err := s.listen("listen", msgpackrpc.Name, cfg.Listen, b.RPC, f.Serve); err != nil {
			return err
		}
	}
	if cfg.SCGI.Listen == "" {
		return nil
	}
	f := scgi.New(s.core, cfg.SCGI, cfg.Seed, s.log, s.stats)
	return s.listen("scgi.listen", scgi.Name, cfg.SCGI.Listen, b.SCGI, f.Serve)
}

// openSNMP opens the SNMP agent.
func (s *Service) openSNMP() (err error) {
	if s.cfg.SNMP.Listen == "" {
		return nil
	}
	var control func(network, addr string, raw syscall.RawConn) error
	if s.restartLink != nil {
		control = listener.ReusePort
	}
	err = s.retryAddressInUse(func() (err error) {
		s.snmpAgent, err = snmp.Listen(s.cfg.SNMP.Listen, s.cfg.SNMP.Community, s.cfg.Name, s.core, s.log, s.stats, control)
		return err
	})
	if err != nil {
		return fmt.Errorf("snmp.listen: %w", err)
	}
	return nil
}

// openAdmin opens the operators' front.
func (s *Service) openAdmin() (err error) {
	if s.cfg.Admin == "" {
		return nil
	}
	err = s.retryAddressInUse(func() (err error) {
		s.admin, err = admin.Listen(s.cfg.Admin, admin.ConnectionLimit(s.cfg.Descriptors), s.core, s.log, s.stats)
		return err
	})
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	if s.commands != nil {
		s.admin.SetCommands(s.commands)
	}
	if s.store != nil {
		s.admin.SetSnapshots(s.store.Snapshot)
	}
	return nil
}

// startReporting makes the service known: to the announce service, and to another process of it.
func (s *Service) startReporting() error {
	s.loadReporter = loadreport.New(s.cfg.Announce, s.cfg.Name, s.core.Health, s.log)
	s.tasks = append(s.tasks, s.loadReporter.Run)
	if s.restartLink != nil {
		if err := s.restartLink.Begin(s.core); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		s.tasks = append(s.tasks, s.restartLink.Keep)
	}
	return nil
}

func (s *Service) listen(field, name, addr string, maxConns int, handle listener.Handler) error {
	var ln *listener.Listener
	err := s.retryAddressInUse(func() (err error) {
		if s.restartLink == nil {
			ln, err = listener.Listen(name, addr, maxConns, s.core.IdleAfter, handle, s.log, s.stats)
			return err
		}
		var open net.Listener
		if open, err = listener.ListenShared(addr); err == nil {
			ln = listener.New(name, open, maxConns, s.core.IdleAfter, handle, s.log, s.stats)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	s.addListener(ln, maxConns)
	return nil
}

// errShutdownBeforeOpen ends a start that was told to leave.
var errShutdownBeforeOpen = errors.New("told to leave before the service was open")

// retryAddressInUse opens an address, again and again while it is taken and there is time.
func (s *Service) retryAddressInUse(open func() error) error {
	for logged := false; ; logged = true {
		err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(s.addressRetryUntil) {
			return err
		}
		if !logged {
			events.Log(s.log, "listening.taken", time.Until(s.addressRetryUntil).Round(time.Second), err)
		}
		select {
		case <-s.shutdown:
			return errShutdownBeforeOpen
		case <-time.After(addressRetryInterval):
		}
	}
}

func (s *Service) addListener(ln *listener.Listener, maxConns int) {
	if r := s.cfg.Edge.Reserve; r != nil {
		ln.Reserve(*r)
	}
	s.listeners = append(s.listeners, ln)
	s.listenerBudgets = append(s.listenerBudgets, listenerBudget{ln, maxConns})
}

// shareLimits gives this process a half of the limits while there are two, and all of them otherwise. It is called under the
// core's lock.
func (s *Service) shareLimits(withPeer bool) {
	processes := 1
	if withPeer {
		processes = 2
	}
	debug.SetMemoryLimit(softMemoryLimit(s.cfg) / int64(processes))
	events.Log(s.log, "handover.shared", processes)
	for _, budget := range s.listenerBudgets {
		go budget.ln.SetMaxConnections(budget.maxConns / processes)
	}
}

// softMemoryLimit is at how many bytes the collector works harder rather than let the heap grow.
func softMemoryLimit(cfg settings.Config) int64 {
	return int64(cfg.MemoryMB * softMemoryRatio * (1 << 20))
}

// poolsOf are the pools that a configuration sets up, nil for none.
func poolsOf(cfg settings.Config) *admission.Config {
	if !cfg.Edge.PoolsOn() {
		return nil
	}
	return &cfg.Edge.Pools
}

// close gives up the addresses of a service that does not come to run.
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

// Addrs are the addresses listened on, in the order platform, SCGI, SNMP.
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

// Stats are the service's counters.
func (s *Service) Stats() *metrics.Counters { return s.stats }

// Run serves until a notice to leave comes on the channel, then drains. It returns when everything is answered
// and no peer is left, or when the process is about to be stopped.
func (s *Service) Run(shutdown <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.builtinWorker != nil {
		defer s.builtinWorker.Close()
	}
	for _, keep := range s.tasks {
		go keep(ctx)
	}
	for _, l := range s.listeners {
		go func() {
			if s.restartLink != nil { // what is accepted has to be read: not before this process may take requests
				select {
				case <-s.core.PairReady():
				case <-ctx.Done():
					return
				}
			}
			l.Serve()
		}()
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
		<-s.restartLink.Left() // before the last words: whoever takes over waits for nothing but this
	}
	return err
}
