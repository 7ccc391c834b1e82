package core

import (
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
)

// claimKey waits until this process may handle an idempotent request whose key the other process may own. If the request may not
// continue, it returns the answer and true. It is called under the lock and releases it only while it waits.
//
// It guards against two processes that each run an attempt of one request. One process owns a key at any time. If the owner cannot
// be determined, the request fails.
func (c *Core) claimKey(r *Request, class silverpath.Class) (a Answer, answered bool) {
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
		ExpiresAt: r.ReceivedAt.Add(termsOf(class).Retention()).UnixNano(),
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
	case hotrestart.OutcomeUnknown:
		a = Answer{Outcome: Failed}
		c.stats.Inc("handover", "unknown_owner")
	}
	p.coordinator.EndClaim(key, claim.ReceivedAt)
	c.applyPairEffects()
	return a, true
}

// awaitKey waits without the lock for a verdict on the key of a request. It returns the verdict. If the deadline passes, the
// caller disconnects, the id is in use or too many requests wait, it returns Pending and the answer.
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
		gaveUp := true
		select {
		case <-changed:
			gaveUp = false
		case <-deadline.C:
		case <-callerLeft:
			a.Outcome = Failed // the caller is gone, so the answer is not delivered
		}
		c.mu.Lock()
		if gaveUp {
			return hotrestart.Pending, a
		}
		verdict := p.coordinator.CheckClaim(claim)
		c.applyPairEffects()
		if verdict != hotrestart.Pending {
			return verdict, Answer{}
		}
	}
}

// releaseClaim ends the claim of a request that could continue, once the request is in the key table or rejected.
func (c *Core) releaseClaim(r *Request, class silverpath.Class) {
	if c.pair == nil {
		return
	}
	if key := keyOf(class, r); key != "" {
		c.pair.coordinator.EndClaim(key, r.ReceivedAt.UnixNano())
		c.applyPairEffects()
	}
}

// cancelClaim handles a disconnected caller whose request waits for its key. It is called under the lock.
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
