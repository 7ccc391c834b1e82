// Package listener accepts the connections of every front and keeps their number within a budget of descriptors. It evicts an idle
// connection for a new one over the budget. It asks the peers of connections that have been idle too long, and of all connections in a
// drain, to close them. It closes connections in a way that lets the last answer arrive. The protocol of a connection is up to its Handler.
package listener

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
)

// Handler serves one connection until it ends, and closes it. It reports messages and requests in flight to the slot, from which the
// listener determines whether the connection may be closed.
type Handler func(conn net.Conn, slot *Slot)

// Listener accepts the connections of one front.
type Listener struct {
	name        string
	ln          net.Listener
	handle      Handler
	idleTimeout func() time.Duration // how long a connection may be idle; 0: unlimited
	log         *log.Logger
	stats       *metrics.Counters
	startedAt   time.Time

	shared               bool          // another process accepts on the same socket: see ShareSocket
	lingerTimeout        time.Duration // the constant lingerTimeout, except in tests
	acceptBacklogTimeout time.Duration // the constant acceptBacklogTimeout, except in tests

	// Used only by the accepting goroutine:
	reserveEvictions    int       // number of slots evicted for the reserve, see evictionsPerPause
	acceptErrorLoggedAt time.Time // when a failed accept was last logged

	released chan struct{}  // signals awaitCapacity that a slot was released
	handlers sync.WaitGroup // running handlers

	mu             sync.Mutex // guards all fields below, and those of each slot
	maxConns       int
	reserve        *admission.Reserve // nil: no reserve
	lastID         uint64
	slots          map[*Slot]bool
	slotByID       map[uint64]*Slot // with a reserve: the slots that it may still evict
	draining       bool             // Drain was called
	serving        bool             // Serve was called
	closed         bool             // Close was called
	closedAt       time.Time        // when Close was called
	logWindowStart time.Time        // start of the second in which linesInWindow counts
	linesInWindow  int              // events that LogPeer was called for in this second
}

// Listen opens a front's address for at most maxConns connections. IdleTimeout returns how long a connection may be idle; 0 is unlimited.
// The caller must call Serve or Close afterwards.
func Listen(name, addr string, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) (*Listener, error) {
	// TCP keep-alive is off: the time limits of this program already close silent connections, and enabling keep-alive costs three
	// system calls per connection.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(name, ln, maxConns, idleTimeout, handle, l, s), nil
}

// ListenShared opens an address that another process of the service may have open too. The result is passed to New.
func ListenShared(addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: ReusePort}).Listen(context.Background(), "tcp", addr)
}

// ReusePort is a Control function for net.ListenConfig that sets SO_REUSEPORT, which lets two processes of the service listen on one
// address.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}

// ListenInherited returns a listener for a descriptor that the process inherited, to be passed to New. It closes the descriptor itself. It
// returns an error if the descriptor is not an open TCP listener.
func ListenInherited(fd int) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("descriptor %d is not open", fd)
	}
	defer f.Close() // the listener has a duplicate
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

// New is like Listen for a socket that is already open.
func New(name string, ln net.Listener, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, maxConns: max(1, maxConns), handle: handle, idleTimeout: idleTimeout, log: l, stats: s,
		startedAt: time.Now(), lingerTimeout: lingerTimeout, acceptBacklogTimeout: acceptBacklogTimeout, slots: map[*Slot]bool{}, slotByID: map[uint64]*Slot{}, released: make(chan struct{}, 1),
	}
}

// Reserve reserves a part of the connections for cheap calls. It must be called before Serve.
func (l *Listener) Reserve(cfg admission.ReserveConfig) {
	l.reserve = admission.NewReserve(cfg, l.maxConns)
}

// ReserveState returns the state of the reserve. It returns false if there is no reserve.
func (l *Listener) ReserveState() (admission.ReserveSnapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve == nil {
		return admission.ReserveSnapshot{}, false
	}
	return l.reserve.Snapshot(), true
}

// ShareSocket records that another process accepts from the same socket, so that Close leaves the backlog to that process. It must be
// called before Serve.
func (l *Listener) ShareSocket() { l.shared = true }

// Name returns the front's name.
func (l *Listener) Name() string { return l.name }

// Addr returns the address that the listener is bound to.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
