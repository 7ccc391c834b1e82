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
	lookEvery    = 20 * time.Millisecond  // whether the other place is taken, and for another try to connect
	writeTimeout = 500 * time.Millisecond // of one that is there and does not read: the link is given up
	helloWithin  = time.Second            // so is one that says nothing at first
	mostWait     = time.Second            // before another try to connect
)

// Pair is this process's place and its link.
type Pair struct {
	places *places
	place  int // -1: none yet
	stamp  int64
	third  bool // it was said that there are two already
	alone  bool // as the core was told last
	saw    bool
	core   *core.Core
	log    *log.Logger
	stats  *metrics.Counters
	ln     net.Listener // of place 0, to which place 1 connects
	bell   chan struct{}
	links  chan net.Conn // that came in
	over   chan struct{} // closed at the end

	writing sync.Mutex // and what follows
	conn    net.Conn   // nil: no link
	link    int        // its number, for the core
	buf     []byte

	wait time.Duration // before the next try to connect: longer each time that a link ends before all was told
	next time.Time

	marking sync.Mutex
	marked  bool
}

// Open prepares the places in the folder.
func Open(dir, name string, l *log.Logger, s *metrics.Counters) (*Pair, error) {
	places, err := openPlaces(dir, name)
	if err != nil {
		return nil, err
	}
	return &Pair{places: places, place: -1, log: l, stats: s, bell: make(chan struct{}, 1),
		links: make(chan net.Conn), over: make(chan struct{})}, nil
}

// Config is what the core needs of the pair.
func (p *Pair) Config(shared func(two bool)) *core.PairConfig {
	return &core.PairConfig{Flush: p.flush, MarkUnnotified: p.mark, Wake: p.ring, Shared: shared}
}

func (p *Pair) ring() {
	select {
	case p.bell <- struct{}{}:
	default:
	}
}

// Begin takes a place and looks for the other process, before anything else is told to the core. A third process has
// no place, and is not ready until one of the two is gone.
func (p *Pair) Begin(c *core.Core) error {
	p.core = c
	return p.enter()
}

func (p *Pair) enter() error {
	place, ok := p.places.take()
	if !ok {
		if !p.third {
			events.Log(p.log, "handover.full")
			p.stats.Inc("handover", "third")
		}
		p.third = true
		return nil
	}
	p.place, p.stamp = place, time.Now().UnixNano()
	if place == 0 {
		os.Remove(p.places.socket(0)) // of one that is dead, as the place was empty
		var err error
		if p.ln, err = net.Listen("unix", p.places.socket(0)); err != nil {
			return err
		}
	}
	p.core.PairPlaced(p.stamp, place)
	p.look()
	return nil
}

// look tells the core whether there is another process.
func (p *Pair) look() (there bool) {
	if p.places.taken(1 - p.place) {
		if p.alone || !p.saw {
			p.core.PairOther()
		}
		p.alone, p.saw = false, true
		return true
	}
	if p.alone {
		return false
	}
	p.alone = true
	was := p.core.PairRole()
	p.gone()
	events.Log(p.log, "handover.alone", was)
	p.places.sweep()
	return false
}

// gone tells the core that the other process is dead.
func (p *Pair) gone() {
	p.core.PairAlone(func(stamp int64) bool {
		_, err := os.Stat(p.places.mark(stamp))
		return err == nil
	})
}

// Left is closed once the place is free again, after the end of Keep's context.
func (p *Pair) Left() <-chan struct{} { return p.over }

// Keep holds the link as long as there is another process, until the context ends. By then the core has stopped.
func (p *Pair) Keep(ctx context.Context) {
	defer close(p.over)
	defer p.places.close() // and so the place: this process runs nothing any more, however long its exit takes
	go p.write(ctx)
	tick := time.NewTicker(lookEvery)
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
		case conn := <-p.links:
			p.serve(ctx, conn)
		case <-tick.C:
			if p.place < 0 {
				if err := p.enter(); err != nil {
					events.Log(p.log, "handover.failed", err)
				}
			} else if p.look() && p.place == 1 && !time.Now().Before(p.next) {
				if conn, err := net.DialTimeout("unix", p.places.socket(0), lookEvery); err == nil {
					p.serve(ctx, conn)
				}
			}
		}
	}
}

func (p *Pair) accept(ctx context.Context) {
	for {
		conn, err := p.ln.Accept()
		if err != nil {
			return
		}
		select {
		case p.links <- conn:
		case <-ctx.Done():
			conn.Close()
			return
		}
	}
}

// serve is the life of one link.
func (p *Pair) serve(ctx context.Context, conn net.Conn) {
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	p.alone, p.saw = false, true // whoever spoke may be dead before its place was looked at
	p.writing.Lock()
	p.conn, p.link = conn, p.core.PairLinked()
	p.writing.Unlock()
	err := p.read(conn)
	if errors.Is(err, hotrestart.ErrStale) {
		p.flush(p.present()) // the other finds out by this side's Hello, which may not have been written yet
	}
	p.wait = min(max(2*p.wait, lookEvery), mostWait)
	p.next = time.Now().Add(p.wait)
	conn.Close()
	if errors.Is(err, hotrestart.ErrOther) {
		p.gone() // first: what is not read of this link is not that one's
	}
	p.writing.Lock()
	p.conn = nil
	p.core.PairCut(!wholly(err))
	p.writing.Unlock()
	if ctx.Err() != nil {
		return
	}
	p.stats.Inc("handover", "link_down")
	if errors.Is(err, errFrame) {
		p.stats.Inc("malformed", "handover")
	}
	events.Log(p.log, "handover.link_down", err)
	if errors.Is(err, hotrestart.ErrOther) {
		p.core.PairOther()
	}
}

// wholly reports whether a link ended at the other side, so that all that was written there has been read.
func wholly(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// read takes messages until the link fails.
func (p *Pair) read(conn net.Conn) error {
	r := bufio.NewReader(conn)
	var frame []byte
	conn.SetReadDeadline(time.Now().Add(helloWithin))
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
		case hotrestart.Whole:
			p.wait = 0
			events.Log(p.log, "handover.known", p.core.PairRole())
		}
		if clear {
			if p.flush(p.present()) == nil { // else what the other wrote is still to be read
				p.unmark(marks)
			}
		}
	}
}

// write sends what nobody waits for.
func (p *Pair) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.bell:
			p.flush(p.present())
		}
	}
}

// present is the number of the present link.
func (p *Pair) present() int {
	p.writing.Lock()
	defer p.writing.Unlock()
	return p.link
}

var errNoLink = errors.New("no link")

// flush writes all that is to be sent on a link, and returns once it is written: from then on the other process reads
// it, whatever becomes of this one.
func (p *Pair) flush(link int) error {
	p.writing.Lock()
	defer p.writing.Unlock()
	if p.conn == nil || link != p.link {
		return errNoLink
	}
	out, err := p.core.PairOut(p.link)
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
			p.core.PairWriteClosed(p.link)
			return fmt.Errorf("writing to the other process: %w", err)
		}
	}
	if cap(p.buf) > 256<<10 {
		p.buf = nil
	}
	return nil
}

// mark leaves the mark that this process runs what the other has not heard of.
func (p *Pair) mark() error {
	p.marking.Lock()
	defer p.marking.Unlock()
	if p.marked {
		return nil
	}
	f, err := os.OpenFile(p.places.mark(p.stamp), os.O_WRONLY|os.O_CREATE, 0o600)
	if err != nil {
		return err
	}
	p.marked = true
	p.stats.Inc("handover", "marked")
	events.Log(p.log, "handover.unlinked")
	return f.Close()
}

// unmark takes the mark away, unless more was run since that the other has not heard of.
func (p *Pair) unmark(marks int) {
	p.marking.Lock()
	defer p.marking.Unlock()
	if p.marked && p.core.PairMarks() == marks {
		os.Remove(p.places.mark(p.stamp))
		p.marked = false
	}
}
