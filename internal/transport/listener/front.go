// Package listener accepts the connections of every front. It keeps them within a budget of descriptors, closes
// those that idle, and asks the peers to leave in a drain.
package listener

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/transport/linger"
)

// Handler serves one connection until it is over, and closes it.
type Handler func(conn net.Conn, slot *Slot)

// Slot is a connection's place in the budget.
type Slot struct {
	id    uint64
	owner *Listener
	conn  net.Conn
	leave func()        // asks the peer to leave
	bye   func()        // tells it what was taken, before the end
	cut   chan struct{} // closed as the connection gives way to another

	// Under the owner's lock:
	open  int       // requests whose answers are not written
	since time.Time // of what came or went last
	told  bool      // the peer was asked to leave
	asked int       // whole messages that came
	taken bool      // one of them is being seen to
	ended bool      // its place is given up: nothing that comes is taken any more
	until time.Time // it lingers; zero: it does not yet
}

// Asked notes that a whole message has come. It reports false where the connection's place was given up before: then the
// message must not be taken, since what is answered would not arrive.
func (s *Slot) Asked() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.ended {
		return false
	}
	s.asked++
	s.taken, s.since = true, time.Now()
	return true
}

// Rest notes that the message that came last is seen to: it is answered, or its request is open.
func (s *Slot) Rest() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.taken, s.since = false, time.Now()
}

// idle reports whether nobody would lose anything by the connection's end, for at least so long. Half a message is no
// request. It is called under the owner's lock.
func (s *Slot) idle(least time.Duration) bool {
	return s.open == 0 && !s.taken && !s.ended && time.Since(s.since) >= least
}

// giveUp ends an idle connection, unless something has come on it that was not read yet. Who never asked has no answer on its
// way; of others the sending half ends first, so that their last answers arrive, and they have lingerFor to end theirs.
// Whatever is read from now on is not taken: Asked says no.
func (s *Slot) giveUp(least time.Duration) bool {
	l := s.owner
	l.mu.Lock()
	ok := s.idle(least) && linger.Look(s.conn) != linger.Unread
	s.ended = s.ended || ok
	if ok {
		s.until = time.Now().Add(l.linger)
	}
	asked, until, bye := s.asked > 0, s.until, s.bye
	l.mu.Unlock()
	if !ok {
		return false
	}
	if asked && bye != nil {
		bye()
	}
	if asked && linger.Half(s.conn) {
		s.conn.SetReadDeadline(until)
	} else {
		s.conn.Close()
	}
	return true
}

// Ended reports whether the connection's place was given up.
func (s *Slot) Ended() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.ended
}

// Linger ends a connection on which all answers are written, so that they arrive; r holds what was read of it already.
func (s *Slot) Linger(r io.Reader) {
	s.owner.mu.Lock()
	s.ended = true
	if s.until.IsZero() {
		s.until = time.Now().Add(s.owner.linger)
	}
	left := time.Until(s.until)
	s.owner.mu.Unlock()
	linger.Close(s.conn, r, left, mostAfter)
}

// LogPeer logs what was wrong with a peer. Whoever floods the service floods no log: of many lines a second the
// rest is only counted.
func (s *Slot) LogPeer(event string, values ...any) {
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
		events.Log(l.log, event, values...)
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

// OnEnd sets what is said last where the connection's place is given up. It must not wait for a slow peer.
func (s *Slot) OnEnd(bye func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.bye = bye
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
	stats  *metrics.Counters

	began   time.Time
	linger  time.Duration      // lingerFor, but in tests
	last    time.Duration      // lastAccepts, but in tests
	reserve *admission.Reserve // nil: none; under the lock

	mu       sync.Mutex
	seq      uint64
	slots    map[*Slot]bool
	byID     map[uint64]*Slot // with a reserve
	freed    chan struct{}
	draining bool
	closed   bool
	closedAt time.Time
	gaveWay  int  // connections that asked too much; the accepting goroutine's own
	accepts  bool // Serve runs
	serving  sync.WaitGroup
	logSince time.Time // of the second in which logged lines are counted
	logged   int
	said     time.Time // that accepting fails; the accepting goroutine's own
	// foreign: another process accepts on the same socket, so that who waits there is not this one's to take in at the end.
	foreign bool
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
	mostLines  = 1 // logged in a second about peers
	// evictPause follows every evictBurst connections that gave way since they ask too much: who does so comes back at
	// once, and its coming and going must not take the process's time.
	evictPause = time.Millisecond
	evictBurst = 8
	// idleGrace is the least time that a connection over the budget must have idled: a request that crosses
	// its close within 50 ms is sent again, one that was under way before would be lost.
	idleGrace = 100 * time.Millisecond
	// lingerFor and mostAfter bound what is read of a connection after its last answer.
	lingerFor = 50 * time.Millisecond
	mostAfter = 64 << 10 // bytes
	// lastAccepts is for how long after its closing a listener still takes in who waits, however many come.
	lastAccepts = time.Second
	acceptPause = 10 * time.Millisecond // after a failure to accept
	sayEvery    = time.Second           // of lines that accepting fails
	endLook     = 2 * time.Millisecond  // between two looks at connections that are to end
)

// Listen opens a front's address for at most the given number of connections. The idle function tells how
// long a connection may carry nothing; 0 is without end.
func Listen(name, addr string, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) (*Listener, error) {
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
func New(name string, ln net.Listener, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, most: max(1, most), handle: handle, idle: idle, log: l, stats: s,
		began: time.Now(), linger: lingerFor, last: lastAccepts, slots: map[*Slot]bool{}, byID: map[uint64]*Slot{}, freed: make(chan struct{}, 1),
	}
}

// Reserve keeps a part of the connections for what is cheap. It is called before Serve.
func (l *Listener) Reserve(c admission.ReserveConfig) { l.reserve = admission.NewReserve(c, l.most) }

// Reserved is the state of the reserve, and whether there is one.
func (l *Listener) Reserved() (admission.ReserveState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve == nil {
		return admission.ReserveState{}, false
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
	l.mu.Lock()
	l.accepts = true
	l.mu.Unlock()
	for {
		conn, err := l.accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.stats.Inc("accept_failed", l.name)
			if now := time.Now(); now.Sub(l.said) >= sayEvery {
				l.said = now
				events.Log(l.log, "front.accepting", l.name, err)
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.makeRoom() // no descriptor is left for who waits: the one that is missed least gives way
			}
			time.Sleep(acceptPause)
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

// accept waits for the next connection. Once the listener is closing it takes in who waits already, whose bytes may lie on
// this machine: to close the socket over them would lose their requests. Then it closes the socket.
func (l *Listener) accept() (net.Conn, error) {
	conn, err := l.ln.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	l.mu.Lock()
	late := time.Since(l.closedAt) > l.last
	l.mu.Unlock()
	last := l.ln.(deadliner)
	if late || !waits(l.ln) {
		l.ln.Close()
		return nil, net.ErrClosed
	}
	last.SetDeadline(time.Now().Add(l.last))
	conn, err = l.ln.Accept()
	last.SetDeadline(time.Now().Add(-time.Second))
	if err == nil {
		l.stats.Inc("accepted_last", l.name)
	}
	return conn, err
}

// waits reports whether somebody waits to be accepted.
func waits(ln net.Listener) bool {
	s, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	raw.Control(func(fd uintptr) { n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return n > 0
}

type deadliner interface{ SetDeadline(t time.Time) error }

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

// room waits until the budget has room, closing the idle connection that is missed least where there is one. Who waits as the
// listener closes is taken in within the budget too, a crowd by and by, and beyond it only where no connection can give way
// or the last second is over: nobody would come back to take that one in.
func (l *Listener) room() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.most || l.closed && (time.Since(l.closedAt) > l.last || !l.mayGiveWay()) {
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
		wants := len(l.slots)-l.lingering() >= l.most // else there is room as soon as one that gave way is over
		l.mu.Unlock()
		if wants {
			l.makeRoom()
		}
		select {
		case <-l.freed:
		case <-time.After(idleGrace / 2):
		}
	}
}

// lingering is how many connections have given way already. It is called under the lock.
func (l *Listener) lingering() (n int) {
	for s := range l.slots {
		if s.ended {
			n++
		}
	}
	return n
}

// mayGiveWay reports whether any connection is ending, or will be idle unless more comes on it. It is called under the lock.
func (l *Listener) mayGiveWay() bool {
	for s := range l.slots {
		if s.ended || s.open == 0 && !s.taken {
			return true
		}
	}
	return false
}

// makeRoom has the idle connection that is missed least give way, where there is one.
func (l *Listener) makeRoom() {
	l.mu.Lock()
	var idle []*Slot
	for s := range l.slots {
		if s.idle(idleGrace) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.giveWay(idle, 1)
}

// giveWay has so many of the connections give way, those that are missed least first. One on which something has come stays.
func (l *Listener) giveWay(idle []*Slot, most int) {
	l.mu.Lock() // what they are compared by changes under it
	slices.SortFunc(idle, func(a, b *Slot) int {
		switch {
		case a.before(b):
			return -1
		case b.before(a):
			return 1
		}
		return 0
	})
	l.mu.Unlock()
	for _, s := range idle {
		if most <= 0 {
			return
		}
		if s.giveUp(idleGrace) {
			most--
			l.stats.Inc("evicted", l.name)
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
		l.ask(func(s *Slot) bool { return s.idle(after) })
	}
}

// ask asks the peers of some connections to leave, each once.
func (l *Listener) ask(which func(*Slot) bool) {
	l.mu.Lock()
	var list []func()
	for s := range l.slots {
		if !s.told && !s.ended && s.leave != nil && which(s) {
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
	over := len(l.slots) - l.lingering() - l.most
	var idle []*Slot
	for s := range l.slots {
		if s.idle(idleGrace) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.giveWay(idle, over)
}

// Drain asks every peer, and those still to come, to leave.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.ask(func(*Slot) bool { return true })
}

// Foreign tells that another process accepts on the same socket. It is called before Serve.
func (l *Listener) Foreign() { l.foreign = true }

// Close accepts no more connections than those that wait already; those there are go on. The socket closes at once where
// nobody serves it, or another process takes who waits, and soon after otherwise.
func (l *Listener) Close() {
	l.mu.Lock()
	was, accepts := l.closed, l.accepts
	l.closed = true
	if !was {
		l.closedAt = time.Now()
	}
	l.mu.Unlock()
	if last, can := l.ln.(deadliner); can && accepts && !l.foreign {
		if !was {
			last.SetDeadline(time.Now().Add(-time.Second))
		}
		return
	}
	l.ln.Close()
}

// End ends the connections there are, within the time given: each as soon as all that came on it is read and answered, and
// at last what is left. What is read from then on is not taken. It returns once their goroutines have ended, or the time is
// over.
func (l *Listener) End(within time.Duration) {
	until := time.Now().Add(within)
	for {
		left := time.Until(until)
		l.mu.Lock()
		n := len(l.slots)
		list := make([]*Slot, 0, n)
		for s := range l.slots {
			if !s.ended {
				list = append(list, s)
			}
		}
		l.mu.Unlock()
		if n == 0 || left <= 0 {
			return
		}
		for _, s := range list {
			s.giveUp(0)
		}
		time.Sleep(min(left, endLook))
	}
}

// Connections is the number of connections there are.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
