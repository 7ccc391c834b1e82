package core

import (
	"context"
	"slices"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
)

// word is the one state word of a request's answer. It leaves owed once, under the lock, so that there is
// exactly one answer whoever comes first: the module, the run, the due time or the caller's leaving.
type responseState int

const (
	responsePending responseState = iota
	responseSettled
	responseCancelled // its caller left; nothing is owed
)

// task is a request in hand.
type task struct {
	Request
	class       silverpath.Class
	response    responseState
	started     bool   // handed to the runner at least once
	running     bool   // and its end not seen yet
	joining     bool   // waits for the result of another try
	calling     bool   // a call of its run is out
	callBody    []byte // the body of the call that the run waits for
	readAt      time.Time
	execution   *execution // the run that this try is, or may become; keyed classes and kept reads
	duplicateOf *execution // the run of another try that this one repeats
	// stranger: it has the key of another request, which is not the same.
	keyConflict bool
	// elsewhere: its key belongs to another server, and why.
	movedReason   string
	verdict       idempotency.Verdict // what the store says of it, where runs are kept
	blockedBy     string              // why nothing new begins by the rules that it was sent by; empty: nothing is against it
	cancelCall    context.CancelFunc  // gives up the call that is out
	deadlineTimer *time.Timer

	events []event
	wake   chan struct{} // rung when mail comes
}

// sheet reports whether further tries of the request may come that are one request with it.
func (t *task) idempotent() bool { return t.class.Effect == silverpath.Idempotent && t.Key != "" }

// step is what a request's goroutine does next.
type event struct {
	kind         eventKind
	answer       Answer
	hasAnswer    bool // ended: the answer is that one
	patience     time.Duration
	outcome      silverpath.Outcome
	data         []byte
	spent        time.Duration
	notification hotrestart.Note // toRun: how the other process hears of it first
	link         int             // and on which link
	err          error           // promised: why the promise is not known to last
	persisted    bool            // ended: the result lasts, or never will
}

type eventKind int

const (
	runChosen       eventKind = iota // chosen by the module
	callChosen                       // likewise
	answerSettled                    // its one answer is settled
	callNeeded                       // its run waits for a call
	callEnded                        // that call has ended
	startPersisted                   // that it runs is on the disk, where runs are kept
	runEnded                         // its run, or its join, has ended
	callerGone                       // its caller has left
	deadlineReached                  // its due time has come
	requestOver                      // all is done
)

// post leaves a step for the request's goroutine; it is called under the core's lock.
func (t *task) enqueue(s event) {
	t.events = append(t.events, s)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Serve is the life of one request, from its reading to its end. It calls the module at every point of choice
// and does what the module chose. It returns when the request is answered and nothing of it runs; the reply
// function is called at most once.
func (c *Core) Serve(r Request, reply func(Answer)) {
	t, refusal := c.arrive(r) // the module's choice: hold, run, join or refuse
	if t == nil {
		reply(c.awaitPersisted(r, refusal))
		return
	}
	for {
		switch s := c.nextEvent(t); s.kind {
		case runChosen:
			if !c.ensureNotified(s.notification, s.link) { // the other process has to know first
				c.abandonRun(t, event{})
			} else if !c.persistStart(t) { // the disk too, where runs are kept: promised comes once it does
				c.dispatch(t)
			}
		case startPersisted:
			if c.mayStartPersisted(t, s) {
				c.dispatch(t)
			}
		case callNeeded:
			t.callBody = s.data
			c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.NeedsCall(now, t.ID) })
		case callChosen:
			go c.call(t, s.patience) // an answer that is settled meanwhile does not wait for it: called comes once it has ended
		case callEnded:
			if s.outcome == silverpath.OK {
				c.runner.Resume(t.ID, s.data)
			}
			c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.CallEnded(now, t.ID, s.outcome, s.spent) })
		case runEnded:
			if !c.persistResult(t, s) { // a result lasts before it is told: ended comes again once it does
				c.finishRun(t, s)
			}
		case callerGone:
			c.callerLeft(t)
		case deadlineReached:
			c.answerAtDeadline(t)
		case answerSettled:
			c.stats.Inc("answered", t.Front, t.Class, s.answer.Outcome.String())
			reply(s.answer)
			c.answerSent()
		case requestOver:
			return
		}
	}
}

// hand gives a request to the runner.
func (c *Core) dispatch(t *task) {
	if f, hands := c.runner.(Forwarder); hands {
		f.Forward(t.Request)
	} else {
		c.runner.Run(t.ID, t.Class, t.Body)
	}
}

// choose is a point of choice: the module hears of an event, and what it then asks for is done.
func (c *Core) notifyModule(event func(m *silverpath.Shedder, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decide(event)
}

// arrive takes a request in and tells the module. It returns nil, and the answer, for what the core itself
// can't take: those bounds keep the process alive and are far from what the module allows.
func (c *Core) arrive(r Request) (*task, Answer) {
	k, known := c.Class(r.Class)
	name := r.Class
	if !known {
		name = "unknown" // counters are bounded, what comes off a wire is not
	}
	c.stats.Inc("read", r.Front, name)
	began := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lockWait.Record(time.Since(began))
	if a, over := c.claimKey(&r, k); over { // waits, without the lock, where another process may have its key
		c.stats.Inc("answered", r.Front, name, a.Outcome.String())
		return nil, a
	}
	defer c.releaseClaim(&r, k)
	now := time.Now()
	set := c.settings.Load()
	full := Answer{Outcome: Rejected, RetryAfter: set.MaxRetryAfter}
	why := ""
	t := &task{Request: r, class: k, readAt: now, wake: make(chan struct{}, 1)}
	if t.idempotent() {
		t.blockedBy = c.blockReason(&r)
	}
	switch {
	case c.tasks[r.ID] != nil:
		why, full = "same_id", Answer{Outcome: Invalid}
	case c.lifecycle.current() == lifecycle.Stopped || c.module == nil:
		why = "stopped"
	case len(c.tasks) >= c.maxTasks:
		why = "too_many"
	case !known:
		why, full = "unknown_class", Answer{Outcome: Rejected, Final: true}
	case c.unknownTenant(r.Tenant):
		why, full = "unknown_tenant", Answer{Outcome: Invalid}
	case !c.keys.resolve(t, set.FreshFor, now):
		why = "keys_full"
	case t.keyConflict:
		why, full = "key_conflict", Answer{Outcome: Invalid}
	case t.verdict.Do != idempotency.Begin:
		why, full = t.verdict.Why, c.verdictAnswer(t.verdict)
	case t.movedReason != "":
		why, full = t.movedReason, Answer{Outcome: Rejected, RetryAfter: set.MaxRetryAfter, Reason: t.movedReason}
		if t.movedReason == ReasonUnknown {
			c.persistMoved(t, &full)
		}
	case t.duplicateOf == nil && c.lifecycle.current().Leaving() && now.Sub(c.drainStartedAt) > set.DrainGrace:
		// Read after the drain window, whenever it was written: nobody could be sure that its answer still arrives.
		why = "drained"
		c.releaseKey(t)
	case t.duplicateOf == nil && r.Deadline.Sub(now) <= answerMargin:
		// Due as it is read: the module has no tick left to answer it in, and would start it where there is room.
		why, full = "due", Answer{Outcome: Expired}
		c.releaseKey(t)
	}
	if why != "" && full.Outcome == Rejected && c.forwards && t.idempotent() && !c.lifecycle.current().Leaving() {
		full = Answer{Outcome: Failed}
	}
	if why != "" {
		c.stats.Inc("turned_away", r.Front, why)
		c.stats.Inc("answered", r.Front, name, full.Outcome.String())
		return nil, full
	}
	c.tasks[r.ID] = t
	c.pendingAnswers++
	t.deadlineTimer = time.AfterFunc(r.Deadline.Sub(now)-answerMargin, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.response == responsePending {
			t.enqueue(event{kind: deadlineReached})
		}
	})
	q := silverpath.Request{
		ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Object, Caller: r.Caller, QueuedKB: r.MemoryKB,
		Unread: max(0, now.Sub(r.ReceivedAt)), Deadline: max(1, c.clock()+r.Deadline.Sub(now)), Rank: r.Rank,
	}
	if t.duplicateOf != nil {
		q.DuplicateOf = t.duplicateOf.requestID
		c.stats.Inc("repeats", r.Front, r.Class)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Arrive(now, q) })
	c.updateGate(t)
	return t, Answer{}
}

// foreign reports whether a site that names its tenants does not know this one.
func (c *Core) unknownTenant(tenant string) bool {
	return tenant != "" && len(c.settings.Load().Tenants) > 0 &&
		!slices.ContainsFunc(c.settings.Load().Tenants, func(t silverpath.Tenant) bool { return t.Name == tenant })
}

// next waits for the request's next step.
func (c *Core) nextEvent(t *task) event {
	for {
		c.mu.Lock()
		if len(t.events) > 0 {
			s := t.events[0]
			t.events = t.events[1:]
			c.mu.Unlock()
			return s
		}
		rest := t.response != responsePending && !t.running && !t.joining && !t.calling
		if rest {
			t.deadlineTimer.Stop()
			c.releaseKey(t)
			delete(c.tasks, t.ID)
		}
		c.mu.Unlock()
		if rest {
			return event{kind: requestOver}
		}
		<-t.wake
	}
}

// call makes the call that the module chose, and tells the request how it ended. The run's end gives it up.
func (c *Core) call(t *task, patience time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	over := !t.running
	t.cancelCall = cancel
	c.mu.Unlock()
	s := event{kind: callEnded}
	switch {
	case over:
		s.outcome = silverpath.NotStarted
	case c.caller == nil:
		s.outcome = silverpath.Unreachable
	default:
		began := time.Now()
		s.outcome, s.data = c.caller.Call(ctx, t.ID, patience, t.callBody, t.class.Effect != silverpath.Safe)
		s.spent = time.Since(began)
		c.stats.Inc("calls", outcomeNames[s.outcome])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.calling = false
	t.enqueue(s)
}

var outcomeNames = map[silverpath.Outcome]string{
	silverpath.OK: "ok", silverpath.Failed: "failed", silverpath.Overloaded: "overloaded",
	silverpath.TimedOut: "timed_out", silverpath.Unreachable: "unreachable",
	silverpath.Disconnected: "disconnected", silverpath.Canceled: "canceled", silverpath.NotStarted: "ignored",
}

// ---- What runners and fronts tell ----

// Awaits is told when a run waits for a call with the given body.
func (c *Core) RunNeedsCall(id string, body []byte) {
	c.deliver(id, event{kind: callNeeded, data: body})
}

// Ended is told how a run ended, with its result.
func (c *Core) RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	c.deliver(id, event{kind: runEnded, outcome: o, spent: spent, data: result})
}

// Returned is told that a request that was handed on has come back without a result, and what its caller is told. What
// became of it is known elsewhere: a further try of it is handed on again.
func (c *Core) ForwardReturned(id string, a Answer, spent time.Duration) {
	c.deliver(id, event{kind: runEnded, outcome: silverpath.NotStarted, spent: spent, answer: a, hasAnswer: true})
}

// Gone is told when the caller of a request has left: no answer is owed any more.
func (c *Core) CallerGone(id string) { c.deliver(id, event{kind: callerGone}) }

func (c *Core) deliver(id string, s event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		if s.kind == callerGone {
			c.cancelClaim(id)
		}
		return
	}
	if s.kind == runEnded && t.cancelCall != nil {
		t.cancelCall()
	}
	t.enqueue(s)
}

// ---- Steps, under the lock ----

// end settles a run, or a join. The result is the answer unless one was given, and it is kept for repeats.
func (c *Core) finishRun(t *task, s event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.running && !t.joining {
		return
	}
	wasJoin := t.joining
	t.running, t.joining = false, false
	if s.outcome == silverpath.Canceled && t.response == responsePending {
		// Nothing stops a run here but its request being over: the caller has left and the notice is late.
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
	if !wasJoin {
		c.stats.Inc("runs", t.Class, outcomeNames[s.outcome])
		c.keys.finish(t.execution, s.outcome, s.data, time.Now())
		c.recordEnd(t.execution, s.outcome)
		c.notifyEnd(t.execution)
		c.completeWaiters(t.execution)
	}
	switch {
	case s.hasAnswer:
		c.settle(t, s.answer)
	case s.outcome == silverpath.OK:
		c.settle(t, Answer{Outcome: Served, Body: s.data})
	default:
		c.settle(t, Answer{Outcome: Failed})
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RunEnded(now, t.ID, s.outcome, s.spent) })
}

// leave notes that the caller has left. A keyed run goes on: a later try takes its result.
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

// expire is the backstop of rule one: whatever holds the module up, the answer goes out by the due time.
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

// answer settles a request's one answer.
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

// paid counts an answer that has been handed to its front's connection.
func (c *Core) answerSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingAnswers--
	c.publish()
	c.closeIfIdle()
}

// run hands a request to the runner, once for those with an effect and never what the drain rule forbids. The
// module keeps these rules; here they are kept once more from what the sockets alone tell, so that no mistake
// between the two can run an effect twice.
func (c *Core) startRun(t *task) {
	why := ""
	switch {
	case t.running:
		return
	case t.response != responsePending:
		why = "it is answered"
	case t.started && t.class.Effect != silverpath.Safe:
		why = "it has run"
	case c.lifecycle.current().Leaving() && t.ReceivedAt.After(c.drainStartedAt.Add(c.settings.Load().DrainGrace)):
		why = "it came after the drain window"
	case !c.keys.begin(t):
		why = "another try of it has run"
	}
	if why != "" {
		events.Log(c.log, "guard.run", t.Class, t.ID, why)
		c.stats.Inc("guard")
		t.running = true // for the end that follows
		t.enqueue(event{kind: runEnded, outcome: silverpath.NotStarted})
		return
	}
	t.started, t.running = true, true
	note, link := c.notifyStart(t.execution)
	t.enqueue(event{kind: runChosen, notification: note, link: link})
}

// join makes a request wait for the result of the run that it repeats, or takes it where it is there.
func (c *Core) join(t *task) {
	f := t.duplicateOf
	t.joining = true
	switch {
	case f == nil || f.done && !f.succeeded:
		t.enqueue(event{kind: runEnded, outcome: silverpath.Failed})
	case f.done:
		t.enqueue(event{kind: runEnded, outcome: silverpath.OK, data: f.result})
	default:
		f.waiters = append(f.waiters, t)
	}
}

// stopJoining ends a wait for another try: its answer is given or its caller gone.
func (t *task) stopWaiting() { t.joining = false }

// wakeJoined tells those that wait for a run how it ended.
func (c *Core) completeWaiters(f *execution) {
	if f == nil {
		return
	}
	for _, t := range f.waiters {
		out := silverpath.Failed
		if f.succeeded {
			out = silverpath.OK
		}
		t.enqueue(event{kind: runEnded, outcome: out, data: f.result})
	}
	f.waiters = nil
}

// release frees the key of a request that has not run; whoever joined it fails with it.
func (c *Core) releaseKey(t *task) {
	if t.started || t.execution == nil {
		return
	}
	f := t.execution
	t.execution = nil
	c.keys.forget(f)
	c.notifyDropped(f)
	f.done = true
	c.completeWaiters(f)
}
