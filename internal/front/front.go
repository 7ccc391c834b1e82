// Package front accepts the connections of every front. It keeps them within a budget of descriptors, closes
// those that idle, and asks the peers to leave in a drain.
package front

import (
	"errors"
	"log"
	"net"
	"sync"
	"time"

	"silverpath/internal/stats"
)

// Handler serves one connection until it is over, and closes it.
type Handler func(conn net.Conn, slot *Slot)

// Slot is a connection's place in the budget.
type Slot struct {
	owner *Listener
	conn  net.Conn
	leave func() // asks the peer to leave

	// Under the owner's lock:
	open  int // requests
	since time.Time
	asked bool
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

	mu       sync.Mutex
	slots    map[*Slot]bool
	freed    chan struct{}
	draining bool
	closed   bool
	serving  sync.WaitGroup
}

const (
	sweepEvery = 250 * time.Millisecond
	// idleGrace is the least time that a connection over the budget must have idled: a request that crosses
	// its close within 50 ms is sent again, one that was under way before would be lost.
	idleGrace = 100 * time.Millisecond
)

// Listen opens a front's address for at most the given number of connections. The idle function tells how
// long a connection may carry nothing; 0 is without end.
func Listen(name, addr string, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *stats.Counters) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(name, ln, most, idle, handle, l, s), nil
}

// New serves an open listener.
func New(name string, ln net.Listener, most int, idle func() time.Duration, handle Handler, l *log.Logger, s *stats.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, most: max(1, most), handle: handle, idle: idle, log: l, stats: s,
		slots: map[*Slot]bool{}, freed: make(chan struct{}, 1),
	}
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
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			l.stats.Inc("accept_failed", l.name)
			l.log.Printf("%s: accepting: %v", l.name, err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some will come free
			continue
		}
		l.stats.Inc("connections", l.name)
		l.room() // only now, so that no idle connection is closed for one that may never come
		s := &Slot{owner: l, conn: conn, since: time.Now()}
		l.mu.Lock()
		l.slots[s] = true
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
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// room waits until the budget has room, closing the connection that has idled longest where there is one.
func (l *Listener) room() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.most || l.closed {
			l.mu.Unlock()
			return
		}
		var oldest *Slot
		for s := range l.slots {
			if s.open == 0 && time.Since(s.since) >= idleGrace && (oldest == nil || s.since.Before(oldest.since)) {
				oldest = s
			}
		}
		l.mu.Unlock()
		if oldest != nil {
			l.stats.Inc("evicted", l.name)
			oldest.conn.Close()
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
		if !s.asked && s.leave != nil && which(s) {
			s.asked = true
			list = append(list, s.leave)
		}
	}
	l.mu.Unlock()
	for _, leave := range list {
		go leave() // a slow peer must not hold up the others
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
