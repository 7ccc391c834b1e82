// Package loadbalancer decides which server of a cell gets a try of a request, and whether there may be another: from what a
// router can see itself, in flight, answers, refusals, failures and probes. It has no I/O, no clock and no goroutine:
// events come in with their time, answers go out. docs/design/cells.md weighs the ways.
package loadbalancer

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"silverpath/internal/policy/slowstart"
)

// Config sets up a Table. 0 is the default.
type Config struct {
	Retries   float64       // further tries, as a share of the first ones
	Hedges    float64       // second copies of safe reads, likewise
	MostOut   float64       // share of a cell's servers that may be ejected at once
	Panic     float64       // share of a cell's servers under which health is not looked at any more
	SlowStart time.Duration // until a server that came back gets its whole part
	Window    time.Duration // a sheet may come again for so long after its run began
	Open      int           // requests open at a server at once
	Seed      uint64
}

func (c Config) complete() Config {
	def := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.Retries, 0.1)
	def(&c.Hedges, 0.05)
	def(&c.MostOut, 0.4)
	def(&c.Panic, 0.5)
	if c.SlowStart == 0 {
		c.SlowStart = 10 * time.Second
	}
	if c.Open == 0 {
		c.Open = 256
	}
	return c
}

// Health is what is believed of a server.
type Health int

const (
	Unknown Health = iota // nothing was heard of it yet
	Alive
	Suspect // something failed: it gets tries only where nobody better is there
	Dead    // it can't be reached
)

func (h Health) String() string { return [...]string{"unknown", "alive", "suspect", "dead"}[h] }

// Circuit is whether a server gets tries.
type Circuit int

const (
	Closed Circuit = iota
	Open           // ejected: none
	Half           // one at a time, to see
)

func (c Circuit) String() string { return [...]string{"closed", "open", "half"}[c] }

// Outcome is how a try ended.
type Outcome int

const (
	Served    Outcome = iota
	Refused           // proven: it never ran
	Failed            // it may have run
	Broken            // the connection ended without an answer: it may have run
	Refusing          // no connection was to be had: proven that it never ran
	TimedOut          // no answer in time: it may have run
	Unwritten         // the request was never written whole: proven that it never ran
)

// NeverRan reports whether the outcome proves that the try had no effect.
func (o Outcome) NeverRan() bool { return o == Refused || o == Refusing || o == Unwritten }

const (
	latencyPast   = 0.9                    // weight of the past in a server's latency, for each answer
	failPast      = 0.9                    // and in its share of failures
	firstLatency  = 100 * time.Millisecond // of a server that has not answered yet
	ejectAt       = 0.5                    // share of failures at which a server is ejected
	ejectLeast    = 8                      // tries, at least, that tell so
	slowTimes     = 4                      // times the median latency of its cell: an outlier
	ejectFor      = 2 * time.Second        // the first time; doubles with each that follows
	ejectMost     = time.Minute
	suspectAfter  = 1 // failures in a row
	deadAfter     = 3
	flapWindow    = time.Minute // in which changes of health are counted
	flapMost      = 4           // beyond so many, a server must be well for flapFor before it counts as alive
	flapFor       = 10 * time.Second
	budgetSpan    = 10.0 // seconds' worth of first tries that a budget keeps at most
	budgetLeast   = 2.0  // further tries that are there at the start
	hedgeQuantile = 0.95
	mostAway      = 256 // tenants that are kept away from a server
	samples       = 256 // latencies of reads, of which the quantile is taken
)

// Table is what is known of all servers. It is single-threaded.
type Table struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*server
	retries budget
	hedges  budget
	reads   []float64 // seconds, a ring
	next    int
	sampled int           // since hedgeAt was taken
	hedgeAt time.Duration // the quantile
	counts  Counts
}

// Counts are what a table has decided since the start.
type Counts struct {
	Ejected, Panicked, Retried, RetriesSpent, Hedged, HedgesSpent, ColdBack uint64
}

type server struct {
	name     string
	weight   float64
	health   Health
	inARow   int // failures
	changes  []time.Duration
	held     time.Duration // not alive again before then, for flapping
	flying   int
	latency  float64 // seconds
	fails    float64 // share, of late
	tries    int     // since it came up
	circuit  Circuit
	until    time.Duration            // the circuit is open
	ejected  int                      // in a row
	trial    bool                     // a try is out while half open
	since    time.Duration            // up
	away     map[string]time.Duration // by tenant, whose requests it asked to be left alone with until then
	credit   float64                  // requests that it wants out there at most; 0: not told
	boot     int64                    // Unix milliseconds of its start, as it says; 0: it does not
	lostAt   time.Duration            // when an incarnation that may have run sheets was last there; 0: none was lost
	lostKeys bool
	cold     slowstart.Caller
	met      bool // it has answered this router: until then nobody knows whether it started anew
}

// New returns an empty table.
func New(c Config) *Table {
	c = c.complete()
	return &Table{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 6)), servers: map[string]*server{},
		retries: budget{share: c.Retries, tokens: budgetLeast}, hedges: budget{share: c.Hedges, tokens: budgetLeast},
	}
}

// Retune takes up other budgets and bounds; what is known of servers, and of what was spent, stays.
func (t *Table) Retune(c Config) {
	c.Window, c.Seed, c.Open = t.cfg.Window, t.cfg.Seed, t.cfg.Open
	t.cfg = c.complete()
	t.retries.share, t.hedges.share = t.cfg.Retries, t.cfg.Hedges
}

// Members sets the servers that there are, with their weights. Who stays keeps all that is known of it.
func (t *Table) Members(now time.Duration, weights map[string]float64) {
	for name := range t.servers {
		if _, stays := weights[name]; !stays {
			delete(t.servers, name)
		}
	}
	for name, w := range weights {
		if s := t.servers[name]; s != nil {
			s.weight = w
			continue
		}
		t.servers[name] = &server{name: name, weight: w, latency: firstLatency.Seconds(), since: now - t.cfg.SlowStart}
	}
}

// ---- Membership ----

// Reached is told that a server answered: a probe, or anything else. The boot is when it says that it started, 0 where it
// does not, and ran until when, at the latest, it says that an incarnation before it may have run anything, 0 where it can't; the
// entered time is when it came to be in the map. All are in Unix milliseconds; wall is the present.
func (t *Table) Reached(now time.Duration, name string, boot, ran, entered, wall int64) {
	s := t.servers[name]
	if s == nil {
		return
	}
	wasDown := s.health == Dead
	s.met = true
	known := s.boot != 0
	restarted := boot != 0 && known && boot != s.boot || boot == 0 && wasDown
	// One that started not long ago, and was in the map before, had an incarnation whose sheets it has forgotten: so a
	// router that has itself just started knows what it missed.
	until := boot
	if ran != 0 {
		until = min(ran, boot)
	}
	unseen := boot != 0 && !known && boot > entered && wall-until < t.cfg.Window.Milliseconds()
	if boot != 0 {
		s.boot = boot
	}
	if restarted || unseen {
		t.counts.ColdBack++
		s.lostKeys, s.lostAt, s.since = true, now, now
		if boot != 0 { // what ran before ran before it started
			s.cold.Starts()
			s.lostAt = now - time.Duration(max(0, wall-until))*time.Millisecond
		}
		s.tries, s.fails, s.circuit, s.ejected, s.latency = 0, 0, Closed, 0, firstLatency.Seconds()
	}
	s.inARow = 0
	if s.health != Alive && now >= s.held {
		t.change(now, s, Alive)
	}
}

// Probed is told what a server's answer to a probe said of its slow start: the part of it that is this router's, for a term from
// the asking on.
func (t *Table) Probed(asked time.Duration, name string, part int, term time.Duration) {
	if s := t.servers[name]; s != nil {
		s.cold.Told(asked, part, term)
	}
}

// Warm is told that a server has answered and said nothing of a slow start.
func (t *Table) Warm(name string) {
	if s := t.servers[name]; s != nil {
		s.cold.Warm()
	}
}

// Flying is how many tries are out at a server.
func (t *Table) Flying(name string) int {
	if s := t.servers[name]; s != nil {
		return s.flying
	}
	return 0
}

// Missed is told that a probe failed, or that no connection was to be had.
func (t *Table) Missed(now time.Duration, name string) {
	s := t.servers[name]
	if s == nil {
		return
	}
	s.inARow++
	switch {
	case s.inARow >= deadAfter && s.health != Dead:
		t.change(now, s, Dead)
	case s.inARow >= suspectAfter && (s.health == Alive || s.health == Unknown):
		t.change(now, s, Suspect)
	}
}

func (t *Table) change(now time.Duration, s *server, h Health) {
	s.health = h
	s.changes = append(slices.DeleteFunc(s.changes, func(at time.Duration) bool { return now-at > flapWindow }), now)
	if len(s.changes) > flapMost {
		s.held = now + flapFor
	}
	if h == Alive {
		s.since = now
	}
}

// ---- Tries ----

// Take is asked in the moment in which a try goes to a server, and told of it where it may: many may have been told at once that
// there is room for one.
func (t *Table) Take(now time.Duration, name string) bool {
	if s := t.servers[name]; s != nil && !s.cold.Room(now, s.flying) {
		return false
	}
	t.Sent(name)
	return true
}

// Unheard is told that a server is new to this router: nothing is claimed of it until it has answered a probe.
func (t *Table) Unheard(name string) {
	if s := t.servers[name]; s != nil {
		s.cold.Starts()
	}
}

// Sent is told that a try goes to a server.
func (t *Table) Sent(name string) {
	if s := t.servers[name]; s != nil {
		s.flying++
		if s.circuit == Half {
			s.trial = true
		}
	}
}

// Ended is told how a try ended and how long it took.
func (t *Table) Ended(now time.Duration, name string, o Outcome, took time.Duration, read bool) {
	s := t.servers[name]
	if s == nil {
		return
	}
	s.flying = max(0, s.flying-1)
	s.trial = false
	bad := 0.0
	switch o {
	case Served:
		s.latency = s.latency*latencyPast + took.Seconds()*(1-latencyPast)
		if read {
			t.sample(took.Seconds())
		}
	case Refused: // it works, but has too much: its latency is that of no work
	case Refusing, Unwritten:
		bad = 1
		t.Missed(now, name)
	case Failed, Broken, TimedOut:
		bad = 1
		// A failure is no fast answer: it counts as slow, or failing at once would attract whatever there is.
		s.latency = s.latency*latencyPast + max(2*s.latency, took.Seconds())*(1-latencyPast)
	}
	s.tries++
	s.fails = s.fails*failPast + bad*(1-failPast)
	switch {
	case s.circuit == Half && bad > 0:
		t.eject(now, s)
	case s.circuit == Half:
		s.circuit, s.ejected, s.fails, s.since = Closed, 0, 0, now
	case s.circuit == Closed && s.tries >= ejectLeast && s.fails >= ejectAt:
		t.eject(now, s)
	}
}

func (t *Table) sample(seconds float64) {
	t.sampled++
	if len(t.reads) < samples {
		t.reads = append(t.reads, seconds)
		return
	}
	t.reads[t.next] = seconds
	t.next = (t.next + 1) % samples
}

func (t *Table) eject(now time.Duration, s *server) {
	t.counts.Ejected++
	s.circuit = Open
	s.until = now + min(ejectMost, ejectFor<<min(s.ejected, 10))
	s.ejected++
}

// Told is what an answer to a tenant's request said beside its outcome: the free value as a credit, and how long to stay away. That
// is for the tenant alone: a server turns away first who has more than its share, and what one that floods is told says nothing
// to the others in its cell.
func (t *Table) Told(now time.Duration, tenant, name string, credit float64, away time.Duration) {
	s := t.servers[name]
	if s == nil {
		return
	}
	if credit > 0 {
		s.credit = credit
	}
	if away > 0 {
		if len(s.away) >= mostAway {
			maps.DeleteFunc(s.away, func(_ string, until time.Duration) bool { return now >= until })
		}
		if s.away == nil || len(s.away) >= mostAway {
			s.away = map[string]time.Duration{}
		}
		s.away[tenant] = max(s.away[tenant], now+away)
	}
}

// usable reports whether a server may get a try now, by its own state.
func (t *Table) usable(now time.Duration, tenant string, s *server) bool {
	if s.circuit == Open && now >= s.until {
		s.circuit = Half
	}
	return s.health != Dead && s.circuit != Open && !(s.circuit == Half && s.trial) && now >= s.away[tenant] &&
		s.flying < t.cfg.Open && s.cold.Room(now, s.flying) && !(s.credit > 0 && float64(s.flying) >= max(1, s.credit))
}

// median is the median latency of some servers, 0 for fewer than three, which tell no outlier.
func median(list []*server) float64 {
	if len(list) < 3 {
		return 0
	}
	var room [drawn]float64
	all := room[:0]
	for _, s := range list {
		all = append(all, s.latency)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// part is the part of its share that a server gets while it is new.
func (t *Table) part(now time.Duration, s *server) float64 {
	if up := now - s.since; up < t.cfg.SlowStart {
		return max(0.1, up.Seconds()/t.cfg.SlowStart.Seconds())
	}
	return 1
}

// cost is what a further try at a server is expected to wait.
func (t *Table) cost(now time.Duration, s *server) float64 {
	return s.latency * float64(s.flying+1) / (s.weight * t.part(now, s))
}

// Pick chooses the server for a try of what needs no home: the better of two drawn from those of the tenant that may be
// used. Where fewer than the panic share may be, health says more of the router than of the servers, and all are drawn
// from but those that asked to be left alone. False where nobody can be asked.
func (t *Table) Pick(now time.Duration, tenant string, among []string, not string) (string, bool) {
	all := t.draw(among)
	good := make([]*server, 0, len(all))
	out := 0
	for _, s := range all {
		if s.name == not {
			continue
		}
		if t.usable(now, tenant, s) {
			good = append(good, s)
		} else if s.health == Dead || s.circuit == Open {
			out++
		}
	}
	if len(all) > 0 && 1-float64(out)/float64(len(all)) < t.cfg.Panic {
		t.counts.Panicked++
		good = good[:0]
		for _, s := range all {
			if s.name != not && now >= s.away[tenant] && s.flying < t.cfg.Open && s.cold.Room(now, s.flying) {
				good = append(good, s)
			}
		}
	} else {
		good = t.withoutOutliers(good, all)
	}
	switch len(good) {
	case 0:
		return "", false
	case 1:
		return good[0].name, true
	}
	i := t.rng.IntN(len(good))
	j := t.rng.IntN(len(good) - 1)
	if j >= i {
		j++
	}
	a, b := good[i], good[j]
	if t.cost(now, b) < t.cost(now, a) {
		a = b
	}
	return a.name, true
}

// drawn is the number of servers among which a choice is made: all of a small cell, so many of a large one.
const drawn = 16

// draw returns the servers of a list, or some of them, each once.
func (t *Table) draw(among []string) []*server {
	list := make([]*server, 0, min(drawn, len(among)))
	if len(among) <= drawn {
		for _, name := range among {
			if s := t.servers[name]; s != nil {
				list = append(list, s)
			}
		}
		return list
	}
	for range 2 * drawn {
		s := t.servers[among[t.rng.IntN(len(among))]]
		if s != nil && !slices.Contains(list, s) {
			if list = append(list, s); len(list) == drawn {
				break
			}
		}
	}
	return list
}

// withoutOutliers leaves out suspects and the slow, the worst first, as long as enough are left.
func (t *Table) withoutOutliers(good, all []*server) []*server {
	keep := max(1, int(math.Ceil(float64(len(all))*(1-t.cfg.MostOut))))
	middle := median(all)
	bad := func(s *server) bool {
		return s.health == Suspect || middle > 0 && s.tries >= ejectLeast && s.latency > slowTimes*middle
	}
	if len(good) <= keep || !slices.ContainsFunc(good, bad) {
		return good
	}
	slices.SortFunc(good, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.health, a.health), cmp.Compare(b.latency, a.latency), cmp.Compare(a.name, b.name))
	})
	most := len(good) - keep
	return slices.DeleteFunc(good, func(s *server) bool {
		if most > 0 && bad(s) {
			most--
			return true
		}
		return false
	})
}

// ---- Sheets ----

// Home is what may be done with a sheet at the server where its key belongs.
type Home int

const (
	Send    Home = iota // it may be sent
	Lost                // an earlier try may have run there and is forgotten, or can't be asked for: it fails
	Waiting             // it asked to be left alone, or is full: refused, as it never runs elsewhere
)

// Home tells what may be done with a sheet at its home. A server that is dead, came back without what it knew, or has not yet said
// when it started to a router that is new itself, may
// have run it, and nobody else may then: until no try of it can come any more the answer is that it failed.
func (t *Table) Home(now time.Duration, tenant, name string) Home {
	s := t.servers[name]
	switch {
	case s == nil || s.health == Dead || !s.met:
		return Lost
	case s.lostKeys && now-s.lostAt < t.cfg.Window:
		return Lost
	case now < s.away[tenant] || s.flying >= t.cfg.Open || !s.cold.Room(now, s.flying):
		return Waiting
	}
	return Send
}

// ---- Budgets ----

// budget is a share of the first tries. It is never without limit: what is not used is kept for some seconds only.
type budget struct {
	share  float64
	tokens float64
	rate   float64 // first tries a second, of late
	at     time.Duration
}

func (b *budget) first(now time.Duration) {
	if dt := (now - b.at).Seconds(); dt > 0 {
		b.rate *= math.Exp(-dt / budgetSpan)
		b.at = now
	}
	b.rate += 1 / budgetSpan
	b.tokens = min(b.tokens+b.share, max(budgetLeast, b.share*b.rate*budgetSpan))
}

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// First is told of a first try: what the budgets are shares of.
func (t *Table) First(now time.Duration) {
	t.retries.first(now)
	t.hedges.first(now)
}

// Retry reports whether a try that ended so may be followed by another one, elsewhere. An effect is tried again only on
// proof that it never ran; a read that failed is too.
func (t *Table) Retry(o Outcome, safe, final bool) bool {
	if o == Served || final || !safe && !o.NeverRan() || o == TimedOut {
		return false
	}
	if !t.retries.spend() {
		t.counts.RetriesSpent++
		return false
	}
	t.counts.Retried++
	return true
}

// HedgeAfter is how long a safe read waits for its answer before a second copy may go elsewhere; false while too little
// is known.
func (t *Table) HedgeAfter() (time.Duration, bool) {
	if len(t.reads) < samples/4 {
		return 0, false
	}
	if t.sampled >= samples/8 {
		all := slices.Clone(t.reads)
		slices.Sort(all)
		t.hedgeAt = time.Duration(all[int(hedgeQuantile*float64(len(all)-1))] * float64(time.Second))
		t.sampled = 0
	}
	return t.hedgeAt, true
}

// Hedge reports whether a second copy of a safe read may be sent.
func (t *Table) Hedge() bool {
	if !t.hedges.spend() {
		t.counts.HedgesSpent++
		return false
	}
	t.counts.Hedged++
	return true
}

// ---- What operators see ----

// State is what is known of a server.
type State struct {
	Name    string
	Health  Health
	Circuit Circuit
	Flying  int
	Latency time.Duration
	Fails   float64
	Part    float64
	Lost    bool // its sheets of before are forgotten and may come again
	Boot    int64
}

// States returns all servers by name.
func (t *Table) States(now time.Duration) []State {
	var list []State
	for _, s := range t.servers {
		list = append(list, State{
			Name: s.name, Health: s.health, Circuit: s.circuit, Flying: s.flying, Fails: s.fails, Part: t.part(now, s),
			Latency: time.Duration(s.latency * float64(time.Second)), Boot: s.boot,
			Lost: s.lostKeys && now-s.lostAt < t.cfg.Window,
		})
	}
	slices.SortFunc(list, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Counts returns what was decided since the start.
func (t *Table) Counts() Counts { return t.counts }
