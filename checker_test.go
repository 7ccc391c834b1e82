package silverpath_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"silverpath"
)

// The checker hosts a Shedder, plays random legal events to it and asserts the four rules on its actions. It
// keeps books of its own and knows nothing of the module's insides.

const step = 5 * time.Millisecond

type phase int

const (
	isHeld phase = iota
	isRunning
	isPaused
	standsAtCall
	callOut
	joins
	isOver
)

type job struct {
	q              silverpath.Request
	class          silverpath.Class
	phase          phase
	reached, due   time.Duration
	answered, ran  bool
	gone           bool
	again          bool // its id came twice, so a second answer is no fault
	uncertain      bool // a call may have had its effect
	work           int  // steps left on the cores
	calls          int
	callAt, callBy time.Duration
	stopping       bool
}

type linger struct{ until time.Duration }

type checker struct {
	set      silverpath.Settings
	rng      *rand.Rand
	shed     *silverpath.Shedder
	now      time.Duration
	jobs     map[string]*job
	list     []*job
	keys     map[string]time.Duration
	ends     []func()
	timers   []time.Duration
	lingers  []linger
	runs     []float64
	inHands  []float64
	drainAt  time.Duration
	stopAt   time.Duration
	hung     bool
	tellsDue bool // requests tell how long their caller waits
	faults   []string
	actions  []string
	answered int
}

func (c *checker) fault(format string, a ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %v: ", c.now)+fmt.Sprintf(format, a...))
}

func (c *checker) act(name, id string) *job {
	c.actions = append(c.actions, fmt.Sprint(c.now, " ", name, " ", id))
	j := c.jobs[id]
	if j == nil {
		c.fault("%s names the unknown request %s", name, id)
		return &job{phase: isOver}
	}
	return j
}

func (c *checker) final(j *job, how string) {
	if j.answered && !j.gone && !j.again {
		c.fault("lost: %s answered twice, by %s", j.q.ID, how)
	}
	j.answered = true
	c.answered++
}

func (c *checker) Run(id string) {
	j := c.act("run", id)
	switch {
	case j.phase == isPaused:
	case j.phase != isHeld:
		return
	case j.ran && j.class.Effect != silverpath.Safe:
		c.fault("duplicate: %s run again", id)
	case c.drainAt > 0 && j.reached > c.drainAt+c.set.DrainGrace:
		c.fault("drain: %s run, though it came after the grace", id)
	}
	if j.q.DuplicateOf != "" && j.class.Effect == silverpath.Idempotent {
		c.fault("duplicate: %s run, though it repeats %s", id, j.q.DuplicateOf)
	}
	j.ran, j.phase = true, isRunning
}

func (c *checker) Reject(id string, _ time.Duration, _ bool) {
	j := c.act("refuse", id)
	if j.class.Effect != silverpath.Safe && (j.ran || j.q.DuplicateOf != "") {
		c.fault("duplicate: %s rejected after it has run", id)
	}
	c.final(j, "refusal")
	if j.phase == isHeld {
		j.phase = isOver
	}
}

func (c *checker) Fail(id string) {
	j := c.act("fail", id)
	c.final(j, "failure")
	switch j.phase {
	case isHeld, isPaused, joins:
		j.phase = isOver
	case standsAtCall, callOut:
		c.later(func() { c.end(j, silverpath.Canceled) })
	}
}

func (c *checker) Join(id string) {
	j := c.act("join", id)
	if j.q.DuplicateOf == "" {
		c.fault("%s joins nothing", id)
	}
	j.phase, j.work = joins, 1+c.rng.IntN(100)
}

func (c *checker) Stop(id string) {
	j := c.act("stop", id)
	if c.set.Preemption == silverpath.PreemptNone {
		c.fault("%s stopped, where nothing can be", id)
	}
	if j.phase == isRunning && !c.hung {
		j.stopping = true
	}
}

func (c *checker) Call(id string, patience time.Duration) {
	j := c.act("call", id)
	if j.phase != standsAtCall {
		return
	}
	if j.uncertain && j.class.Effect != silverpath.Safe {
		c.fault("duplicate: call of %s repeated after it may have had its effect", id)
	}
	if patience <= 0 {
		patience = j.class.Deadline
	}
	j.phase, j.callAt, j.callBy = callOut, c.now, c.now+patience
}

func (c *checker) SkipCall(id string) {
	j := c.act("skip", id)
	if j.class.DegradedWeight == 0 {
		c.fault("call of %s left out, where it must not be", id)
	}
	if j.phase == standsAtCall {
		j.phase = isRunning
	}
}

func (c *checker) RememberKey(id string, d time.Duration) {
	c.act("keep", id)
	c.keys[id] = c.now + d
}

func (c *checker) ForgetKey(id string)     { c.act("forget", id); delete(c.keys, id) }
func (c *checker) Health(bool)             {}
func (c *checker) CloseIdle(time.Duration) {}
func (c *checker) Log(string)              {}
func (c *checker) Wake(d time.Duration)    { c.timers = append(c.timers, c.now+d) }
func (c *checker) Signal(v float64) {
	c.actions = append(c.actions, fmt.Sprint(c.now, " signal ", v))
	if v < 0 || c.set.Signal == silverpath.SignalNone {
		c.fault("signal %v", v)
	}
}

func (c *checker) later(f func()) { c.ends = append(c.ends, f) }

func (c *checker) end(j *job, o silverpath.Outcome) {
	if j.phase == isOver {
		return
	}
	if j.phase == callOut {
		c.lingers = append(c.lingers, linger{c.now + c.set.CallLinger})
	}
	if o == silverpath.Canceled && !j.answered && !j.gone {
		j.phase = isPaused
		if c.set.Preemption == silverpath.PreemptDrop {
			j.phase = isHeld
		}
	} else {
		j.phase = isOver
		if !j.answered && (o == silverpath.OK || o == silverpath.Failed) {
			c.final(j, "its run")
		}
	}
	c.shed.RunEnded(c.now, j.q.ID, o, 0)
}

func (c *checker) arrive(n int) {
	class := c.set.Classes[c.rng.IntN(len(c.set.Classes))]
	j := &job{class: class, work: c.rng.IntN(60), calls: c.rng.IntN(3)}
	if !class.CallsDependency {
		j.calls = 0
	}
	j.q = silverpath.Request{
		ID: fmt.Sprintf("r%d", n), Class: class.Name, QueuedKB: 5 + c.rng.Float64()*20,
		Caller: c.rng.IntN(max(1, c.set.Callers)),
		Unread: time.Duration(c.rng.IntN(200)) * time.Millisecond, Tenant: []string{"", "t", "nobody"}[c.rng.IntN(3)],
	}
	if c.rng.IntN(2) == 0 {
		j.q.ExpectedWork = time.Duration(10+c.rng.IntN(300)) * time.Millisecond
	}
	if class.Effect == silverpath.Safe && c.set.FreshFor > 0 {
		j.q.Key = fmt.Sprint("k", c.rng.IntN(3))
		for _, o := range c.list {
			if o.q.Key == j.q.Key && c.keys[o.q.ID] > c.now && o.q.DuplicateOf == "" && !o.gone && c.rng.IntN(2) == 0 {
				j.q.DuplicateOf = o.q.ID
			}
		}
	}
	if c.tellsDue {
		j.q.Deadline = c.now + class.Deadline/2
	}
	if class.Effect == silverpath.Idempotent && c.rng.IntN(3) == 0 {
		for _, o := range c.list {
			if o.class.Name == class.Name && c.keys[o.q.ID] > c.now && (o.ran || o.phase == isHeld) && o.q.DuplicateOf == "" {
				j.q.DuplicateOf = o.q.ID
			}
		}
	}
	j.reached = c.now - j.q.Unread
	j.due = max(c.now, j.reached+class.Deadline)
	if j.q.Deadline > 0 {
		j.due = max(c.now, j.q.Deadline)
	}
	c.jobs[j.q.ID] = j
	c.list = append(c.list, j)
	c.shed.Arrive(c.now, j.q)
	switch c.rng.IntN(40) {
	case 0: // the odd ones
		c.shed.Cancelled(c.now, "nobody")
		c.shed.NeedsCall(c.now, j.q.ID+"x")
		c.shed.CallEnded(c.now, j.q.ID, silverpath.OK, 0)
	case 1:
		j.again = true
		c.shed.Arrive(c.now, j.q)
	}
}

func (c *checker) advance() {
	ends := c.ends
	c.ends = nil
	for _, f := range ends {
		f()
	}
	calls := 0
	for _, j := range c.list {
		switch j.phase {
		case isRunning:
			if c.hung {
				break
			}
			j.work--
			switch {
			case j.stopping:
				j.stopping = false
				c.end(j, silverpath.Canceled)
			case j.work <= 0 && j.calls > 0:
				j.calls--
				j.work = c.rng.IntN(40)
				if j.answered || j.gone {
					c.end(j, silverpath.Canceled)
					break
				}
				j.phase = standsAtCall
				c.shed.NeedsCall(c.now, j.q.ID)
			case j.work <= 0:
				c.end(j, []silverpath.Outcome{silverpath.OK, silverpath.OK, silverpath.Failed}[c.rng.IntN(3)])
			}
		case callOut:
			calls++
			o, over := silverpath.TimedOut, c.now >= j.callBy
			if !over && c.rng.IntN(30) == 0 {
				over = true
				o = []silverpath.Outcome{silverpath.OK, silverpath.OK, silverpath.Failed, silverpath.Overloaded,
					silverpath.Unreachable, silverpath.Disconnected}[c.rng.IntN(6)]
			}
			if over {
				j.phase = standsAtCall
				if o == silverpath.OK {
					j.phase = isRunning
				} else if !o.NeverRan() {
					c.lingers = append(c.lingers, linger{c.now + c.set.CallLinger})
				}
				j.uncertain = j.uncertain || o != silverpath.OK && !o.NeverRan()
				if o == silverpath.OK {
					j.uncertain = false
				}
				c.shed.CallEnded(c.now, j.q.ID, o, c.now-j.callAt)
			}
		case joins:
			j.work--
			if j.work <= 0 {
				c.end(j, silverpath.OK)
			}
		}
		if !j.answered && !j.gone && c.rng.IntN(3000) == 0 {
			j.gone = true
			switch j.phase {
			case isHeld, isPaused, joins:
				j.phase = isOver
			case standsAtCall, callOut:
				c.later(func() { c.end(j, silverpath.Canceled) })
			}
			c.shed.Cancelled(c.now, j.q.ID)
		}
	}
	timers := c.timers
	c.timers = nil
	for _, t := range timers {
		if t > c.now {
			c.timers = append(c.timers, t)
			continue
		}
		c.shed.Tick(c.now, silverpath.Gauges{CPU: c.rng.Float64() * 1.2, OnCores: c.rng.Float64() * 20})
	}
	c.assert(calls)
}

// assert checks what holds after every batch.
func (c *checker) assert(calls int) {
	memory, onCores := 0.0, 0
	live := c.list[:0]
	for _, j := range c.list {
		switch j.phase {
		case isHeld, joins:
			memory += j.q.QueuedKB
		case isOver:
		default:
			memory += j.q.QueuedKB * c.set.RunFactor
		}
		if j.phase == isRunning {
			onCores++
		}
		late := j.due + 60*time.Millisecond
		if !j.answered && !j.gone && c.now > late {
			c.fault("lost: %s not answered by its deadline", j.q.ID)
			j.gone = true
		}
		if j.phase != isOver || c.keys[j.q.ID] > c.now {
			live = append(live, j)
		}
	}
	c.list = live
	for id, until := range c.keys {
		if until < c.now {
			delete(c.keys, id)
		} else {
			memory += c.set.KeyKB
		}
	}
	if memory > c.set.MemoryKB {
		c.fault("fall-over: %.0f of %.0f kB", memory, c.set.MemoryKB)
	}
	share := 1.0
	if c.set.Cold && c.now < c.set.WarmupTime {
		share = c.set.ColdSpeed + (1-c.set.ColdSpeed)*float64(c.now)/float64(c.set.WarmupTime)
	}
	c.runs = append(c.runs, float64(onCores)/(float64(c.set.Cores)*(1+(c.set.MaxRunsPerCore-1)*share)))
	if m := mean(c.runs, int(c.set.RunsWindow/step)); m > 1 {
		c.fault("fall-over: runs at %.2f of what it survives", m)
	}
	left := c.lingers[:0]
	for _, l := range c.lingers {
		if l.until > c.now {
			left = append(left, l)
		}
	}
	c.lingers = left
	c.inHands = append(c.inHands, float64(calls+len(left)))
	if c.set.Dependency == silverpath.DependencyShared {
		if m := mean(c.inHands, int(c.set.CallWindow/step)); m > c.set.CallQuota {
			c.fault("fall-over: %.2f calls in hand, the share is %.2f", m, c.set.CallQuota)
		}
	}
}

// mean is the mean of the last n values; what came before the first counts as 0.
func mean(v []float64, n int) float64 {
	sum := 0.0
	for _, x := range v[max(0, len(v)-n):] {
		sum += x
	}
	return sum / float64(n)
}

func randomSettings(rng *rand.Rand) silverpath.Settings {
	pick := func(n int) int { return rng.IntN(n) }
	callShare := math.Exp(rng.Float64()*7-5) * float64(min(1, pick(10))) // from 0.007 to 7, now and then none
	return silverpath.Settings{
		Cores: 1 + pick(2)*pick(8), MemoryKB: 3000 + rng.Float64()*20000, RunFactor: 1 + rng.Float64()*10,
		KeyKB: rng.Float64() * 30, Cold: pick(2) == 0, ColdSpeed: 0.1 + rng.Float64()*0.5,
		WarmupTime: time.Duration(1+pick(20)) * time.Second, MaxRunsPerCore: 1.2 + rng.Float64()*8,
		RunsWindow: time.Duration(1+pick(2)) * time.Second, DrainGrace: time.Duration(pick(2000)) * time.Millisecond,
		OverQuotaWeight: rng.Float64(), WeightByWork: pick(2) == 0, ClassMix: rng.Float64() / 2,
		Servers: pick(400), Callers: pick(1200), Tier: pick(2), Preemption: silverpath.Preemption(pick(3)),
		Signal: silverpath.Signal(pick(4)), RetryAfter: pick(2) == 0, MaxRetryAfter: time.Second,
		Dependency: silverpath.Dependency(pick(3)), CallQuota: callShare,
		CallWindow: 5 * time.Second, CallLinger: time.Duration(pick(300)) * time.Millisecond,
		KeepAlive: 15 * time.Second, FreshFor: time.Duration(pick(2)*500) * time.Millisecond,
		Readiness: pick(2) == 0, MarksRetries: pick(2) == 0, Seed: int64(pick(100)),
		Tenants: []silverpath.Tenant{{Name: "t", Rate: rng.Float64() * 50}},
		Classes: []silverpath.Class{
			{Name: "read", Objective: time.Second, Deadline: 2500 * time.Millisecond, Weight: 1, LateWeight: 0.2,
				CallsDependency: true, DegradedWeight: 0.5},
			{Name: "book", Objective: 2 * time.Second, Deadline: 5 * time.Second, Weight: 3, Effect: silverpath.Idempotent,
				IdempotencyWindow: time.Duration(5+pick(10)) * time.Second, CallsDependency: true},
			{Name: "pay", Objective: time.Second, Deadline: 4 * time.Second, Weight: 5, Effect: silverpath.NonIdempotent,
				CallsDependency: pick(2) == 0},
		},
	}
}

// play runs one random day and returns the checker with what it found.
func play(t *testing.T, seed uint64) *checker {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	c := &checker{tellsDue: seed%3 == 0, set: randomSettings(rng), rng: rng, jobs: map[string]*job{}, keys: map[string]time.Duration{}}
	shed, err := silverpath.New(0, c.set, c)
	if err != nil {
		t.Fatal(err)
	}
	c.shed = shed
	drain := 8*time.Second + time.Duration(rng.IntN(4000))*time.Millisecond
	rate := rng.Float64()
	for n := 0; c.stopAt == 0 || c.now < c.stopAt; c.now += step {
		if c.drainAt == 0 && c.now >= drain {
			c.drainAt, c.stopAt = c.now, c.now+time.Duration(500+rng.IntN(6000))*time.Millisecond
			c.shed.Drain(c.now, c.stopAt)
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
	for _, j := range c.list {
		if !j.answered && !j.gone {
			c.fault("drain: %s not answered when the process is stopped", j.q.ID)
		}
	}
	return c
}

func TestRulesOnRandomDays(t *testing.T) {
	total := 0
	for seed := range uint64(300) {
		c := play(t, seed)
		total += c.answered
		for i, f := range c.faults {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, f)
			}
		}
	}
	if total < 10000 {
		t.Errorf("only %d answers: the days test nothing", total)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(8) {
		a, b := play(t, seed).actions, play(t, seed).actions
		if len(a) != len(b) {
			t.Fatalf("seed %d: %d actions, then %d", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %d: %s, then %s", seed, i, a[i], b[i])
			}
		}
	}
}

// BenchmarkEvents shows the shape of the cost of a request with its events: it must not grow with the number
// of servers or of callers.
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
				shed.Tick(now, silverpath.Gauges{CPU: 0.7, OnCores: 2})
				shed.Cancelled(now, fmt.Sprint("r", i-1))
				shed.RunEnded(now, id, silverpath.OK, 30*time.Millisecond)
			}
		})
	}
}

// idleHost does nothing.
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
