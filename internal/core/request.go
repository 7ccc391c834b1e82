package core

import (
	"context"
	"time"

	"silverpath"
	"silverpath/internal/events"
)

// Serve handles one request from arrival to its end. It reports each event to the module and executes the module's decisions. It
// returns when the request is answered and has no work left. It calls reply at most once.
func (c *Core) Serve(r Request, reply func(Answer)) {
	t, rejection := c.arrive(r) // the module decides: queue, run, join or reject
	if t == nil {
		reply(c.awaitPersisted(r, rejection))
		return
	}
	for {
		switch e := c.nextEvent(t); e.kind {
		case runRequested: // dispatched after the other process and the disk have it, if they must
			c.prepareRun(t, e)
		case startPersisted:
			if c.mayStartPersisted(t, e) {
				c.dispatch(t)
			}
		case callNeeded:
			t.callBody = e.data
			c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.NeedsCall(now, t.ID) })
		case callRequested: // runs on its own goroutine, so that the answer need not wait; callEnded follows
			go c.call(t, e.timeout)
		case callEnded:
			c.endCall(t, e)
		case runEnded:
			if !c.persistResult(t, e) { // the result must be durable before the answer; runEnded is delivered again then
				c.finishRun(t, e)
			}
		case callerDisconnected:
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

// prepareRun makes a run known to the other process of a pair and, if runs are persisted, to the disk before the run starts.
// Otherwise a crash after the start would let a retry run a second time.
func (c *Core) prepareRun(t *task, e event) {
	switch {
	case !c.ensureNotified(e.notice, e.linkID):
		c.abandonRun(t, event{})
	case c.persistStart(t): // startPersisted follows once the intent is on the disk
	default:
		c.dispatch(t)
	}
}

// dispatch passes a request to the runner.
func (c *Core) dispatch(t *task) {
	if f, forwards := c.runner.(Forwarder); forwards {
		f.Forward(t.Request)
	} else {
		c.runner.Run(t.ID, t.Class, t.Body)
	}
}

// endCall resumes the run with the call's reply, if there is one, and reports the outcome to the module.
func (c *Core) endCall(t *task, e event) {
	if e.outcome == silverpath.OK {
		c.runner.Resume(t.ID, e.data)
	}
	c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.CallEnded(now, t.ID, e.outcome, e.duration) })
}

// notifyModule reports an event to the module under the lock and executes the actions that it requests.
func (c *Core) notifyModule(report func(m *silverpath.Shedder, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(report)
}

// nextEvent blocks until the request's next event. It deletes the task once the request has no work left.
func (c *Core) nextEvent(t *task) event {
	for {
		c.mu.Lock()
		if len(t.events) > 0 {
			e := t.events[0]
			t.events = t.events[1:]
			c.mu.Unlock()
			return e
		}
		finished := t.finished()
		if finished {
			t.deadlineTimer.Stop()
			c.releaseKey(t)
			delete(c.tasks, t.ID)
		}
		c.mu.Unlock()
		if finished {
			return event{kind: requestOver}
		}
		<-t.wake
	}
}

// call makes a dependency call and delivers its outcome to the request. It runs on its own goroutine. The end of the run cancels
// the call, so that it does not outlive its request.
func (c *Core) call(t *task, timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	ended := !t.running
	t.cancelCall = cancel
	c.mu.Unlock()
	e := event{kind: callEnded}
	switch {
	case ended:
		e.outcome = silverpath.NotStarted
	case c.caller == nil:
		e.outcome = silverpath.Unreachable
	default:
		startedAt := time.Now()
		e.outcome, e.data = c.caller.Call(ctx, t.ID, timeout, t.callBody, t.class.Effect != silverpath.Safe)
		e.duration = time.Since(startedAt)
		c.stats.Inc("calls", outcomeNames[e.outcome])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.calling = false
	t.enqueue(e)
}

// outcomeNames maps outcomes to their names in counters.
var outcomeNames = map[silverpath.Outcome]string{
	silverpath.OK: "ok", silverpath.Failed: "failed", silverpath.Overloaded: "overloaded",
	silverpath.TimedOut: "timed_out", silverpath.Unreachable: "unreachable",
	silverpath.Disconnected: "disconnected", silverpath.Canceled: "canceled", silverpath.NotStarted: "ignored",
}

// RunNeedsCall is called by the runner when a run waits for a dependency call with the given body.
func (c *Core) RunNeedsCall(id string, body []byte) {
	c.deliver(id, event{kind: callNeeded, data: body})
}

// RunEnded is called by the runner when a run has ended, with its outcome, duration and result.
func (c *Core) RunEnded(id string, o silverpath.Outcome, duration time.Duration, result []byte) {
	c.deliver(id, event{kind: runEnded, outcome: o, duration: duration, data: result})
}

// ForwardReturned is called by a Forwarder when a forwarded request has come back without a result, with the answer for its
// caller. The outcome is NotStarted, because only the server that it was forwarded to knows whether it ran: a retry is forwarded
// again.
func (c *Core) ForwardReturned(id string, a Answer, duration time.Duration) {
	c.deliver(id, event{kind: runEnded, outcome: silverpath.NotStarted, duration: duration, answer: a, hasAnswer: true})
}

// CallerDisconnected is called by a front when the caller of a request has disconnected.
func (c *Core) CallerDisconnected(id string) { c.deliver(id, event{kind: callerDisconnected}) }

// deliver enqueues an event for a request, if the request is still in progress.
func (c *Core) deliver(id string, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		if e.kind == callerDisconnected {
			c.cancelClaim(id)
		}
		return
	}
	if e.kind == runEnded && t.cancelCall != nil {
		t.cancelCall()
	}
	t.enqueue(e)
}

// finishRun handles the end of a run or of a join. The request is answered with the result, unless the event carries an answer.
// The result is kept for duplicates.
func (c *Core) finishRun(t *task, e event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.running && !t.joining {
		return
	}
	joined := t.joining
	t.running, t.joining = false, false
	if e.outcome == silverpath.Canceled && t.response == responsePending {
		// Only the end of its request cancels a run here: the caller has disconnected, and that notice has not arrived yet.
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
	if !joined {
		c.stats.Inc("runs", t.Class, outcomeNames[e.outcome])
		c.keys.markEnded(t.execution, e.outcome, e.data, time.Now())
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
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RunEnded(now, t.ID, e.outcome, e.duration) })
}

// callerLeft handles a disconnected caller. The run of an idempotent request continues, and a retry can take its result.
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

// answerAtDeadline answers a request that the module has not answered by its deadline, for example because no CPU core is free or
// the lock is contended. It logs the event backstop and increments the counter of that name.
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

// settle sets a request's one answer, which the request's goroutine sends. It is called under the lock.
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

// answerSent counts an answer that was written to its front's connection.
func (c *Core) answerSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingAnswers--
	c.publish()
	c.closeIfIdle()
}

// startRun starts a run. It never starts a request with effects twice, and never starts what the drain rule forbids. The module
// enforces the same rules; checking them here again, from the core's own records, ensures that no fault in either runs an effect
// twice. A refused run appears as the log event guard.run and in the counter guard. It is called under the lock.
func (c *Core) startRun(t *task) {
	reason := ""
	switch {
	case t.running:
		return
	case t.response != responsePending:
		reason = "already answered"
	case t.started && t.class.Effect != silverpath.Safe:
		reason = "already started"
	case c.lifecycle.current().ShuttingDown() && t.ReceivedAt.After(c.drainStartedAt.Add(c.settings.Load().DrainGrace)):
		reason = "received after the drain window"
	case !c.keys.markStarted(t):
		reason = "another attempt has already run"
	}
	if reason != "" {
		events.Log(c.log, "guard.run", t.Class, t.ID, reason)
		c.stats.Inc("guard")
		t.running = true // so that the runEnded event below is processed
		t.enqueue(event{kind: runEnded, outcome: silverpath.NotStarted})
		return
	}
	t.started, t.running = true, true
	notice, linkID := c.notifyStart(t.execution)
	t.enqueue(event{kind: runRequested, notice: notice, linkID: linkID})
}

// join makes a request wait for the run that it duplicates, or answers it at once if that run has ended: with its result, or with a
// failure if the run failed or a restart has lost its result.
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

// stopWaiting ends a join: the answer is settled or the caller has disconnected.
func (t *task) stopWaiting() { t.joining = false }

// completeWaiters delivers the result of a run to the attempts that joined it.
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

// releaseKey releases the key of a request that has not run. The attempts that joined it fail.
func (c *Core) releaseKey(t *task) {
	if t.started || t.execution == nil {
		return
	}
	x := t.execution
	t.execution = nil
	c.keys.removeUnstarted(x)
	c.notifyDropped(x)
	x.done = true
	c.completeWaiters(x)
}
