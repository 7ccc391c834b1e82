package core

import (
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
)

// claimKey waits until an idempotent request may go on, where another process may have its key. It is called under the lock and
// leaves it only to wait. It reports over, with the answer, where the request may not go on.
//
// It guards against two processes that run one request, each for an attempt that came to it: one of them owns a key at any
// time, and where that can't be known the request fails.
func (c *Core) claimKey(r *Request, class silverpath.Class) (a Answer, over bool) {
	key := ""
	if c.pair != nil {
		key = keyOf(class, r)
	}
	if key == "" {
		return a, false
	}
	p := c.pair
	claim := hotrestart.Execution{
		Key: key, ID: r.ID, Fingerprint: c.keys.fingerprint(&task{Request: *r}),
		ReceivedAt: r.ReceivedAt.UnixNano(), Window: class.IdempotencyWindow,
		ExpiresAt: r.ReceivedAt.Add(class.IdempotencyWindow + class.Deadline + readDelay).UnixNano(),
	}
	p.coordinator.BeginClaim(key)
	verdict := p.coordinator.CheckClaim(claim)
	c.applyPairEffects()
	if verdict == hotrestart.Pending {
		verdict, a = c.awaitKey(r, claim)
	}
	switch verdict {
	case hotrestart.Granted:
		return a, false
	case hotrestart.Unknowable:
		a = Answer{Outcome: Failed}
		c.stats.Inc("handover", "unknown_owner")
	}
	p.coordinator.EndClaim(key, claim.ReceivedAt)
	c.applyPairEffects()
	return a, true
}

// awaitKey waits for the key of a request, without the lock. It returns the verdict, or Pending and the answer where the request's
// time is up, its caller has left, or it may not even wait.
func (c *Core) awaitKey(r *Request, claim hotrestart.Execution) (hotrestart.ClaimState, Answer) {
	p := c.pair
	switch {
	case p.waitingForKey[r.ID] != nil || c.tasks[r.ID] != nil:
		return hotrestart.Pending, Answer{Outcome: Invalid}
	case len(p.waitingForKey) >= c.maxTasks:
		return hotrestart.Pending, Answer{Outcome: Failed}
	}
	callerLeft := make(chan struct{})
	p.waitingForKey[r.ID] = callerLeft
	c.pendingAnswers++
	c.publish()
	c.stats.Inc("handover", "asked")
	deadline := time.NewTimer(max(0, time.Until(r.Deadline)-answerMargin))
	defer func() {
		deadline.Stop()
		delete(p.waitingForKey, r.ID)
		c.pendingAnswers--
		c.publish()
		c.closeIfIdle()
	}()
	for {
		changed := p.changed
		c.mu.Unlock()
		a := Answer{Outcome: Expired}
		over := true
		select {
		case <-changed:
			over = false
		case <-deadline.C:
		case <-callerLeft:
			a.Outcome = Failed // which nobody waits for
		}
		c.mu.Lock()
		if over {
			return hotrestart.Pending, a
		}
		verdict := p.coordinator.CheckClaim(claim)
		c.applyPairEffects()
		if verdict != hotrestart.Pending {
			return verdict, Answer{}
		}
	}
}

// releaseClaim ends a claim that let its request go on, once the request is in the table of keys, or was turned away.
func (c *Core) releaseClaim(r *Request, class silverpath.Class) {
	if c.pair == nil {
		return
	}
	if key := keyOf(class, r); key != "" {
		c.pair.coordinator.EndClaim(key, r.ReceivedAt.UnixNano())
		c.applyPairEffects()
	}
}

// cancelClaim notes that the caller of a request that waits for its key has left. It is called under the lock.
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
