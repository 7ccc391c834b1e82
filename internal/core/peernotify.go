package core

import (
	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/hotrestart"
)

// notifyStart is called under the lock when a run is about to start. It returns how the other process must be notified before the
// start, and on which link. A run of a request without an idempotency key is only announced: no retry of it is expected, so its start does
// not wait for the other process.
func (c *Core) notifyStart(x *execution) (notice hotrestart.Notice, linkID int) {
	if c.pair == nil || x == nil || x.entry.isRead {
		return hotrestart.NoNotice, 0
	}
	if x.entry.isID {
		c.pair.coordinator.AnnounceRun(x.forPeer())
	} else {
		notice = c.pair.coordinator.RunStarts(x.forPeer())
	}
	c.applyPairEffects()
	return notice, c.pair.linkID
}

// ensureNotified makes sure that the other process is notified of a run before the run starts, as far as the notice requires it.
// It writes without the lock. It returns false if neither the notice nor the mark can be written.
//
// It guards against a process that dies during a run that the other was not notified of: a retry would run again there. The run
// starts only once the notice is written, or once a mark is on the disk. The mark tells the other process that there may be runs
// it does not know.
func (c *Core) ensureNotified(notice hotrestart.Notice, linkID int) bool {
	if notice == hotrestart.NoNotice {
		return true
	}
	if notice == hotrestart.NoticeByLink {
		if c.pair.Flush(linkID) == nil {
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

// abandonRun ends a run that has not started. If the event has an answer, the request gets that answer.
func (c *Core) abandonRun(t *task, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.kind, e.outcome = runEnded, silverpath.NotStarted
	t.enqueue(e)
}

// notifyEnd notifies the other process how a run ended, or that it never started. It is called under the lock.
func (c *Core) notifyEnd(x *execution) {
	if c.pair == nil || x == nil || x.entry.isRead {
		return
	}
	if x.entry.latest == x {
		c.pair.coordinator.RunEnded(x.forPeer())
	} else {
		c.pair.coordinator.RequestDropped(x.entry.key)
	}
	c.applyPairEffects()
}

// notifyDropped notifies the other process that a run never started. It is called under the lock.
func (c *Core) notifyDropped(x *execution) {
	if c.pair != nil && !x.entry.isRead && !x.entry.isID {
		c.pair.coordinator.RequestDropped(x.entry.key)
		c.applyPairEffects()
	}
}
