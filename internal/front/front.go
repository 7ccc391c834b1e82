// Package front accepts the connections of every front. It keeps them within a budget of descriptors, closes
// those that idle, and asks the peers to leave in a drain.
package front

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/events"
	"silverpath/internal/pools"
	"silverpath/internal/stats"
)

// Handler serves one connection until it is over, and closes it.
type Handler func(conn net.Conn, slot *Slot)

// Slot is a connection's place in the budget.
type Slot struct {
	id    uint64
	owner *Listener
	conn  net.Conn
	leave func()        // asks the peer to leave
	cut   chan struct{} // closed as the connection gives way to another

	// Under the owner's lock:
	open  int // requests
	since time.Time
	told  bool // the peer was asked to leave
	asked int  // whole messages that came
}

// Asked notes that a whole message has come.
func (s *Slot) Asked() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.asked++
}

// Say logs what was wrong with a peer. Whoever floods the service floods no log: of many lines a second the
// rest is only counted.
func (s *Slot) Say(event string, values ...any) {
	l := s.owner
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.logSince) >= time.Second {
		l.logSince, l.logged = now, 0
	}
	l.logged++
	n := l.logged
	l.mu.Unlock()
	if n <= mostLines {
		events.Say(l.log, event, values...)
	} else {
		l.stats.Inc("unlogged", l.name)
	}
}

// Work asks whether the connection may carry work. Without a reserve every connection may.
func (s *Slot) Work() bool {
	l := s.owner
	if l.reserve == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve.Work(s.id)
}

// Cheap is called before the answer to a cheap call. It holds up a peer that asks more than its part, and nobody else.
func (s *Slot) Cheap() {
	l := s.owner
	if l.reserve == nil {
		return
	}
	l.mu.Lock()
	wait := l.reserve.Cheap(time.Since(l.began), s.id)
	l.mu.Unlock()
	if wait > 0 {
		l.stats.Inc("paced", l.name)
		hold := time.NewTimer(wait)
		defer hold.Stop()
		select {
		case <-hold.C:
		case <-s.cut: // its place is needed now, not when its turn comes
		}
	}
}

// OnLeave sets how the peer is asked to leave; where nothing is set an idle connection is just closed.
func (s *Slot) OnLeave(ask func()) {
	s.owner.mu.Lock()
	s.leave = ask
	draining := s.owner.draining
	s.owner.mu.Unlock()
	if draining {
		ask()
	}
}

// Open notes how many requests are open on the connection.
func (s *Slot) Open(n int) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.open, s.since = n, time.Now()
}

// Listener accepts the connections of one front.
type Listener struct {
	name   string
	ln     net.Listener
	most   int
	handle Handler
	idle   func() time.Duration
	log    *log.Logger
	stats  *stats.Counters

	began   time.Time
	reserve *pools.Reserve // nil: none; under the lock

	mu       sync.Mutex
	seq      uint64
	slots    map[*Slot]bool
	byID     map[uint64]*Slot // with a reserve
	freed    chan struct{}
	draining bool
	closed   bool
	gaveWay  int // connections that asked too much; the accepting goroutine's own
	serving  sync.WaitGroup
	logSince time.Time // of the second in which logged lines are counted
	logged   int
}

// WholeWithin is how long a peer has for its first whole message from its connecting, and for each further one
// from its first byte. Whoever needs longer gets no answer but a close.
const WholeWithin = 2 * time.Second

// InARow is how many messages a connection has taken before the others have their turn. A peer that always has more to
// say would otherwise keep the one core for the 10 ms that the runtime leaves a goroutine: with 40 of them operators
// waited for half a second.
const InARow = 2

const (
	sweepEvery = 250 * time.Millisecond
	mostLines  = 10 // logged in a second about peers
	// evictPause follows every evictBurst connections that gave way since they ask too much: who does so comes back at
	// once, and its coming and going must not take the process's time.
	evictPause = time.Millisecond
	evictBurst = 8
	// idleGrace is the least time that a connection over the budget must have idled: a request that crosses
	// its close within 50 ms is sent again, one that was under way before would be lost.
	idleGrace = 100 * time.Millisecond
)

// Listen opens a front's address for at most the given number of connections. The idle function tells how
// long a connection may carry nothing; 0 is without end.
func Listen(name, addr string, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *stats.Counters) (*Listener, error) {
	// Who says nothing is closed by time limits of our own, so that the kernel's probes are not needed; setting them up
	// would cost each connection three calls.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(name, ln, most, idle, handle, l, s), nil
}

// Shared opens an address that another process of the service may have open too.
func Shared(addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: ReusePort}).Listen(context.Background(), "tcp", addr)
}

// ReusePort lets two processes of the service have one address.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}

// Inherited returns the listener of a descriptor that the process was started with.
func Inherited(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer f.Close() // the listener has its own
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if _, ok := ln.(*net.TCPListener); !ok {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP listener", fd)
	}
	return ln, nil
}

// New serves an open listener.
func New(name string, ln net.Listener, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *stats.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, most: max(1, most), handle: handle, idle: idle, log: l, stats: s,
		began: time.Now(), slots: map[*Slot]bool{}, byID: map[uint64]*Slot{}, freed: make(chan struct{}, 1),
	}
}

// Reserve keeps a part of the connections for what is cheap. It is called before Serve.
func (l *Listener) Reserve(c pools.ReserveConfig) { l.reserve = pools.NewReserve(c, l.most) }

// Reserved is the state of the reserve, and whether there is one.
func (l *Listener) Reserved() (pools.ReserveState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve == nil {
		return pools.ReserveState{}, false
	}
	return l.reserve.State(), true
}

// Name is the front's name.
func (l *Listener) Name() string { return l.name }

// Addr is the address listened on.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve accepts connections until Close.
func (l *Listener) Serve() {
	done := make(chan struct{})
	defer close(done)
	go l.sweep(done)
	waits := l.stats.Timing("room", l.name)
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.stats.Inc("accept_failed", l.name)
			events.Say(l.log, "front.accepting", l.name, err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some will come free
			continue
		}
		l.stats.Inc("connections", l.name)
		accepted := time.Now()
		l.room() // only now, so that no idle connection is closed for one that may never come
		waits.Record(time.Since(accepted))
		s := &Slot{owner: l, conn: conn, since: time.Now(), cut: make(chan struct{})}
		l.mu.Lock()
		l.seq++
		s.id = l.seq
		l.slots[s] = true
		if l.reserve != nil {
			l.reserve.Opened(time.Since(l.began), s.id)
			l.byID[s.id] = s
		}
		l.serving.Add(1)
		l.mu.Unlock()
		go func() {
			defer l.serving.Done()
			defer l.free(s)
			l.handle(conn, s)
		}()
	}
}

func (l *Listener) free(s *Slot) {
	s.conn.Close()
	l.mu.Lock()
	delete(l.slots, s)
	if l.reserve != nil {
		l.reserve.Closed(s.id)
		delete(l.byID, s.id)
	}
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// before reports whether an idle connection is closed before another one: who has asked nothing goes first, then
// who has asked once, as clients do that never come back, then who has idled longest.
func (s *Slot) before(o *Slot) bool {
	if a, b := min(s.asked, 2), min(o.asked, 2); a != b {
		return a < b
	}
	return s.since.Before(o.since)
}

// room waits until the budget has room, closing the idle connection that is missed least where there is one.
func (l *Listener) room() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.most || l.closed {
			l.mu.Unlock()
			return
		}
		if l.reserve != nil {
			if id, some := l.reserve.Victim(time.Since(l.began)); some && l.byID[id] != nil {
				victim := l.byID[id]
				delete(l.byID, id) // chosen once
				l.mu.Unlock()
				l.stats.Inc("evicted", l.name)
				victim.conn.Close()
				close(victim.cut)
				if l.gaveWay++; l.gaveWay%evictBurst == 0 {
					time.Sleep(evictPause)
				}
				select {
				case <-l.freed:
				case <-time.After(idleGrace / 2):
				}
				continue
			}
		}
		var least *Slot
		for s := range l.slots {
			if s.open == 0 && time.Since(s.since) >= idleGrace && (least == nil || s.before(least)) {
				least = s
			}
		}
		l.mu.Unlock()
		if least != nil {
			l.stats.Inc("evicted", l.name)
			least.conn.Close()
		}
		select {
		case <-l.freed:
		case <-time.After(idleGrace / 2):
		}
	}
}

// sweep asks connections that idle for too long to leave.
func (l *Listener) sweep(done <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		after := l.idle()
		if after <= 0 {
			continue
		}
		l.ask(func(s *Slot) bool { return s.open == 0 && time.Since(s.since) >= after })
	}
}

// ask asks the peers of some connections to leave, each once.
func (l *Listener) ask(which func(*Slot) bool) {
	l.mu.Lock()
	var list []func()
	for s := range l.slots {
		if !s.told && s.leave != nil && which(s) {
			s.told = true
			list = append(list, s.leave)
		}
	}
	l.mu.Unlock()
	for _, leave := range list {
		go leave() // a slow peer must not hold up the others
	}
}

// SetMost changes the budget. Idle connections over it give way at once, the one that is missed least first.
func (l *Listener) SetMost(most int) {
	l.mu.Lock()
	l.most = max(1, most)
	over := len(l.slots) - l.most
	var idle []*Slot
	for s := range l.slots {
		if s.open == 0 && time.Since(s.since) >= idleGrace {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	slices.SortFunc(idle, func(a, b *Slot) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	for _, s := range idle[:min(len(idle), max(0, over))] {
		l.stats.Inc("evicted", l.name)
		s.conn.Close()
	}
}

// Drain asks every peer, and those still to come, to leave.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.ask(func(*Slot) bool { return true })
}

// Close accepts no more connections; those there are go on.
func (l *Listener) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.ln.Close()
}

// Connections is the number of connections there are.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
