package core

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/lifecycle"
)

// PairConfig sets up a core that another process may take over from, or that takes over from another one.
type PairConfig struct {
	// Flush writes what is to be sent on the link of that number, in order, and returns once it is written.
	Flush func(link int) error
	// Mark leaves the mark that this process runs what the other has not heard of.
	MarkUnnotified func() error
	Wake           func() // there is something to send
	// Shared is told whether there are two processes, which share the limits from then on. It is called under the lock.
	Shared func(two bool)
}

const (
	pairMemoryShare = 0.6 // of the interpreter's memory that each of two processes plans with: both at their bound stay within it
	pairRunsShare   = 0.5 // of the crowd on its cores
)

// pair is this process's half of two that are one service. It is under the core's lock.
type pair struct {
	PairConfig
	side          *hotrestart.Side
	outbox        []hotrestart.Message // to be sent
	link          int                  // of what is in out
	writeClosed   bool                 // nothing can be written on it any more
	changed       chan struct{}        // closed, and replaced, at every change
	ready         bool
	readyChannel  chan struct{}            // closed when this process may take requests
	waitingForKey map[string]chan struct{} // by id, of requests that wait for their key: closed as the caller leaves
	shared        bool
	limits        [2]int // of the table of keys and of the requests in hand, for one process
}

func newPair(c *Core, cfg PairConfig) *pair {
	p := &pair{PairConfig: cfg, changed: make(chan struct{}), readyChannel: make(chan struct{}), waitingForKey: map[string]chan struct{}{},
		limits: [2]int{c.keys.maxBytes, c.maxTasks}}
	p.side = hotrestart.New((*pairKeys)(c))
	c.keys.fingerprint = stableFingerprint // the same in both processes
	return p
}

// lastingSum is the same in every process.
func stableFingerprint(t *task) uint64 {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(t.Tenant))))
	h.Write([]byte(t.Tenant))
	h.Write(t.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// settlePair carries out what the half asks for. It is called under the lock, after every event.
func (c *Core) applyPairEffects() {
	p := c.pair
	for {
		fx := p.side.Take()
		if len(fx.Send) > 0 && !p.writeClosed {
			p.outbox = append(p.outbox, fx.Send...)
			p.Wake()
		}
		if fx.Out != nil {
			if *fx.Out {
				c.lifecycle.apply(lifecycle.Evacuate)
			} else {
				c.lifecycle.apply(lifecycle.Rejoin)
			}
			c.publish()
		}
		if !fx.Changed {
			return
		}
		close(p.changed)
		p.changed = make(chan struct{})
		if two := p.side.Pair(); two != p.shared {
			p.shared = two
			c.splitLimits(two)
		}
		c.serveIfReady()
	}
}

// share plans with a part of the limits while there are two processes.
func (c *Core) splitLimits(two bool) {
	part := 1
	if two {
		part = 2
	}
	c.keys.maxBytes, c.maxTasks = c.pair.limits[0]/part, max(32, c.pair.limits[1]/part)
	if err := c.reconfigure(*c.settings.Load()); err != nil {
		events.Log(c.log, "handover.unshared", err)
	}
	c.pair.Shared(two)
}

// planned are the settings that the module plans with.
func (c *Core) plannedSettings(set silverpath.Settings) silverpath.Settings {
	if c.pair != nil && c.pair.shared {
		set.MemoryKB *= pairMemoryShare
		set.MaxRunsPerCore = max(1, set.MaxRunsPerCore*pairRunsShare)
	}
	return set
}

// ---- What the link tells ----

// Risen is closed when this process may take requests.
func (c *Core) PairReady() <-chan struct{} { return c.pair.readyChannel }

// PairRole is what this process is to the other.
func (c *Core) PairRole() hotrestart.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.side.Role()
}

// Successor reports whether a younger process is ready to serve.
func (c *Core) Successor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair != nil && c.pair.side.Successor()
}

// PairPlaced is told when this process took one of the two places.
func (c *Core) PairPlaced(stamp int64, slot int) {
	c.updatePair(func(s *hotrestart.Side) { s.Placed(stamp, slot) })
}

// PairOther is told that there is another process.
func (c *Core) PairOther() { c.updatePair(func(s *hotrestart.Side) { s.Other() }) }

// PairAlone is told that there is no other process, or none any more; marked as of its stamp.
func (c *Core) PairAlone(marked func(stamp int64) bool) {
	c.updatePair(func(s *hotrestart.Side) {
		was := s.Role()
		s.Alone(s.Peer() != 0 && marked(s.Peer()), c.windowEnd())
		if was != s.Role() && s.Blind() > time.Now().UnixNano() {
			events.Log(c.log, "handover.blind", time.Until(time.Unix(0, s.Blind())).Round(time.Second))
		}
	})
}

// windowEnd is when the last try that may repeat a run of before now reaches the machine, in Unix nanoseconds.
func (c *Core) windowEnd() int64 {
	longest := time.Duration(0)
	for _, k := range c.settings.Load().Classes {
		longest = max(longest, k.IdempotencyWindow)
	}
	return time.Now().Add(longest + windowSlack).UnixNano()
}

// PairLinked is told of a new link and returns its number, for PairOut.
func (c *Core) PairLinked() (link int) {
	c.updatePair(func(s *hotrestart.Side) {
		c.pair.link++
		c.pair.outbox, c.pair.writeClosed, link = nil, false, c.pair.link
		s.Linked()
	})
	return link
}

// PairCut is told that the link is gone, and whether what came on it may not all have been read.
func (c *Core) PairCut(unread bool) {
	c.updatePair(func(s *hotrestart.Side) {
		c.pair.link++
		c.pair.outbox = nil
		s.Cut(unread)
	})
}

// PairMute is told that nothing can be written on a link any more, though what comes on it is still read: what would be
// sent is not kept for a process that may be stopped for long.
func (c *Core) PairWriteClosed(link int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link == c.pair.link {
		c.pair.outbox, c.pair.writeClosed = nil, true
	}
}

// PairMessage takes a message of the other's. Where all is to be written first, clear says that the mark may then go,
// if there were no more marks than those.
func (c *Core) PairMessage(m hotrestart.Message) (clear bool, marks int, err error) {
	c.updatePair(func(s *hotrestart.Side) {
		err = s.Receive(m, c.windowEnd())
		clear, marks = s.TakeClear()
	})
	return clear, marks, err
}

// PairMarks is the number of runs that needed the mark.
func (c *Core) PairMarks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.side.Marks()
}

// errOtherLink is of a link that is not the present one, or is written on no more.
var errLinkClosed = errors.New("not a link to write on")

// PairOut returns what is to be sent on a link.
func (c *Core) PairOut(link int) ([]hotrestart.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link != c.pair.link || c.pair.writeClosed {
		return nil, errLinkClosed
	}
	out := c.pair.outbox
	c.pair.outbox = nil
	return out, nil
}

func (c *Core) updatePair(event func(s *hotrestart.Side)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(c.pair.side)
	c.applyPairEffects()
}

// tellOut tells the other process whether operators have evacuated the service.
func (c *Core) notifyEvacuated() {
	c.updatePair(func(s *hotrestart.Side) {
		now := c.lifecycle.current()
		if !now.Leaving() {
			s.Evacuated(!now.Healthy())
		}
	})
}

// ---- What requests tell ----

// claim waits until a keyed request may go on, where another process may have its key. It is called under the lock and
// leaves it only to wait. It reports over, with the answer, where the request may not.
func (c *Core) claimKey(r *Request, k silverpath.Class) (a Answer, over bool) {
	key := ""
	if c.pair != nil {
		key = keyOf(k, r)
	}
	if key == "" {
		return a, false
	}
	p := c.pair
	f := hotrestart.Flight{Key: key, ID: r.ID, Sum: c.keys.fingerprint(&task{Request: *r}), Reached: r.ReceivedAt.UnixNano(), Window: k.IdempotencyWindow,
		Until: r.ReceivedAt.Add(k.IdempotencyWindow + k.Deadline + readDelay).UnixNano()}
	p.side.Want(key)
	verdict := p.side.Ask(f)
	c.applyPairEffects()
	if verdict == hotrestart.Wait {
		verdict, a = c.awaitKey(r, f)
	}
	switch verdict {
	case hotrestart.Own:
		return a, false
	case hotrestart.Never:
		a = Answer{Outcome: Failed}
		c.stats.Inc("handover", "unknown_owner")
	}
	p.side.Done(key, f.Reached)
	c.applyPairEffects()
	return a, true
}

// await waits for the key of a request, without the lock. It returns the verdict, or Wait and the answer where the
// request's time is up, its caller has left, or it may not even wait.
func (c *Core) awaitKey(r *Request, f hotrestart.Flight) (hotrestart.Verdict, Answer) {
	p := c.pair
	switch {
	case p.waitingForKey[r.ID] != nil || c.tasks[r.ID] != nil:
		return hotrestart.Wait, Answer{Outcome: Invalid}
	case len(p.waitingForKey) >= c.maxTasks:
		return hotrestart.Wait, Answer{Outcome: Failed}
	}
	left := make(chan struct{})
	p.waitingForKey[r.ID] = left
	c.pendingAnswers++
	c.publish()
	c.stats.Inc("handover", "asked")
	due := time.NewTimer(max(0, time.Until(r.Deadline)-answerMargin))
	defer func() {
		due.Stop()
		delete(p.waitingForKey, r.ID)
		c.pendingAnswers--
		c.publish()
		c.closeIfIdle()
	}()
	for {
		bell := p.changed
		c.mu.Unlock()
		a := Answer{Outcome: Expired}
		over := true
		select {
		case <-bell:
			over = false
		case <-due.C:
		case <-left:
			a.Outcome = Failed // which nobody waits for
		}
		c.mu.Lock()
		if over {
			return hotrestart.Wait, a
		}
		verdict := p.side.Ask(f)
		c.applyPairEffects()
		if verdict != hotrestart.Wait {
			return verdict, Answer{}
		}
	}
}

// claimed ends a claim that let its request go on, once the request is in the table, or was turned away.
func (c *Core) releaseClaim(r *Request, k silverpath.Class) {
	if c.pair == nil {
		return
	}
	if key := keyOf(k, r); key != "" {
		c.pair.side.Done(key, r.ReceivedAt.UnixNano())
		c.applyPairEffects()
	}
}

// noteStart is called as a run is about to begin.
func (c *Core) notifyStart(f *execution) (n hotrestart.Note, link int) {
	if c.pair == nil || f == nil || f.entry.read {
		return hotrestart.None, 0
	}
	n = c.pair.side.Starts(f.forPeer())
	c.applyPairEffects()
	return n, c.pair.link
}

// told makes sure that the other process hears of a run before it begins, as far as it has to. It writes, without the
// lock, and reports false where it can't.
func (c *Core) ensureNotified(n hotrestart.Note, link int) bool {
	if n == hotrestart.None {
		return true
	}
	if n == hotrestart.Written {
		if c.pair.Flush(link) == nil {
			return true
		}
		c.updatePair(func(s *hotrestart.Side) { s.Unwritten() })
	}
	if err := c.pair.MarkUnnotified(); err != nil {
		events.Log(c.log, "handover.no_mark", err)
		c.stats.Inc("handover", "no_mark")
		return false
	}
	return true
}

// unrun ends a run that has not begun, with the answer of the step where that gives one.
func (c *Core) abandonRun(t *task, s event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.kind, s.outcome = runEnded, silverpath.NotStarted
	t.enqueue(s)
}

// tellEnd tells the other process how a run ended, or that it never began.
func (c *Core) notifyEnd(f *execution) {
	if c.pair == nil || f == nil || f.entry.read {
		return
	}
	if f.entry.latest == f {
		c.pair.side.Ended(f.forPeer())
	} else {
		c.pair.side.Dropped(f.entry.key)
	}
	c.applyPairEffects()
}

func (c *Core) notifyDropped(f *execution) {
	if c.pair != nil && !f.entry.read {
		c.pair.side.Dropped(f.entry.key)
		c.applyPairEffects()
	}
}

// give notes that the caller of a request that waits for its key has left.
func (c *Core) cancelClaim(id string) {
	if c.pair == nil || c.pair.waitingForKey[id] == nil {
		return
	}
	select {
	case <-c.pair.waitingForKey[id]:
	default:
		close(c.pair.waitingForKey[id])
	}
}
