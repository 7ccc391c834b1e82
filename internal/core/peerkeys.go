package core

import (
	"time"

	"silverpath/internal/policy/hotrestart"
)

// During a hot restart the key table also holds executions of the other process, so that a duplicate finds its execution in either
// process.

// updatePeer records the progress of a run of the other process and returns its execution. It returns nil if the table has newer
// information.
func (k *keyTable) updatePeer(m hotrestart.Execution, now time.Time) *execution {
	e := k.entries[m.Key]
	if e == nil {
		e = k.add(m.Key)
	}
	e.expiresAt, e.terms.Window = maxTime(e.expiresAt, time.Unix(0, m.ExpiresAt)), max(e.terms.Window, m.Window)
	x := k.peerExecution(e, m)
	if x == nil {
		k.extend(e)
		return nil
	}
	x.requestID, x.fingerprint, x.receivedAt = m.ID, m.Fingerprint, time.Unix(0, m.ReceivedAt)
	k.extend(e)
	x.peerQueued = m.Stage == hotrestart.Queued
	if m.Stage >= hotrestart.Succeeded {
		x.done, x.succeeded, x.endedAt = true, m.Stage == hotrestart.Succeeded, now
	}
	if x.succeeded {
		x.result = m.Result
		e.bytes += len(m.Result)
		k.bytes += len(m.Result)
	}
	return x
}

// peerExecution returns the execution that a message of the other process is about, and adds it if there is none. It returns nil
// if the message adds nothing to what the table has.
func (k *keyTable) peerExecution(e *keyEntry, m hotrestart.Execution) *execution {
	x := e.latest
	switch {
	case e.queued != nil || x != nil && !x.peerOwned && !x.done:
		return nil // this process runs the key, so the other cannot
	case x != nil && x.peerOwned && !x.done:
		return x // a later stage of the same run
	case x != nil && x.requestID == m.ID:
		return nil // its end is already recorded
	case x != nil && !x.peerOwned && e.repeatsLatest(time.Unix(0, m.ReceivedAt), m.Window):
		return nil
	}
	k.dropResult(e)
	x = &execution{entry: e, peerOwned: true}
	e.latest = x
	return x
}

// removePeer removes a run of the other process that never started, and returns it.
func (k *keyTable) removePeer(key string) *execution {
	e := k.entries[key]
	if e == nil || e.latest == nil || !e.latest.peerOwned || e.latest.done {
		return nil
	}
	x := e.latest
	x.done, e.latest = true, nil
	if e.queued == nil && e.movedUntil.IsZero() {
		k.remove(e)
	}
	return x
}

// ownExecutions returns the runs of this process that later attempts may duplicate.
func (k *keyTable) ownExecutions(now time.Time) []hotrestart.Execution {
	var list []hotrestart.Execution
	for _, e := range k.entries {
		if e.isRead || now.After(e.expiresAt) {
			continue
		}
		if e.queued != nil {
			list = append(list, e.queued.forPeer())
		} else if e.latest != nil && !e.latest.peerOwned {
			list = append(list, e.latest.forPeer())
		}
	}
	return list
}

// forPeer returns the form of an execution that is sent to the other process.
func (x *execution) forPeer() hotrestart.Execution {
	m := hotrestart.Execution{Key: x.entry.key, ID: x.requestID, Fingerprint: x.fingerprint, ReceivedAt: x.receivedAt.UnixNano(), Window: x.entry.terms.Window,
		ExpiresAt: x.entry.expiresAt.UnixNano(), Remote: x.peerOwned}
	switch {
	case x.entry.queued == x || x.peerOwned && x.peerQueued:
		m.Stage = hotrestart.Queued
	case !x.done:
		m.Stage = hotrestart.Running
	case x.succeeded:
		m.Stage, m.Result = hotrestart.Succeeded, x.result
	default:
		m.Stage = hotrestart.Failed
	}
	return m
}

// pairKeys implements hotrestart.Executions on the key table. Its methods are called under the core's lock.
type pairKeys Core

// Find returns the execution that an attempt duplicates. ReceivedAt is when the attempt reached the machine, in Unix nanoseconds.
func (p *pairKeys) Find(key string, receivedAt int64) (hotrestart.Execution, bool) {
	e := p.keys.entries[key]
	if e == nil {
		return hotrestart.Execution{}, false
	}
	x := e.queued
	if x == nil && e.repeatsLatest(time.Unix(0, receivedAt), 0) {
		x = e.latest
	}
	if x == nil {
		return hotrestart.Execution{}, false
	}
	return x.forPeer(), true
}

// Apply records the progress of a run of the other process. If the run has ended, its waiters here get the result. If the
// run has a longer window here, the other process is told: it follows from the window how long it retains the run.
func (p *pairKeys) Apply(m hotrestart.Execution) {
	c := (*Core)(p)
	x := c.keys.updatePeer(m, time.Now())
	if x == nil || !x.done {
		return
	}
	c.completeWaiters(x)
	if x.entry.terms.Window > m.Window {
		c.announceExtended(x.entry)
	}
}

// Forget removes a run of the other process that never started.
func (p *pairKeys) Forget(key string) {
	c := (*Core)(p)
	if x := c.keys.removePeer(key); x != nil {
		c.completeWaiters(x)
	}
}

// Local returns the executions of this process that are within their windows.
func (p *pairKeys) Local() []hotrestart.Execution { return p.keys.ownExecutions(time.Now()) }

// Retain removes the unfinished runs of the other process that are missing from the list it has just sent.
func (p *pairKeys) Retain(listed func(key string) bool) {
	c := (*Core)(p)
	for key, e := range c.keys.entries {
		if x := e.latest; x != nil && x.peerOwned && !x.done && !listed(key) {
			c.keys.removePeer(key)
			c.completeWaiters(x)
		}
	}
}

// PeerLost settles the unfinished runs of the other process after its death. Runs that may have started are recorded as failed, so
// that no attempt of them runs here. The others are removed, so that an attempt may run.
func (p *pairKeys) PeerLost(mayHaveRun func(hotrestart.Execution) bool) {
	c := (*Core)(p)
	for key, e := range c.keys.entries {
		x := e.latest
		if x == nil || !x.peerOwned {
			continue
		}
		switch {
		case x.done:
		case mayHaveRun(x.forPeer()):
			x.done, x.endedAt = true, time.Now()
			c.stats.Inc("handover", "lost")
			c.completeWaiters(x)
		default:
			c.keys.removePeer(key)
			c.completeWaiters(x)
			continue
		}
		x.peerOwned, x.peerQueued = false, false
	}
}
