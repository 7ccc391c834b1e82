package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silverpath/internal/builtinworker"
)

// simulation is a machine in simulated time, by default under more load than it can process, whose number of runs a limiter controls.
type simulation struct {
	limiter       Limiter
	machine       *builtinworker.Machine
	rng           *rand.Rand
	ceiling       float64
	callTime      time.Duration // each run leaves the cores once, halfway, for this time
	arrivalRate   float64       // requests a second; 0: always more than the limit allows
	queued        float64
	started       map[string]time.Duration
	afterCall     map[string]bool
	inCall        []pausedRun
	now           time.Duration
	seq           int
	runsCompleted int
	limitsPerTick []float64
	maxMeanRuns   float64 // highest mean over 3 s
	runsPerTick   []float64
	readRate      float64 // requests a second; up to 16 at a time are read on the cores, and are queued after that
	workPerRead   time.Duration
	limitRunsOnly bool // the limit applies to the runs only, whatever is being read
	unread        int
	reading       int
	readsDue      float64
	workDivisor   int // divides the work of a run; 0: 1
}

type pausedRun struct {
	id        string
	resumesAt time.Duration
}

const simulationTick = 25 * time.Millisecond

func newSimulation(l Limiter, shape builtinworker.Shape, ceiling float64, seed uint64) *simulation {
	return &simulation{
		limiter: l, machine: builtinworker.NewMachine(16, shape), rng: rand.New(rand.NewPCG(seed, 2)), ceiling: ceiling,
		started: map[string]time.Duration{}, afterCall: map[string]bool{},
	}
}

func (s *simulation) randomWork() time.Duration {
	return time.Duration(220+s.rng.IntN(160)) * time.Millisecond / time.Duration(max(1, s.workDivisor))
}

// advance simulates the given duration with a tick every 25 ms. Ends of bursts are handled at their exact time.
func (s *simulation) advance(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		next := s.now + simulationTick
		for {
			endsAt, ok := s.machine.NextEnd()
			if !ok || endsAt > next {
				break
			}
			s.handleEnds(s.machine.Advance(endsAt), endsAt)
		}
		s.handleEnds(s.machine.Advance(next), next)
		s.now = next
		for len(s.inCall) > 0 && s.inCall[0].resumesAt <= s.now {
			id := s.inCall[0].id
			s.inCall = s.inCall[1:]
			s.afterCall[id] = true
			s.start(id, s.now)
		}
		for s.readsDue += s.readRate * simulationTick.Seconds() * (0.5 + s.rng.Float64()); s.readsDue >= 1; s.readsDue-- {
			s.unread++
		}
		s.startReads(s.now)
		s.queued = min(s.queued, 100) // further requests are rejected
		if s.arrivalRate > 0 {
			s.queued += s.arrivalRate * simulationTick.Seconds() * (0.5 + s.rng.Float64())
		}
		s.startAdmitted(s.now)
		s.limitsPerTick = append(s.limitsPerTick, s.limiter.Limit(s.now, s.ceiling+float64(s.reading), s.demand()))
		s.runsPerTick = append(s.runsPerTick, float64(s.machine.Running()))
		if n := int(3 * time.Second / simulationTick); len(s.runsPerTick) >= n {
			sum := 0.0
			for _, v := range s.runsPerTick[len(s.runsPerTick)-n:] {
				sum += v
			}
			s.maxMeanRuns = max(s.maxMeanRuns, sum/float64(n))
		}
	}
}

func (s *simulation) startReads(now time.Duration) {
	for s.reading < 16 && s.unread > 0 {
		s.unread--
		s.reading++
		s.seq++
		s.machine.Add(now, fmt.Sprintf("read%d", s.seq), s.workPerRead)
	}
}

// hasCapacity applies the rule of [Controller.Tick]: reading reduces the limit on runs, but never below a fraction of the limit.
func (s *simulation) hasCapacity(limit float64) bool {
	if s.limitRunsOnly {
		return float64(s.runs()+1) <= limit
	}
	return float64(s.runs()+1) <= max(1, limit-float64(s.reading), minRunFraction*limit)
}

func (s *simulation) runs() int { return s.machine.Running() - s.reading }

func (s *simulation) demand() bool { return s.arrivalRate == 0 && s.readRate == 0 || s.queued >= 1 }

func (s *simulation) start(id string, now time.Duration) {
	work := s.randomWork()
	if s.callTime > 0 {
		work /= 2
	}
	s.machine.Add(now, id, work)
	s.started[id] = now
	s.limiter.RunsChanged(now, s.machine.Running())
}

func (s *simulation) startAdmitted(now time.Duration) {
	for s.demand() && s.hasCapacity(s.limiter.Limit(now, s.ceiling+float64(s.reading), s.demand())) {
		if s.arrivalRate > 0 || s.readRate > 0 {
			s.queued--
		}
		s.seq++
		s.start(fmt.Sprint(s.seq), now)
	}
}

func (s *simulation) handleEnds(ids []string, now time.Duration) {
	for _, id := range ids {
		if strings.HasPrefix(id, "read") {
			s.reading--
			s.queued++
			s.startReads(now)
			continue
		}
		spent := now - s.started[id]
		s.limiter.RunsChanged(now, s.machine.Running())
		s.limiter.BurstEnded(now, spent, 1)
		if s.callTime > 0 && !s.afterCall[id] {
			s.inCall = append(s.inCall, pausedRun{id, now + s.callTime})
			continue
		}
		s.runsCompleted++
		delete(s.started, id)
		delete(s.afterCall, id)
	}
	if len(ids) > 0 {
		s.startAdmitted(now)
	}
}

// meanLimit returns the mean limit over the last duration.
func (s *simulation) meanLimit(duration time.Duration) float64 {
	n := int(duration / simulationTick)
	sum := 0.0
	for _, l := range s.limitsPerTick[len(s.limitsPerTick)-n:] {
		sum += l
	}
	return sum / float64(n)
}

var limiters = []struct {
	name       string
	newLimiter func(Bounds) Limiter
}{
	{"hill climber", func(r Bounds) Limiter { return NewHillClimber(r) }},
	{"gradient", func(r Bounds) Limiter { return NewGradient(r) }},
	{"usl", func(r Bounds) Limiter { return NewUSL(r) }},
}

var normalMachine = builtinworker.Shape{Knee: 12, Thrash: 1, Speed: 1}

// searchResult is the result of a simulation. Limits are relative to the knee, and workRatio to the work at the knee.
type searchResult struct{ steadyLimit, workRatio, limitAfterHalving, limitAfterDoubling, limitWhileSlow, limitAfterSlow, maxMeanRuns float64 }

func runSearch(newLimiter func(Bounds) Limiter, shape builtinworker.Shape, seeds uint64) (result searchResult, diagnoses []string) {
	for seed := range seeds {
		s := newSimulation(newLimiter(Bounds{Min: 2}), shape, 16, seed)
		reshape := func(kneeFactor, speedFactor float64) {
			reshaped := shape
			reshaped.Knee, reshaped.Speed = reshaped.Knee*kneeFactor, reshaped.Speed*speedFactor
			s.machine.SetShape(s.now, reshaped)
		}
		s.advance(20 * time.Second)
		result.steadyLimit += s.meanLimit(5*time.Second) / shape.Knee
		completedBefore := s.runsCompleted
		s.advance(20 * time.Second)
		result.workRatio += float64(s.runsCompleted-completedBefore) * 0.3 / 20 / shape.Knee / shape.Speed
		reshape(0.5, 1)
		s.advance(10 * time.Second)
		result.limitAfterHalving += s.meanLimit(2*time.Second) / shape.Knee * 2
		s.advance(10 * time.Second)
		reshape(1, 1)
		s.advance(10 * time.Second)
		result.limitAfterDoubling += s.meanLimit(2*time.Second) / shape.Knee
		s.advance(10 * time.Second)
		reshape(1, 1/9.9)
		s.advance(10 * time.Second)
		result.limitWhileSlow += s.meanLimit(time.Second) / shape.Knee
		diagnoses = append(diagnoses, s.limiter.Diagnosis())
		reshape(1, 1)
		s.advance(5 * time.Second)
		result.limitAfterSlow += s.meanLimit(time.Second) / shape.Knee
		result.maxMeanRuns = max(result.maxMeanRuns, s.maxMeanRuns)
	}
	count := float64(seeds)
	return searchResult{result.steadyLimit / count, result.workRatio / count, result.limitAfterHalving / count, result.limitAfterDoubling / count, result.limitWhileSlow / count, result.limitAfterSlow / count, result.maxMeanRuns}, diagnoses
}

// This test produces the table of docs/design/pools.md: the limit of each limiter at a constant knee, after the knee has moved, and on a
// machine that is 9.9 times slower. Run it with -v to print the table. The hill climber must meet the bounds that the page states.
func TestLimitersFollowTheKnee(t *testing.T) {
	steepMachine, fastMachine := builtinworker.Shape{Knee: 12, Thrash: 3, Speed: 1}, builtinworker.Shape{Knee: 6, Thrash: 0.5, Speed: 2}
	for _, shape := range []builtinworker.Shape{normalMachine, steepMachine, fastMachine} {
		var all []searchResult
		for _, option := range limiters {
			result, diagnoses := runSearch(option.newLimiter, shape, 20)
			all = append(all, result)
			t.Logf("%-12s %+v: %.2f %v", option.name, shape, result, diagnoses[:5])
		}
		climber := all[0]
		for i, result := range all[1:] {
			if climber.workRatio < result.workRatio {
				t.Errorf("%+v: %s completes %.2f of the work and the hill climber only %.2f", shape, limiters[i+1].name, result.workRatio, climber.workRatio)
			}
		}
		if climber.workRatio < 0.8 {
			t.Errorf("%+v: %.2f of the work is completed, want at least 0.8", shape, climber.workRatio)
		}
		for phase, ratio := range map[string]float64{"steady": climber.steadyLimit, "halved": climber.limitAfterHalving, "doubled": climber.limitAfterDoubling} {
			if ratio < 0.6 || ratio > 1.35 {
				t.Errorf("%+v: knee %s: after 10 s the limit is %.2f of the knee, want 0.6 to 1.35", shape, phase, ratio)
			}
		}
		if climber.limitWhileSlow < 0.4 || climber.limitAfterSlow < 0.6 {
			t.Errorf("%+v: the limit is %.2f of the knee while slow and %.2f after, want at least 0.4 and 0.6", shape, climber.limitWhileSlow, climber.limitAfterSlow)
		}
		if climber.maxMeanRuns > 16*1.05 {
			t.Errorf("%+v: mean of %.1f runs over 3 s, above the ceiling of 16", shape, climber.maxMeanRuns)
		}
	}
}

// Calls to the tier below become ten times slower. If slow calls counted as overload, the limit would fall without need. Runs that wait
// for a call are off the cores, so the limit must not fall.
func TestSlowCallsDoNotLowerTheLimit(t *testing.T) {
	s := newSimulation(NewHillClimber(Bounds{Min: 2}), normalMachine, 16, 1)
	s.callTime = 100 * time.Millisecond
	s.advance(30 * time.Second)
	before := s.meanLimit(5 * time.Second)
	s.callTime = time.Second
	s.advance(20 * time.Second)
	if after := s.meanLimit(5 * time.Second); after < 0.7*before {
		t.Errorf("the limit fell from %.1f to %.1f when calls became ten times slower", before, after)
	}
}

// A slowdown leaves a backlog of requests to be read, and reading loads the cores as runs do. A limit on the sum of both clears the
// backlog. A fixed number of runs in addition to reading keeps the machine past its knee permanently.
func TestReadingBacklogIsWorkedOff(t *testing.T) {
	for _, c := range []struct {
		limiter Limiter
		clears  bool
	}{{NewHillClimber(Bounds{Min: 2}), true}, {fixedLimit(12), true}, {fixedLimit(8.8), false}} {
		s := newSimulation(c.limiter, normalMachine, 16, 1)
		s.readRate, s.workPerRead, s.workDivisor, s.limitRunsOnly = 247, 13*time.Millisecond, 5, !c.clears
		s.advance(20 * time.Second)
		slowed := normalMachine
		slowed.Speed /= 9.9
		s.machine.SetShape(s.now, slowed)
		s.advance(10 * time.Second)
		s.machine.SetShape(s.now, normalMachine)
		s.advance(16 * time.Second)
		if cleared := s.unread < 100; cleared != c.clears {
			t.Errorf("%T: %d requests are unread 16 s after the slowdown, want under 100 only with a limit on the sum", c.limiter, s.unread)
		}
	}
}

// The load stays below the limit. Samples then contain no information about the limit, and the limit must not change.
func TestLimitStandsWhileNotReached(t *testing.T) {
	c := NewHillClimber(Bounds{Min: 2})
	s := newSimulation(c, normalMachine, 16, 1)
	s.arrivalRate = 20 // half of the capacity of 40
	s.advance(60 * time.Second)
	if s.meanLimit(time.Second) < 12 || c.DeepCuts() > 0 {
		t.Errorf("after a minute at half load the limit is %.1f with %d deep cuts, want at least 12 and none", s.meanLimit(time.Second), c.DeepCuts())
	}
}
