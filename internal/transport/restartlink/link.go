// Package restartlink is the link between two processes that are one service during a hot restart: the slots that they take, the socket
// between them, and the mark that one leaves for the other. What is decided by it is decided in the package hotrestart, under the core's
// lock.
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
	peerCheckInterval = 20 * time.Millisecond  // between two looks whether the other slot is taken: a start and a death are noticed within it
	writeTimeout      = 500 * time.Millisecond // of a process that is there and does not read: the link is given up, requests wait no longer
	helloTimeout      = time.Second            // of a process that connected and sends nothing: so is its link
	maxBackoff        = time.Second            // between two attempts to connect
	maxWrite          = 32 << 10               // bytes of one write, but for its last frame: writeTimeout is of so much
	maxIdleBuffer     = 256 << 10              // bytes that are kept between writes; a list of many runs takes more, once
)

// Link is this process's slot and its link to the other process.
type Link struct {
	slots      *slots
	slot       int // -1: none yet
	startedAt  int64
	fullLogged bool // it was logged that there are two already
	peerAbsent bool // as the core was notified last
	peerSeen   bool
	core       *core.Core
	log        *log.Logger
	stats      *metrics.Counters
	ln         net.Listener // of slot 0, to which slot 1 connects
	wake       chan struct{}
	incoming   chan net.Conn // from the process in slot 1
	done       chan struct{} // closed once the slot is free again

	writeMu sync.Mutex // guards what follows
	conn    net.Conn   // nil: no link
	linkID  int        // its number, by which the core tells links apart
	buf     []byte     // of frames that are being written

	backoff  time.Duration // before the next attempt to connect: longer each time that a link ends before all was listed
	nextDial time.Time

	markMu sync.Mutex
	marked bool
}

// Open prepares the slots of a service in a folder that its processes share.
func Open(dir, name string, l *log.Logger, s *metrics.Counters) (*Link, error) {
	slots, err := openSlots(dir, name)
	if err != nil {
		return nil, err
	}
	return &Link{slots: slots, slot: -1, log: l, stats: s, wake: make(chan struct{}, 1),
		incoming: make(chan net.Conn), done: make(chan struct{})}, nil
}

// CoreConfig is what the core needs of the link. Shared is told whether two processes share the limits.
func (l *Link) CoreConfig(shared func(two bool)) *core.PairConfig {
	return &core.PairConfig{Flush: l.flush, MarkUnnotified: l.leaveMark, Wake: l.wakeWriter, Shared: shared}
}

// wakeWriter has the writer look for messages to send.
func (l *Link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Start takes a slot and looks for the other process, before the core is notified of anything else. A third process has no slot, which is
// no error, and is not ready until one of the two is gone.
func (l *Link) Start(c *core.Core) error {
	l.core = c
	return l.takeSlot()
}

// takeSlot takes a free slot, if there is one.
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
	if slot == 0 {
		_ = os.Remove(l.slots.socketPath(0)) // of a dead process, as the slot was free; where it stays, listening fails and says so
		var err error
		if l.ln, err = net.Listen("unix", l.slots.socketPath(0)); err != nil {
			return err
		}
	}
	l.core.PairPlaced(l.startedAt, slot)
	l.checkPeer()
	return nil
}

// checkPeer notifies the core whether there is another process.
func (l *Link) checkPeer() (there bool) {
	if l.slots.taken(1 - l.slot) {
		if l.peerAbsent || !l.peerSeen {
			l.core.PairOther()
		}
		l.peerAbsent, l.peerSeen = false, true
		return true
	}
	if l.peerAbsent {
		return false
	}
	l.peerAbsent = true
	previous := l.core.PairRole()
	l.reportPeerGone()
	events.Log(l.log, "hotrestart.alone", previous)
	l.slots.removeMarks()
	return false
}

// reportPeerGone notifies the core that the other process is dead.
func (l *Link) reportPeerGone() {
	l.core.PairAlone(func(startedAt int64) bool {
		_, err := os.Stat(l.slots.markPath(startedAt))
		return err == nil
	})
}

// Released is closed once the slot is free again, after the end of Run's context.
func (l *Link) Released() <-chan struct{} { return l.done }

// Run holds the link as long as there is another process, until the context ends. By then the core has stopped.
func (l *Link) Run(ctx context.Context) {
	defer close(l.done)
	defer l.slots.close() // and so the slot: this process runs nothing any more, however long its exit takes
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
	l.peerAbsent, l.peerSeen = false, true // the other may be dead before its slot was looked at
	l.writeMu.Lock()
	l.conn, l.linkID = conn, l.core.PairLinked()
	l.writeMu.Unlock()
	err := l.readMessages(conn)
	if errors.Is(err, hotrestart.ErrStaleIdentity) {
		_ = l.flush(l.currentLink()) // the link ends in any case; the other finds out by this side's Hello, which may not have been written yet
	}
	l.backoff = min(max(2*l.backoff, peerCheckInterval), maxBackoff)
	l.nextDial = time.Now().Add(l.backoff)
	conn.Close()
	if errors.Is(err, hotrestart.ErrPeerReplaced) {
		l.reportPeerGone() // first: what is not read of this link is not that process's
	}
	l.writeMu.Lock()
	l.conn = nil
	l.core.PairCut(!endedByPeer(err))
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
		l.core.PairOther()
	}
}

// endedByPeer reports whether a link ended at the other side, so that all that was written there has been read.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// readMessages takes messages until the link fails.
func (l *Link) readMessages(conn net.Conn) error {
	r := bufio.NewReader(conn)
	var frame []byte
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	for {
		m, f, err := readMessage(r, frame)
		if frame = f; err != nil {
			return err
		}
		clear, marks, err := l.core.PairMessage(m)
		if err != nil {
			return fmt.Errorf("the other process: %w", err)
		}
		switch m.Kind {
		case hotrestart.Hello:
			conn.SetReadDeadline(time.Time{})
			l.stats.Inc("handover", "links")
		case hotrestart.SyncComplete:
			l.backoff = 0
			events.Log(l.log, "hotrestart.complete", l.core.PairRole())
		}
		if clear {
			if l.flush(l.currentLink()) == nil { // else what the other wrote is still to be read
				l.clearMark(marks)
			}
		}
	}
}

// writeLoop sends what nobody waits for.
func (l *Link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			_ = l.flush(l.currentLink()) // a link that fails is given up by flush, and ends where it is read
		}
	}
}

// currentLink is the number of the present link.
func (l *Link) currentLink() int {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return l.linkID
}

// errNoLink is of a flush of a link that is gone.
var errNoLink = errors.New("no link")

// flush writes all that is to be sent on a link, and returns once it is written: from then on the other process reads it, whatever becomes
// of this one. An error means that it may not: errNoLink, or why the write failed.
func (l *Link) flush(link int) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	if l.conn == nil || link != l.linkID {
		return errNoLink
	}
	out, err := l.core.PairOut(l.linkID)
	if err != nil {
		return err
	}
	for len(out) > 0 {
		l.buf = l.buf[:0]
		for len(out) > 0 && len(l.buf) < maxWrite {
			l.buf = appendMessage(l.buf, out[0])
			out = out[1:]
		}
		l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := l.conn.Write(l.buf); err != nil {
			// What the other wrote before is still to be read: if it is gone, that is all there will be to know of it. One that is
			// there and does not read sees the end of this side's bytes, and ends the link.
			if half, ok := l.conn.(*net.UnixConn); ok {
				_ = half.CloseWrite() // the link is given up in any case
			}
			l.conn = nil
			l.core.PairWriteClosed(l.linkID)
			return fmt.Errorf("writing to the other process: %w", err)
		}
	}
	if cap(l.buf) > maxIdleBuffer {
		l.buf = nil
	}
	return nil
}

// leaveMark leaves the mark that this process runs what the other was not notified of.
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

// clearMark removes the mark, unless more was run since that the other was not notified of.
func (l *Link) clearMark(marks int) {
	l.markMu.Lock()
	defer l.markMu.Unlock()
	if l.marked && l.core.PairMarks() == marks {
		_ = os.Remove(l.slots.markPath(l.startedAt)) // a mark that stays has the other fail what it could answer, and no more
		l.marked = false
	}
}
