package hotrestart

import "errors"

// Claims. A process runs an idempotent request only where its key is its own: the predecessor owns every key that neither process has a
// run of, the successor one that was granted to it. An attempt at the successor claims its key and waits for the reply.

// BeginClaim begins an attempt's claim to its key. EndClaim ends it, however it went.
func (c *Coordinator) BeginClaim(key string) {
	k := c.claims[key]
	if k == nil {
		k = &claim{}
		c.claims[key] = k
	}
	k.waiters++
}

// CheckClaim says whether an attempt may go on; one that is pending asks again at every change. Where it may, its run is entered into the
// table at once, before any other event.
func (c *Coordinator) CheckClaim(e Execution) ClaimState {
	_, known := c.executions.Find(e.Key, e.ReceivedAt)
	switch {
	case c.role == Joining:
		return Pending
	case known:
		return Granted
	case e.ReceivedAt <= c.unknownUntil:
		return Unknowable
	case c.role != Successor:
		return Granted
	}
	k := c.claims[e.Key]
	if k == nil || !c.synced { // without a link, or before all is known, nobody can tell
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

// EndClaim ends an attempt's claim. A key that was granted and that no run here holds is given back.
func (c *Coordinator) EndClaim(key string, receivedAt int64) {
	k := c.claims[key]
	if k == nil {
		return
	}
	if k.waiters--; k.waiters > 0 {
		return
	}
	if k.requested && !k.granted && c.linked {
		return // its reply is on the way
	}
	delete(c.claims, key)
	if _, known := c.executions.Find(key, receivedAt); k.granted && !known {
		c.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}

// receiveClaim answers the successor's claim. A key is granted unless a run of it is known here; a run of the successor's own that has not
// ended does not count, as a successor that asks for a key anew has abandoned what it was granted before.
func (c *Coordinator) receiveClaim(m Message) error {
	if c.role != Predecessor {
		return errors.New("a claim to one that is not the elder")
	}
	key := Execution{Key: m.Execution.Key, ID: m.Execution.ID}
	e, known := c.executions.Find(m.Execution.Key, m.Execution.ReceivedAt)
	if known && (!e.Remote || e.Stage > Running) {
		c.send(Message{Kind: Run, Execution: e})
		c.send(Message{Kind: Denied, Execution: key})
		return nil
	}
	e = m.Execution
	e.Stage, e.Result = Running, nil // from now on it may be
	c.executions.Apply(e)
	c.send(Message{Kind: Grant, Execution: key})
	return nil
}

// receiveClaimReply takes the predecessor's reply to a claim. A grant that nobody waits for any more is given back.
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

// RunStarts is told when a run of this process is about to begin, and says how the other is notified first, as it must be of the
// predecessor's.
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

// NoticeLost is told when the message with a run's notice could not be written: the mark is left instead.
func (c *Coordinator) NoticeLost() { c.marks++ }

// RunEnded is told how a run of this process ended.
func (c *Coordinator) RunEnded(e Execution) {
	if c.helloReceived {
		c.send(Message{Kind: Run, Execution: e})
	}
}

// RequestDropped is told when this process abandoned a request that did not run.
func (c *Coordinator) RequestDropped(key string) {
	if k := c.claims[key]; k != nil {
		k.granted = false
	}
	if c.helloReceived {
		c.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}
