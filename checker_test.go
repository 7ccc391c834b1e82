package silverpath_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"silverpath"
)

// The checker is the host of a Shedder. It reports random legal events and checks the actions of the
// Shedder against four rules: no request is lost, no effect occurs twice, the limits of the server hold,
// and a drain ends in time. It keeps its own records and does not use the internal state of the module.

const stepInterval = 5 * time.Millisecond

// requestPhase is the state of a request as the checker sees it.
type requestPhase int

const (
	phaseQueued requestPhase = iota
	phaseRunning
	phasePaused
	phaseAwaitingCall
	phaseCalling
	phaseJoined
	phaseFinished
)

// trackedRequest is the checker's record of one request.
type trackedRequest struct {
	req                         silverpath.Request
	class                       silverpath.Class
	phase                       requestPhase
	receivedAt, deadline        time.Duration
	answered, started           bool
	cancelled                   bool
	idReused                    bool // its ID arrived twice, so a second answer is allowed
	maybeTookEffect             bool // an unsuccessful call may have had its effect
	stepsLeft                   int  // remaining steps on the cores
	callsLeft                   int
	callStartedAt, callDeadline time.Duration
	stopRequested               bool
}

// lingeringCall is an abandoned call that occupies the dependency until endsAt.
type lingeringCall struct{ endsAt time.Duration }

// checker is a silverpath.Host that records actions and violations of the four rules.
type checker struct {
	set            silverpath.Settings
	rng            *rand.Rand
	shedder        *silverpath.Shedder
	now            time.Duration
	byID           map[string]*trackedRequest
	requests       []*trackedRequest
	expiry         map[string]time.Duration
	pendingEnds    []func()
	timers         []time.Duration
	lingeringCalls []lingeringCall
	runLoads       []float64
	callCounts     []float64
	drainStartedAt time.Duration
	stopAt         time.Duration
	hung           bool
	sendsDeadline  bool // requests carry the time at which their caller stops waiting
	violations     []string
	actions        []string
	answered       int
}

func (c *checker) violation(format string, a ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %v: ", c.now)+fmt.Sprintf(format, a...))
}

// recordAction records an action and returns the request that it names.
func (c *checker) recordAction(name, id string) *trackedRequest {
	c.actions = append(c.actions, fmt.Sprint(c.now, " ", name, " ", id))
	r := c.byID[id]
	if r == nil {
		c.violation("action %s for the unknown request %s", name, id)
		return &trackedRequest{phase: phaseFinished}
	}
	return r
}

// recordAnswer marks a request as answered and reports a second answer to it.
func (c *checker) recordAnswer(r *trackedRequest, how string) {
	if r.answered && !r.cancelled && !r.idReused {
		c.violation("lost: %s answered twice, the second time by %s", r.req.ID, how)
	}
	r.answered = true
	c.answered++
}

func (c *checker) Run(id string) {
	r := c.recordAction("run", id)
	switch {
	case r.phase == phasePaused:
	case r.phase != phaseQueued:
		return
	case r.started && r.class.Effect != silverpath.Safe:
		c.violation("duplicate: %s started twice", id)
	case c.drainStartedAt > 0 && r.receivedAt > c.drainStartedAt+c.set.DrainGrace:
		c.violation("drain: %s started, though it arrived after the grace period", id)
	}
	if r.req.DuplicateOf != "" && r.class.Effect == silverpath.Idempotent {
		c.violation("duplicate: %s started, though it duplicates %s", id, r.req.DuplicateOf)
	}
	r.started, r.phase = true, phaseRunning
}

func (c *checker) Reject(id string, _ time.Duration, _ bool) {
	r := c.recordAction("reject", id)
	if r.class.Effect != silverpath.Safe && (r.started || r.req.DuplicateOf != "") {
		c.violation("duplicate: %s rejected after it was started", id)
	}
	c.recordAnswer(r, "a rejection")
	if r.phase == phaseQueued {
		r.phase = phaseFinished
	}
}

func (c *checker) Fail(id string) {
	r := c.recordAction("fail", id)
	c.recordAnswer(r, "a failure")
	switch r.phase {
	case phaseQueued, phasePaused, phaseJoined:
		r.phase = phaseFinished
	case phaseAwaitingCall, phaseCalling:
		c.runAtNextStep(func() { c.endRun(r, silverpath.Canceled) })
	}
}

func (c *checker) Join(id string) {
	r := c.recordAction("join", id)
	if r.req.DuplicateOf == "" {
		c.violation("%s joins a request, but duplicates none", id)
	}
	r.phase, r.stepsLeft = phaseJoined, 1+c.rng.IntN(100)
}

func (c *checker) Stop(id string) {
	r := c.recordAction("stop", id)
	if c.set.Preemption == silverpath.PreemptNone {
		c.violation("%s stopped, though the settings allow no preemption", id)
	}
	if r.phase == phaseRunning && !c.hung {
		r.stopRequested = true
	}
}

func (c *checker) Call(id string, timeout time.Duration) {
	r := c.recordAction("call", id)
	if r.phase != phaseAwaitingCall {
		return
	}
	if r.maybeTookEffect && r.class.Effect != silverpath.Safe {
		c.violation("duplicate: call of %s made again after it may have had its effect", id)
	}
	if timeout <= 0 {
		timeout = r.class.Deadline
	}
	r.phase, r.callStartedAt, r.callDeadline = phaseCalling, c.now, c.now+timeout
}

func (c *checker) SkipCall(id string) {
	r := c.recordAction("skip", id)
	if r.class.DegradedWeight == 0 {
		c.violation("call of %s skipped, though its class forbids that", id)
	}
	if r.phase == phaseAwaitingCall {
		r.phase = phaseRunning
	}
}

func (c *checker) RememberKey(id string, d time.Duration) {
	c.recordAction("remember", id)
	c.expiry[id] = c.now + d
}

func (c *checker) ForgetKey(id string)     { c.recordAction("forget", id); delete(c.expiry, id) }
func (c *checker) Health(bool)             {}
func (c *checker) CloseIdle(time.Duration) {}
func (c *checker) Log(string)              {}
func (c *checker) Wake(d time.Duration)    { c.timers = append(c.timers, c.now+d) }
func (c *checker) Signal(v float64) {
	c.actions = append(c.actions, fmt.Sprint(c.now, " signal ", v))
	if v < 0 || c.set.Signal == silverpath.SignalNone {
		c.violation("invalid signal %v", v)
	}
}

// runAtNextStep defers f, because a host must not call back into the Shedder from an action.
func (c *checker) runAtNextStep(f func()) { c.pendingEnds = append(c.pendingEnds, f) }

// endRun ends or pauses a run and reports this to the Shedder.
func (c *checker) endRun(r *trackedRequest, o silverpath.Outcome) {
	if r.phase == phaseFinished {
		return
	}
	if r.phase == phaseCalling {
		c.lingeringCalls = append(c.lingeringCalls, lingeringCall{c.now + c.set.CallLinger})
	}
	if o == silverpath.Canceled && !r.answered && !r.cancelled {
		r.phase = phasePaused
		if c.set.Preemption == silverpath.PreemptDrop {
			r.phase = phaseQueued
		}
	} else {
		r.phase = phaseFinished
		if !r.answered && (o == silverpath.OK || o == silverpath.Failed) {
			c.recordAnswer(r, "its run")
		}
	}
	c.shedder.RunEnded(c.now, r.req.ID, o, 0)
}

// arrive creates the n-th request and reports its arrival.
func (c *checker) arrive(n int) {
	class := c.set.Classes[c.rng.IntN(len(c.set.Classes))]
	r := &trackedRequest{class: class, stepsLeft: c.rng.IntN(60), callsLeft: c.rng.IntN(3)}
	if !class.CallsDependency {
		r.callsLeft = 0
	}
	r.req = silverpath.Request{
		ID: fmt.Sprintf("r%d", n), Class: class.Name, QueuedKB: 5 + c.rng.Float64()*20,
		Caller:    c.rng.IntN(max(1, c.set.Callers)),
		ReadDelay: time.Duration(c.rng.IntN(200)) * time.Millisecond, Tenant: []string{"", "t", "nobody"}[c.rng.IntN(3)],
	}
	if c.rng.IntN(2) == 0 {
		r.req.ExpectedWork = time.Duration(10+c.rng.IntN(300)) * time.Millisecond
	}
	if class.Effect == silverpath.Safe && c.set.FreshFor > 0 {
		r.req.Key = fmt.Sprint("k", c.rng.IntN(3))
		for _, o := range c.requests {
			if o.req.Key == r.req.Key && c.expiry[o.req.ID] > c.now && o.req.DuplicateOf == "" && !o.cancelled && c.rng.IntN(2) == 0 {
				r.req.DuplicateOf = o.req.ID
			}
		}
	}
	if c.sendsDeadline {
		r.req.Deadline = c.now + class.Deadline/2
	}
	if class.Effect == silverpath.Idempotent && c.rng.IntN(3) == 0 {
		for _, o := range c.requests {
			if o.class.Name == class.Name && c.expiry[o.req.ID] > c.now && (o.started || o.phase == phaseQueued) && o.req.DuplicateOf == "" {
				r.req.DuplicateOf = o.req.ID
			}
		}
	}
	r.receivedAt = c.now - r.req.ReadDelay
	r.deadline = max(c.now, r.receivedAt+class.Deadline)
	if r.req.Deadline > 0 {
		r.deadline = max(c.now, r.req.Deadline)
	}
	c.byID[r.req.ID] = r
	c.requests = append(c.requests, r)
	c.shedder.Arrive(c.now, r.req)
	switch c.rng.IntN(40) {
	case 0: // unknown IDs and an unexpected event
		c.shedder.Cancelled(c.now, "nobody")
		c.shedder.NeedsCall(c.now, r.req.ID+"x")
		c.shedder.CallEnded(c.now, r.req.ID, silverpath.OK, 0)
	case 1:
		r.idReused = true
		c.shedder.Arrive(c.now, r.req)
	}
}

// advance plays one step: progress of runs and calls, cancellations, and timers.
func (c *checker) advance() {
	pending := c.pendingEnds
	c.pendingEnds = nil
	for _, f := range pending {
		f()
	}
	callsInProgress := 0
	for _, r := range c.requests {
		switch r.phase {
		case phaseRunning:
			if c.hung {
				break
			}
			r.stepsLeft--
			switch {
			case r.stopRequested:
				r.stopRequested = false
				c.endRun(r, silverpath.Canceled)
			case r.stepsLeft <= 0 && r.callsLeft > 0:
				r.callsLeft--
				r.stepsLeft = c.rng.IntN(40)
				if r.answered || r.cancelled {
					c.endRun(r, silverpath.Canceled)
					break
				}
				r.phase = phaseAwaitingCall
				c.shedder.NeedsCall(c.now, r.req.ID)
			case r.stepsLeft <= 0:
				c.endRun(r, []silverpath.Outcome{silverpath.OK, silverpath.OK, silverpath.Failed}[c.rng.IntN(3)])
			}
		case phaseCalling:
			callsInProgress++
			o, ended := silverpath.TimedOut, c.now >= r.callDeadline
			if !ended && c.rng.IntN(30) == 0 {
				ended = true
				o = []silverpath.Outcome{silverpath.OK, silverpath.OK, silverpath.Failed, silverpath.Overloaded,
					silverpath.Unreachable, silverpath.Disconnected}[c.rng.IntN(6)]
			}
			if ended {
				r.phase = phaseAwaitingCall
				if o == silverpath.OK {
					r.phase = phaseRunning
				} else if !o.NeverRan() {
					c.lingeringCalls = append(c.lingeringCalls, lingeringCall{c.now + c.set.CallLinger})
				}
				r.maybeTookEffect = r.maybeTookEffect || o != silverpath.OK && !o.NeverRan()
				if o == silverpath.OK {
					r.maybeTookEffect = false
				}
				c.shedder.CallEnded(c.now, r.req.ID, o, c.now-r.callStartedAt)
			}
		case phaseJoined:
			r.stepsLeft--
			if r.stepsLeft <= 0 {
				c.endRun(r, silverpath.OK)
			}
		}
		if !r.answered && !r.cancelled && c.rng.IntN(3000) == 0 {
			r.cancelled = true
			switch r.phase {
			case phaseQueued, phasePaused, phaseJoined:
				r.phase = phaseFinished
			case phaseAwaitingCall, phaseCalling:
				c.runAtNextStep(func() { c.endRun(r, silverpath.Canceled) })
			}
			c.shedder.Cancelled(c.now, r.req.ID)
		}
	}
	timers := c.timers
	c.timers = nil
	for _, t := range timers {
		if t > c.now {
			c.timers = append(c.timers, t)
			continue
		}
		c.shedder.Tick(c.now, silverpath.Gauges{CPU: c.rng.Float64() * 1.2, RunnableTasks: c.rng.Float64() * 20})
	}
	c.checkLimits(callsInProgress)
}

// checkLimits checks the limits that must hold after every step.
func (c *checker) checkLimits(callsInProgress int) {
	memory, onCores := 0.0, 0
	remaining := c.requests[:0]
	for _, r := range c.requests {
		switch r.phase {
		case phaseQueued, phaseJoined:
			memory += r.req.QueuedKB
		case phaseFinished:
		default:
			memory += r.req.QueuedKB * c.set.RunFactor
		}
		if r.phase == phaseRunning {
			onCores++
		}
		latest := r.deadline + 60*time.Millisecond
		if !r.answered && !r.cancelled && c.now > latest {
			c.violation("lost: %s not answered by its deadline", r.req.ID)
			r.cancelled = true
		}
		if r.phase != phaseFinished || c.expiry[r.req.ID] > c.now {
			remaining = append(remaining, r)
		}
	}
	c.requests = remaining
	for id, until := range c.expiry {
		if until < c.now {
			delete(c.expiry, id)
		} else {
			memory += c.set.KeyKB
		}
	}
	if memory > c.set.MemoryKB {
		c.violation("overload: %.0f kB in use, limit %.0f kB", memory, c.set.MemoryKB)
	}
	speed := 1.0
	if c.set.Cold && c.now < c.set.WarmupTime {
		speed = c.set.ColdSpeed + (1-c.set.ColdSpeed)*float64(c.now)/float64(c.set.WarmupTime)
	}
	c.runLoads = append(c.runLoads, float64(onCores)/(float64(c.set.Cores)*(1+(c.set.MaxRunsPerCore-1)*speed)))
	if m := mean(c.runLoads, int(c.set.RunsWindow/stepInterval)); m > 1 {
		c.violation("overload: runs at %.2f of the number that the server survives", m)
	}
	lingering := c.lingeringCalls[:0]
	for _, l := range c.lingeringCalls {
		if l.endsAt > c.now {
			lingering = append(lingering, l)
		}
	}
	c.lingeringCalls = lingering
	c.callCounts = append(c.callCounts, float64(callsInProgress+len(lingering)))
	if c.set.Dependency == silverpath.DependencyShared {
		if m := mean(c.callCounts, int(c.set.CallWindow/stepInterval)); m > c.set.CallQuota {
			c.violation("overload: %.2f concurrent calls, quota %.2f", m, c.set.CallQuota)
		}
	}
}

// mean returns the mean of the last n values; missing values count as 0.
func mean(values []float64, n int) float64 {
	sum := 0.0
	for _, x := range values[max(0, len(values)-n):] {
		sum += x
	}
	return sum / float64(n)
}

// randomSettings returns valid settings with three classes, one for each Effect.
func randomSettings(rng *rand.Rand) silverpath.Settings {
	intN := func(n int) int { return rng.IntN(n) }
	callQuota := math.Exp(rng.Float64()*7-5) * float64(min(1, intN(10))) // from 0.007 to 7, in one of ten cases 0
	return silverpath.Settings{
		Cores: 1 + intN(2)*intN(8), MemoryKB: 3000 + rng.Float64()*20000, RunFactor: 1 + rng.Float64()*10,
		KeyKB: rng.Float64() * 30, Cold: intN(2) == 0, ColdSpeed: 0.1 + rng.Float64()*0.5,
		WarmupTime: time.Duration(1+intN(20)) * time.Second, MaxRunsPerCore: 1.2 + rng.Float64()*8,
		RunsWindow: time.Duration(1+intN(2)) * time.Second, DrainGrace: time.Duration(intN(2000)) * time.Millisecond,
		OverQuotaWeight: rng.Float64(), WeightByWork: intN(2) == 0, ClassMix: rng.Float64() / 2,
		Servers: intN(400), Callers: intN(1200), Tier: intN(2), Preemption: silverpath.Preemption(intN(3)),
		Signal: silverpath.Signal(intN(4)), RetryAfter: intN(2) == 0, MaxRetryAfter: time.Second,
		Dependency: silverpath.Dependency(intN(3)), CallQuota: callQuota,
		CallWindow: 5 * time.Second, CallLinger: time.Duration(intN(300)) * time.Millisecond,
		KeepAlive: 15 * time.Second, FreshFor: time.Duration(intN(2)*500) * time.Millisecond,
		Readiness: intN(2) == 0, MarksRetries: intN(2) == 0, Seed: int64(intN(100)),
		Tenants: []silverpath.Tenant{{Name: "t", Rate: rng.Float64() * 50}},
		Classes: []silverpath.Class{
			{Name: "read", Objective: time.Second, Deadline: 2500 * time.Millisecond, Weight: 1, LateWeight: 0.2,
				CallsDependency: true, DegradedWeight: 0.5},
			{Name: "book", Objective: 2 * time.Second, Deadline: 5 * time.Second, Weight: 3, Effect: silverpath.Idempotent,
				IdempotencyWindow: time.Duration(5+intN(10)) * time.Second, CallsDependency: true},
			{Name: "pay", Objective: time.Second, Deadline: 4 * time.Second, Weight: 5, Effect: silverpath.NonIdempotent,
				CallsDependency: intN(2) == 0},
		},
	}
}

// playRandomDay plays random events until the process is stopped, and returns the checker with the
// violations found.
func playRandomDay(t *testing.T, seed uint64) *checker {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	c := &checker{sendsDeadline: seed%3 == 0, set: randomSettings(rng), rng: rng, byID: map[string]*trackedRequest{}, expiry: map[string]time.Duration{}}
	shed, err := silverpath.New(0, c.set, c)
	if err != nil {
		t.Fatal(err)
	}
	c.shedder = shed
	drainTime := 8*time.Second + time.Duration(rng.IntN(4000))*time.Millisecond
	rate := rng.Float64()
	for n := 0; c.stopAt == 0 || c.now < c.stopAt; c.now += stepInterval {
		if c.drainStartedAt == 0 && c.now >= drainTime {
			c.drainStartedAt, c.stopAt = c.now, c.now+time.Duration(500+rng.IntN(6000))*time.Millisecond
			c.shedder.Drain(c.now, c.stopAt)
		}
		if rng.IntN(400) == 0 {
			c.hung = !c.hung
		}
		for range 3 {
			if rng.Float64() < rate && (c.stopAt == 0 || c.now < c.stopAt-200*time.Millisecond) {
				n++
				c.arrive(n)
			}
		}
		c.advance()
	}
	for _, r := range c.requests {
		if !r.answered && !r.cancelled {
			c.violation("drain: %s not answered when the process is stopped", r.req.ID)
		}
	}
	return c
}

// The four rules must hold for random settings and events.
func TestRulesOnRandomDays(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		c := playRandomDay(t, seed)
		total += c.answered
		for i, f := range c.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	if total < 10000 {
		t.Errorf("%d answers in all days, want at least 10000", total)
	}
}

// The actions must depend on the settings and events only.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(8) {
		a, b := playRandomDay(t, seed).actions, playRandomDay(t, seed).actions
		if len(a) != len(b) {
			t.Fatalf("seed %d: %d actions in the first run, %d in the second", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %d is %s in the first run, %s in the second", seed, i, a[i], b[i])
			}
		}
	}
}

// BenchmarkEvents measures the cost of a request with its events, which must not grow with the number of
// servers or callers.
func BenchmarkEvents(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("servers=callers=%d", size), func(b *testing.B) {
			set := randomSettings(rand.New(rand.NewPCG(7, 7)))
			set.Cores, set.MemoryKB, set.Servers, set.Callers = 2, 50000, size, size
			shed, err := silverpath.New(0, set, idleHost{})
			if err != nil {
				b.Fatal(err)
			}
			now := time.Duration(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("r", i)
				shed.Arrive(now, silverpath.Request{ID: id, Class: "read", QueuedKB: 10, Caller: i % size,
					ExpectedWork: 100 * time.Millisecond})
				now += 30 * time.Millisecond
				shed.Tick(now, silverpath.Gauges{CPU: 0.7, RunnableTasks: 2})
				shed.Cancelled(now, fmt.Sprint("r", i-1))
				shed.RunEnded(now, id, silverpath.OK, 30*time.Millisecond)
			}
		})
	}
}

// idleHost is a host that ignores all actions.
type idleHost struct{}

func (idleHost) Run(string)                         {}
func (idleHost) Reject(string, time.Duration, bool) {}
func (idleHost) Fail(string)                        {}
func (idleHost) Join(string)                        {}
func (idleHost) Stop(string)                        {}
func (idleHost) Call(string, time.Duration)         {}
func (idleHost) SkipCall(string)                    {}
func (idleHost) RememberKey(string, time.Duration)  {}
func (idleHost) ForgetKey(string)                   {}
func (idleHost) Health(bool)                        {}
func (idleHost) Signal(float64)                     {}
func (idleHost) CloseIdle(time.Duration)            {}
func (idleHost) Wake(time.Duration)                 {}
func (idleHost) Log(string)                         {}
