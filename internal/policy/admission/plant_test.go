package admission

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"silverpath/internal/testkit/standin"
)

// evening is a machine under more load than it can take, in simulated time, whose runs a limiter holds back.
type evening struct {
	limiter  Limiter
	plant    *standin.Plant
	rng      *rand.Rand
	ceiling  float64
	calls    time.Duration // each run leaves the cores once, half way, for so long
	load     float64       // requests a second; 0: always more than there is room for
	waiting  float64
	started  map[string]time.Duration
	second   map[string]bool
	away     []call
	now      time.Duration
	seq      int
	done     int
	limits   []float64 // one for each tick
	most     float64   // mean of 3 s at the most
	runSum   []float64
	reads    float64 // requests a second that are read on the same cores, 16 at a time, and then wait
	readWork time.Duration
	alone    bool // the limit is of the runs, whatever is read
	unread   int
	reading  int
	dueRead  float64
	scale    int // the work is so many times smaller; 0: once
}

type call struct {
	id   string
	back time.Duration
}

const tick = 25 * time.Millisecond

func newEvening(l Limiter, shape standin.Shape, ceiling float64, seed uint64) *evening {
	return &evening{
		limiter: l, plant: standin.NewPlant(16, shape), rng: rand.New(rand.NewPCG(seed, 2)), ceiling: ceiling,
		started: map[string]time.Duration{}, second: map[string]bool{},
	}
}

func (e *evening) work() time.Duration {
	return time.Duration(220+e.rng.IntN(160)) * time.Millisecond / time.Duration(max(1, e.scale))
}

// run plays so long, with a tick every 25 ms; ends are seen and followed up as they happen.
func (e *evening) run(d time.Duration) {
	for end := e.now + d; e.now < end; {
		next := e.now + tick
		for {
			at, some := e.plant.Next()
			if !some || at > next {
				break
			}
			e.ended(e.plant.Advance(at), at)
		}
		e.ended(e.plant.Advance(next), next)
		e.now = next
		for len(e.away) > 0 && e.away[0].back <= e.now {
			id := e.away[0].id
			e.away = e.away[1:]
			e.second[id] = true
			e.start(id, e.now)
		}
		for e.dueRead += e.reads * tick.Seconds() * (0.5 + e.rng.Float64()); e.dueRead >= 1; e.dueRead-- {
			e.unread++
		}
		e.read(e.now)
		e.waiting = min(e.waiting, 100) // the rest is refused
		if e.load > 0 {
			e.waiting += e.load * tick.Seconds() * (0.5 + e.rng.Float64())
		}
		e.fill(e.now)
		e.limits = append(e.limits, e.limiter.Limit(e.now, e.ceiling+float64(e.reading), e.wanted()))
		e.runSum = append(e.runSum, float64(e.plant.Running()))
		if n := int(3 * time.Second / tick); len(e.runSum) >= n {
			sum := 0.0
			for _, v := range e.runSum[len(e.runSum)-n:] {
				sum += v
			}
			e.most = max(e.most, sum/float64(n))
		}
	}
}

func (e *evening) read(now time.Duration) {
	for e.reading < 16 && e.unread > 0 {
		e.unread--
		e.reading++
		e.seq++
		e.plant.Add(now, fmt.Sprintf("read%d", e.seq), e.readWork)
	}
}

// room is as Set has it: what is being read leaves the runs less, though never less than a part.
func (e *evening) room(limit float64) bool {
	if e.alone {
		return float64(e.runs()+1) <= limit
	}
	return float64(e.runs()+1) <= max(1, limit-float64(e.reading), leastPart*limit)
}

func (e *evening) runs() int { return e.plant.Running() - e.reading }

func (e *evening) wanted() bool { return e.load == 0 && e.reads == 0 || e.waiting >= 1 }

func (e *evening) start(id string, now time.Duration) {
	work := e.work()
	if e.calls > 0 {
		work /= 2
	}
	e.plant.Add(now, id, work)
	e.started[id] = now
	e.limiter.Running(now, e.plant.Running())
}

func (e *evening) fill(now time.Duration) {
	for e.wanted() && e.room(e.limiter.Limit(now, e.ceiling+float64(e.reading), e.wanted())) {
		if e.load > 0 || e.reads > 0 {
			e.waiting--
		}
		e.seq++
		e.start(fmt.Sprint(e.seq), now)
	}
}

func (e *evening) ended(ids []string, now time.Duration) {
	for _, id := range ids {
		if strings.HasPrefix(id, "read") {
			e.reading--
			e.waiting++
			e.read(now)
			continue
		}
		spent := now - e.started[id]
		e.limiter.Running(now, e.plant.Running())
		e.limiter.Ended(now, spent, 1)
		if e.calls > 0 && !e.second[id] {
			e.away = append(e.away, call{id, now + e.calls})
			continue
		}
		e.done++
		delete(e.started, id)
		delete(e.second, id)
	}
	if len(ids) > 0 {
		e.fill(now)
	}
}

// mean is the mean limit of the last so long.
func (e *evening) mean(d time.Duration) float64 {
	n := int(d / tick)
	sum := 0.0
	for _, l := range e.limits[len(e.limits)-n:] {
		sum += l
	}
	return sum / float64(n)
}

var ways = []struct {
	name string
	make func(Range) Limiter
}{
	{"climb", func(r Range) Limiter { return NewClimb(r) }},
	{"gradient", func(r Range) Limiter { return NewGradient(r) }},
	{"usl", func(r Range) Limiter { return NewUSL(r) }},
}

var normal = standin.Shape{Knee: 12, Thrash: 1, Speed: 1}

// found is what a way made of an evening: limits against the point of collapse.
type found struct{ steady, work, halved, doubled, slow, after, most float64 }

func search(way func(Range) Limiter, shape standin.Shape, seeds uint64) (f found, beliefs []string) {
	for seed := range seeds {
		e := newEvening(way(Range{Least: 2}), shape, 16, seed)
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
		beliefs = append(beliefs, e.limiter.Belief())
		change(1, 1)
		e.run(5 * time.Second)
		f.after += e.mean(time.Second) / shape.Knee
		f.most = max(f.most, e.most)
	}
	n := float64(seeds)
	return found{f.steady / n, f.work / n, f.halved / n, f.doubled / n, f.slow / n, f.after / n, f.most}, beliefs
}

// The table of docs/design/pools.md: what each way makes of a point of collapse, of its moving, and of a machine 9.9
// times slower. Run it with -v to see it. Climb is held to what the page says of it.
func TestWays(t *testing.T) {
	steep, quick := standin.Shape{Knee: 12, Thrash: 3, Speed: 1}, standin.Shape{Knee: 6, Thrash: 0.5, Speed: 2}
	for _, shape := range []standin.Shape{normal, steep, quick} {
		var all []found
		for _, way := range ways {
			f, beliefs := search(way.make, shape, 20)
			all = append(all, f)
			t.Logf("%-9s %+v: %.2f %v", way.name, shape, f, beliefs[:5])
		}
		climb := all[0]
		for i, f := range all[1:] {
			if climb.work < f.work {
				t.Errorf("%+v: %s gets %.2f of the work done and climb %.2f", shape, ways[i+1].name, f.work, climb.work)
			}
		}
		if climb.work < 0.8 {
			t.Errorf("%+v: %.2f of the work is done", shape, climb.work)
		}
		for what, v := range map[string]float64{"steady": climb.steady, "halved": climb.halved, "doubled": climb.doubled} {
			if v < 0.6 || v > 1.35 {
				t.Errorf("%+v: %s, 10 s later the limit is %.2f of the point", shape, what, v)
			}
		}
		if climb.slow < 0.4 || climb.after < 0.6 {
			t.Errorf("%+v: the limit is %.2f of the point while slow, %.2f after: it fell for good", shape, climb.slow, climb.after)
		}
		if climb.most > 16*1.05 {
			t.Errorf("%+v: %.1f runs in the mean of 3 s", shape, climb.most)
		}
	}
}

// Runs that leave the cores for slow calls are no crowd: the limit is of what is on the cores, and does not fall.
func TestSlowCalls(t *testing.T) {
	e := newEvening(NewClimb(Range{Least: 2}), normal, 16, 1)
	e.calls = 100 * time.Millisecond
	e.run(30 * time.Second)
	before := e.mean(5 * time.Second)
	e.calls = time.Second
	e.run(20 * time.Second)
	if after := e.mean(5 * time.Second); after < 0.7*before {
		t.Errorf("the limit fell from %.1f to %.1f as calls below took ten times as long", before, after)
	}
}

// Reading crowds the cores like runs do. A backlog of it that a slowdown left is worked off, where a fixed number of
// runs beside it keeps the machine past its point for good.
func TestBacklogOfReading(t *testing.T) {
	for _, way := range []struct {
		limiter Limiter
		share   bool
	}{{NewClimb(Range{Least: 2}), true}, {fixed(12), true}, {fixed(8.8), false}} {
		e := newEvening(way.limiter, normal, 16, 1)
		e.reads, e.readWork, e.scale, e.alone = 247, 13*time.Millisecond, 5, !way.share
		e.run(20 * time.Second)
		slowed := normal
		slowed.Speed /= 9.9
		e.plant.Reshape(e.now, slowed)
		e.run(10 * time.Second)
		e.plant.Reshape(e.now, normal)
		e.run(16 * time.Second)
		if cleared := e.unread < 100; cleared != way.share {
			t.Errorf("%T: %d requests are unread 16 s after the slowdown", way.limiter, e.unread)
		}
	}
}

// Where more is asked for than the limit, but never held back by it, nothing is learned and nothing moves.
func TestNothingToLearn(t *testing.T) {
	c := NewClimb(Range{Least: 2})
	e := newEvening(c, normal, 16, 1)
	e.load = 20 // of 40 that it could run
	e.run(60 * time.Second)
	if e.mean(time.Second) < 12 || c.Cuts() > 0 {
		t.Errorf("the limit is %.1f after a minute at half load, %d deep cuts", e.mean(time.Second), c.Cuts())
	}
}
