// Package listener accepts the connections of every front and keeps them within their budget of descriptors. For a new connection
// over the budget it evicts an idle one; it asks the peers of those that idle too long, and of all in a drain, to leave; and it
// closes connections so that the last answer on them arrives. What is spoken on a connection is its Handler's.
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

// Handler serves one connection until it is over, and closes it. It says on the slot what comes and goes on the connection, from
// which the listener knows whether the connection may be closed.
type Handler func(conn net.Conn, slot *Slot)

// Listener accepts the connections of one front.
type Listener struct {
	name        string
	ln          net.Listener
	handle      Handler
	idleTimeout func() time.Duration // how long a connection may carry nothing; 0: without end
	log         *log.Logger
	stats       *metrics.Counters
	startedAt   time.Time

	shared           bool          // another process accepts on the same socket: see ShareSocket
	lingerTimeout    time.Duration // the constant, but in tests
	acceptBacklogFor time.Duration // acceptBacklogTimeout, but in tests

	// Only of the accepting goroutine:
	reserveEvictions    int       // see evictionsPerPause
	acceptErrorLoggedAt time.Time // when a line that accepting fails was logged last

	released chan struct{}  // has a token while a slot may have been released since the last look
	handlers sync.WaitGroup // handlers that run

	mu             sync.Mutex // of all below, and of each slot
	maxConns       int
	reserve        *admission.Reserve // nil: none
	lastID         uint64
	slots          map[*Slot]bool
	slotByID       map[uint64]*Slot // with a reserve, those that it may still choose
	draining       bool             // Drain was called
	serving        bool             // Serve was called
	closed         bool             // Close was called,
	closedAt       time.Time        // at this time
	logWindowStart time.Time        // of the second in which lines about peers are counted
	linesInWindow  int
}

// Listen opens a front's address for at most maxConns connections. IdleTimeout tells how long a connection may carry nothing; 0 is
// without end. Serve must follow, or Close.
func Listen(name, addr string, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) (*Listener, error) {
	// Peers that say nothing are closed by time limits of our own, so that the kernel's keep-alive is not needed: to set it up would
	// cost each connection three system calls.
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(name, ln, maxConns, idleTimeout, handle, l, s), nil
}

// ListenShared opens an address that another process of the service may have open too, for New.
func ListenShared(addr string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAlive: -1, Control: ReusePort}).Listen(context.Background(), "tcp", addr)
}

// ReusePort is a net.ListenConfig's Control by which two processes of the service can have one address.
func ReusePort(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
		return e
	}
	return err
}

// Inherited returns the listener of a descriptor that the process was started with, for New. The descriptor itself is closed.
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

// New is Listen for a socket that is open already.
func New(name string, ln net.Listener, maxConns int, idleTimeout func() time.Duration, handle Handler, l *log.Logger, s *metrics.Counters) *Listener {
	return &Listener{
		name: name, ln: ln, maxConns: max(1, maxConns), handle: handle, idleTimeout: idleTimeout, log: l, stats: s,
		startedAt: time.Now(), lingerTimeout: lingerTimeout, acceptBacklogFor: acceptBacklogTimeout, slots: map[*Slot]bool{}, slotByID: map[uint64]*Slot{}, released: make(chan struct{}, 1),
	}
}

// Reserve sets a part of the connections aside for cheap calls. It is called before Serve.
func (l *Listener) Reserve(c admission.ReserveConfig) {
	l.reserve = admission.NewReserve(c, l.maxConns)
}

// Reserved returns the state of the reserve, and whether there is one.
func (l *Listener) Reserved() (admission.ReserveSnapshot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reserve == nil {
		return admission.ReserveSnapshot{}, false
	}
	return l.reserve.Snapshot(), true
}

// ShareSocket says that another process accepts on the same socket, so that connections that wait there at Close are for that one to
// accept. It is called before Serve.
func (l *Listener) ShareSocket() { l.shared = true }

// Name returns the front's name.
func (l *Listener) Name() string { return l.name }

// Addr returns the address listened on.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Connections returns the number of open connections.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}
