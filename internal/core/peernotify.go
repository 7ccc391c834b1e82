package core

import (
	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/hotrestart"
)

// notifyStart is called as a run is about to begin, under the lock. It returns how the other process has to hear of it first, and
// on which link.
func (c *Core) notifyStart(x *execution) (note hotrestart.Notice, link int) {
	if c.pair == nil || x == nil || x.entry.read {
		return hotrestart.NoNotice, 0
	}
	note = c.pair.coordinator.RunStarts(x.forPeer())
	c.applyPairEffects()
	return note, c.pair.link
}

// ensureNotified makes sure that the other process hears of a run before it begins, as far as it has to. It writes, without the
// lock, and reports false where it can't.
//
// It guards against a process that dies with a run of which the other knows nothing: a retry would run again there. The guard
// holds since the run begins only once the message is written or a mark is on the disk, by which the other knows that it doesn't
// know.
func (c *Core) ensureNotified(note hotrestart.Notice, link int) bool {
	if note == hotrestart.NoNotice {
		return true
	}
	if note == hotrestart.NoticeByLink {
		if c.pair.Flush(link) == nil {
			return true
		}
		c.updatePair(func(s *hotrestart.Coordinator) { s.NoticeLost() })
	}
	if err := c.pair.MarkUnnotified(); err != nil {
		events.Log(c.log, "hotrestart.no_mark", err)
		c.stats.Inc("handover", "no_mark")
		return false
	}
	return true
}

// abandonRun ends a run that has not begun, with the answer of the event where that has one.
func (c *Core) abandonRun(t *task, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.kind, e.outcome = runEnded, silverpath.NotStarted
	t.enqueue(e)
}

// notifyEnd tells the other process how a run ended, or that it never began. It is called under the lock.
func (c *Core) notifyEnd(x *execution) {
	if c.pair == nil || x == nil || x.entry.read {
		return
	}
	if x.entry.latest == x {
		c.pair.coordinator.RunEnded(x.forPeer())
	} else {
		c.pair.coordinator.RequestDropped(x.entry.key)
	}
	c.applyPairEffects()
}

// notifyDropped tells the other process that a run never began. It is called under the lock.
func (c *Core) notifyDropped(x *execution) {
	if c.pair != nil && !x.entry.read {
		c.pair.coordinator.RequestDropped(x.entry.key)
		c.applyPairEffects()
	}
}
