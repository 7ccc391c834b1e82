// Package service puts the parts together and leads them from start to exit.
package service

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"silverpath"
	"silverpath/internal/announce"
	"silverpath/internal/core"
	"silverpath/internal/fleet"
	"silverpath/internal/front"
	"silverpath/internal/interp"
	"silverpath/internal/mgmt"
	"silverpath/internal/msgpackrpc"
	"silverpath/internal/pair"
	"silverpath/internal/pools"
	"silverpath/internal/scgi"
	"silverpath/internal/settings"
	"silverpath/internal/snmp"
	"silverpath/internal/standin"
	"silverpath/internal/stats"
	"silverpath/internal/vault"
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
	// settle is for what may still be under way on the connections when everything read has been answered.
	settle = 100 * time.Millisecond
	// A process that another one takes over from is killed so long after the longest deadline, which counts as no more
	// than mostReplaced.
	replacedGrace = 700 * time.Millisecond
	mostReplaced  = 3 * time.Second
)

// Budget is how the descriptors are shared out.
type Budget struct{ Platform, SCGI, Vault, Upstream int }

// budget shares out the descriptors, those that the configuration needs.
func budget(c settings.Config) Budget {
	own := spareFDs
	if c.Mgmt != "" {
		own += mgmt.Places(c.Sockets) // its own, whatever clients do
	}
	if c.Socket > 0 {
		own *= 2 // another process starts beside this one, before any share is given up
	}
	n := max(8, c.Sockets-own)
	b := Budget{Platform: n * 3 / 5} // balancers open up to half of the limit
	if c.SCGI.Listen != "" {
		b.Platform, b.SCGI = n*2/5, n/5
	}
	if c.Listen == "" {
		b.Platform, b.SCGI = 0, n*3/5
	}
	if c.SCGI.Upstream != "" || c.Edge.Fleet != nil {
		b.Upstream = n * 2 / 5
	} else if c.Vault != "" {
		b.Vault = n * 2 / 5
	}
	if c.Socket > 0 {
		b.Vault, b.Upstream = b.Vault/2, b.Upstream/2 // each of two processes has as many
	}
	return b
}

// Service is one running service.
type Service struct {
	cfg       settings.Config
	log       *log.Logger
	stats     *stats.Counters
	core      *core.Core
	listeners []*front.Listener
	keep      []func(context.Context)
	agent     *snmp.Agent
	mgmt      *mgmt.Server         // nil: none
	link      *interp.Link         // nil where an application server does the work
	below     *vault.Client        // likewise
	fleet     *fleet.Runner        // nil but in a router
	pair      *pair.Pair           // nil: no process takes over from this one
	shares    []share              // of the descriptors, by listener
	worker    *standin.Interpreter // nil but in a start without a configuration
	reporter  *announce.Reporter   // reports nowhere while its address is empty
	lead      time.Duration        // from the notice to leave until peers are asked to leave too
}

// share is a listener's part of the descriptors.
type share struct {
	ln   *front.Listener
	most int
}

// lead is how long peers are served as before once the service was told to leave: see drain.
func lead(c settings.Config) time.Duration {
	return min(time.Duration(serveOn*float64(c.Server.DrainGrace)), c.Stop/2)
}

// New builds a service and opens its addresses.
func New(cfg settings.Config, l *log.Logger) (*Service, error) {
	s := &Service{cfg: cfg, log: l, stats: &stats.Counters{}, lead: lead(cfg)}
	var err error
	var two *core.PairConfig
	if cfg.Socket > 0 {
		if s.pair, err = pair.Open(os.TempDir(), cfg.Name, l, s.stats); err != nil {
			return nil, fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		two = s.pair.Config(s.share)
	}
	s.core, err = core.New(core.Config{
		Pair: two,
		Name: cfg.Name, Settings: cfg.Server, MemoryMB: cfg.MemoryMB, Status: cfg.Edge.Status, Log: l, Stats: s.stats,
		Pools: poolsOf(cfg), Cell: cfg.Edge.Cell,
	})
	if err != nil {
		return nil, err
	}
	if cfg.Worker {
		if s.worker, err = worker(cfg); err != nil {
			return nil, err
		}
		cfg.VM = s.worker.Addr()
		s.cfg.VM = cfg.VM
		l.Printf("worker: no configuration: the built-in worker at %s does the work, which is to send back what came", cfg.VM)
	}
	b := budget(cfg)
	var runner core.Runner
	switch {
	case cfg.Edge.Fleet != nil:
		if s.fleet, err = router(cfg, b.Upstream, s.core, l, s.stats); err != nil {
			return nil, err
		}
		s.core.Tells("fleet", s.fleet.Status)
		s.keep = append(s.keep, s.fleet.Keep)
		runner = s.fleet
	case cfg.SCGI.Upstream != "":
		up := scgi.NewUpstream(cfg.SCGI.Upstream, cfg.Server.Cores, b.Upstream, cfg.SCGI.Timeout, s.core, l, s.stats)
		s.keep = append(s.keep, up.Keep)
		runner = up
	default:
		s.link = interp.New(cfg.VM, cfg.Gauges, s.core, l, s.stats)
		s.keep = append(s.keep, s.link.Keep)
		runner = s.link
	}
	var below core.Caller
	if cfg.Vault != "" && s.link != nil {
		s.below = vault.New(cfg.Vault, b.Vault)
		below = s.below
	}
	if err := s.core.Attach(runner, below); err != nil {
		return nil, err
	}
	if cfg.Listen != "" {
		f := msgpackrpc.New(s.core, l, s.stats)
		if cfg.Socket > 0 {
			ln, err := front.Inherited(cfg.Socket)
			if err != nil {
				return nil, fmt.Errorf("LB_SOCKET_FD: %w", err)
			}
			s.add(front.New(msgpackrpc.Name, ln, b.Platform, s.core.IdleAfter, f.Serve, l, s.stats), b.Platform)
		} else if err := s.listen("listen", msgpackrpc.Name, cfg.Listen, b.Platform, f.Serve); err != nil {
			return nil, err
		}
	}
	if cfg.SCGI.Listen != "" {
		f := scgi.New(s.core, cfg.SCGI, cfg.Seed, l, s.stats)
		if err := s.listen("scgi.listen", scgi.Name, cfg.SCGI.Listen, b.SCGI, f.Serve); err != nil {
			return nil, err
		}
	}
	if cfg.SNMP.Listen != "" {
		var control func(network, addr string, raw syscall.RawConn) error
		if s.pair != nil {
			control = front.ReusePort
		}
		s.agent, err = snmp.Listen(cfg.SNMP.Listen, cfg.SNMP.Community, cfg.Name, s.core, l, s.stats, control)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("snmp.listen: %w", err)
		}
	}
	if cfg.Mgmt != "" {
		s.mgmt, err = mgmt.Listen(cfg.Mgmt, mgmt.Places(cfg.Sockets), s.core, l, s.stats)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	s.reporter = announce.New(cfg.Announce, cfg.Name, s.core.Health, l)
	s.keep = append(s.keep, s.reporter.Keep)
	if s.pair != nil {
		if err := s.pair.Begin(s.core); err != nil {
			s.close()
			return nil, fmt.Errorf("LB_SOCKET_FD: a place beside other processes: %w", err)
		}
		s.keep = append(s.keep, s.pair.Keep)
	}
	return s, nil
}

// Reload takes up a new configuration while the service runs, whole or not at all: the settings, and the addresses of
// the interpreter, the vault and the announce service. What is under way goes on as it began. The rest of a
// configuration holds from a start to the end of the process; where it differs, the log says so and the old one holds.
func (s *Service) Reload(cfg settings.Config) error {
	old := s.cfg
	if err := old.Replaces(cfg); err != nil {
		return err
	}
	if s.cfg.Retuned(cfg) {
		if err := s.core.Retune(cfg.Server); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		s.cfg.Server = cfg.Server
		s.log.Printf("reload: settings: taken up, %s", classes(cfg.Server))
	}
	if s.worker != nil {
		cfg.VM = old.VM
	}
	if s.link != nil && cfg.VM != "" && cfg.VM != old.VM {
		s.log.Printf("reload: vm: from %s to %s", old.VM, cfg.VM)
		s.cfg.VM = cfg.VM
		s.link.Move(cfg.VM)
	}
	if s.below != nil && cfg.Vault != "" && cfg.Vault != old.Vault {
		s.log.Printf("reload: vault: from %s to %s", old.Vault, cfg.Vault)
		s.cfg.Vault = cfg.Vault
		s.below.Move(cfg.Vault)
	}
	if cfg.Announce != old.Announce {
		s.log.Printf("reload: announce: from %q to %q", old.Announce, cfg.Announce)
		s.cfg.Announce = cfg.Announce
		s.reporter.Move(cfg.Announce)
	}
	for _, field := range s.cfg.Differs(cfg) {
		s.log.Printf("reload: %s: differs, and holds only from the next start", field)
	}
	if cfg.Edge.PoolsOn() && old.Edge.PoolsOn() && !reflect.DeepEqual(cfg.Edge.Pools, old.Edge.Pools) {
		if err := s.core.ReloadPools(cfg.Edge.Pools); err != nil {
			s.log.Printf("reload: the old pools hold: %v", err)
		} else {
			s.log.Printf("reload: pools: taken up")
			s.cfg.Edge.Pools = cfg.Edge.Pools
		}
	}
	if s.fleet != nil {
		s.fleet.Reload()
	}
	s.stats.Inc("reloads", "done")
	s.log.Printf("reload: done")
	return nil
}

// classes names the classes of settings.
func classes(set silverpath.Settings) string {
	var names []string
	for _, k := range set.Classes {
		names = append(names, k.Name)
	}
	return "classes " + strings.Join(names, ", ")
}

func (s *Service) listen(field, name, addr string, most int, handle front.Handler) error {
	var ln *front.Listener
	var err error
	if s.pair == nil {
		ln, err = front.Listen(name, addr, most, s.core.IdleAfter, handle, s.log, s.stats)
	} else {
		var open net.Listener
		if open, err = front.Shared(addr); err == nil {
			ln = front.New(name, open, most, s.core.IdleAfter, handle, s.log, s.stats)
		}
	}
	if err != nil {
		s.close()
		return fmt.Errorf("%s: %w", field, err)
	}
	s.add(ln, most)
	return nil
}

func (s *Service) add(ln *front.Listener, most int) {
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
	s.log.Printf("handover: the limits are shared by %d", part)
	for _, sh := range s.shares {
		go sh.ln.SetMost(sh.most / part)
	}
}

// heapLimit is at how many bytes the collector works harder rather than let the heap grow.
func heapLimit(cfg settings.Config) int64 { return int64(cfg.MemoryMB * heapShare * (1 << 20)) }

// poolsOf are the pools that a configuration sets up, nil for none.
func poolsOf(cfg settings.Config) *pools.Config {
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
	if s.worker != nil {
		s.worker.Close()
	}
}

// router returns the runner of a router.
func router(cfg settings.Config, sockets int, c *core.Core, l *log.Logger, s *stats.Counters) (*fleet.Runner, error) {
	set := cfg.Edge.Fleet
	src, err := fleet.OpenFile(set.Map, set.State)
	if err != nil {
		return nil, fmt.Errorf("fleet.state: %w", err)
	}
	r := set.Routing
	r.Seed = uint64(cfg.Seed)
	f, err := fleet.New(fleet.Config{Source: src, Routing: r, Cores: cfg.Server.Cores, Probe: set.Probe, Sockets: sockets}, c, l, s)
	if err != nil {
		return nil, fmt.Errorf("fleet.map: %w", err)
	}
	return f, nil
}

// worker starts the built-in worker: an interpreter whose work takes as long as the operators' own typically does.
func worker(cfg settings.Config) (*standin.Interpreter, error) {
	n := cfg.Server.Cores
	return standin.Listen(standin.Config{
		Listen: "127.0.0.1:0", Cores: n, Shape: standin.Shape{Knee: float64(n), Thrash: 1, Speed: 1},
		Other:    standin.Class{Least: 60 * time.Millisecond, Most: 100 * time.Millisecond},
		MemoryKB: cfg.Server.MemoryKB, RunFactor: cfg.Server.RunFactor, Seed: uint64(cfg.Seed),
	})
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
func (s *Service) Stats() *stats.Counters { return s.stats }

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
				case <-s.core.Risen():
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
	if s.pair != nil {
		<-s.pair.Left() // before the last words: whoever takes over waits for nothing but this
	}
	return err
}

// drain leads from the notice to the end. Callers hear of it seconds late, and whoever takes over may be cold yet:
// for most of the window in which requests may still be run they are served as before. Then peers are asked to
// leave, and new connections are taken only for as long as one may already be under way: a refused connection
// proves that nothing ran, so its caller goes elsewhere without a request having cost a reading here.
func (s *Service) drain() error {
	began := time.Now()
	stop, lead := s.cfg.Stop, s.lead
	if s.pair != nil {
		// The platform stops a process that another one takes over from after the longest deadline.
		stop = min(stop, min(s.core.Longest(), mostReplaced)+replacedGrace)
	}
	if s.core.Successor() {
		// Whoever connects from now on is taken by the other process, and whoever is told to leave here goes there.
		s.log.Printf("handover: the other process takes over")
		s.reporter.Quiet()
		lead = 0
		s.closeListeners()
	}
	s.core.Drain(stop)
	time.Sleep(min(lead, stop/2))
	for _, l := range s.listeners {
		l.Drain()
	}
	time.Sleep(min(listenOn, stop/4))
	// A socket that the platform holds refuses nobody: who connects then waits, unread. So while no other process takes
	// such connections they are taken here, and told to go elsewhere.
	listening := s.pair != nil && !s.core.Successor()
	lastTaken := began.Add(stop - exitBefore - 2*settle)
	if !listening {
		s.closeListeners()
	}
	end := time.NewTimer(stop - exitBefore - time.Since(began))
	defer end.Stop()
	tick := time.NewTicker(settle)
	defer tick.Stop()
	quiet := 0
	for quiet < 2 || listening {
		select {
		case <-end.C:
			if n := s.core.Owed(); n > 0 {
				s.core.Stop()
				return fmt.Errorf("drain: %d requests were not answered before the end", n)
			}
			quiet, listening = 2, false
		case <-tick.C:
			quiet++
			if listening && (s.core.Successor() || time.Now().After(lastTaken)) {
				listening = false
				s.closeListeners()
			}
			if s.core.Owed() > 0 || s.connections() > 0 {
				quiet = 0
			}
		}
	}
	s.core.Stop()
	return nil
}

func (s *Service) closeListeners() {
	for _, l := range s.listeners {
		l.Close()
	}
}

func (s *Service) connections() int {
	n := 0
	for _, l := range s.listeners {
		n += l.Connections()
	}
	return n
}

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

// Describe says, for a person, what a configuration sets up.
func Describe(c settings.Config) string {
	b := budget(c)
	s := fmt.Sprintf("%s: ok, %d classes, %d cores, %.0f MB, %d descriptors, stops within %v\n",
		c.Name, len(c.Server.Classes), c.Server.Cores, c.MemoryMB, c.Sockets, c.Stop)
	for _, part := range []struct {
		what, addr string
		most       int
	}{
		{"MessagePack-RPC front", c.Listen, b.Platform}, {"SCGI front", c.SCGI.Listen, b.SCGI},
		{"interpreter", c.VM, 1}, {"fleet", fleetOf(c), b.Upstream}, {"SCGI application server", c.SCGI.Upstream, b.Upstream},
		{"vault", c.Vault, b.Vault}, {"announce service", c.Announce, 1}, {"SNMP agent", c.SNMP.Listen, 1},
		{"management front", c.Mgmt, mgmt.Places(c.Sockets)},
	} {
		if part.addr == "" {
			s += fmt.Sprintf("  %s: off\n", part.what)
		} else {
			s += fmt.Sprintf("  %s: %s, at most %d connections\n", part.what, part.addr, part.most)
		}
	}
	return s + describeEdge(c.Edge)
}

// fleetOf is the file that a router has its map from.
func fleetOf(c settings.Config) string {
	if c.Edge.Fleet == nil {
		return ""
	}
	return c.Edge.Fleet.Map
}

// describeEdge says what an edge file sets up.
func describeEdge(e settings.Edge) string {
	if !e.On {
		return "  edge: off\n"
	}
	s := fmt.Sprintf("  edge: status requests %s\n", onOff(e.Status))
	for _, p := range e.Pools.Pools {
		classes := strings.Join(p.Classes, ", ")
		if classes == "" {
			classes = "all other classes"
		}
		s += fmt.Sprintf("  pool %s: %s, weight %g, floor %.0f%% of the runs\n", p.Name, classes, p.Weight, 100*p.Floor)
	}
	if !e.PoolsOn() {
		s += "  pools: off\n"
	}
	if r := e.Reserve; r != nil {
		s += fmt.Sprintf("  reserve: %s\n", r)
	} else {
		s += "  reserve: off\n"
	}
	return s
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}
