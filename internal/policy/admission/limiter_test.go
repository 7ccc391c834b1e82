package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silverpath/internal/builtinworker"
)

// simulation is a machine under more load than it can take, in simulated time, whose runs a limiter holds back.
type simulation struct {
	limiter     Limiter
	plant       *builtinworker.Machine
	rng         *rand.Rand
	ceiling     float64
	calls       time.Duration // each run leaves the cores once, half way, for so long
	load        float64       // requests a second; 0: always more than there is room for
	queued      float64
	started     map[string]time.Duration
	afterCall   map[string]bool
	inCall      []pausedRun
	now         time.Duration
	seq         int
	done        int
	limits      []float64 // one for each tick
	maxMeanRuns float64   // the highest mean of 3 s
	runSum      []float64
	reads       float64 // requests a second that are read on the same cores, 16 at a time, and then wait
	readWork    time.Duration
	runsOnly    bool // the limit is of the runs, whatever is read
	unread      int
	reading     int
	dueRead     float64
	scale       int // the work is so many times smaller; 0: once
}

type pausedRun struct {
	id   string
	back time.Duration
}

const tick = 25 * time.Millisecond

func newSimulation(l Limiter, shape builtinworker.Shape, ceiling float64, seed uint64) *simulation {
	return &simulation{
		limiter: l, plant: builtinworker.NewMachine(16, shape), rng: rand.New(rand.NewPCG(seed, 2)), ceiling: ceiling,
		started: map[string]time.Duration{}, afterCall: map[string]bool{},
	}
}

func (e *simulation) work() time.Duration {
	return time.Duration(220+e.rng.IntN(160)) * time.Millisecond / time.Duration(max(1, e.scale))
}

// run plays so long, with a tick every 25 ms; ends are seen and followed up as they happen.
func (e *simulation) run(d time.Duration) {
	for end := e.now + d; e.now < end; {
		next := e.now + tick
		for {
			at, some := e.plant.NextEnd()
			if !some || at > next {
				break
			}
			e.ended(e.plant.Advance(at), at)
		}
		e.ended(e.plant.Advance(next), next)
		e.now = next
		for len(e.inCall) > 0 && e.inCall[0].back <= e.now {
			id := e.inCall[0].id
			e.inCall = e.inCall[1:]
			e.afterCall[id] = true
			e.start(id, e.now)
		}
		for e.dueRead += e.reads * tick.Seconds() * (0.5 + e.rng.Float64()); e.dueRead >= 1; e.dueRead-- {
			e.unread++
		}
		e.read(e.now)
		e.queued = min(e.queued, 100) // the rest is refused
		if e.load > 0 {
			e.queued += e.load * tick.Seconds() * (0.5 + e.rng.Float64())
		}
		e.fill(e.now)
		e.limits = append(e.limits, e.limiter.Limit(e.now, e.ceiling+float64(e.reading), e.demand()))
		e.runSum = append(e.runSum, float64(e.plant.Running()))
		if n := int(3 * time.Second / tick); len(e.runSum) >= n {
			sum := 0.0
			for _, v := range e.runSum[len(e.runSum)-n:] {
				sum += v
			}
			e.maxMeanRuns = max(e.maxMeanRuns, sum/float64(n))
		}
	}
}

func (e *simulation) read(now time.Duration) {
	for e.reading < 16 && e.unread > 0 {
		e.unread--
		e.reading++
		e.seq++
		e.plant.Add(now, fmt.Sprintf("read%d", e.seq), e.readWork)
	}
}

// hasCapacity is as [Controller.Tick] has it: what is being read leaves the runs less, though never less than a part.
func (e *simulation) hasCapacity(limit float64) bool {
	if e.runsOnly {
		return float64(e.runs()+1) <= limit
	}
	return float64(e.runs()+1) <= max(1, limit-float64(e.reading), minRunFraction*limit)
}

func (e *simulation) runs() int { return e.plant.Running() - e.reading }

func (e *simulation) demand() bool { return e.load == 0 && e.reads == 0 || e.queued >= 1 }

func (e *simulation) start(id string, now time.Duration) {
	work := e.work()
	if e.calls > 0 {
		work /= 2
	}
	e.plant.Add(now, id, work)
	e.started[id] = now
	e.limiter.RunsChanged(now, e.plant.Running())
}

func (e *simulation) fill(now time.Duration) {
	for e.demand() && e.hasCapacity(e.limiter.Limit(now, e.ceiling+float64(e.reading), e.demand())) {
		if e.load > 0 || e.reads > 0 {
			e.queued--
		}
		e.seq++
		e.start(fmt.Sprint(e.seq), now)
	}
}

func (e *simulation) ended(ids []string, now time.Duration) {
	for _, id := range ids {
		if strings.HasPrefix(id, "read") {
			e.reading--
			e.queued++
			e.read(now)
			continue
		}
		spent := now - e.started[id]
		e.limiter.RunsChanged(now, e.plant.Running())
		e.limiter.BurstEnded(now, spent, 1)
		if e.calls > 0 && !e.afterCall[id] {
			e.inCall = append(e.inCall, pausedRun{id, now + e.calls})
			continue
		}
		e.done++
		delete(e.started, id)
		delete(e.afterCall, id)
	}
	if len(ids) > 0 {
		e.fill(now)
	}
}

// mean is the mean limit of the last so long.
func (e *simulation) mean(d time.Duration) float64 {
	n := int(d / tick)
	sum := 0.0
	for _, l := range e.limits[len(e.limits)-n:] {
		sum += l
	}
	return sum / float64(n)
}

var limiters = []struct {
	name string
	make func(Bounds) Limiter
}{
	{"hill climber", func(r Bounds) Limiter { return NewHillClimber(r) }},
	{"gradient", func(r Bounds) Limiter { return NewGradient(r) }},
	{"usl", func(r Bounds) Limiter { return NewUSL(r) }},
}

var normal = builtinworker.Shape{Knee: 12, Thrash: 1, Speed: 1}

// searchResult is what a limiter made of a simulation: limits against the knee.
type searchResult struct{ steady, work, halved, doubled, slow, after, maxMeanRuns float64 }

func search(newLimiter func(Bounds) Limiter, shape builtinworker.Shape, seeds uint64) (f searchResult, diagnoses []string) {
	for seed := range seeds {
		e := newSimulation(newLimiter(Bounds{Min: 2}), shape, 16, seed)
		change := func(knee, speed float64) {
			s := shape
			s.Knee, s.Speed = s.Knee*knee, s.Speed*speed
			e.plant.Reshape(e.now, s)
		}
		e.run(20 * time.Second)
		f.steady += e.mean(5*time.Second) / shape.Knee
		n := e.done
		e.run(20 * time.Second)
		f.work += float64(e.done-n) * 0.3 / 20 / shape.Knee / shape.Speed
		change(0.5, 1)
		e.run(10 * time.Second)
		f.halved += e.mean(2*time.Second) / shape.Knee * 2
		e.run(10 * time.Second)
		change(1, 1)
		e.run(10 * time.Second)
		f.doubled += e.mean(2*time.Second) / shape.Knee
		e.run(10 * time.Second)
		change(1, 1/9.9)
		e.run(10 * time.Second)
		f.slow += e.mean(time.Second) / shape.Knee
		diagnoses = append(diagnoses, e.limiter.Diagnosis())
		change(1, 1)
		e.run(5 * time.Second)
		f.after += e.mean(time.Second) / shape.Knee
		f.maxMeanRuns = max(f.maxMeanRuns, e.maxMeanRuns)
	}
	n := float64(seeds)
	return searchResult{f.steady / n, f.work / n, f.halved / n, f.doubled / n, f.slow / n, f.after / n, f.maxMeanRuns}, diagnoses
}

// The table of docs/design/pools.md: what each limiter makes of a knee, of its moving, and of a machine 9.9 times slower. Run it with -v
// to see it. The hill climber is held to what the page says of it.
func TestLimitersFollowTheKnee(t *testing.T) {
	steep, quick := builtinworker.Shape{Knee: 12, Thrash: 3, Speed: 1}, builtinworker.Shape{Knee: 6, Thrash: 0.5, Speed: 2}
	for _, shape := range []builtinworker.Shape{normal, steep, quick} {
		var all []searchResult
		for _, option := range limiters {
			f, diagnoses := search(option.make, shape, 20)
			all = append(all, f)
			t.Logf("%-12s %+v: %.2f %v", option.name, shape, f, diagnoses[:5])
		}
		climber := all[0]
		for i, f := range all[1:] {
			if climber.work < f.work {
				t.Errorf("%+v: %s gets %.2f of the work done and the hill climber %.2f", shape, limiters[i+1].name, f.work, climber.work)
			}
		}
		if climber.work < 0.8 {
			t.Errorf("%+v: %.2f of the work is done", shape, climber.work)
		}
		for what, v := range map[string]float64{"steady": climber.steady, "halved": climber.halved, "doubled": climber.doubled} {
			if v < 0.6 || v > 1.35 {
				t.Errorf("%+v: %s, 10 s later the limit is %.2f of the knee", shape, what, v)
			}
		}
		if climber.slow < 0.4 || climber.after < 0.6 {
			t.Errorf("%+v: the limit is %.2f of the knee while slow, %.2f after: it fell for good", shape, climber.slow, climber.after)
		}
		if climber.maxMeanRuns > 16*1.05 {
			t.Errorf("%+v: %.1f runs in the mean of 3 s", shape, climber.maxMeanRuns)
		}
	}
}

// The tier below grows ten times slower. Were its calls taken for overload, the limit would fall for nothing: runs that wait for a call
// are off the cores, and the limit does not fall.
func TestSlowCallsDoNotLowerTheLimit(t *testing.T) {
	e := newSimulation(NewHillClimber(Bounds{Min: 2}), normal, 16, 1)
	e.calls = 100 * time.Millisecond
	e.run(30 * time.Second)
	before := e.mean(5 * time.Second)
	e.calls = time.Second
	e.run(20 * time.Second)
	if after := e.mean(5 * time.Second); after < 0.7*before {
		t.Errorf("the limit fell from %.1f to %.1f as calls below took ten times as long", before, after)
	}
}

// A slowdown leaves a backlog of requests to be read, which loads the cores like runs do. A limit on the sum works it off; a fixed number
// of runs beside it keeps the machine past its knee for good.
func TestReadingBacklogIsWorkedOff(t *testing.T) {
	for _, c := range []struct {
		limiter Limiter
		share   bool
	}{{NewHillClimber(Bounds{Min: 2}), true}, {fixedLimit(12), true}, {fixedLimit(8.8), false}} {
		e := newSimulation(c.limiter, normal, 16, 1)
		e.reads, e.readWork, e.scale, e.runsOnly = 247, 13*time.Millisecond, 5, !c.share
		e.run(20 * time.Second)
		slowed := normal
		slowed.Speed /= 9.9
		e.plant.Reshape(e.now, slowed)
		e.run(10 * time.Second)
		e.plant.Reshape(e.now, normal)
		e.run(16 * time.Second)
		if cleared := e.unread < 100; cleared != c.share {
			t.Errorf("%T: %d requests are unread 16 s after the slowdown", c.limiter, e.unread)
		}
	}
}

// Load stays below the limit: samples say nothing of it then, and the limit must not move.
func TestLimitStandsWhileNotReached(t *testing.T) {
	c := NewHillClimber(Bounds{Min: 2})
	e := newSimulation(c, normal, 16, 1)
	e.load = 20 // of 40 that it could run
	e.run(60 * time.Second)
	if e.mean(time.Second) < 12 || c.DeepCuts() > 0 {
		t.Errorf("the limit is %.1f after a minute at half load, %d deep cuts", e.mean(time.Second), c.DeepCuts())
	}
}
