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

// PairConfig sets up a core that another process may take over from, or that takes over from another one: a hot restart under
// one listening socket. The package hotrestart decides; the package restartlink has the link between the two.
type PairConfig struct {
	// Flush writes what is to be sent on the link of that number, in order, and returns once it is written.
	Flush func(link int) error
	// MarkUnnotified leaves a mark on the disk that this process runs what the other has not heard of.
	MarkUnnotified func() error
	// Wake is called when there is something to send. It must not block.
	Wake func()
	// Shared is told whether there are two processes, which share the limits from then on. It is called under the lock.
	Shared func(two bool)
}

const (
	// pairMemoryShare is the part of the interpreter's memory that each of two processes plans with. Two at their bound, which is
	// below what the settings tell, stay within it; with half each, the one that takes over would reject at its start.
	pairMemoryShare = 0.6
	// pairRunsShare is the part of the runs that the cores survive which each of two processes plans with.
	pairRunsShare = 0.5
)

// pair is this process's side of two that are one service. It is under the core's lock.
type pair struct {
	PairConfig
	coordinator   *hotrestart.Coordinator
	outbox        []hotrestart.Message     // to be sent
	link          int                      // the number of the link on which the outbox is to be sent
	writeClosed   bool                     // nothing can be written on it any more
	changed       chan struct{}            // closed, and replaced, at every change of the coordinator
	ready         bool                     // this process may take requests
	readyChannel  chan struct{}            // closed once it is ready
	waitingForKey map[string]chan struct{} // by id, of requests that wait for their key: closed as the caller leaves
	shared        bool
	alone         pairLimits // of a process that is alone
}

// pairLimits are the limits that two processes share.
type pairLimits struct {
	keyBytes int // of the table of keys
	tasks    int // requests in hand
}

func newPair(c *Core, cfg PairConfig) *pair {
	p := &pair{
		PairConfig: cfg, changed: make(chan struct{}), readyChannel: make(chan struct{}),
		waitingForKey: map[string]chan struct{}{}, alone: pairLimits{keyBytes: c.keys.maxBytes, tasks: c.maxTasks},
	}
	p.coordinator = hotrestart.New((*pairKeys)(c))
	c.keys.fingerprint = stableFingerprint // the same in both processes
	return p
}

// stableFingerprint is the same in every process, unlike the table's own, which is quicker.
func stableFingerprint(t *task) uint64 {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(t.Tenant))))
	h.Write([]byte(t.Tenant))
	h.Write(t.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// applyPairEffects carries out what the coordinator asks for. It is called under the lock, after every event of the coordinator's.
func (c *Core) applyPairEffects() {
	p := c.pair
	for {
		effects := p.coordinator.TakeEffects()
		if len(effects.Send) > 0 && !p.writeClosed {
			p.outbox = append(p.outbox, effects.Send...)
			p.Wake()
		}
		if effects.Evacuated != nil {
			if *effects.Evacuated {
				c.lifecycle.apply(lifecycle.Evacuate)
			} else {
				c.lifecycle.apply(lifecycle.Rejoin)
			}
			c.publish()
		}
		if !effects.Changed {
			return
		}
		close(p.changed)
		p.changed = make(chan struct{})
		if two := p.coordinator.HasPeer(); two != p.shared {
			p.shared = two
			c.splitLimits(two)
		}
		c.serveIfReady()
	}
}

// splitLimits plans with a part of the limits while there are two processes. It is called under the lock.
func (c *Core) splitLimits(two bool) {
	part := 1
	if two {
		part = 2
	}
	c.keys.maxBytes, c.maxTasks = c.pair.alone.keyBytes/part, max(minTasksShared, c.pair.alone.tasks/part)
	if err := c.reconfigure(*c.settings.Load()); err != nil {
		events.Log(c.log, "hotrestart.limits_unshared", err)
	}
	c.pair.Shared(two)
}

// plannedSettings are the settings that the module plans with.
func (c *Core) plannedSettings(set silverpath.Settings) silverpath.Settings {
	if c.pair != nil && c.pair.shared {
		set.MemoryKB *= pairMemoryShare
		set.MaxRunsPerCore = max(1, set.MaxRunsPerCore*pairRunsShare)
	}
	return set
}

// PairReady is closed when this process may take requests.
func (c *Core) PairReady() <-chan struct{} { return c.pair.readyChannel }

// PairRole is what this process is to the other.
func (c *Core) PairRole() hotrestart.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.coordinator.Role()
}

// Successor reports whether a younger process is ready to serve.
func (c *Core) Successor() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair != nil && c.pair.coordinator.SuccessorReady()
}

// PairPlaced is called by the link when this process took one of the two places.
func (c *Core) PairPlaced(stamp int64, slot int) {
	c.updatePair(func(s *hotrestart.Coordinator) { s.SlotTaken(stamp, slot) })
}

// PairOther is called by the link when there is another process.
func (c *Core) PairOther() { c.updatePair(func(s *hotrestart.Coordinator) { s.PeerPresent() }) }

// PairAlone is called by the link when there is no other process, or none any more; marked tells whether one of that stamp left
// a mark.
func (c *Core) PairAlone(marked func(stamp int64) bool) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		previous := s.Role()
		s.PeerAbsent(s.PeerStartedAt() != 0 && marked(s.PeerStartedAt()), c.windowEnd())
		if previous != s.Role() && s.UnknownUntil() > time.Now().UnixNano() {
			events.Log(c.log, "hotrestart.incomplete", time.Until(time.Unix(0, s.UnknownUntil())).Round(time.Second))
		}
	})
}

// windowEnd is when the last attempt that may duplicate a run of before now reaches the machine, in Unix nanoseconds. When it is read
// may be later: LongestWindow.
func (c *Core) windowEnd() int64 {
	longest := time.Duration(0)
	for _, k := range c.settings.Load().Classes {
		longest = max(longest, k.IdempotencyWindow)
	}
	return time.Now().Add(longest + windowSlack).UnixNano()
}

// PairLinked is called with a new link and returns its number, for PairOut.
func (c *Core) PairLinked() (link int) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		c.pair.link++
		c.pair.outbox, c.pair.writeClosed, link = nil, false, c.pair.link
		s.LinkUp()
	})
	return link
}

// PairCut is called when the link is gone, with whether what came on it may not all have been read.
func (c *Core) PairCut(unread bool) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		c.pair.link++
		c.pair.outbox = nil
		s.LinkDown(unread)
	})
}

// PairWriteClosed is called when nothing can be written on a link any more, though what comes on it is still read: what would be
// sent is not kept for a process that may be stopped for long.
func (c *Core) PairWriteClosed(link int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if link == c.pair.link {
		c.pair.outbox, c.pair.writeClosed = nil, true
	}
}

// PairMessage takes a message of the other process. Where all is to be written first, clear says that the mark may then go, if
// there were no more marks than those. The error is of a message that can't be.
func (c *Core) PairMessage(m hotrestart.Message) (clear bool, marks int, err error) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		err = s.Receive(m, c.windowEnd())
		clear, marks = s.TakeClearMark()
	})
	return clear, marks, err
}

// PairMarks is the number of runs that needed the mark.
func (c *Core) PairMarks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.coordinator.Marks()
}

// errLinkClosed is of a link that is not the present one, or is written on no more.
var errLinkClosed = errors.New("not a link to write on")

// PairOut returns what is to be sent on a link, or errLinkClosed.
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

// updatePair reports an event to the coordinator and carries out what it asks for.
func (c *Core) updatePair(event func(s *hotrestart.Coordinator)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(c.pair.coordinator)
	c.applyPairEffects()
}

// notifyEvacuated tells the other process whether operators have evacuated the service.
func (c *Core) notifyEvacuated() {
	c.updatePair(func(s *hotrestart.Coordinator) {
		now := c.lifecycle.current()
		if !now.ShuttingDown() {
			s.SetEvacuated(!now.Healthy())
		}
	})
}
