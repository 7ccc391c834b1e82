package core

import (
	"context"
	"time"

	"silverpath"
	"silverpath/internal/events"
)

// Serve is the life of one request, from its reading to its end. It asks the module at every point of choice and does what
// the module chose. It returns when the request is answered and nothing of it runs; reply is called at most once.
func (c *Core) Serve(r Request, reply func(Answer)) {
	t, rejection := c.arrive(r) // the module's choice: queue, run, join or reject
	if t == nil {
		reply(c.awaitPersisted(r, rejection))
		return
	}
	for {
		switch e := c.nextEvent(t); e.kind {
		case runChosen: // dispatched at once, or once the other process and the disk know of it
			c.prepareRun(t, e)
		case startPersisted:
			if c.mayStartPersisted(t, e) {
				c.dispatch(t)
			}
		case callNeeded:
			t.callBody = e.data
			c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.NeedsCall(now, t.ID) })
		case callChosen: // an answer that is settled meanwhile does not wait for it: callEnded comes once it has ended
			go c.call(t, e.timeout)
		case callEnded:
			c.endCall(t, e)
		case runEnded:
			if !c.persistResult(t, e) { // a result lasts before it is told: runEnded comes again once it does
				c.finishRun(t, e)
			}
		case callerGone:
			c.callerLeft(t)
		case deadlineReached:
			c.answerAtDeadline(t)
		case answerSettled:
			c.stats.Inc("answered", t.Front, t.Class, e.answer.Outcome.String())
			reply(e.answer)
			c.answerSent()
		case requestOver:
			return
		}
	}
}

// prepareRun makes sure that the other process of a pair and, where runs are kept, the disk know of a run before it begins:
// after a crash in between, a further attempt must not run it a second time.
func (c *Core) prepareRun(t *task, e event) {
	switch {
	case !c.ensureNotified(e.notification, e.link):
		c.abandonRun(t, event{})
	case c.persistStart(t): // startPersisted comes once it is on the disk
	default:
		c.dispatch(t)
	}
}

// dispatch gives a request to the runner.
func (c *Core) dispatch(t *task) {
	if f, forwards := c.runner.(Forwarder); forwards {
		f.Forward(t.Request)
	} else {
		c.runner.Run(t.ID, t.Class, t.Body)
	}
}

// endCall gives the reply to the run that waits for it and tells the module how the call ended.
func (c *Core) endCall(t *task, e event) {
	if e.outcome == silverpath.OK {
		c.runner.Resume(t.ID, e.data)
	}
	c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.CallEnded(now, t.ID, e.outcome, e.spent) })
}

// notifyModule tells the module of an event and does what it then asks for.
func (c *Core) notifyModule(report func(m *silverpath.Shedder, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(report)
}

// nextEvent waits for the request's next event. Once nothing of the request is left to do it takes the request out of hand.
func (c *Core) nextEvent(t *task) event {
	for {
		c.mu.Lock()
		if len(t.events) > 0 {
			e := t.events[0]
			t.events = t.events[1:]
			c.mu.Unlock()
			return e
		}
		over := t.over()
		if over {
			t.deadlineTimer.Stop()
			c.releaseKey(t)
			delete(c.tasks, t.ID)
		}
		c.mu.Unlock()
		if over {
			return event{kind: requestOver}
		}
		<-t.wake
	}
}

// call makes the call that the module chose, on a goroutine of its own, and tells the request how it ended. The end of the run
// gives it up, so that it ends with its request.
func (c *Core) call(t *task, timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	over := !t.running
	t.cancelCall = cancel
	c.mu.Unlock()
	e := event{kind: callEnded}
	switch {
	case over:
		e.outcome = silverpath.NotStarted
	case c.caller == nil:
		e.outcome = silverpath.Unreachable
	default:
		startedAt := time.Now()
		e.outcome, e.data = c.caller.Call(ctx, t.ID, timeout, t.callBody, t.class.Effect != silverpath.Safe)
		e.spent = time.Since(startedAt)
		c.stats.Inc("calls", outcomeNames[e.outcome])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.calling = false
	t.enqueue(e)
}

// outcomeNames are the outcomes as counters name them.
var outcomeNames = map[silverpath.Outcome]string{
	silverpath.OK: "ok", silverpath.Failed: "failed", silverpath.Overloaded: "overloaded",
	silverpath.TimedOut: "timed_out", silverpath.Unreachable: "unreachable",
	silverpath.Disconnected: "disconnected", silverpath.Canceled: "canceled", silverpath.NotStarted: "ignored",
}

// RunNeedsCall is called by the runner when a run waits for a call with the given body.
func (c *Core) RunNeedsCall(id string, body []byte) {
	c.deliver(id, event{kind: callNeeded, data: body})
}

// RunEnded is called by the runner with how a run ended, and its result.
func (c *Core) RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	c.deliver(id, event{kind: runEnded, outcome: o, spent: spent, data: result})
}

// ForwardReturned is called by a Forwarder when a request that was handed on has come back without a result, with what its
// caller is told. What became of it is known elsewhere: a retry of it is handed on again.
func (c *Core) ForwardReturned(id string, a Answer, spent time.Duration) {
	c.deliver(id, event{kind: runEnded, outcome: silverpath.NotStarted, spent: spent, answer: a, hasAnswer: true})
}

// CallerGone is called by a front when the caller of a request has left, so that nobody waits for its answer any more.
func (c *Core) CallerGone(id string) { c.deliver(id, event{kind: callerGone}) }

// deliver leaves an event for a request, if it is still in hand.
func (c *Core) deliver(id string, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		if e.kind == callerGone {
			c.cancelClaim(id)
		}
		return
	}
	if e.kind == runEnded && t.cancelCall != nil {
		t.cancelCall()
	}
	t.enqueue(e)
}

// finishRun takes the end of a run, or of a join. The result is the answer, unless the run brought one, and is kept for
// duplicates.
func (c *Core) finishRun(t *task, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.running && !t.joining {
		return
	}
	wasJoining := t.joining
	t.running, t.joining = false, false
	if e.outcome == silverpath.Canceled && t.response == responsePending {
		// Nothing stops a run here but its request being over: the caller has left and the notice is late.
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
	if !wasJoining {
		c.stats.Inc("runs", t.Class, outcomeNames[e.outcome])
		c.keys.finish(t.execution, e.outcome, e.data, time.Now())
		c.recordEnd(t.execution, e.outcome)
		c.notifyEnd(t.execution)
		c.completeWaiters(t.execution)
	}
	switch {
	case e.hasAnswer:
		c.settle(t, e.answer)
	case e.outcome == silverpath.OK:
		c.settle(t, Answer{Outcome: Served, Body: e.data})
	default:
		c.settle(t, Answer{Outcome: Failed})
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RunEnded(now, t.ID, e.outcome, e.spent) })
}

// callerLeft notes that nobody waits for the answer any more. The run of an idempotent request goes on: a retry takes its result.
func (c *Core) callerLeft(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.response != responsePending {
		return
	}
	c.stats.Inc("answered", t.Front, t.Class, "gone")
	t.response = responseCancelled
	if !t.started {
		c.releaseKey(t)
	}
	t.stopWaiting()
	c.pendingAnswers--
	c.closeIfIdle()
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
}

// answerAtDeadline answers a request that the module has not, by its deadline, whatever holds the module up: a machine without a
// core to spare, or a lock that is waited for. It shows in the log and as the counter backstop.
func (c *Core) answerAtDeadline(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.response != responsePending {
		return
	}
	events.Log(c.log, "backstop", t.Class, t.ID, time.Since(t.readAt).Round(time.Millisecond))
	c.stats.Inc("backstop")
	c.settle(t, Answer{Outcome: Expired})
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
}

// settle settles a request's one answer, which its goroutine sends. It is called under the lock.
func (c *Core) settle(t *task, a Answer) {
	if t.response != responsePending {
		return
	}
	t.response = responseSettled
	if !t.started {
		c.releaseKey(t)
	}
	t.stopWaiting()
	t.enqueue(event{kind: answerSettled, answer: a})
}

// answerSent counts an answer that has been handed to its front's connection.
func (c *Core) answerSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingAnswers--
	c.publish()
	c.closeIfIdle()
}

// startRun starts a request, once for those with an effect and never what the drain rule forbids. The module keeps these rules;
// here they are kept once more from what the sockets alone tell, so that no mistake between the two can run an effect twice. A
// run that is held back so shows as the log event guard.run and the counter guard. It is called under the lock.
func (c *Core) startRun(t *task) {
	reason := ""
	switch {
	case t.running:
		return
	case t.response != responsePending:
		reason = "it is answered"
	case t.started && t.class.Effect != silverpath.Safe:
		reason = "it has run"
	case c.lifecycle.current().ShuttingDown() && t.ReceivedAt.After(c.drainStartedAt.Add(c.settings.Load().DrainGrace)):
		reason = "it came after the drain window"
	case !c.keys.begin(t):
		reason = "another try of it has run"
	}
	if reason != "" {
		events.Log(c.log, "guard.run", t.Class, t.ID, reason)
		c.stats.Inc("guard")
		t.running = true // for the end that follows
		t.enqueue(event{kind: runEnded, outcome: silverpath.NotStarted})
		return
	}
	t.started, t.running = true, true
	notification, link := c.notifyStart(t.execution)
	t.enqueue(event{kind: runChosen, notification: notification, link: link})
}

// join makes a request wait for the result of the run that it duplicates, or takes it where it is there.
func (c *Core) join(t *task) {
	x := t.duplicateOf
	t.joining = true
	switch {
	case x == nil || x.done && !x.succeeded:
		t.enqueue(event{kind: runEnded, outcome: silverpath.Failed})
	case x.done:
		t.enqueue(event{kind: runEnded, outcome: silverpath.OK, data: x.result})
	default:
		x.waiters = append(x.waiters, t)
	}
}

// stopWaiting ends a wait for another attempt: the answer is settled or the caller gone.
func (t *task) stopWaiting() { t.joining = false }

// completeWaiters gives those that joined a run its result.
func (c *Core) completeWaiters(x *execution) {
	if x == nil {
		return
	}
	for _, t := range x.waiters {
		outcome := silverpath.Failed
		if x.succeeded {
			outcome = silverpath.OK
		}
		t.enqueue(event{kind: runEnded, outcome: outcome, data: x.result})
	}
	x.waiters = nil
}

// releaseKey frees the key of a request that has not run; whoever joined it fails with it.
func (c *Core) releaseKey(t *task) {
	if t.started || t.execution == nil {
		return
	}
	x := t.execution
	t.execution = nil
	c.keys.forget(x)
	c.notifyDropped(x)
	x.done = true
	c.completeWaiters(x)
}
