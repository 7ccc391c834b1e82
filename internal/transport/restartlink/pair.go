// Package restartlink is the link between two processes that are one service while the newer takes over: the places in which
// they live, the socket between them, and the mark that one leaves for the other. What is decided by it is decided in
// handover, under the core's lock.
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
	peerCheckInterval = 20 * time.Millisecond  // whether the other place is taken, and for another try to connect
	writeTimeout      = 500 * time.Millisecond // of one that is there and does not read: the link is given up
	helloTimeout      = time.Second            // so is one that says nothing at first
	maxBackoff        = time.Second            // before another try to connect
)

// Pair is this process's place and its link.
type Link struct {
	slots      *slots
	slot       int // -1: none yet
	startedAt  int64
	fullLogged bool // it was said that there are two already
	peerAbsent bool // as the core was told last
	peerSeen   bool
	core       *core.Core
	log        *log.Logger
	stats      *metrics.Counters
	ln         net.Listener // of place 0, to which place 1 connects
	wake       chan struct{}
	incoming   chan net.Conn // that came in
	done       chan struct{} // closed at the end

	writeMu sync.Mutex // and what follows
	conn    net.Conn   // nil: no link
	linkID  int        // its number, for the core
	buf     []byte

	backoff  time.Duration // before the next try to connect: longer each time that a link ends before all was told
	nextDial time.Time

	markMu sync.Mutex
	marked bool
}

// Open prepares the places in the folder.
func Open(dir, name string, l *log.Logger, s *metrics.Counters) (*Link, error) {
	slots, err := openSlots(dir, name)
	if err != nil {
		return nil, err
	}
	return &Link{slots: slots, slot: -1, log: l, stats: s, wake: make(chan struct{}, 1),
		incoming: make(chan net.Conn), done: make(chan struct{})}, nil
}

// Config is what the core needs of the pair.
func (p *Link) CoreConfig(shared func(two bool)) *core.PairConfig {
	return &core.PairConfig{Flush: p.flush, MarkUnnotified: p.leaveMark, Wake: p.wakeWriter, Shared: shared}
}

func (p *Link) wakeWriter() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Begin takes a place and looks for the other process, before anything else is told to the core. A third process has
// no place, and is not ready until one of the two is gone.
func (p *Link) Start(c *core.Core) error {
	p.core = c
	return p.takeSlot()
}

func (p *Link) takeSlot() error {
	slot, ok := p.slots.take()
	if !ok {
		if !p.fullLogged {
			events.Log(p.log, "handover.full")
			p.stats.Inc("handover", "third")
		}
		p.fullLogged = true
		return nil
	}
	p.slot, p.startedAt = slot, time.Now().UnixNano()
	if slot == 0 {
		os.Remove(p.slots.socketPath(0)) // of one that is dead, as the place was empty
		var err error
		if p.ln, err = net.Listen("unix", p.slots.socketPath(0)); err != nil {
			return err
		}
	}
	p.core.PairPlaced(p.startedAt, slot)
	p.checkPeer()
	return nil
}

// look tells the core whether there is another process.
func (p *Link) checkPeer() (there bool) {
	if p.slots.taken(1 - p.slot) {
		if p.peerAbsent || !p.peerSeen {
			p.core.PairOther()
		}
		p.peerAbsent, p.peerSeen = false, true
		return true
	}
	if p.peerAbsent {
		return false
	}
	p.peerAbsent = true
	was := p.core.PairRole()
	p.reportPeerGone()
	events.Log(p.log, "handover.alone", was)
	p.slots.removeMarks()
	return false
}

// gone tells the core that the other process is dead.
func (p *Link) reportPeerGone() {
	p.core.PairAlone(func(stamp int64) bool {
		_, err := os.Stat(p.slots.markPath(stamp))
		return err == nil
	})
}

// Left is closed once the place is free again, after the end of Keep's context.
func (p *Link) Released() <-chan struct{} { return p.done }

// Keep holds the link as long as there is another process, until the context ends. By then the core has stopped.
func (p *Link) Run(ctx context.Context) {
	defer close(p.done)
	defer p.slots.close() // and so the place: this process runs nothing any more, however long its exit takes
	go p.writeLoop(ctx)
	tick := time.NewTicker(peerCheckInterval)
	defer tick.Stop()
	accepting := false
	for {
		if p.ln != nil && !accepting {
			accepting = true
			go p.accept(ctx)
			defer p.ln.Close()
		}
		select {
		case <-ctx.Done():
			return
		case conn := <-p.incoming:
			p.serveLink(ctx, conn)
		case <-tick.C:
			if p.slot < 0 {
				if err := p.takeSlot(); err != nil {
					events.Log(p.log, "handover.failed", err)
				}
			} else if p.checkPeer() && p.slot == 1 && !time.Now().Before(p.nextDial) {
				if conn, err := net.DialTimeout("unix", p.slots.socketPath(0), peerCheckInterval); err == nil {
					p.serveLink(ctx, conn)
				}
			}
		}
	}
}

func (p *Link) accept(ctx context.Context) {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		select {
		case p.incoming <- conn:
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

// serve is the life of one link.
func (p *Link) serveLink(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	p.peerAbsent, p.peerSeen = false, true // whoever spoke may be dead before its place was looked at
	p.writeMu.Lock()
	p.conn, p.linkID = conn, p.core.PairLinked()
	p.writeMu.Unlock()
	err := p.readMessages(conn)
	if errors.Is(err, hotrestart.ErrStaleIdentity) {
		p.flush(p.currentLink()) // the other finds out by this side's Hello, which may not have been written yet
	}
	p.backoff = min(max(2*p.backoff, peerCheckInterval), maxBackoff)
	p.nextDial = time.Now().Add(p.backoff)
	conn.Close()
	if errors.Is(err, hotrestart.ErrPeerReplaced) {
		p.reportPeerGone() // first: what is not read of this link is not that one's
	}
	p.writeMu.Lock()
	p.conn = nil
	p.core.PairCut(!endedByPeer(err))
	p.writeMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.stats.Inc("handover", "link_down")
	if errors.Is(err, errFrame) {
		p.stats.Inc("malformed", "handover")
	}
	events.Log(p.log, "handover.link_down", err)
	if errors.Is(err, hotrestart.ErrPeerReplaced) {
		p.core.PairOther()
	}
}

// wholly reports whether a link ended at the other side, so that all that was written there has been read.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// read takes messages until the link fails.
func (p *Link) readMessages(conn net.Conn) error {
	r := bufio.NewReader(conn)
	var frame []byte
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	for {
		m, f, err := readMessage(r, frame)
		if frame = f; err != nil {
			return err
		}
		clear, marks, err := p.core.PairMessage(m)
		if err != nil {
			return fmt.Errorf("the other process: %w", err)
		}
		switch m.Kind {
		case hotrestart.Hello:
			conn.SetReadDeadline(time.Time{})
			p.stats.Inc("handover", "links")
		case hotrestart.SyncComplete:
			p.backoff = 0
			events.Log(p.log, "handover.known", p.core.PairRole())
		}
		if clear {
			if p.flush(p.currentLink()) == nil { // else what the other wrote is still to be read
				p.clearMark(marks)
			}
		}
	}
}

// write sends what nobody waits for.
func (p *Link) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
			p.flush(p.currentLink())
		}
	}
}

// present is the number of the present link.
func (p *Link) currentLink() int {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	return p.linkID
}

var errNoLink = errors.New("no link")

// flush writes all that is to be sent on a link, and returns once it is written: from then on the other process reads
// it, whatever becomes of this one.
func (p *Link) flush(link int) error {
	p.writeMu.Lock()
	defer p.writeMu.Unlock()
	if p.conn == nil || link != p.linkID {
		return errNoLink
	}
	out, err := p.core.PairOut(p.linkID)
	if err != nil {
		return err
	}
	for len(out) > 0 {
		p.buf = p.buf[:0]
		for len(out) > 0 && len(p.buf) < 32<<10 {
			p.buf = appendMessage(p.buf, out[0])
			out = out[1:]
		}
		p.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := p.conn.Write(p.buf); err != nil {
			// What the other wrote before is still to be read: as it is gone, that is all there will be to know of it. One
			// that is there and does not read sees the end of this side's bytes, and ends the link.
			if half, ok := p.conn.(*net.UnixConn); ok {
				half.CloseWrite()
			}
			p.conn = nil
			p.core.PairWriteClosed(p.linkID)
			return fmt.Errorf("writing to the other process: %w", err)
		}
	}
	if cap(p.buf) > 256<<10 {
		p.buf = nil
	}
	return nil
}

// mark leaves the mark that this process runs what the other has not heard of.
func (p *Link) leaveMark() error {
	p.markMu.Lock()
	defer p.markMu.Unlock()
	if p.marked {
		return nil
	}
	f, err := os.OpenFile(p.slots.markPath(p.startedAt), os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	p.marked = true
	p.stats.Inc("handover", "marked")
	events.Log(p.log, "handover.unlinked")
	return f.Close()
}

// unmark takes the mark away, unless more was run since that the other has not heard of.
func (p *Link) clearMark(marks int) {
	p.markMu.Lock()
	defer p.markMu.Unlock()
	if p.marked && p.core.PairMarks() == marks {
		os.Remove(p.slots.markPath(p.startedAt))
		p.marked = false
	}
}
