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

// PairConfig configures a hot restart, in which two processes share one listening socket while one takes over from the other.
// Package hotrestart makes the decisions, and package restartlink implements the link between the processes.
type PairConfig struct {
	// Flush writes the outbox of the given link in order and returns once it is written.
	Flush func(link int) error
	// MarkUnnotified leaves a mark on the disk: this process runs requests that the other was not notified of.
	MarkUnnotified func() error
	// Wake is called when the outbox has messages. It must not block.
	Wake func()
	// Shared is called when a second process appears or disappears. Two processes share the limits. It is called under the lock.
	Shared func(two bool)
}

const (
	// pairMemoryShare is the share of the interpreter's memory that each of two processes plans with. The module's bound lies
	// below the memory in the settings, so two processes at this share stay within that memory. With half each, the successor
	// would reject requests right after its start.
	pairMemoryShare = 0.6
	// pairRunsShare is the share of the runs per core that each of two processes plans with.
	pairRunsShare = 0.5
)

// pair is this process's state of a hot restart. It is guarded by the core's lock.
type pair struct {
	PairConfig
	coordinator   *hotrestart.Coordinator
	outbox        []hotrestart.Message     // messages to be sent
	linkID        int                      // number of the link on which the outbox is to be sent
	writeClosed   bool                     // the link cannot be written to any more
	changed       chan struct{}            // closed and replaced at every change of the coordinator
	ready         bool                     // this process may take requests
	readyChannel  chan struct{}            // closed once ready is set
	waitingForKey map[string]chan struct{} // closed when the caller disconnects; by the id of a request that waits for its key
	peerWindow    time.Duration            // longest idempotency window of other processes, as PairWindow reported it
	limitsShared  bool
	soleLimits    pairLimits // the limits without a second process
}

// pairLimits are the limits that two processes share.
type pairLimits struct {
	keyBytes int // memory of the key table
	tasks    int // requests in progress
}

func newPair(c *Core, cfg PairConfig) *pair {
	p := &pair{
		PairConfig: cfg, changed: make(chan struct{}), readyChannel: make(chan struct{}),
		waitingForKey: map[string]chan struct{}{}, soleLimits: pairLimits{keyBytes: c.keys.maxBytes, tasks: c.maxTasks},
	}
	p.coordinator = hotrestart.New((*pairKeys)(c))
	c.keys.fingerprint = stableFingerprint // the same in both processes
	return p
}

// stableFingerprint returns a hash that is the same in every process. The table's default hash is faster, but seeded per process.
func stableFingerprint(t *task) uint64 {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(t.Tenant))))
	h.Write([]byte(t.Tenant))
	h.Write(t.Body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// applyPairEffects executes the effects that the coordinator requests. It is called under the lock, after every event of the
// coordinator.
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
		if hasPeer := p.coordinator.HasPeer(); hasPeer != p.limitsShared {
			p.limitsShared = hasPeer
			c.splitLimits(hasPeer)
		}
		c.serveIfReady()
	}
}

// splitLimits adjusts the limits to the number of processes. It is called under the lock.
func (c *Core) splitLimits(hasPeer bool) {
	divisor := 1
	if hasPeer {
		divisor = 2
	}
	c.keys.maxBytes, c.maxTasks = c.pair.soleLimits.keyBytes/divisor, max(minTasksShared, c.pair.soleLimits.tasks/divisor)
	if err := c.reconfigure(*c.settings.Load()); err != nil {
		events.Log(c.log, "hotrestart.limits_unshared", err)
	}
	c.pair.Shared(hasPeer)
}

// plannedSettings returns the settings for the module, reduced while two processes share them.
func (c *Core) plannedSettings(settings silverpath.Settings) silverpath.Settings {
	if c.pair != nil && c.pair.limitsShared {
		settings.MemoryKB *= pairMemoryShare
		settings.MaxRunsPerCore = max(1, settings.MaxRunsPerCore*pairRunsShare)
	}
	return settings
}

// PairReady returns a channel that is closed once this process may take requests.
func (c *Core) PairReady() <-chan struct{} { return c.pair.readyChannel }

// PairRole returns this process's role in the pair.
func (c *Core) PairRole() hotrestart.Role {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.coordinator.Role()
}

// SuccessorReady reports whether a successor is ready to serve.
func (c *Core) SuccessorReady() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair != nil && c.pair.coordinator.SuccessorReady()
}

// PairSlotTaken is called by the link when this process has taken one of the two slots.
func (c *Core) PairSlotTaken(startedAt int64, slot int) {
	c.updatePair(func(s *hotrestart.Coordinator) { s.SlotTaken(startedAt, slot) })
}

// PairPeerPresent is called by the link when the other slot is taken.
func (c *Core) PairPeerPresent() { c.updatePair(func(s *hotrestart.Coordinator) { s.PeerPresent() }) }

// PairPeerAbsent is called by the link when there is no other process, or when the other process has died. Marked reports whether the
// process that started at startedAt has left a mark.
func (c *Core) PairPeerAbsent(marked func(startedAt int64) bool) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		previous := s.Role()
		s.PeerAbsent(s.PeerStartedAt() != 0 && marked(s.PeerStartedAt()), c.windowEnd())
		if previous != s.Role() && s.UnknownUntil() > time.Now().UnixNano() {
			events.Log(c.log, "hotrestart.incomplete", time.Until(time.Unix(0, s.UnknownUntil())).Round(time.Second))
		}
	})
}

// PairWindow is called by the link with the longest idempotency window of the other process, or of an earlier one, 0 if it is unknown. It
// is called before PairPeerAbsent.
func (c *Core) PairWindow(window time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pair.peerWindow = max(c.pair.peerWindow, window)
}

// LongestIdempotencyWindow returns the longest window of all idempotent classes.
func (c *Core) LongestIdempotencyWindow() time.Duration { return c.Terms().Longest().Window }

// windowEnd returns the latest time, in Unix nanoseconds, at which an attempt that duplicates a run of before now, of this process or
// another, can reach the machine. The attempt may be read later than that; see LongestWindow. It is called under the lock.
func (c *Core) windowEnd() int64 {
	return time.Now().Add(max(c.LongestIdempotencyWindow(), c.pair.peerWindow) + windowSlack).UnixNano()
}

// extendPair applies terms that have become longer to what this process and the other one know of each other's runs. It is called under
// the lock after the terms have changed, with the longest window before.
func (c *Core) extendPair(longestBefore time.Duration) {
	if c.pair == nil {
		return
	}
	if growth := c.LongestIdempotencyWindow() - longestBefore; growth > 0 {
		c.pair.coordinator.ExtendUnknown(time.Now().UnixNano(), growth)
	}
	for _, e := range c.keys.entries {
		c.announceExtended(e)
	}
	c.applyPairEffects()
}

// announceExtended sends the other process a run that has ended and is retained for longer here than it may be there: an attempt of it that
// reaches the other process must not run.
func (c *Core) announceExtended(e *keyEntry) {
	if x := e.latest; !e.isRead && e.queued == nil && x != nil && x.done {
		c.pair.coordinator.RunEnded(x.forPeer())
	}
}

// PairLinkUp is called with a new link. It returns the link's number for PairTakeOutbox.
func (c *Core) PairLinkUp() (linkID int) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		c.pair.linkID++
		c.pair.outbox, c.pair.writeClosed, linkID = nil, false, c.pair.linkID
		s.LinkUp()
	})
	return linkID
}

// PairLinkDown is called when the link is closed. Unread reports whether some of the other process's messages may not have been read.
func (c *Core) PairLinkDown(unread bool) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		c.pair.linkID++
		c.pair.outbox = nil
		s.LinkDown(unread)
	})
}

// PairWriteClosed is called when a link cannot be written to any more, although it is still read. Messages are then discarded,
// because the other process may be stopped for long and they would pile up.
func (c *Core) PairWriteClosed(linkID int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if linkID == c.pair.linkID {
		c.pair.outbox, c.pair.writeClosed = nil, true
	}
}

// PairMessage handles a message of the other process. If clearMark is set, this process's mark may be removed once the outbox is
// written, provided that PairMarks still returns marks. The error reports an invalid message.
func (c *Core) PairMessage(m hotrestart.Message) (clearMark bool, marks int, err error) {
	c.updatePair(func(s *hotrestart.Coordinator) {
		err = s.Receive(m, c.windowEnd())
		clearMark, marks = s.TakeClearMark()
	})
	return clearMark, marks, err
}

// PairMarks returns the number of runs that required the mark.
func (c *Core) PairMarks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair.coordinator.Marks()
}

// errLinkClosed reports a link that was replaced or cannot be written to any more.
var errLinkClosed = errors.New("restart link is replaced or closed for writing")

// PairTakeOutbox returns the messages to be sent on a link. It returns errLinkClosed if the link was replaced or cannot be written to.
func (c *Core) PairTakeOutbox(linkID int) ([]hotrestart.Message, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if linkID != c.pair.linkID || c.pair.writeClosed {
		return nil, errLinkClosed
	}
	out := c.pair.outbox
	c.pair.outbox = nil
	return out, nil
}

// updatePair reports an event to the coordinator and executes the effects that it requests.
func (c *Core) updatePair(report func(s *hotrestart.Coordinator)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report(c.pair.coordinator)
	c.applyPairEffects()
}

// notifyEvacuated notifies the other process whether operators have evacuated the service.
func (c *Core) notifyEvacuated() {
	c.updatePair(func(s *hotrestart.Coordinator) {
		now := c.lifecycle.current()
		if !now.ShuttingDown() {
			s.SetEvacuated(!now.Healthy())
		}
	})
}
