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
	Mark func() error
	Ring func() // there is something to send
	// Shared is told whether there are two processes, which share the limits from then on. It is called under the lock.
	Shared func(two bool)
}

const (
	pairMemory = 0.6 // of the interpreter's memory that each of two processes plans with: both at their bound stay within it
	pairCrowd  = 0.5 // of the crowd on its cores
)

// pair is this process's half of two that are one service. It is under the core's lock.
type pair struct {
	PairConfig
	side   *hotrestart.Side
	out    []hotrestart.Message // to be sent
	link   int                  // of what is in out
	mute   bool                 // nothing can be written on it any more
	bell   chan struct{}        // closed, and replaced, at every change
	open   bool
	risen  chan struct{}            // closed when this process may take requests
	asking map[string]chan struct{} // by id, of requests that wait for their key: closed as the caller leaves
	shared bool
	limits [2]int // of the table of keys and of the requests in hand, for one process
}

func newPair(c *Core, cfg PairConfig) *pair {
	p := &pair{PairConfig: cfg, bell: make(chan struct{}), risen: make(chan struct{}), asking: map[string]chan struct{}{},
		limits: [2]int{c.keys.limit, c.maxTasks}}
	p.side = hotrestart.New((*pairKeys)(c))
	c.keys.sum = lastingSum // the same in both processes
	return p
}

// lastingSum is the same in every process.
func lastingSum(t *task) uint64 {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(t.Tenant))))
	h.Write([]byte(t.Tenant))
	h.Write(t.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// settlePair carries out what the half asks for. It is called under the lock, after every event.
func (c *Core) settlePair() {
	p := c.pair
	for {
		fx := p.side.Take()
		if len(fx.Send) > 0 && !p.mute {
			p.out = append(p.out, fx.Send...)
			p.Ring()
		}
		if fx.Out != nil {
			if *fx.Out {
				c.state.happens(lifecycle.Evacuate)
			} else {
				c.state.happens(lifecycle.Rejoin)
			}
			c.show()
		}
		if !fx.Changed {
			return
		}
		close(p.bell)
		p.bell = make(chan struct{})
		if two := p.side.Pair(); two != p.shared {
			p.shared = two
			c.share(two)
		}
		c.rise()
	}
}

// share plans with a part of the limits while there are two processes.
func (c *Core) share(two bool) {
	part := 1
	if two {
		part = 2
	}
	c.keys.limit, c.maxTasks = c.pair.limits[0]/part, max(32, c.pair.limits[1]/part)
	if err := c.retune(*c.set.Load()); err != nil {
		events.Log(c.log, "handover.unshared", err)
	}
	c.pair.Shared(two)
}

// planned are the settings that the module plans with.
func (c *Core) planned(set silverpath.Settings) silverpath.Settings {
	if c.pair != nil && c.pair.shared {
		set.MemoryKB *= pairMemory
		set.MaxRunsPerCore = max(1, set.MaxRunsPerCore*pairCrowd)
	}
	return set
}

// ---- What the link tells ----

// Risen is closed when this process may take requests.
func (c *Core) Risen() <-chan struct{} { return c.pair.risen }

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
	c.onPair(func(s *hotrestart.Side) { s.Placed(stamp, slot) })
}

// PairOther is told that there is another process.
func (c *Core) PairOther() { c.onPair(func(s *hotrestart.Side) { s.Other() }) }

// PairAlone is told that there is no other process, or none any more; marked as of its stamp.
func (c *Core) PairAlone(marked func(stamp int64) bool) {
	c.onPair(func(s *hotrestart.Side) {
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
	for _, k := range c.set.Load().Classes {
		longest = max(longest, k.IdempotencyWindow)
	}
	return time.Now().Add(longest + ruleSlack).UnixNano()
}

// PairLinked is told of a new link and returns its number, for PairOut.
func (c *Core) PairLinked() (link int) {
	c.onPair(func(s *hotrestart.Side) {
		c.pair.link++
		c.pair.out, c.pair.mute, link = nil, false, c.pair.link
		s.Linked()
	})
	return link
}

// PairCut is told that the link is gone, and whether what came on it may not all have been read.
func (c *Core) PairCut(unread bool) {
	c.onPair(func(s *hotrestart.Side) {
		c.pair.link++
		c.pair.out = nil
		s.Cut(unread)
	})
}

// PairMute is told that nothing can be written on a link any more, though what comes on it is still read: what would be
// sent is not kept for a process that may be stopped for long.
func (c *Core) PairMute(link int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link == c.pair.link {
		c.pair.out, c.pair.mute = nil, true
	}
}

// PairMessage takes a message of the other's. Where all is to be written first, clear says that the mark may then go,
// if there were no more marks than those.
func (c *Core) PairMessage(m hotrestart.Message) (clear bool, marks int, err error) {
	c.onPair(func(s *hotrestart.Side) {
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
var errOtherLink = errors.New("not a link to write on")

// PairOut returns what is to be sent on a link.
func (c *Core) PairOut(link int) ([]hotrestart.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link != c.pair.link || c.pair.mute {
		return nil, errOtherLink
	}
	out := c.pair.out
	c.pair.out = nil
	return out, nil
}

func (c *Core) onPair(event func(s *hotrestart.Side)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(c.pair.side)
	c.settlePair()
}

// tellOut tells the other process whether operators have evacuated the service.
func (c *Core) tellOut() {
	c.onPair(func(s *hotrestart.Side) {
		now := c.state.now()
		if !now.Leaving() {
			s.Evacuated(!now.Healthy())
		}
	})
}

// ---- What requests tell ----

// claim waits until a keyed request may go on, where another process may have its key. It is called under the lock and
// leaves it only to wait. It reports over, with the answer, where the request may not.
func (c *Core) claim(r *Request, k silverpath.Class) (a Answer, over bool) {
	key := ""
	if c.pair != nil {
		key = keyOf(k, r)
	}
	if key == "" {
		return a, false
	}
	p := c.pair
	f := hotrestart.Flight{Key: key, ID: r.ID, Sum: c.keys.sum(&task{Request: *r}), Reached: r.Reached.UnixNano(), Window: k.IdempotencyWindow,
		Until: r.Reached.Add(k.IdempotencyWindow + k.Deadline + keyLinger).UnixNano()}
	p.side.Want(key)
	verdict := p.side.Ask(f)
	c.settlePair()
	if verdict == hotrestart.Wait {
		verdict, a = c.await(r, f)
	}
	switch verdict {
	case hotrestart.Own:
		return a, false
	case hotrestart.Never:
		a = Answer{Outcome: Failed}
		c.stats.Inc("handover", "unknown_owner")
	}
	p.side.Done(key, f.Reached)
	c.settlePair()
	return a, true
}

// await waits for the key of a request, without the lock. It returns the verdict, or Wait and the answer where the
// request's time is up, its caller has left, or it may not even wait.
func (c *Core) await(r *Request, f hotrestart.Flight) (hotrestart.Verdict, Answer) {
	p := c.pair
	switch {
	case p.asking[r.ID] != nil || c.tasks[r.ID] != nil:
		return hotrestart.Wait, Answer{Outcome: Invalid}
	case len(p.asking) >= c.maxTasks:
		return hotrestart.Wait, Answer{Outcome: Failed}
	}
	left := make(chan struct{})
	p.asking[r.ID] = left
	c.owed++
	c.show()
	c.stats.Inc("handover", "asked")
	due := time.NewTimer(max(0, time.Until(r.Due)-backstop))
	defer func() {
		due.Stop()
		delete(p.asking, r.ID)
		c.owed--
		c.show()
		c.settled()
	}()
	for {
		bell := p.bell
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
		c.settlePair()
		if verdict != hotrestart.Wait {
			return verdict, Answer{}
		}
	}
}

// claimed ends a claim that let its request go on, once the request is in the table, or was turned away.
func (c *Core) claimed(r *Request, k silverpath.Class) {
	if c.pair == nil {
		return
	}
	if key := keyOf(k, r); key != "" {
		c.pair.side.Done(key, r.Reached.UnixNano())
		c.settlePair()
	}
}

// noteStart is called as a run is about to begin.
func (c *Core) noteStart(f *flight) (n hotrestart.Note, link int) {
	if c.pair == nil || f == nil || f.entry.fresh {
		return hotrestart.None, 0
	}
	n = c.pair.side.Starts(f.tell())
	c.settlePair()
	return n, c.pair.link
}

// told makes sure that the other process hears of a run before it begins, as far as it has to. It writes, without the
// lock, and reports false where it can't.
func (c *Core) told(n hotrestart.Note, link int) bool {
	if n == hotrestart.None {
		return true
	}
	if n == hotrestart.Written {
		if c.pair.Flush(link) == nil {
			return true
		}
		c.onPair(func(s *hotrestart.Side) { s.Unwritten() })
	}
	if err := c.pair.Mark(); err != nil {
		events.Log(c.log, "handover.no_mark", err)
		c.stats.Inc("handover", "no_mark")
		return false
	}
	return true
}

// unrun ends a run that has not begun, with the answer of the step where that gives one.
func (c *Core) unrun(t *task, s step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.kind, s.outcome = ended, silverpath.NotStarted
	t.post(s)
}

// tellEnd tells the other process how a run ended, or that it never began.
func (c *Core) tellEnd(f *flight) {
	if c.pair == nil || f == nil || f.entry.fresh {
		return
	}
	if f.entry.last == f {
		c.pair.side.Ended(f.tell())
	} else {
		c.pair.side.Dropped(f.entry.key)
	}
	c.settlePair()
}

func (c *Core) tellDrop(f *flight) {
	if c.pair != nil && !f.entry.fresh {
		c.pair.side.Dropped(f.entry.key)
		c.settlePair()
	}
}

// ---- The table of keys, as the half sees it ----

// tell is a run as the other process is told of it.
func (f *flight) tell() hotrestart.Flight {
	m := hotrestart.Flight{Key: f.entry.key, ID: f.id, Sum: f.sum, Reached: f.reached.UnixNano(), Window: f.entry.window,
		Until: f.entry.until.UnixNano(), Theirs: f.theirs}
	switch {
	case f.entry.held == f || f.theirs && f.unrun:
		m.Stage = hotrestart.Held
	case !f.done:
		m.Stage = hotrestart.Running
	case f.ok:
		m.Stage, m.Result = hotrestart.Passed, f.result
	default:
		m.Stage = hotrestart.Failed
	}
	return m
}

type pairKeys Core

func (p *pairKeys) Holds(key string, reached int64) (hotrestart.Flight, bool) {
	e := p.keys.entries[key]
	if e == nil {
		return hotrestart.Flight{}, false
	}
	f := e.held
	if f == nil && e.last != nil && within(time.Unix(0, reached), e.last.reached, e.window) {
		f = e.last
	}
	if f == nil {
		return hotrestart.Flight{}, false
	}
	return f.tell(), true
}

func (p *pairKeys) Put(m hotrestart.Flight) {
	c := (*Core)(p)
	if f := c.keys.put(m, time.Now()); f != nil && f.done {
		c.wakeJoined(f)
	}
}

func (p *pairKeys) Drop(key string) {
	c := (*Core)(p)
	if f := c.keys.dropTheirs(key); f != nil {
		c.wakeJoined(f)
	}
}

func (p *pairKeys) Own() []hotrestart.Flight { return p.keys.own(time.Now()) }

func (p *pairKeys) Keep(listed func(key string) bool) {
	c := (*Core)(p)
	for key, e := range c.keys.entries {
		if f := e.last; f != nil && f.theirs && !f.done && !listed(key) {
			c.keys.dropTheirs(key)
			c.wakeJoined(f)
		}
	}
}

func (p *pairKeys) Lost(mayHaveRun func(hotrestart.Flight) bool) {
	c := (*Core)(p)
	for key, e := range c.keys.entries {
		f := e.last
		if f == nil || !f.theirs {
			continue
		}
		switch {
		case f.done:
		case mayHaveRun(f.tell()):
			f.done, f.ended = true, time.Now()
			c.stats.Inc("handover", "lost")
			c.wakeJoined(f)
		default:
			c.keys.dropTheirs(key)
			c.wakeJoined(f)
			continue
		}
		f.theirs, f.unrun = false, false
	}
}

// give notes that the caller of a request that waits for its key has left.
func (c *Core) give(id string) {
	if c.pair == nil || c.pair.asking[id] == nil {
		return
	}
	select {
	case <-c.pair.asking[id]:
	default:
		close(c.pair.asking[id])
	}
}
