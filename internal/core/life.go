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
type word int

const (
	owed word = iota
	answered
	gone // its caller left; nothing is owed
)

// task is a request in hand.
type task struct {
	Request
	class   silverpath.Class
	word    word
	ran     bool   // handed to the runner at least once
	running bool   // and its end not seen yet
	joining bool   // waits for the result of another try
	calling bool   // a call of its run is out
	ask     []byte // the body of the call that the run waits for
	read    time.Time
	flight  *flight // the run that this try is, or may become; keyed classes and kept reads
	repeats *flight // the run of another try that this one repeats
	// stranger: it has the key of another request, which is not the same.
	stranger bool
	// elsewhere: its key belongs to another server, and why.
	elsewhere string
	turned    idempotency.Verdict // what the store says of it, where runs are kept
	barred    string              // why nothing new begins by the rules that it was sent by; empty: nothing is against it
	cancel    context.CancelFunc  // gives up the call that is out
	timer     *time.Timer

	mail []step
	bell chan struct{} // rung when mail comes
}

// sheet reports whether further tries of the request may come that are one request with it.
func (t *task) sheet() bool { return t.class.Effect == silverpath.Idempotent && t.Key != "" }

// step is what a request's goroutine does next.
type step struct {
	kind     stepKind
	answer   Answer
	given    bool // ended: the answer is that one
	patience time.Duration
	outcome  silverpath.Outcome
	data     []byte
	spent    time.Duration
	note     hotrestart.Note // toRun: how the other process hears of it first
	link     int             // and on which link
	err      error           // promised: why the promise is not known to last
	kept     bool            // ended: the result lasts, or never will
}

type stepKind int

const (
	toRun    stepKind = iota // chosen by the module
	toCall                   // likewise
	toAnswer                 // its one answer is settled
	awaits                   // its run waits for a call
	called                   // that call has ended
	promised                 // that it runs is on the disk, where runs are kept
	ended                    // its run, or its join, has ended
	left                     // its caller has left
	overdue                  // its due time has come
	toRest                   // all is done
)

// post leaves a step for the request's goroutine; it is called under the core's lock.
func (t *task) post(s step) {
	t.mail = append(t.mail, s)
	select {
	case t.bell <- struct{}{}:
	default:
	}
}

// Serve is the life of one request, from its reading to its end. It calls the module at every point of choice
// and does what the module chose. It returns when the request is answered and nothing of it runs; the reply
// function is called at most once.
func (c *Core) Serve(r Request, reply func(Answer)) {
	t, refusal := c.arrive(r) // the module's choice: hold, run, join or refuse
	if t == nil {
		reply(c.lasting(r, refusal))
		return
	}
	for {
		switch s := c.next(t); s.kind {
		case toRun:
			if !c.told(s.note, s.link) { // the other process has to know first
				c.unrun(t, step{})
			} else if !c.promises(t) { // the disk too, where runs are kept: promised comes once it does
				c.hand(t)
			}
		case promised:
			if c.begun(t, s) {
				c.hand(t)
			}
		case awaits:
			t.ask = s.data
			c.choose(func(m *silverpath.Shedder, now time.Duration) { m.NeedsCall(now, t.ID) })
		case toCall:
			go c.call(t, s.patience) // an answer that is settled meanwhile does not wait for it: called comes once it has ended
		case called:
			if s.outcome == silverpath.OK {
				c.runner.Resume(t.ID, s.data)
			}
			c.choose(func(m *silverpath.Shedder, now time.Duration) { m.CallEnded(now, t.ID, s.outcome, s.spent) })
		case ended:
			if !c.saves(t, s) { // a result lasts before it is told: ended comes again once it does
				c.end(t, s)
			}
		case left:
			c.leave(t)
		case overdue:
			c.expire(t)
		case toAnswer:
			c.stats.Inc("answered", t.Front, t.Class, s.answer.Outcome.String())
			reply(s.answer)
			c.paid()
		case toRest:
			return
		}
	}
}

// hand gives a request to the runner.
func (c *Core) hand(t *task) {
	if f, hands := c.runner.(Forwarder); hands {
		f.Forward(t.Request)
	} else {
		c.runner.Run(t.ID, t.Class, t.Body)
	}
}

// choose is a point of choice: the module hears of an event, and what it then asks for is done.
func (c *Core) choose(event func(m *silverpath.Shedder, now time.Duration)) {
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
	c.locked.Record(time.Since(began))
	if a, over := c.claim(&r, k); over { // waits, without the lock, where another process may have its key
		c.stats.Inc("answered", r.Front, name, a.Outcome.String())
		return nil, a
	}
	defer c.claimed(&r, k)
	now := time.Now()
	set := c.set.Load()
	full := Answer{Outcome: Refused, Wait: set.MaxRetryAfter}
	why := ""
	t := &task{Request: r, class: k, read: now, bell: make(chan struct{}, 1)}
	if t.sheet() {
		t.barred = c.judge(&r)
	}
	switch {
	case c.tasks[r.ID] != nil:
		why, full = "same_id", Answer{Outcome: Invalid}
	case c.state.now() == lifecycle.Stopped || c.module == nil:
		why = "stopped"
	case len(c.tasks) >= c.maxTasks:
		why = "too_many"
	case !known:
		why, full = "unknown_class", Answer{Outcome: Refused, Final: true}
	case c.foreign(r.Tenant):
		why, full = "unknown_tenant", Answer{Outcome: Invalid}
	case !c.keys.enter(t, set.FreshFor, now):
		why = "keys_full"
	case t.stranger:
		why, full = "key_conflict", Answer{Outcome: Invalid}
	case t.turned.Do != idempotency.Begin:
		why, full = t.turned.Why, c.turnedAway(t.turned)
	case t.elsewhere != "":
		why, full = t.elsewhere, Answer{Outcome: Refused, Wait: set.MaxRetryAfter, Why: t.elsewhere}
		if t.elsewhere == WhyUnknown {
			c.markMoved(t, &full)
		}
	case t.repeats == nil && c.state.now().Leaving() && now.Sub(c.drainedAt) > set.DrainGrace:
		// Read after the drain window, whenever it was written: nobody could be sure that its answer still arrives.
		why = "drained"
		c.release(t)
	case t.repeats == nil && r.Due.Sub(now) <= backstop:
		// Due as it is read: the module has no tick left to answer it in, and would start it where there is room.
		why, full = "due", Answer{Outcome: Expired}
		c.release(t)
	}
	if why != "" && full.Outcome == Refused && c.blind && t.sheet() && !c.state.now().Leaving() {
		full = Answer{Outcome: Failed}
	}
	if why != "" {
		c.stats.Inc("turned_away", r.Front, why)
		c.stats.Inc("answered", r.Front, name, full.Outcome.String())
		return nil, full
	}
	c.tasks[r.ID] = t
	c.owed++
	t.timer = time.AfterFunc(r.Due.Sub(now)-backstop, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.word == owed {
			t.post(step{kind: overdue})
		}
	})
	q := silverpath.Request{
		ID: r.ID, Class: r.Class, Tenant: r.Tenant, Key: r.Object, Caller: r.Caller, QueuedKB: r.HeldKB,
		Unread: max(0, now.Sub(r.Reached)), Deadline: max(1, c.clock()+r.Due.Sub(now)), Rank: r.Rank,
	}
	if t.repeats != nil {
		q.DuplicateOf = t.repeats.id
		c.stats.Inc("repeats", r.Front, r.Class)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Arrive(now, q) })
	c.knock(t)
	return t, Answer{}
}

// foreign reports whether a site that names its tenants does not know this one.
func (c *Core) foreign(tenant string) bool {
	return tenant != "" && len(c.set.Load().Tenants) > 0 &&
		!slices.ContainsFunc(c.set.Load().Tenants, func(t silverpath.Tenant) bool { return t.Name == tenant })
}

// next waits for the request's next step.
func (c *Core) next(t *task) step {
	for {
		c.mu.Lock()
		if len(t.mail) > 0 {
			s := t.mail[0]
			t.mail = t.mail[1:]
			c.mu.Unlock()
			return s
		}
		rest := t.word != owed && !t.running && !t.joining && !t.calling
		if rest {
			t.timer.Stop()
			c.release(t)
			delete(c.tasks, t.ID)
		}
		c.mu.Unlock()
		if rest {
			return step{kind: toRest}
		}
		<-t.bell
	}
}

// call makes the call that the module chose, and tells the request how it ended. The run's end gives it up.
func (c *Core) call(t *task, patience time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.mu.Lock()
	over := !t.running
	t.cancel = cancel
	c.mu.Unlock()
	s := step{kind: called}
	switch {
	case over:
		s.outcome = silverpath.NotStarted
	case c.caller == nil:
		s.outcome = silverpath.Unreachable
	default:
		began := time.Now()
		s.outcome, s.data = c.caller.Call(ctx, t.ID, patience, t.ask, t.class.Effect != silverpath.Safe)
		s.spent = time.Since(began)
		c.stats.Inc("calls", outcomeNames[s.outcome])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.calling = false
	t.post(s)
}

var outcomeNames = map[silverpath.Outcome]string{
	silverpath.OK: "ok", silverpath.Failed: "failed", silverpath.Overloaded: "overloaded",
	silverpath.TimedOut: "timed_out", silverpath.Unreachable: "unreachable",
	silverpath.Disconnected: "disconnected", silverpath.Canceled: "canceled", silverpath.NotStarted: "ignored",
}

// ---- What runners and fronts tell ----

// Awaits is told when a run waits for a call with the given body.
func (c *Core) Awaits(id string, body []byte) {
	c.tell(id, step{kind: awaits, data: body})
}

// Ended is told how a run ended, with its result.
func (c *Core) Ended(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	c.tell(id, step{kind: ended, outcome: o, spent: spent, data: result})
}

// Returned is told that a request that was handed on has come back without a result, and what its caller is told. What
// became of it is known elsewhere: a further try of it is handed on again.
func (c *Core) Returned(id string, a Answer, spent time.Duration) {
	c.tell(id, step{kind: ended, outcome: silverpath.NotStarted, spent: spent, answer: a, given: true})
}

// Gone is told when the caller of a request has left: no answer is owed any more.
func (c *Core) Gone(id string) { c.tell(id, step{kind: left}) }

func (c *Core) tell(id string, s step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tasks[id]
	if t == nil {
		if s.kind == left {
			c.give(id)
		}
		return
	}
	if s.kind == ended && t.cancel != nil {
		t.cancel()
	}
	t.post(s)
}

// ---- Steps, under the lock ----

// end settles a run, or a join. The result is the answer unless one was given, and it is kept for repeats.
func (c *Core) end(t *task, s step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.running && !t.joining {
		return
	}
	wasJoin := t.joining
	t.running, t.joining = false, false
	if s.outcome == silverpath.Canceled && t.word == owed {
		// Nothing stops a run here but its request being over: the caller has left and the notice is late.
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
	if !wasJoin {
		c.stats.Inc("runs", t.Class, outcomeNames[s.outcome])
		c.keys.done(t.flight, s.outcome, s.data, time.Now())
		c.keptEnd(t.flight, s.outcome)
		c.tellEnd(t.flight)
		c.wakeJoined(t.flight)
	}
	switch {
	case s.given:
		c.answer(t, s.answer)
	case s.outcome == silverpath.OK:
		c.answer(t, Answer{Outcome: Served, Body: s.data})
	default:
		c.answer(t, Answer{Outcome: Failed})
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RunEnded(now, t.ID, s.outcome, s.spent) })
}

// leave notes that the caller has left. A keyed run goes on: a later try takes its result.
func (c *Core) leave(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.word != owed {
		return
	}
	c.stats.Inc("answered", t.Front, t.Class, "gone")
	t.word = gone
	if !t.ran {
		c.release(t)
	}
	t.stopJoining()
	c.owed--
	c.settled()
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
}

// expire is the backstop of rule one: whatever holds the module up, the answer goes out by the due time.
func (c *Core) expire(t *task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.word != owed {
		return
	}
	events.Log(c.log, "backstop", t.Class, t.ID, time.Since(t.read).Round(time.Millisecond))
	c.stats.Inc("backstop")
	c.answer(t, Answer{Outcome: Expired})
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
}

// answer settles a request's one answer.
func (c *Core) answer(t *task, a Answer) {
	if t.word != owed {
		return
	}
	t.word = answered
	if !t.ran {
		c.release(t)
	}
	t.stopJoining()
	t.post(step{kind: toAnswer, answer: a})
}

// paid counts an answer that has been handed to its front's connection.
func (c *Core) paid() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed--
	c.show()
	c.settled()
}

// run hands a request to the runner, once for those with an effect and never what the drain rule forbids. The
// module keeps these rules; here they are kept once more from what the sockets alone tell, so that no mistake
// between the two can run an effect twice.
func (c *Core) run(t *task) {
	why := ""
	switch {
	case t.running:
		return
	case t.word != owed:
		why = "it is answered"
	case t.ran && t.class.Effect != silverpath.Safe:
		why = "it has run"
	case c.state.now().Leaving() && t.Reached.After(c.drainedAt.Add(c.set.Load().DrainGrace)):
		why = "it came after the drain window"
	case !c.keys.start(t):
		why = "another try of it has run"
	}
	if why != "" {
		events.Log(c.log, "guard.run", t.Class, t.ID, why)
		c.stats.Inc("guard")
		t.running = true // for the end that follows
		t.post(step{kind: ended, outcome: silverpath.NotStarted})
		return
	}
	t.ran, t.running = true, true
	note, link := c.noteStart(t.flight)
	t.post(step{kind: toRun, note: note, link: link})
}

// join makes a request wait for the result of the run that it repeats, or takes it where it is there.
func (c *Core) join(t *task) {
	f := t.repeats
	t.joining = true
	switch {
	case f == nil || f.done && !f.ok:
		t.post(step{kind: ended, outcome: silverpath.Failed})
	case f.done:
		t.post(step{kind: ended, outcome: silverpath.OK, data: f.result})
	default:
		f.joined = append(f.joined, t)
	}
}

// stopJoining ends a wait for another try: its answer is given or its caller gone.
func (t *task) stopJoining() { t.joining = false }

// wakeJoined tells those that wait for a run how it ended.
func (c *Core) wakeJoined(f *flight) {
	if f == nil {
		return
	}
	for _, t := range f.joined {
		out := silverpath.Failed
		if f.ok {
			out = silverpath.OK
		}
		t.post(step{kind: ended, outcome: out, data: f.result})
	}
	f.joined = nil
}

// release frees the key of a request that has not run; whoever joined it fails with it.
func (c *Core) release(t *task) {
	if t.ran || t.flight == nil {
		return
	}
	f := t.flight
	t.flight = nil
	c.keys.drop(f)
	c.tellDrop(f)
	f.done = true
	c.wakeJoined(f)
}
