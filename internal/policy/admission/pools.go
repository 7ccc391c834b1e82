package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Pool sets up one pool of runs.
type Pool struct {
	Name    string
	Classes []string // whose requests it runs; each class is in one pool. None: all classes that no pool names
	Weight  float64  // its claim, against the others', on what lies over the floors
	Floor   float64  // share of the limit that is always its own when it wants it
}

// Config sets up the pools of a server.
type Config struct {
	Pools  []Pool
	Limit  Range
	Memory Memory
}

// rest is the pool of the classes that no pool names, where none is set up for them.
const rest = "rest"

// Check names the first field that no pools can have.
func (c Config) Check() error {
	if len(c.Pools) == 0 {
		return errors.New("pools: none")
	}
	names, classes := map[string]int{}, map[string]int{}
	var floors float64
	open := -1
	for i, p := range c.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		if p.Name == "" {
			return fmt.Errorf("%s.name: missing", at)
		}
		if j, twice := names[p.Name]; twice {
			return fmt.Errorf("%s.name: %q is that of pools[%d] too", at, p.Name, j)
		}
		names[p.Name] = i
		if !(p.Weight >= 0) || math.IsInf(p.Weight, 1) {
			return fmt.Errorf("%s.weight: not a number of 0 or more: %v", at, p.Weight)
		}
		if !(p.Floor >= 0 && p.Floor <= 1) {
			return fmt.Errorf("%s.floor: not from 0 to 1: %v", at, p.Floor)
		}
		floors += p.Floor
		if len(p.Classes) == 0 {
			if open >= 0 {
				return fmt.Errorf("%s.classes: none, as in pools[%d]", at, open)
			}
			open = i
		}
		for _, k := range p.Classes {
			if j, twice := classes[k]; twice {
				return fmt.Errorf("%s.classes: %q is in pools[%d] too", at, k, j)
			}
			classes[k] = i
		}
	}
	if floors > 1+1e-9 {
		return fmt.Errorf("%s: add up to %.3g, more than there is", c.floors(), floors)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"least", c.Limit.Least}, {"start", c.Limit.Start}, {"fixed", c.Limit.Fixed}} {
		if !(f.v >= 0) || math.IsInf(f.v, 1) {
			return fmt.Errorf("limit.%s: not a number of 0 or more: %v", f.name, f.v)
		}
	}
	return c.Memory.check()
}

// floors names the fields of all floors that are not 0.
func (c Config) floors() string {
	list := ""
	for i, p := range c.Pools {
		if p.Floor > 0 {
			if list != "" {
				list += ", "
			}
			list += fmt.Sprintf("pools[%d].floor", i)
		}
	}
	return list
}

// Place is where a request is.
type Place int

const (
	Over    Place = iota // nowhere any more
	Waiting              // held
	OnCores              // runs, or waits for a disk
	Away                 // its run waits for a call
)

// Set is the pools of one server. It is single-threaded.
type Set struct {
	pools   []*pool
	byClass map[string]*pool
	open    *pool // of the classes that no pool names
	limiter Limiter
	asked   Range // what the limiter was made from
	memory  *Governor

	whole       float64 // limit of all that is on the cores
	limit       float64 // and of the runs there
	ceiling     float64
	onCores     int
	others      float64 // on the cores besides the runs, of late
	requests    map[string]*request
	meanStretch float64 // seconds on the cores of a stretch of any class, of late
}

type pool struct {
	Pool
	index     int
	waiting   int
	used      int     // on the cores
	offered   float64 // requests a second, of late
	arrivals  float64 // since the last tick
	time      float64 // seconds on the cores of its runs, of late
	stretch   float64 // and of a stretch of one, from its start or a call to its end or the next call
	want      float64 // runs that it could keep busy
	claim     float64 // runs that are its own
	lastGrant time.Duration
	wantSince time.Duration // of waiting under its floor; 0: it does not
	granted   uint64
	lent      uint64 // of these, over its claim
	turned    uint64 // not admitted for want of memory
}

type request struct {
	class string
	pool  *pool
	place Place
	since time.Duration
	used  time.Duration // on the cores
}

const (
	rateSpan    = 2 * time.Second // over which arrivals are counted
	timePast    = 0.95            // weight of the past in the time of a run, for each end
	othersShare = 0.1             // weight of a reading in what else is on the cores
	leastPart   = 0.15            // of the limit that runs always have, however much is read
	starving    = time.Second     // a pool that waits under its floor for so long goes before all
	firstTime   = 0.3             // seconds, until a run has ended
)

// New returns the pools of a server, limited by work done.
func New(c Config) (*Set, error) {
	return With(c, c.Limit.limiter())
}

// With returns pools with another limiter.
func With(c Config, l Limiter) (*Set, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	s := &Set{limiter: l, memory: NewGovernor(c.Memory), requests: map[string]*request{}, meanStretch: firstTime,
		asked: c.Limit, limit: max(1, c.Limit.Start, c.Limit.Fixed, float64(len(c.Pools)))}
	s.share(c)
	return s, nil
}

// Reload takes up other pools, weights and floors. What runs goes on, counted where its class now belongs.
func (s *Set) Reload(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	old := map[string]*pool{}
	for _, p := range s.pools {
		old[p.Name] = p
	}
	s.share(c)
	s.memory.cfg = c.Memory.complete()
	if c.Limit != s.asked {
		s.limiter, s.asked = c.Limit.limiter(), c.Limit
	}
	for _, p := range s.pools { // a pool that keeps its name keeps its counts
		if o := old[p.Name]; o != nil {
			p.time, p.stretch, p.offered, p.granted, p.lent, p.turned = o.time, o.stretch, o.offered, o.granted, o.lent, o.turned
		}
	}
	for _, r := range s.requests {
		r.pool = s.of(r.class)
		switch r.place {
		case Waiting:
			r.pool.waiting++
		case OnCores:
			r.pool.used++
		}
	}
	s.divide()
	return nil
}

// share sets the pools up.
func (s *Set) share(c Config) {
	s.pools, s.byClass, s.open = nil, map[string]*pool{}, nil
	for i, set := range c.Pools {
		p := &pool{Pool: set, index: i, time: s.meanStretch, stretch: s.meanStretch}
		s.pools = append(s.pools, p)
		for _, k := range set.Classes {
			s.byClass[k] = p
		}
		if len(set.Classes) == 0 {
			s.open = p
		}
	}
	if s.open == nil {
		s.open = &pool{Pool: Pool{Name: rest}, index: len(s.pools), time: s.meanStretch, stretch: s.meanStretch}
		s.pools = append(s.pools, s.open)
	}
}

func (s *Set) of(class string) *pool {
	if p := s.byClass[class]; p != nil {
		return p
	}
	return s.open
}

// ---- Events ----

// Moved is told where a request has come to be.
func (s *Set) Moved(now time.Duration, id, class string, to Place) {
	r := s.requests[id]
	if r == nil {
		if to == Over {
			return
		}
		r = &request{class: class, pool: s.of(class), place: Over}
		s.requests[id] = r
		r.pool.arrivals++
	}
	p := r.pool
	from := r.place
	switch from {
	case Waiting:
		p.waiting--
	case OnCores:
		p.used--
		s.onCores--
		r.used += now - r.since
		s.stretched(now, p, now-r.since)
		s.limiter.Running(now, s.crowd())
	}
	r.place, r.since = to, now
	switch to {
	case Waiting:
		p.waiting++
	case OnCores:
		if from == Waiting {
			p.granted++
			if float64(p.used) >= p.claim {
				p.lent++
			}
			p.lastGrant = now
		}
		p.used++
		s.onCores++
		s.limiter.Running(now, s.crowd())
	case Over:
		delete(s.requests, id)
		if from == OnCores {
			p.time = p.time*timePast + r.used.Seconds()*(1-timePast)
		}
	}
	if p.waiting > 0 && float64(p.used) < s.floor(p) {
		if p.wantSince == 0 || to == OnCores {
			p.wantSince = max(1, now)
		}
	} else {
		p.wantSince = 0
	}
}

// crowd is all that is on the cores.
func (s *Set) crowd() int { return s.onCores + int(math.Round(s.others)) }

// stretched counts a stretch on the cores that ended, with the run or at a call. It counts at a call too: where calls
// below grow slow all at once, ends of runs stay away while the cores do as much as ever.
func (s *Set) stretched(now time.Duration, p *pool, spent time.Duration) {
	t := spent.Seconds()
	s.meanStretch = s.meanStretch*timePast + t*(1-timePast)
	p.stretch = p.stretch*timePast + t*(1-timePast)
	unit := 1.0
	if s.meanStretch > 0 {
		unit = min(4, max(0.25, p.stretch/s.meanStretch))
	}
	s.limiter.Ended(now, spent, unit)
}

// Readings are what Tick is told beside the time.
type Readings struct {
	Ceiling         float64 // that others set to the runs on the cores
	OnCores         float64 // all that wants a core, runs and what is being read alike; 0: not known
	Booked, Process float64 // shares in use of the memory that requests book, and of the process's own
}

// Tick takes readings. The point of collapse is one of all that is on the cores, so it is that which the limiter
// sees; what is being read there leaves the runs less, though never less than a part.
func (s *Set) Tick(now time.Duration, g Readings) {
	if g.OnCores > 0 {
		s.others += (max(0, g.OnCores-float64(s.onCores)) - s.others) * othersShare
	}
	ceiling := g.Ceiling
	waiting := 0
	for _, p := range s.pools {
		waiting += p.waiting
	}
	s.ceiling = max(1, ceiling)
	s.limiter.Running(now, s.crowd())
	whole := s.limiter.Limit(now, s.ceiling+s.others, waiting > 0)
	s.whole = whole
	s.limit = min(s.ceiling, max(1, whole-s.others, leastPart*whole))
	s.memory.Tick(now, g.Booked, g.Process)
	for _, p := range s.pools {
		past := math.Exp(-tickSpan.Seconds() / rateSpan.Seconds())
		p.offered = p.offered*past + p.arrivals/tickSpan.Seconds()*(1-past)
		p.arrivals = 0
	}
	s.divide()
}

// tickSpan is how often Tick comes.
const tickSpan = 25 * time.Millisecond

// divide gives every pool its claim on the limit: its floor, as far as it wants it, and of the rest its part by weight,
// no pool more than it wants; what nobody with a weight wants goes to whoever the module puts first.
func (s *Set) divide() {
	left := s.limit
	for _, p := range s.pools {
		p.want = max(float64(p.used+p.waiting), p.offered*p.time)
		p.claim = min(p.want, s.floor(p))
		left -= p.claim
	}
	for left > 1e-9 {
		weights := 0.0
		for _, p := range s.pools {
			if p.want > p.claim {
				weights += p.Weight
			}
		}
		if weights <= 0 {
			return
		}
		given := 0.0
		for _, p := range s.pools {
			if p.want > p.claim {
				part := min(p.want-p.claim, left*p.Weight/weights)
				p.claim += part
				given += part
			}
		}
		left -= given
		if given <= 1e-9 {
			return
		}
	}
}

// floor is the number of runs that are always a pool's own: a whole one at least, where it has a floor at all and the
// limit has room for one each.
func (s *Set) floor(p *pool) float64 {
	if p.Floor <= 0 {
		return 0
	}
	return max(min(1, s.limit/float64(len(s.pools))), p.Floor*s.limit)
}

// ---- Answers ----

// Room reports whether one more run of the class may start. A pool under its floor may always, where there is room at
// all and no pool has starved for longer; one under its claim, where the floors of those that wait stay free; any
// other, where their claims do: what it gets is lent, and as runs can't be stopped, it is lent only while its owner has
// nothing waiting.
func (s *Set) HasCapacity(now time.Duration, class string) bool {
	p := s.of(class)
	room := s.limit - float64(s.onCores)
	if room < 1 {
		return false
	}
	used := float64(p.used)
	if first := s.starving(now); first != nil && first != p {
		return room >= 2 && used < p.claim
	}
	if used < s.floor(p) {
		return true
	}
	kept := 0.0
	for _, q := range s.pools {
		if q == p || q.waiting == 0 {
			continue
		}
		due := s.floor(q)
		if used >= p.claim {
			due = q.claim
		}
		kept += math.Ceil(max(0, min(due, float64(q.used+q.waiting))-float64(q.used)) - 1e-9)
	}
	return room-kept >= 1
}

// starving is the pool that has waited the longest under its floor without a grant, if any has for long.
func (s *Set) starving(now time.Duration) *pool {
	var first *pool
	for _, p := range s.pools {
		if p.wantSince == 0 || p.waiting == 0 || now-p.wantSince < starving {
			continue
		}
		if first == nil || p.wantSince < first.wantSince {
			first = p
		}
	}
	return first
}

// Admits reports whether the memory lets one more request of the class wait.
func (s *Set) Admits(class string) bool {
	p := s.of(class)
	if s.memory.Admits(s.rank(p)) {
		return true
	}
	p.turned++
	return false
}

// rank is a pool's place among the others by weight, from 0 for the least to 1 for the most.
func (s *Set) rank(p *pool) float64 {
	if len(s.pools) < 2 {
		return 1
	}
	below := 0
	for _, q := range s.pools {
		if q != p && (q.Weight < p.Weight || q.Weight == p.Weight && q.index > p.index) {
			below++
		}
	}
	return float64(below) / float64(len(s.pools)-1)
}

// Slots is the number of runs at once that a class can count on: its claim, and what the others leave.
func (s *Set) Concurrency(class string) float64 {
	p := s.of(class)
	others := 0.0
	for _, q := range s.pools {
		if q != p {
			others += min(q.want, q.claim)
		}
	}
	return max(p.claim, s.limit-others, s.floor(p), 0.05)
}

// Line names the line in which a class waits: that of its pool.
func (s *Set) Queue(class string) string { return s.of(class).Name }

// Limit is the limit on runs on the cores.
func (s *Set) Limit() float64 { return s.limit }

// ---- What operators see ----

// State is what the pools are and believe.
type State struct {
	Whole           float64 // limit of all that is on the cores
	Limit, Ceiling  float64 // runs there
	OnCores         int
	Belief          string // of the limiter
	Memory          Stage
	Booked, Process float64 // share of the memory in use
	Pools           []PoolState
}

// PoolState is the state of one pool.
type PoolState struct {
	Name                  string
	Weight, Floor         float64
	Used, Waiting         int
	Want, Claim           float64 // runs
	Granted, Lent, Turned uint64  // runs since the start; requests not admitted for want of memory
	Starving              bool
}

// State returns the present state.
func (s *Set) State(now time.Duration) State {
	st := State{
		Whole: s.whole, Limit: s.limit, Ceiling: s.ceiling, OnCores: s.onCores, Belief: s.limiter.Belief(),
		Memory: s.memory.Stage(), Booked: s.memory.booked, Process: s.memory.process,
		Pools: make([]PoolState, 0, len(s.pools)),
	}
	first := s.starving(now)
	for _, p := range s.pools {
		st.Pools = append(st.Pools, PoolState{
			Name: p.Name, Weight: p.Weight, Floor: s.floor(p), Used: p.used, Waiting: p.waiting, Want: p.want,
			Claim: p.claim, Granted: p.granted, Lent: p.lent, Turned: p.turned, Starving: p == first,
		})
	}
	return st
}
