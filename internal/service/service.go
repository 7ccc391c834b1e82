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
	heapShare = 0.6 // of the memory limit: at which the collector works harder rather than let the heap grow
	spareFDs  = 16  // descriptors for logs, listeners, the links and the runtime
	// exitBefore is how long before the process is stopped it has left. The module answers what is left 100 ms
	// before that time.
	exitBefore = 60 * time.Millisecond
	// serveOn is the share of the drain window in which peers are served as before: see drain.
	serveOn = 0.8
	// listenOn is how long new connections are still taken after peers were asked to leave.
	listenOn = 50 * time.Millisecond
	// endFor is for how long, before that, connections on which nothing is owed are ended one by one, so that who rests on
	// them sees their end and not a reset.
	endFor = 60 * time.Millisecond
	// settle is for what may still be under way on the connections when everything read has been answered.
	settle = 100 * time.Millisecond
	// A process that another one takes over from is killed so long after the longest deadline, which counts as no more
	// than mostReplaced.
	replacedGrace = 700 * time.Millisecond
	mostReplaced  = 3 * time.Second
	// mostTaken is for how long a start waits for addresses that are taken, so that it is ready within 10 s or says why not.
	mostTaken  = 8 * time.Second
	takenRetry = 20 * time.Millisecond
)

// Parts are put round parts of the service by whoever starts it. What is nil stays as it is.
type Parts struct {
	Keeper func(core.Store) core.Store       // round the store, as the core asks it
	Signs  func(may func() bool) func() bool // round whether signs of life last
}

// Service is one running service.
type Service struct {
	cfg        settings.Config
	parts      Parts
	log        *log.Logger
	stats      *metrics.Counters
	core       *core.Core
	listeners  []*listener.Listener
	keep       []func(context.Context)
	agent      *snmp.Agent
	mgmt       *admin.Server           // nil: none
	link       *interpreter.Link       // nil where an application server does the work
	below      *vault.Client           // likewise
	fleet      *proxy.Runner           // nil but in a router
	orders     *command.Orders         // nil: it takes no orders of the fleet
	follow     *configwatch.Watcher    // nil: it acts on its own files alone
	store      *idempotencystore.Store // nil: what ran is forgotten with the process
	life       *heartbeat.Keeper       // nil: it leaves no signs of life
	tuning     sync.Mutex              // of what holds at present of cfg, and of these:
	classes    int                     // times that the group's classes were taken up
	agreed     bool                    // the classes are the group's
	pair       *restartlink.Pair       // nil: no process takes over from this one
	shares     []share                 // of the descriptors, by listener
	worker     *standin.Interpreter    // nil but in a start without a configuration
	reporter   *loadreport.Reporter    // reports nowhere while its address is empty
	exitBefore time.Duration           // see there
	lead       time.Duration           // from the notice to leave until peers are asked to leave too
	tries      time.Time               // until then an address that is taken is tried again
	leave      <-chan struct{}         // the notice to leave, while the service opens; nil: none can come
}

// share is a listener's part of the descriptors.
type share struct {
	ln   *listener.Listener
	most int
}

// lead is how long peers are served as before once the service was told to leave: see drain.
func lead(c settings.Config) time.Duration {
	return min(time.Duration(serveOn*float64(c.Server.DrainGrace)), c.Stop/2)
}

// New builds a service in its role and opens its addresses. What a role consists of stands in a file of its own: a
// server in server.go, a router in router.go. What all have in common are the steps here, in their order.
func New(cfg settings.Config, l *log.Logger) (*Service, error) { return open(cfg, l, Parts{}, 0, nil) }

// open is New with patience: an address that is taken, as by the process before this one, which has not ended yet, is tried
// again for so long, or until the notice to leave.
func open(cfg settings.Config, l *log.Logger, parts Parts, patience time.Duration, leave <-chan struct{}) (*Service, error) {
	s := &Service{cfg: cfg, parts: parts, log: l, stats: &metrics.Counters{}, lead: lead(cfg), exitBefore: exitBefore, tries: time.Now().Add(patience), leave: leave}
	build := s.asServer
	if cfg.Edge.Fleet != nil {
		build = s.asRouter
	}
	b := budget(cfg)
	for _, step := range []func() error{
		s.openCore,
		func() error { return build(b) },
		func() error { return s.openFronts(b) },
		s.openAgent,
		s.openMgmt,
		s.report,
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
	var two *core.PairConfig
	if cfg.Socket > 0 {
		if s.pair, err = restartlink.Open(os.TempDir(), cfg.Name, s.log, s.stats); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		two = s.pair.Config(s.share)
	}
	s.core, err = core.New(core.Config{
		Pair: two,
		Name: cfg.Name, Settings: cfg.Server, MemoryMB: cfg.MemoryMB, Status: cfg.Edge.Status, Log: s.log, Stats: s.stats,
		Pools: poolsOf(cfg), Cell: cfg.Edge.Cell,
	})
	return err
}

// openFronts opens the clients' fronts.
func (s *Service) openFronts(b Budget) error {
	cfg := s.cfg
	if cfg.Listen != "" {
		f := msgpackrpc.New(s.core, s.log, s.stats)
		if cfg.Socket > 0 {
			ln, err := listener.Inherited(cfg.Socket)
			if err != nil {
				return fmt.Errorf("LB_SOCKET_FD: %w", err)
			}
			held := listener.New(msgpackrpc.Name, ln, b.Platform, s.core.IdleAfter, f.Serve, s.log, s.stats)
			held.ShareSocket()
			s.add(held, b.Platform)
		} else if err := s.listen("listen", msgpackrpc.Name, cfg.Listen, b.Platform, f.Serve); err != nil {
			return err
		}
	}
	if cfg.SCGI.Listen == "" {
		return nil
	}
	f := scgi.New(s.core, cfg.SCGI, cfg.Seed, s.log, s.stats)
	return s.listen("scgi.listen", scgi.Name, cfg.SCGI.Listen, b.SCGI, f.Serve)
}

// openAgent opens the SNMP agent.
func (s *Service) openAgent() (err error) {
	if s.cfg.SNMP.Listen == "" {
		return nil
	}
	var control func(network, addr string, raw syscall.RawConn) error
	if s.pair != nil {
		control = listener.ReusePort
	}
	err = s.whileTaken(func() (err error) {
		s.agent, err = snmp.Listen(s.cfg.SNMP.Listen, s.cfg.SNMP.Community, s.cfg.Name, s.core, s.log, s.stats, control)
		return err
	})
	if err != nil {
		return fmt.Errorf("snmp.listen: %w", err)
	}
	return nil
}

// openMgmt opens the operators' front.
func (s *Service) openMgmt() (err error) {
	if s.cfg.Mgmt == "" {
		return nil
	}
	err = s.whileTaken(func() (err error) {
		s.mgmt, err = admin.Listen(s.cfg.Mgmt, admin.ConnectionLimit(s.cfg.Sockets), s.core, s.log, s.stats)
		return err
	})
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	if s.orders != nil {
		s.mgmt.SetCommands(s.orders)
	}
	if s.store != nil {
		s.mgmt.SetSnapshots(s.store.Snapshot)
	}
	return nil
}

// report makes the service known: to the announce service, and to another process of it.
func (s *Service) report() error {
	s.reporter = loadreport.New(s.cfg.Announce, s.cfg.Name, s.core.Health, s.log)
	s.keep = append(s.keep, s.reporter.Run)
	if s.pair != nil {
		if err := s.pair.Begin(s.core); err != nil {
			return fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		s.keep = append(s.keep, s.pair.Keep)
	}
	return nil
}

func (s *Service) listen(field, name, addr string, most int, handle listener.Handler) error {
	var ln *listener.Listener
	err := s.whileTaken(func() (err error) {
		if s.pair == nil {
			ln, err = listener.Listen(name, addr, most, s.core.IdleAfter, handle, s.log, s.stats)
			return err
		}
		var open net.Listener
		if open, err = listener.ListenShared(addr); err == nil {
			ln = listener.New(name, open, most, s.core.IdleAfter, handle, s.log, s.stats)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	s.add(ln, most)
	return nil
}

// errLeft ends a start that was told to leave.
var errLeft = errors.New("told to leave before the service was open")

// whileTaken opens an address, again and again while it is taken and there is time.
func (s *Service) whileTaken(open func() error) error {
	for said := false; ; said = true {
		err := open()
		if !errors.Is(err, syscall.EADDRINUSE) || !time.Now().Before(s.tries) {
			return err
		}
		if !said {
			events.Log(s.log, "listening.taken", time.Until(s.tries).Round(time.Second), err)
		}
		select {
		case <-s.leave:
			return errLeft
		case <-time.After(takenRetry):
		}
	}
}

func (s *Service) add(ln *listener.Listener, most int) {
	if r := s.cfg.Edge.Reserve; r != nil {
		ln.Reserve(*r)
	}
	s.listeners = append(s.listeners, ln)
	s.shares = append(s.shares, share{ln, most})
}

// share gives this process a half of the limits while there are two, and all of them otherwise. It is called under the
// core's lock.
func (s *Service) share(two bool) {
	part := 1
	if two {
		part = 2
	}
	debug.SetMemoryLimit(heapLimit(s.cfg) / int64(part))
	events.Log(s.log, "handover.shared", part)
	for _, sh := range s.shares {
		go sh.ln.SetMaxConnections(sh.most / part)
	}
}

// heapLimit is at how many bytes the collector works harder rather than let the heap grow.
func heapLimit(cfg settings.Config) int64 { return int64(cfg.MemoryMB * heapShare * (1 << 20)) }

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
	if s.agent != nil {
		s.agent.Close()
	}
	if s.mgmt != nil {
		s.mgmt.Close()
	}
	if s.worker != nil {
		s.worker.Close()
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
	if s.agent != nil {
		list = append(list, s.agent.Addr())
	}
	return list
}

// Stats are the service's counters.
func (s *Service) Stats() *metrics.Counters { return s.stats }

// Run serves until a notice to leave comes on the channel, then drains. It returns when everything is answered
// and no peer is left, or when the process is about to be stopped.
func (s *Service) Run(leave <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.worker != nil {
		defer s.worker.Close()
	}
	for _, keep := range s.keep {
		go keep(ctx)
	}
	for _, l := range s.listeners {
		go func() {
			if s.pair != nil { // what is accepted has to be read: not before this process may take requests
				select {
				case <-s.core.PairReady():
				case <-ctx.Done():
					return
				}
			}
			l.Serve()
		}()
	}
	if s.agent != nil {
		go s.agent.Serve()
		defer s.agent.Close()
	}
	if s.mgmt != nil {
		go s.mgmt.Serve()
		defer s.mgmt.Close()
	}
	<-leave
	err := s.drain()
	cancel()
	if s.store != nil {
		s.store.Close()
	}
	if s.pair != nil {
		<-s.pair.Left() // before the last words: whoever takes over waits for nothing but this
	}
	return err
}
