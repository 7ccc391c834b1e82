package hotrestart

import "errors"

// Claims. A process runs an idempotent request only if it owns the key. The predecessor owns every key of which neither process has a
// run; the successor owns the keys that the predecessor granted to it. An attempt at the successor claims its key and waits for the reply.

// BeginClaim begins an attempt's claim to its key. EndClaim must follow, whatever CheckClaim returned.
func (c *Coordinator) BeginClaim(key string) {
	k := c.claims[key]
	if k == nil {
		k = &claim{}
		c.claims[key] = k
	}
	k.waiters++
}

// CheckClaim reports whether an attempt may proceed. While it returns Pending, the attempt calls it again after every Effects.Changed.
// After Granted, the caller enters the run into the table of executions before any other event.
func (c *Coordinator) CheckClaim(e Execution) ClaimState {
	_, known := c.executions.Find(e.Key, e.ReceivedAt)
	switch {
	case c.role == Joining:
		return Pending
	case known:
		return Granted
	case e.ReceivedAt <= c.unknownUntil:
		return OutcomeUnknown
	case c.role != Successor:
		return Granted
	}
	k := c.claims[e.Key]
	if k == nil || !c.synced { // the predecessor's runs are not all known on this link, so ownership is undecided
		return Pending
	}
	if k.granted {
		return Granted
	}
	if !k.requested {
		k.requested = true
		c.send(Message{Kind: Claim, Execution: e})
	}
	return Pending
}

// EndClaim ends an attempt's claim. After the last attempt's claim, a granted key of which this process has no run is released to the
// predecessor.
func (c *Coordinator) EndClaim(key string, receivedAt int64) {
	k := c.claims[key]
	if k == nil {
		return
	}
	if k.waiters--; k.waiters > 0 {
		return
	}
	if k.requested && !k.granted && c.linked {
		return // receiveClaimReply deletes the claim when the reply arrives
	}
	delete(c.claims, key)
	if _, known := c.executions.Find(key, receivedAt); k.granted && !known {
		c.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}

// receiveClaim answers the successor's claim. It grants the key unless a run of it is known here. An unfinished run of the successor's own
// does not prevent the grant: a successor that claims a key again has abandoned its earlier grant.
func (c *Coordinator) receiveClaim(m Message) error {
	if c.role != Predecessor {
		return errors.New("received a claim, but this process is not the predecessor")
	}
	key := Execution{Key: m.Execution.Key, ID: m.Execution.ID}
	e, known := c.executions.Find(m.Execution.Key, m.Execution.ReceivedAt)
	if known && (!e.Remote || e.Stage > Running) {
		c.send(Message{Kind: Run, Execution: e})
		c.send(Message{Kind: Denied, Execution: key})
		return nil
	}
	e = m.Execution
	e.Stage, e.Result = Running, nil // the successor may run it from now on
	c.executions.Apply(e)
	c.send(Message{Kind: Grant, Execution: key})
	return nil
}

// receiveClaimReply handles the predecessor's reply to a claim. It releases a granted key that no attempt waits for any more.
func (c *Coordinator) receiveClaimReply(m Message) {
	k := c.claims[m.Execution.Key]
	if k == nil || !k.requested {
		if m.Kind == Grant {
			c.send(Message{Kind: Released, Execution: Execution{Key: m.Execution.Key}})
		}
		return
	}
	k.requested = false
	k.granted = m.Kind == Grant
	c.effects.Changed = true
	if k.waiters == 0 {
		delete(c.claims, m.Execution.Key)
		if k.granted {
			c.send(Message{Kind: Released, Execution: Execution{Key: m.Execution.Key}})
		}
	}
}

// RunStarts is called before a run of this process begins. It returns how the peer must be notified first. Only the predecessor's runs
// need a notice.
func (c *Coordinator) RunStarts(e Execution) Notice {
	switch {
	case c.role != Predecessor:
		return NoNotice
	case c.helloReceived:
		c.send(Message{Kind: Run, Execution: e})
		return NoticeByLink
	}
	c.marks++
	return NoticeByMark
}

// AnnounceRun sends the peer a run that may start before the peer is told. The key has no claims.
func (c *Coordinator) AnnounceRun(e Execution) { c.RunEnded(e) }

// NoticeLost is called when the message with a run's notice could not be written. The caller leaves the mark instead.
func (c *Coordinator) NoticeLost() { c.marks++ }

// RunEnded is called when a run of this process has ended, and when a run that has ended, of either process, is retained for longer than
// before. It sends the result and the new time to the peer.
func (c *Coordinator) RunEnded(e Execution) {
	if c.helloReceived {
		c.send(Message{Kind: Run, Execution: e})
	}
}

// RequestDropped is called when this process abandoned a request before its run began. It releases the key.
func (c *Coordinator) RequestDropped(key string) {
	if k := c.claims[key]; k != nil {
		k.granted = false
	}
	if c.helloReceived {
		c.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}
