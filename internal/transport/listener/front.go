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
	id      uint64
	owner   *Listener
	conn    net.Conn
	onDrain func()        // asks the peer to leave
	onEvict func()        // tells it what was taken, before the end
	evicted chan struct{} // closed as the connection gives way to another

	// Under the owner's lock:
	inFlight      int       // requests whose answers are not written
	lastActivity  time.Time // of what came or went last
	drainNotified bool      // the peer was asked to leave
	messages      int       // whole messages that came
	handling      bool      // one of them is being seen to
	closing       bool      // its place is given up: nothing that comes is taken any more
	lingerUntil   time.Time // it lingers; zero: it does not yet
}

// BeginMessage notes that a whole message has come. It reports false where the connection's place was given up before: then the
// message must not be taken, since what is answered would not arrive.
func (s *Slot) BeginMessage() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.closing {
		return false
	}
	s.messages++
	s.handling, s.lastActivity = true, time.Now()
	return true
}

// EndMessage notes that the message that came last is seen to: it is answered, or its request is open.
func (s *Slot) EndMessage() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.handling, s.lastActivity = false, time.Now()
}

// idle reports whether nobody would lose anything by the connection's end, for at least so long. Half a message is no
// request. It is called under the owner's lock.
func (s *Slot) idle(minIdle time.Duration) bool {
	return s.inFlight == 0 && !s.handling && !s.closing && time.Since(s.lastActivity) >= minIdle
}

// evict ends an idle connection, unless something has come on it that was not read yet. Who never asked has no answer on its
// way; of others the sending half ends first, so that their last answers arrive, and they have lingerTimeout to end theirs.
// Whatever is read from now on is not taken: Asked says no.
func (s *Slot) evict(minIdle time.Duration) bool {
	l := s.owner
	l.mu.Lock()
	ok := s.idle(minIdle) && linger.Peek(s.conn) != linger.Unread
	s.closing = s.closing || ok
	if ok {
		s.lingerUntil = time.Now().Add(l.lingerTimeout)
	}
	spoke, deadline, onEvict := s.messages > 0, s.lingerUntil, s.onEvict
	l.mu.Unlock()
	if !ok {
		return false
	}
	if spoke && onEvict != nil {
		onEvict()
	}
	if spoke && linger.CloseWrite(s.conn) {
		s.conn.SetReadDeadline(deadline)
	} else {
		s.conn.Close()
	}
	return true
}

// Evicted reports whether the connection's place was given up.
func (s *Slot) Evicted() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.closing
}

// CloseGracefully ends a connection on which all answers are written, so that they arrive; r holds what was read of it already.
func (s *Slot) CloseGracefully(r io.Reader) {
	s.owner.mu.Lock()
	s.closing = true
	if s.lingerUntil.IsZero() {
		s.lingerUntil = time.Now().Add(s.owner.lingerTimeout)
	}
	remaining := time.Until(s.lingerUntil)
	s.owner.mu.Unlock()
	linger.Close(s.conn, r, remaining, maxLingerBytes)
}

// LogPeer logs what was wrong with a peer. Whoever floods the service floods no log: of many lines a second the
// rest is only counted.
func (s *Slot) LogPeer(event string, values ...any) {
	l := s.owner
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.logWindowStart) >= time.Second {
		l.logWindowStart, l.linesInWindow = now, 0
	}
	l.linesInWindow++
	n := l.linesInWindow
	l.mu.Unlock()
	if n <= maxLinesPerWindow {
		events.Log(l.log, event, values...)
	} else {
		l.stats.Inc("unlogged", l.name)
	}
}

// AdmitsWork asks whether the connection may carry work. Without a reserve every connection may.
func (s *Slot) AdmitsWork() bool {
	l := s.owner
	if l.reserve == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve.AdmitWork(s.id)
}

// PaceCheapCall is called before the answer to a cheap call. It holds up a peer that asks more than its part, and nobody else.
func (s *Slot) PaceCheapCall() {
	l := s.owner
	if l.reserve == nil {
		return
	}
	l.mu.Lock()
	wait := l.reserve.CheapCall(time.Since(l.startedAt), s.id)
	l.mu.Unlock()
	if wait > 0 {
		l.stats.Inc("paced", l.name)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.evicted: // its place is needed now, not when its turn comes
		}
	}
}

// OnDrain sets how the peer is asked to leave; where nothing is set an idle connection is just closed.
func (s *Slot) OnDrain(notice func()) {
	s.owner.mu.Lock()
	s.onDrain = notice
	draining := s.owner.draining
	s.owner.mu.Unlock()
	if draining {
		notice()
	}
}

// OnEvict sets what is said last where the connection's place is given up. It must not wait for a slow peer.
func (s *Slot) OnEvict(notice func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.onEvict = notice
}

// SetInFlight notes how many requests are open on the connection.
func (s *Slot) SetInFlight(n int) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.inFlight, s.lastActivity = n, time.Now()
}

// Listener accepts the connections of one front.
type Listener struct {
	name        string
	ln          net.Listener
	maxConns    int
	handle      Handler
	idleTimeout func() time.Duration
	log         *log.Logger
	stats       *metrics.Counters

	startedAt        time.Time
	lingerTimeout    time.Duration      // lingerTimeout, but in tests
	acceptBacklogFor time.Duration      // acceptBacklogTimeout, but in tests
	reserve          *admission.Reserve // nil: none; under the lock

	mu                  sync.Mutex
	lastID              uint64
	slots               map[*Slot]bool
	slotByID            map[uint64]*Slot // with a reserve
	released            chan struct{}
	draining            bool
	closed              bool
	closedAt            time.Time
	paceEvictions       int  // connections that asked too much; the accepting goroutine's own
	serving             bool // Serve runs
	handlers            sync.WaitGroup
	logWindowStart      time.Time // of the second in which logged lines are counted
	linesInWindow       int
	acceptErrorLoggedAt time.Time // that accepting fails; the accepting goroutine's own
	// foreign: another process accepts on the same socket, so that who waits there is not this one's to take in at the end.
	shared bool
}

// MessageTimeout is how long a peer has for its first whole message from its connecting, and for each further one
// from its first byte. Whoever needs longer gets no answer but a close.
const MessageTimeout = 2 * time.Second

// MessagesPerTurn is how many messages a connection has taken before the others have their turn. A peer that always has more to
// say would otherwise keep the one core for the 10 ms that the runtime leaves a goroutine: with 40 of them operators
// waited for half a second.
const MessagesPerTurn = 2

const (
	idleCheckInterval = 250 * time.Millisecond
	maxLinesPerWindow = 1 // logged in a second about peers
	// evictPause follows every evictionsPerPause connections that gave way since they ask too much: who does so comes back at
	// once, and its coming and going must not take the process's time.
	evictPause        = time.Millisecond
	evictionsPerPause = 8
	// minIdleBeforeEviction is the least time that a connection over the budget must have idled: a request that crosses
	// its close within 50 ms is sent again, one that was under way before would be lost.
	minIdleBeforeEviction = 100 * time.Millisecond
	// lingerTimeout and maxLingerBytes bound what is read of a connection after its last answer.
	lingerTimeout  = 50 * time.Millisecond
	maxLingerBytes = 64 << 10 // bytes
	// acceptBacklogTimeout is for how long after its closing a listener still takes in who waits, however many come.
	acceptBacklogTimeout = time.Second
	acceptRetryDelay     = 10 * time.Millisecond // after a failure to accept
	acceptErrorInterval  = time.Second           // of lines that accepting fails
	endPollInterval      = 2 * time.Millisecond  // between two looks at connections that are to end
)

// Listen opens a front's address for at most the given number of connections. The idle function tells how
// long a connection may carry nothing; 0 is without end.
func Listen(name, addr string, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) (*Listener, error) {
	// Who says nothing is closed by time limits of our own, so that the kernel's probes are not needed; setting them up
	// would cost each connection three calls.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(name, ln, maxConns, idleTimeout, handle, l, s), nil
}

// ListenShared opens an address that another process of the service may have open too.
func ListenShared(addr string) (net.Listener, error) {
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
func New(name string, ln net.Listener, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, maxConns: max(1, maxConns), handle: handle, idleTimeout: idleTimeout, log: l, stats: s,
		startedAt: time.Now(), lingerTimeout: lingerTimeout, acceptBacklogFor: acceptBacklogTimeout, slots: map[*Slot]bool{}, slotByID: map[uint64]*Slot{}, released: make(chan struct{}, 1),
	}
}

// Reserve keeps a part of the connections for what is cheap. It is called before Serve.
func (l *Listener) Reserve(c admission.ReserveConfig) {
	l.reserve = admission.NewReserve(c, l.maxConns)
}

// Reserved is the state of the reserve, and whether there is one.
func (l *Listener) Reserved() (admission.ReserveSnapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve == nil {
		return admission.ReserveSnapshot{}, false
	}
	return l.reserve.Snapshot(), true
}

// Name is the front's name.
func (l *Listener) Name() string { return l.name }

// Addr is the address listened on.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Serve accepts connections until Close.
func (l *Listener) Serve() {
	done := make(chan struct{})
	defer close(done)
	go l.notifyIdle(done)
	admission := l.stats.Timing("room", l.name)
	l.mu.Lock()
	l.serving = true
	l.mu.Unlock()
	for {
		conn, err := l.accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.stats.Inc("accept_failed", l.name)
			if now := time.Now(); now.Sub(l.acceptErrorLoggedAt) >= acceptErrorInterval {
				l.acceptErrorLoggedAt = now
				events.Log(l.log, "front.accepting", l.name, err)
			}
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.evictOne() // no descriptor is left for who waits: the one that is missed least gives way
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.stats.Inc("connections", l.name)
		accepted := time.Now()
		l.awaitCapacity() // only now, so that no idle connection is closed for one that may never come
		admission.Record(time.Since(accepted))
		s := &Slot{owner: l, conn: conn, lastActivity: time.Now(), evicted: make(chan struct{})}
		l.mu.Lock()
		l.lastID++
		s.id = l.lastID
		l.slots[s] = true
		if l.reserve != nil {
			l.reserve.Opened(time.Since(l.startedAt), s.id)
			l.slotByID[s.id] = s
		}
		l.handlers.Add(1)
		l.mu.Unlock()
		go func() {
			defer l.handlers.Done()
			defer l.release(s)
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
	expired := time.Since(l.closedAt) > l.acceptBacklogFor
	l.mu.Unlock()
	socket := l.ln.(deadlineSetter)
	if expired || !hasPending(l.ln) {
		l.ln.Close()
		return nil, net.ErrClosed
	}
	socket.SetDeadline(time.Now().Add(l.acceptBacklogFor))
	conn, err = l.ln.Accept()
	socket.SetDeadline(time.Now().Add(-time.Second))
	if err == nil {
		l.stats.Inc("accepted_last", l.name)
	}
	return conn, err
}

// hasPending reports whether somebody waits to be accepted.
func hasPending(ln net.Listener) bool {
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

type deadlineSetter interface{ SetDeadline(t time.Time) error }

func (l *Listener) release(s *Slot) {
	s.conn.Close()
	l.mu.Lock()
	delete(l.slots, s)
	if l.reserve != nil {
		l.reserve.Closed(s.id)
		delete(l.slotByID, s.id)
	}
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// evictBefore reports whether an idle connection is closed before another one: who has asked nothing goes first, then
// who has asked once, as clients do that never come back, then who has idled longest.
func (s *Slot) evictBefore(other *Slot) bool {
	if a, b := min(s.messages, 2), min(other.messages, 2); a != b {
		return a < b
	}
	return s.lastActivity.Before(other.lastActivity)
}

// awaitCapacity waits until the budget has room, closing the idle connection that is missed least where there is one. Who waits as the
// listener closes is taken in within the budget too, a crowd by and by, and beyond it only where no connection can give way
// or the last second is over: nobody would come back to take that one in.
func (l *Listener) awaitCapacity() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.maxConns || l.closed && (time.Since(l.closedAt) > l.acceptBacklogFor || !l.hasEvictable()) {
			l.mu.Unlock()
			return
		}
		if l.reserve != nil {
			if id, found := l.reserve.Evict(time.Since(l.startedAt)); found && l.slotByID[id] != nil {
				victim := l.slotByID[id]
				delete(l.slotByID, id) // chosen once
				l.mu.Unlock()
				l.stats.Inc("evicted", l.name)
				victim.conn.Close()
				close(victim.evicted)
				if l.paceEvictions++; l.paceEvictions%evictionsPerPause == 0 {
					time.Sleep(evictPause)
				}
				select {
				case <-l.released:
				case <-time.After(minIdleBeforeEviction / 2):
				}
				continue
			}
		}
		atLimit := len(l.slots)-l.closingCount() >= l.maxConns // else there is room as soon as one that gave way is over
		l.mu.Unlock()
		if atLimit {
			l.evictOne()
		}
		select {
		case <-l.released:
		case <-time.After(minIdleBeforeEviction / 2):
		}
	}
}

// closingCount is how many connections have given way already. It is called under the lock.
func (l *Listener) closingCount() (n int) {
	for s := range l.slots {
		if s.closing {
			n++
		}
	}
	return n
}

// hasEvictable reports whether any connection is ending, or will be idle unless more comes on it. It is called under the lock.
func (l *Listener) hasEvictable() bool {
	for s := range l.slots {
		if s.closing || s.inFlight == 0 && !s.handling {
			return true
		}
	}
	return false
}

// evictOne has the idle connection that is missed least give way, where there is one.
func (l *Listener) evictOne() {
	l.mu.Lock()
	var idle []*Slot
	for s := range l.slots {
		if s.idle(minIdleBeforeEviction) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.evictIdle(idle, 1)
}

// evictIdle has so many of the connections give way, those that are missed least first. One on which something has come stays.
func (l *Listener) evictIdle(idle []*Slot, count int) {
	l.mu.Lock() // what they are compared by changes under it
	slices.SortFunc(idle, func(a, b *Slot) int {
		switch {
		case a.evictBefore(b):
			return -1
		case b.evictBefore(a):
			return 1
		}
		return 0
	})
	l.mu.Unlock()
	for _, s := range idle {
		if count <= 0 {
			return
		}
		if s.evict(minIdleBeforeEviction) {
			count--
			l.stats.Inc("evicted", l.name)
		}
	}
}

// notifyIdle asks connections that idle for too long to leave.
func (l *Listener) notifyIdle(done <-chan struct{}) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		timeout := l.idleTimeout()
		if timeout <= 0 {
			continue
		}
		l.notifyDrain(func(s *Slot) bool { return s.idle(timeout) })
	}
}

// notifyDrain asks the peers of some connections to leave, each once.
func (l *Listener) notifyDrain(selected func(*Slot) bool) {
	l.mu.Lock()
	var notices []func()
	for s := range l.slots {
		if !s.drainNotified && !s.closing && s.onDrain != nil && selected(s) {
			s.drainNotified = true
			notices = append(notices, s.onDrain)
		}
	}
	l.mu.Unlock()
	for _, notice := range notices {
		go notice() // a slow peer must not hold up the others
	}
}

// SetMaxConnections changes the budget. Idle connections over it give way at once, the one that is missed least first.
func (l *Listener) SetMaxConnections(maxConns int) {
	l.mu.Lock()
	l.maxConns = max(1, maxConns)
	excess := len(l.slots) - l.closingCount() - l.maxConns
	var idle []*Slot
	for s := range l.slots {
		if s.idle(minIdleBeforeEviction) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.evictIdle(idle, excess)
}

// Drain asks every peer, and those still to come, to leave.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.notifyDrain(func(*Slot) bool { return true })
}

// ShareSocket tells that another process accepts on the same socket. It is called before Serve.
func (l *Listener) ShareSocket() { l.shared = true }

// Close accepts no more connections than those that wait already; those there are go on. The socket closes at once where
// nobody serves it, or another process takes who waits, and soon after otherwise.
func (l *Listener) Close() {
	l.mu.Lock()
	wasClosed, serving := l.closed, l.serving
	l.closed = true
	if !wasClosed {
		l.closedAt = time.Now()
	}
	l.mu.Unlock()
	if socket, ok := l.ln.(deadlineSetter); ok && serving && !l.shared {
		if !wasClosed {
			socket.SetDeadline(time.Now().Add(-time.Second))
		}
		return
	}
	l.ln.Close()
}

// EndConnections ends the connections there are, within the time given: each as soon as all that came on it is read and answered, and
// at last what is left. What is read from then on is not taken. It returns once their goroutines have ended, or the time is
// over.
func (l *Listener) EndConnections(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for {
		left := time.Until(deadline)
		l.mu.Lock()
		n := len(l.slots)
		open := make([]*Slot, 0, n)
		for s := range l.slots {
			if !s.closing {
				open = append(open, s)
			}
		}
		l.mu.Unlock()
		if n == 0 || left <= 0 {
			return
		}
		for _, s := range open {
			s.evict(0)
		}
		time.Sleep(min(left, endPollInterval))
	}
}

// Connections is the number of connections there are.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
