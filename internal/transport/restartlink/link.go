// Package restartlink implements the link between the two processes of a service during a hot restart: the two slots, of which each
// process holds one, the socket between the processes, and the mark, a file which says that the other process may not know all runs. Package hotrestart makes the decisions, under the core's lock.
package restartlink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/hotrestart"
)

const (
	peerCheckInterval  = 20 * time.Millisecond  // between two checks of the other slot; a start or a death is noticed within it
	writeTimeout       = 500 * time.Millisecond // for a peer that does not read; the link is then closed and requests stop waiting
	helloTimeout       = time.Second            // for a peer that connected and sends nothing; the link is then closed
	maxBackoff         = time.Second            // between two connection attempts
	maxWriteBytes      = 32 << 10               // bytes from which a write takes no further frame, as writeTimeout applies to each write
	maxIdleBufferBytes = 256 << 10              // bytes of buffer kept between writes; listing many runs needs more only once
)

// Link holds this process's slot and its connection to the peer, the other process of the service.
type Link struct {
	slots      *slots
	slot       int // -1 until a slot is taken
	startedAt  int64
	fullLogged bool // it was logged that both slots are taken
	peerAbsent bool // the core was last notified that there is no peer
	peerSeen   bool // a peer has been found, in the other slot or by a link
	core       *core.Core
	log        *log.Logger
	stats      *metrics.Counters
	ln         net.Listener // in slot 0, for the process in slot 1
	wake       chan struct{}
	incoming   chan net.Conn // connections from the process in slot 1
	done       chan struct{} // closed once the slot is released

	writeMu sync.Mutex // guards conn, linkID and buf
	conn    net.Conn   // nil while there is no link
	linkID  int        // number of the link, as returned by Core.PairLinkUp
	buf     []byte     // frames being written

	backoff  time.Duration // before the next connection attempt; grows until a link has received the peer's complete list of runs
	nextDial time.Time

	storedWindow time.Duration // see storeWindow

	markMu sync.Mutex
	marked bool
}

// Open opens the slot files of the named service in dir, a folder that its processes share. Start takes a slot.
func Open(dir, name string, l *log.Logger, s *metrics.Counters) (*Link, error) {
	slots, err := openSlots(dir, name)
	if err != nil {
		return nil, err
	}
	return &Link{slots: slots, slot: -1, log: l, stats: s, wake: make(chan struct{}, 1),
		incoming: make(chan net.Conn), done: make(chan struct{})}, nil
}

// CoreConfig returns the core's configuration for this link. The function shared is called when a second process appears or disappears; the
// two processes share the limits.
func (l *Link) CoreConfig(shared func(two bool)) *core.PairConfig {
	return &core.PairConfig{Flush: l.flush, MarkUnnotified: l.leaveMark, Wake: l.wakeWriter, Shared: shared}
}

// wakeWriter wakes writeLoop to send queued messages. It does not block.
func (l *Link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Start takes a slot and checks for a peer, before the core is notified of anything else. If both slots are taken, Start returns nil, and
// the process is not ready until Run finds a free slot.
func (l *Link) Start(c *core.Core) error {
	l.core = c
	return l.takeSlot()
}

// takeSlot takes a free slot and notifies the core. If there is none, it logs this once and returns nil.
func (l *Link) takeSlot() error {
	slot, ok := l.slots.take()
	if !ok {
		if !l.fullLogged {
			events.Log(l.log, "hotrestart.full")
			l.stats.Inc("handover", "third")
		}
		l.fullLogged = true
		return nil
	}
	l.slot, l.startedAt = slot, time.Now().UnixNano()
	l.core.PairWindow(max(l.slots.window(0), l.slots.window(1))) // before this process stores its own
	l.storeWindow()
	if slot == 0 {
		_ = os.Remove(l.slots.socketPath(0)) // left by a dead process, since the slot was free; if it cannot be removed, Listen fails
		var err error
		if l.ln, err = net.Listen("unix", l.slots.socketPath(0)); err != nil {
			return err
		}
	}
	l.core.PairSlotTaken(l.startedAt, slot)
	l.checkPeer()
	return nil
}

// checkPeer checks whether a process holds the other slot, and notifies the core if that has changed. It reports whether there is a peer.
func (l *Link) checkPeer() (present bool) {
	if l.slots.taken(1 - l.slot) {
		if l.peerAbsent || !l.peerSeen {
			l.core.PairPeerPresent()
		}
		l.peerAbsent, l.peerSeen = false, true
		return true
	}
	if l.peerAbsent {
		return false
	}
	l.peerAbsent = true
	previous := l.core.PairRole()
	l.reportNoPeer()
	events.Log(l.log, "hotrestart.alone", previous)
	l.slots.removeMarks()
	return false
}

// storeWindow stores the longest idempotency window of this process since its start, if it has grown.
func (l *Link) storeWindow() {
	window := l.core.LongestIdempotencyWindow()
	if l.slot < 0 || window <= l.storedWindow {
		return
	}
	if err := l.slots.storeWindow(l.slot, window); err != nil {
		events.Log(l.log, "hotrestart.failed", err)
	}
	l.storedWindow = window // without another attempt: the peer then counts by its own window
}

// reportNoPeer notifies the core that there is no peer, and passes it the peer's window and the check for a dead peer's mark.
func (l *Link) reportNoPeer() {
	l.core.PairWindow(l.slots.window(1 - l.slot))
	l.core.PairPeerAbsent(func(startedAt int64) bool {
		_, err := os.Stat(l.slots.markPath(startedAt))
		return err == nil
	})
}

// Released returns a channel that is closed once Run has released the slot.
func (l *Link) Released() <-chan struct{} { return l.done }

// Run maintains the link to the peer until the context ends, and then releases the slot. The core must have stopped by then.
func (l *Link) Run(ctx context.Context) {
	defer close(l.done)
	defer l.slots.close() // releases the slot at once: this process runs no requests any more, but its exit may take long
	go l.writeLoop(ctx)
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	accepting := false
	for {
		if l.ln != nil && !accepting {
			accepting = true
			go l.accept(ctx)
			defer l.ln.Close()
		}
		select {
		case <-ctx.Done():
			return
		case conn := <-l.incoming:
			l.serveLink(ctx, conn)
		case <-tick.C:
			l.storeWindow()
			if l.slot < 0 {
				if err := l.takeSlot(); err != nil {
					events.Log(l.log, "hotrestart.failed", err)
				}
			} else if l.checkPeer() && l.slot == 1 && !time.Now().Before(l.nextDial) {
				if conn, err := net.DialTimeout("unix", l.slots.socketPath(0), peerCheckInterval); err == nil {
					l.serveLink(ctx, conn)
				}
			}
		}
	}
}

// accept passes connections of the process in slot 1 to Run.
func (l *Link) accept(ctx context.Context) {
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			return
		}
		select {
		case l.incoming <- conn:
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

// serveLink serves one link, from its first message to its end.
func (l *Link) serveLink(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l.peerAbsent, l.peerSeen = false, true // the peer may die before checkPeer finds its slot taken, and checkPeer must then report its death
	l.writeMu.Lock()
	l.conn, l.linkID = conn, l.core.PairLinkUp()
	l.writeMu.Unlock()
	err := l.readMessages(conn)
	if errors.Is(err, hotrestart.ErrStaleIdentity) {
		_ = l.flush(l.currentLink()) // the peer learns its error from this side's Hello, which may still be unsent; the link closes anyway
	}
	l.backoff = min(max(2*l.backoff, peerCheckInterval), maxBackoff)
	l.nextDial = time.Now().Add(l.backoff)
	conn.Close()
	if errors.Is(err, hotrestart.ErrPeerReplaced) {
		l.reportNoPeer() // before PairLinkDown: the unread bytes of this link are not from the dead process
	}
	l.writeMu.Lock()
	l.conn = nil
	l.core.PairLinkDown(!endedByPeer(err))
	l.writeMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	l.stats.Inc("handover", "link_down")
	if errors.Is(err, errFrame) {
		l.stats.Inc("malformed", "handover")
	}
	events.Log(l.log, "hotrestart.link_down", err)
	if errors.Is(err, hotrestart.ErrPeerReplaced) {
		l.core.PairPeerPresent()
	}
}

// endedByPeer reports whether the peer closed the link, which means that everything the peer wrote has been read.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// readMessages reads messages and passes them to the core until the link fails. It never returns nil.
func (l *Link) readMessages(conn net.Conn) error {
	r := bufio.NewReader(conn)
	var frame []byte
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	for {
		m, f, err := readMessage(r, frame)
		if frame = f; err != nil {
			return err
		}
		mayClearMark, marks, err := l.core.PairMessage(m)
		if err != nil {
			return fmt.Errorf("failed to handle a message of the other process: %w", err)
		}
		switch m.Kind {
		case hotrestart.Hello:
			conn.SetReadDeadline(time.Time{})
			l.stats.Inc("handover", "links")
		case hotrestart.SyncComplete:
			l.backoff = 0
			events.Log(l.log, "hotrestart.complete", l.core.PairRole())
		}
		if mayClearMark {
			if l.flush(l.currentLink()) == nil { // if it fails, the mark stays, and the rest of the peer's messages is still read
				l.clearMark(marks)
			}
		}
	}
}

// writeLoop writes the messages that no request waits for. It runs until the context ends.
func (l *Link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			_ = l.flush(l.currentLink()) // on an error flush stops writing to the link, and readMessages ends it
		}
	}
}

// currentLink returns the number of the current link.
func (l *Link) currentLink() int {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.linkID
}

// errNoLink reports a flush of a link that was closed or replaced.
var errNoLink = errors.New("no link to the other process")

// flush writes all queued messages of a link. Once it returns nil, the peer can read them even if this process dies. After an error the
// peer may not receive them. The error is errNoLink if the link was closed or replaced, or the error of Core.PairTakeOutbox or of the write.
func (l *Link) flush(link int) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if l.conn == nil || link != l.linkID {
		return errNoLink
	}
	out, err := l.core.PairTakeOutbox(l.linkID)
	if err != nil {
		return err
	}
	for len(out) > 0 {
		l.buf = l.buf[:0]
		for len(out) > 0 && len(l.buf) < maxWriteBytes {
			l.buf = appendMessage(l.buf, out[0])
			out = out[1:]
		}
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.Write(l.buf); err != nil {
			// The receiving half stays open: if the peer is dead, its last messages are the only source about its runs. A peer that is
			// alive but does not read sees the end of this side's output and closes the link.
			if unixConn, ok := l.conn.(*net.UnixConn); ok {
				_ = unixConn.CloseWrite() // a failure is ignored, since the link is no longer written to
			}
			l.conn = nil
			l.core.PairWriteClosed(l.linkID)
			return fmt.Errorf("failed to write to the other process: %w", err)
		}
	}
	if cap(l.buf) > maxIdleBufferBytes {
		l.buf = nil
	}
	return nil
}

// leaveMark creates the mark which shows that this process runs requests that the peer was not notified of. It does nothing if the mark
// exists.
func (l *Link) leaveMark() error {
	l.markMu.Lock()
	defer l.markMu.Unlock()
	if l.marked {
		return nil
	}
	f, err := os.OpenFile(l.slots.markPath(l.startedAt), os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	l.marked = true
	l.stats.Inc("handover", "marked")
	events.Log(l.log, "hotrestart.unlinked")
	return f.Close()
}

// clearMark removes the mark, unless more runs than marks have required it.
func (l *Link) clearMark(marks int) {
	l.markMu.Lock()
	defer l.markMu.Unlock()
	if l.marked && l.core.PairMarks() == marks {
		_ = os.Remove(l.slots.markPath(l.startedAt)) // a mark that cannot be removed only makes the peer fail requests that it could answer
		l.marked = false
	}
}
