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
	claim := hotrestart.Flight{Key: key, ID: r.ID, Sum: c.keys.fingerprint(&task{Request: *r}), Reached: r.ReceivedAt.UnixNano(), Window: class.IdempotencyWindow,
		Until: r.ReceivedAt.Add(class.IdempotencyWindow + class.Deadline + readDelay).UnixNano()}
	p.side.Want(key)
	verdict := p.side.Ask(claim)
	c.applyPairEffects()
	if verdict == hotrestart.Wait {
		verdict, a = c.awaitKey(r, claim)
	}
	switch verdict {
	case hotrestart.Own:
		return a, false
	case hotrestart.Never:
		a = Answer{Outcome: Failed}
		c.stats.Inc("handover", "unknown_owner")
	}
	p.side.Done(key, claim.Reached)
	c.applyPairEffects()
	return a, true
}

// awaitKey waits for the key of a request, without the lock. It returns the verdict, or Wait and the answer where the request's
// time is up, its caller has left, or it may not even wait.
func (c *Core) awaitKey(r *Request, claim hotrestart.Flight) (hotrestart.Verdict, Answer) {
	p := c.pair
	switch {
	case p.waitingForKey[r.ID] != nil || c.tasks[r.ID] != nil:
		return hotrestart.Wait, Answer{Outcome: Invalid}
	case len(p.waitingForKey) >= c.maxTasks:
		return hotrestart.Wait, Answer{Outcome: Failed}
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
			return hotrestart.Wait, a
		}
		verdict := p.side.Ask(claim)
		c.applyPairEffects()
		if verdict != hotrestart.Wait {
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
		c.pair.side.Done(key, r.ReceivedAt.UnixNano())
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
