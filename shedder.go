package silverpath

// Every decision of silverpath is in this file; its interface is in api.go. The ordinary path is the go-zero
// adaptive shedder, from "Adaptive load shedding for microservice governance" (access9, 21 November 2021).
//
// The order of decision for an arrival:
//
//  1. ordinary path (overloaded): refused when smoothed CPU is high, or within the cool-off after a refusal,
//     and both the current and the average number in flight of its class exceed
//     max pass rate x minimum response time;
//  2. guards (admissible, start, enforceDue, bookable): memory, the crowd on the cores, the table of keys,
//     drain, due times, calls in hand. They keep the four rules by told limits with a margin;
//  3. exceptions (docs/design.md has their conditions): repeats join the run they repeat; a request that
//     can't make its aim behind what goes before it is refused at once (prune).
//
// What is taken waits in the hold, ordered by worth still obtainable for the work (ranked).

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"silverpath/internal/policy/window"
)

// The source's defaults.
const (
	cpuBeta       = 0.95
	sampleEvery   = 250 * time.Millisecond
	coolOff       = time.Second
	windowSpan    = 5 * time.Second
	windowBuckets = 50
	longestMinRT  = time.Second
)

// Ours; each has its reason.
const (
	cpuThreshold = 0.9                   // go-zero ships 900 in 1000; the source does not give the figure
	flyingBeta   = 0.95                  // not given by the source: the beta that it gives for CPU
	tickEvery    = 25 * time.Millisecond // due times are met to within a tick; ten ticks make a CPU sample
	margin       = 0.9                   // share of a told limit that is used
	paceMemory   = 0.9                   // share of the pace statistics kept for each sample: about 2.5 s
	fairMemory   = 0.995                 // the same for the classes' service: about 50 s
	nearWorst    = 0.05                  // classes served within this of the worst share its weight
	slowPace     = 1.5                   // this many times the usual pace is trouble of this server alone
	callMemory   = 0.8                   // weight of the past in the typical call time
	crowdSlack   = 1.5                   // runs over the cap, as a share of it, before any is paused
	baseRise     = 0.0005                // how far that base rises to the present at each call
	crowded      = 2                     // calls this many times slower than their base are a crowd's
	leastShare   = 0.25                  // of the share of calls that is used whatever they take: see paceCalls
	fewer, more  = 0.8, 0.1              // how the limit of calls then falls, and otherwise grows, at each end
	mostCalls    = 4                     // calls to a tier below out at once, for each core
	fewestEnds   = 3                     // a bucket with fewer ends has no average worth the name
	shortAway    = 5                     // the longest absence over that advised when all are overloaded
	fewestRuns   = 0.25                  // runs a core at least, and cores a run at least
	shedTarget   = 0.25                  // share of refusals at which the pressure stands still
	signalGain   = 0.15                  // how far it moves in a sample for a share of 1 more
	goOn         = 2                     // one of so many refused in trouble of this server's own goes elsewhere
	leastWeight  = 0.1                   // so that a server is still tried
	early        = 0.2                   // share of a newcomer's time that its line must leave free
	firstRetry   = 50 * time.Millisecond // wait before a call is repeated; doubles each time
)

// New returns a Shedder for the given settings. Its first actions are asked of the host at once.
func New(now time.Duration, set Settings, host Host) (*Shedder, error) {
	if host == nil {
		return nil, errors.New("silverpath: no host")
	}
	if err := check(&set); err != nil {
		return nil, fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	s := &Shedder{
		set: set, host: host, now: now, started: now, learnFrom: now, nextSample: now + sampleEvery,
		byID: map[string]*request{}, keys: newKeyTable(),
	}
	s.learn(now, set)
	s.usualPace = 1
	s.callRoom = mostCalls * float64(set.Cores)
	s.doneWork = float64(set.Cores)
	s.doneTime = s.doneWork / math.Sqrt(s.speed())
	s.coreShare.Add(1, 0)
	s.patience.Add(1, 0)
	host.Health(true)
	host.Wake(tickEvery)
	return s, nil
}

// learn takes up classes and tenants. What was seen of those that stay is kept.
func (s *Shedder) learn(now time.Duration, set Settings) {
	classes, tenants, servers := s.byName, s.tenants, max(1, s.set.Servers)
	s.classes, s.byName, s.tenants = nil, map[string]*class{}, map[string]*window.TokenBucket{}
	for _, c := range set.Classes {
		k := &class{c, &seen{weight: c.Weight, times: window.NewRolling(windowBuckets, windowSpan/windowBuckets)}}
		if old := classes[c.Name]; old != nil {
			k.seen = old.seen
		}
		s.classes = append(s.classes, k)
		s.byName[c.Name] = k
	}
	for _, t := range set.Tenants {
		rate := t.Rate / float64(max(1, set.Servers))
		same := slices.Contains(s.set.Tenants, t) && servers == max(1, set.Servers)
		if s.tenants[t.Name] = tenants[t.Name]; s.tenants[t.Name] == nil || !same {
			s.tenants[t.Name] = window.NewTokenBucket(now, rate, burst(rate))
		}
	}
}

// Use gives the module pools as one more guard. It is called before the first request.
func (s *Shedder) UsePools(p Pools) { s.pools = p }

// ---- Events ----

// Started reports when that which does the work started, and whether it was cold then: maybe long after New.
func (s *Shedder) Started(now, ago time.Duration, cold bool) {
	s.at(now)
	s.set.Cold, s.started = cold, now-ago
	s.learnFrom = max(s.learnFrom, s.started)
}

// Retune takes up other settings, whole or not at all. Requests in hand keep the class they came with; one
// that comes back under a name that was dropped starts clean. The server started when it did, as before.
func (s *Shedder) Reconfigure(now time.Duration, set Settings) error {
	s.at(now)
	if err := check(&set); err != nil {
		return fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	set.Cold = s.set.Cold
	s.learn(now, set)
	s.set = set
	s.settleCalls()
	s.plan()
	return nil
}

// Arrive takes a request that was just read. It is answered sooner or later, once.
func (s *Shedder) Arrive(now time.Duration, q Request) {
	s.at(now)
	if s.byID[q.ID] != nil {
		return // the same id again: the first is still owed its answer
	}
	c := s.byName[q.Class]
	if c == nil {
		s.host.Reject(q.ID, 0, true)
		return
	}
	if s.keys.has(q.ID) {
		s.host.Fail(q.ID) // this very request has been run
		return
	}
	r := s.record(q, c)
	switch {
	case r.DuplicateOf != "" && (c.Effect == Idempotent || c.Effect == Safe && s.set.FreshFor > 0):
		s.join(r)
	case s.overloaded(c):
		s.refuse(r, byFlight)
	case !s.admissible(r):
		s.refuse(r, byGuard)
	default:
		s.keep(r)
		s.plan()
	}
	if r.state != over {
		r.taken = true
		c.flying++
	}
}

// Shed reports that so many requests of a class were turned away unread, as those just before them had been.
func (s *Shedder) RejectedUnread(now time.Duration, class string, n int) {
	s.at(now)
	if c := s.byName[class]; c != nil && n > 0 {
		s.read, s.shed = s.read+float64(n), s.shed+float64(n)
		s.refused[byForecast] += n
		c.asked += float64(n) * max(c.meanWork, 0.001)
	}
}

// Gone reports that nobody waits for the request any more.
func (s *Shedder) Cancelled(now time.Duration, id string) {
	s.at(now)
	r := s.byID[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.learnPatience(r)
	switch r.state {
	case held, paused, joining:
		s.finish(r)
	case running:
		if r.class.Effect != Idempotent { // a later try of a keyed request takes its result
			s.halt(r)
		}
	}
	s.plan()
}

// NeedsCall reports that a running request can't go on without a call.
func (s *Shedder) NeedsCall(now time.Duration, id string) {
	s.at(now)
	if r := s.byID[id]; r != nil && (r.state == running || r.state == stopping) {
		s.move(r, blocked)
		r.callAt, r.backoff = now, firstRetry
		s.settleCalls()
		s.plan()
	}
}

// CallEnded reports how a call ended, and how long it took.
func (s *Shedder) CallEnded(now time.Duration, id string, o Outcome, spent time.Duration) {
	s.at(now)
	r := s.byID[id]
	if r == nil || r.state != calling {
		return
	}
	if o == OK || o == TimedOut {
		s.paceCalls(spent.Seconds())
	}
	s.throttle(o)
	if o == OK {
		s.move(r, running)
	} else {
		s.move(r, blocked)
		r.callAt = now + r.backoff
		switch {
		case r.class.Effect != Safe && !o.NeverRan():
			r.callAt = math.MaxInt64 // it may have had its effect
		case o == Disconnected && r.backoff == firstRetry:
			r.callAt = now // one broken reply says nothing of what lies below
		}
		r.backoff *= 2
	}
	s.settleCalls()
	s.plan()
}

// RunEnded reports that a run, or a join, has ended.
func (s *Shedder) RunEnded(now time.Duration, id string, o Outcome, spent time.Duration) {
	s.at(now)
	r := s.byID[id]
	if r == nil || r.state == held || r.state == paused {
		return
	}
	switch {
	case o == OK || o == Failed:
		r.done = true
		if !r.answered {
			r.answered = true
			if o == OK && now <= r.aim {
				r.class.served += r.size
			}
		}
		s.finish(r)
	case o == NotStarted && !r.answered: // it never ran: neither a pass nor work that was asked for
		r.ran = false
		r.class.asked = max(0, r.class.asked-r.size)
		s.forget(r)
		s.finish(r)
	case r.answered:
		s.finish(r)
	case s.set.Preemption == PreemptDrop && r.class.Effect != Safe:
		s.fail(r) // its work is lost and it must not run again
	case s.set.Preemption == PreemptPause:
		s.move(r, paused)
	default:
		r.used = 0
		s.move(r, held)
	}
	s.settleCalls()
	s.plan()
}

// Drain is the notice to leave; the process is stopped at stop.
func (s *Shedder) Drain(now, stop time.Duration) {
	s.at(now)
	if s.stopAt == 0 {
		s.drainingAt = now
	}
	s.stopAt = max(1, stop)
	s.host.Health(false)
	s.host.Log("draining")
	s.enforceDue()
	s.plan()
}

// Tick is the answer to Host.Wake.
func (s *Shedder) Tick(now time.Duration, g Gauges) {
	s.at(now)
	s.host.Wake(tickEvery)
	if n := s.inState[running]; n > 0 {
		share := g.OnCores / float64(n)
		if g.OnCores <= float64(s.set.Cores) {
			share = min(1, share) // a core is free for whatever is read
		}
		if s.inState[held] > 0 {
			share *= g.CPU // cores that idle while requests wait want more runs
		}
		s.coreShare.Add(min(share, 1/fewestRuns), cpuBeta)
	}
	s.nextSample = max(s.nextSample, now-windowSpan) // a long pause is not made up for
	for s.nextSample <= now {
		s.nextSample += sampleEvery
		s.sample(g)
	}
	s.keys.expire(s.now)
	s.enforceDue()
	if s.pools != nil {
		s.pools.Tick(s.now, s.runCap(), g)
	}
	s.settleCalls()
	s.plan()
}

// at sets the clock, which never moves backwards. The clock of the cores goes slower the less of a core each
// run has: what crowding takes from a run is no sign that the server itself is slow.
func (s *Shedder) at(now time.Duration) {
	now = max(s.now, now)
	passed := time.Duration(float64(now-s.now) * s.runShare())
	s.coreClock += passed
	s.coreTime += float64(s.onCores()) * passed.Seconds()
	s.doneTime += float64(s.onCores()) * passed.Seconds()
	s.now = now
}

// runShare is the part of a core that each run has.
func (s *Shedder) runShare() float64 {
	wanted := max(1, float64(s.onCores())) * max(fewestRuns, s.coreShare.Value())
	return min(1, float64(s.set.Cores)/wanted)
}

// sample takes what is read every 250 ms and lets the statistics fade.
func (s *Shedder) sample(g Gauges) {
	s.cpu.Add(g.CPU, cpuBeta)
	use := (s.coreTime) / (sampleEvery.Seconds() * float64(s.set.Cores)) // idle cores forget nothing
	s.coreTime = 0
	s.doneTime *= math.Pow(paceMemory, use)
	s.doneWork = max(s.doneWork*math.Pow(paceMemory, use), 0.001)
	s.advertise()
	s.weigh()
	s.report()
	switch p := s.pace(); {
	case s.now-s.learnFrom < windowSpan:
		s.usualPace = p
	case p < s.usualPace:
		s.usualPace += (p - s.usualPace) * (1 - paceMemory)
	default:
		s.usualPace += (p - s.usualPace) * (1 - fairMemory)
	}
}

// report logs where an overload, or a slow dependency, begins and ends, so that who is on call sees both.
func (s *Shedder) report() {
	calm := !s.refusedOnce || s.now-s.lastRefusal >= windowSpan
	if s.overload == calm {
		s.overload = !calm
		if calm {
			s.host.Log(fmt.Sprintf("overload ends: refused %d by the flight limit, %d by guards, %d by the forecast",
				s.refused[byFlight], s.refused[byGuard], s.refused[byForecast]))
			s.refused = [parts]int{}
		} else {
			s.host.Log(fmt.Sprintf("overload begins: CPU %.2f, %d in hand", s.cpu.Value(), len(s.requests)))
		}
	}
	slow := s.callTime > crowded*s.callBase
	if slow == s.slowCalls {
		s.slowSince = s.now
	} else if s.now-s.slowSince >= windowSpan { // single calls swing far
		s.slowCalls = slow
		s.host.Log(fmt.Sprintf("calls slow: %v, they take %.2f s and took %.2f s", slow, s.callTime, s.callBase))
	}
}

// advertise sets the value that callers heed, so that what would be refused is not sent, and so not read. A
// level turns requests away wherever they go, so trouble of this server alone does not raise it; credit and
// weight send them elsewhere.
func (s *Shedder) advertise() {
	share := s.shed / max(1, s.read)
	s.readRate.Add(s.read/sampleEvery.Seconds(), cpuBeta)
	s.read, s.shed = 0, 0
	if s.set.Signal == SignalLevel && s.local() {
		share = 0
	}
	s.keepConnections()
	s.pressure = min(max(0, s.pressure+signalGain*(share-shedTarget)), 1)
	switch s.set.Signal {
	case SignalLevel: // never the class of most worth
		s.host.Signal(s.pressure * (1 - 1/float64(len(s.classes))))
	case SignalCredit: // from all that may be in hand down to what keeps the cores busy
		inHand := max(s.crowd()*(1-s.pressure), float64(s.set.Cores))
		s.host.Signal(inHand / float64(max(1, s.set.Callers)))
	case SignalWeight:
		s.host.Signal(max(1-s.pressure, leastWeight))
	}
}

// keepConnections decides how long a connection may stay idle. An open one takes a part of the cores and of a
// limited table, a new one costs work, and neither price is told: connections are kept where the mean caller
// is back before it would close its own, else closed at once. It guards against a table that many callers
// fill, each with little traffic; it could hurt where a few callers of very many send nearly all.
func (s *Shedder) keepConnections() {
	after := time.Duration(0)
	if float64(s.set.Callers) > s.readRate.Value()*s.set.KeepAlive.Seconds() {
		after = min(sampleEvery, s.set.KeepAlive)
	}
	if after != s.idleAfter {
		s.idleAfter = after
		s.host.CloseIdle(after)
	}
}

// ---- The ordinary path ----

// overloaded is the source's test: the gate of CPU or cool-off, and the flight without the arrival itself.
func (s *Shedder) overloaded(c *class) bool {
	if s.cpu.Value() < cpuThreshold && !(s.refusedOnce && s.now-s.lastRefusal < coolOff) {
		return false
	}
	limit := s.maxFlight(c)
	return float64(c.flying) > limit && c.avgFlying.Value() > limit
}

// maxFlight is max pass rate x minimum response time of a class, not under the core count and not over the
// crowd that the server survives. Where ends are few, as many buckets are taken for one as hold enough of
// them on average: one end in 100 ms is no rate of ten a second, and the luckiest request no response time.
// At high rates it is the source's own figure; with hardly an end in the window, the source's default.
func (s *Shedder) maxFlight(c *class) float64 {
	ends := 0
	c.times.Each(s.now, func(b window.Bucket) { ends += b.Count })
	wide := min(windowBuckets-1, max(1, (fewestEnds*windowBuckets+ends-1)/max(1, ends)))
	rate, minRT := windowBuckets/windowSpan.Seconds(), longestMinRT.Seconds()
	if ends >= fewestEnds {
		rate = 0
	}
	var sum window.Bucket
	n := 0
	c.times.Each(s.now, func(b window.Bucket) {
		sum.Sum, sum.Count, n = sum.Sum+b.Sum, sum.Count+b.Count, n+1
		if n < wide {
			return
		}
		rate = max(rate, float64(sum.Count)/float64(n)*windowBuckets/windowSpan.Seconds())
		if sum.Count >= fewestEnds {
			minRT = min(minRT, sum.Sum/float64(sum.Count))
		}
		sum, n = window.Bucket{}, 0
	})
	return min(max(rate*minRT, float64(s.set.Cores)), s.crowd())
}

// ended counts an end for the ordinary path: a pass and its time, but for those whose time ran out. What was
// never taken does not count.
func (s *Shedder) ended(r *request) {
	if !r.taken {
		return
	}
	c := r.class
	c.flying--
	c.avgFlying.Add(float64(c.flying), flyingBeta)
	if r.ran && !r.timedOut {
		c.times.Add(s.now, (s.now - r.arrived).Seconds())
	}
}

// ---- Guards ----

// speed is the share of its speed that the server has at least, as told.
func (s *Shedder) speed() float64 {
	if !s.set.Cold || s.now-s.started >= s.set.WarmupTime {
		return 1
	}
	warm := (s.now - s.started).Seconds() / s.set.WarmupTime.Seconds()
	return max(0.01, s.set.ColdSpeed+(1-s.set.ColdSpeed)*warm)
}

// crowd is the number of runs on the cores that the server survives now, with a margin.
func (s *Shedder) crowd() float64 {
	return margin * float64(s.set.Cores) * (1 + (s.set.MaxRunsPerCore-1)*s.speed())
}

// admissible reports whether the guards let the request into the hold: there is memory for it
// and its key, and it may run before the server leaves.
func (s *Shedder) admissible(r *request) bool {
	return s.memory+s.keys.kb+s.keyKB(r) <= margin*s.set.MemoryKB && s.mayRun(r) &&
		(s.pools == nil || s.pools.Admits(r.class.Name))
}

// mayRun reports whether the drain rule lets the request start.
func (s *Shedder) mayRun(r *request) bool {
	return s.stopAt == 0 || r.reached <= s.drainingAt+time.Duration(margin*float64(s.set.DrainGrace))
}

// room reports whether one more run keeps memory and the crowd within their limits. All that has been
// started counts, since what waits for disk or a call comes back by itself.
func (s *Shedder) room(r *request) bool {
	extra := 0.0
	if r.state == held {
		extra = r.QueuedKB * (s.set.RunFactor - 1)
		if float64(s.begun()+1) > s.crowd() {
			return false
		}
	}
	return s.memory+s.keys.kb+extra <= margin*s.set.MemoryKB && float64(s.onCores()) < s.runCap() &&
		(s.pools == nil || s.pools.HasCapacity(s.now, r.class.Name))
}

// runCap is the number of runs that keeps every core busy: the cores, more where runs wait for disk, fewer
// while reading crowds the cores. What lies unread can't be chosen from and grows old, and all that is on the
// cores slows all of it down.
func (s *Shedder) runCap() float64 {
	return min(float64(s.set.Cores)/max(fewestRuns, s.coreShare.Value()), s.crowd())
}

// lastMoment is when the request must have been answered.
func (s *Shedder) lastMoment(r *request) time.Duration {
	last := r.due - 2*tickEvery
	if s.stopAt != 0 {
		last = min(last, s.stopAt-4*tickEvery)
	}
	return last
}

// enforceDue answers what its due time, or the end of the process, catches up with: rule one and rule three.
func (s *Shedder) enforceDue() {
	for _, r := range slices.Clone(s.requests) {
		if r.answered || s.now < s.lastMoment(r) {
			continue
		}
		r.timedOut = true
		if r.state == held && !r.ran {
			s.refuse(r, byForecast)
		} else {
			s.fail(r)
		}
	}
}

// keyKB is what remembering the request takes.
func (s *Shedder) keyKB(r *request) float64 {
	if r.class.Effect == Idempotent {
		return s.set.KeyKB
	}
	return 0
}

// keep remembers a keyed request from its reading on, so that its repeats are linked to it.
func (s *Shedder) keep(r *request) {
	c := r.class
	switch {
	case c.Effect == Idempotent:
		s.host.RememberKey(r.ID, c.IdempotencyWindow)
		s.keys.add(r.ID, s.now+c.IdempotencyWindow+tickEvery, s.set.KeyKB)
	case c.Effect == Safe && s.set.FreshFor > 0 && r.Key != "" && r.DuplicateOf == "" &&
		s.memory+s.keys.kb+s.set.KeyKB <= margin*margin*s.set.MemoryKB:
		s.host.RememberKey(r.ID, c.Objective+s.set.FreshFor)
		s.keys.add(r.ID, s.now+c.Objective+s.set.FreshFor+tickEvery, s.set.KeyKB)
	}
}

// forget frees the key of a request that has not run.
func (s *Shedder) forget(r *request) {
	if s.keys.has(r.ID) {
		s.keys.remove(r.ID)
		s.host.ForgetKey(r.ID)
	}
}

// ---- Records, and the choke points of the rules ----

func (s *Shedder) record(q Request, c *class) *request {
	s.seq++
	s.read++
	r := &request{Request: q, seq: s.seq, class: c, arrived: s.now, since: s.now, share: 1, backoff: firstRetry}
	r.reached = s.now - q.Unread
	r.due = r.reached + c.Deadline
	if q.Deadline > 0 {
		r.due = q.Deadline
	}
	r.size = q.ExpectedWork.Seconds()
	if r.size <= 0 {
		r.size = max(c.meanWork, 0.001)
	}
	if t := s.tenants[q.Tenant]; t != nil && s.set.Tier == 0 && !t.Take(s.now) {
		r.share = s.set.OverQuotaWeight
	}
	stretch := seconds(c.ObjectiveStretch * r.size)
	r.aim = r.reached + min(c.Objective+stretch, c.Deadline)/time.Duration(1+s.set.Tier)
	if q.Deadline == 0 {
		r.aim = min(r.aim, r.reached+time.Duration(s.patience.Value()*float64(c.Deadline)))
	}
	c.asked += r.size
	s.requests = append(s.requests, r)
	s.byID[r.ID] = r
	s.inState[held]++
	s.memory += s.kb(r)
	s.tell(r)
	return r
}

// learnPatience notes how long a caller waited for a try it gave up. Callers may give a try up long before
// the client does and then try elsewhere; what can't be answered by then is work for nobody. One figure for
// all: of hundreds of callers each is seen too seldom. Notices come late and tell nothing of clients that
// gave up early, so it can be too long, or short for further tries. It counts only where a request does not
// tell how long its caller waits: broken connections and copies taken back teach a patience that nobody has.
func (s *Shedder) learnPatience(r *request) {
	s.patience.Add(min(1, float64(s.now-r.reached)/float64(r.class.Deadline)), callMemory)
}

// burst is the number of requests that a tenant may send at once within its share: a second's worth.
func burst(rate float64) float64 { return max(2, rate) }

// seconds turns a number of seconds into a Duration.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// move changes the state of a request: the one place that accounts memory and the crowd.
func (s *Shedder) move(r *request, to state) {
	if r.state == running || r.state == stopping {
		r.used = s.had(r)
	}
	if r.state == calling {
		r.away += s.now - r.since
		spent := s.now - r.since
		if to != running { // it may have been given up, and linger
			spent += s.set.CallLinger
		}
		s.callLog = append(s.callLog, callSpan{s.now, spent})
	}
	s.memory -= s.kb(r)
	s.inState[r.state]--
	r.state, r.since, r.clockAt = to, s.now, s.coreClock
	s.inState[r.state]++
	s.memory += s.kb(r)
	s.tell(r)
}

// start is the one place that starts work: a request that may run, once for those with an effect.
func (s *Shedder) start(r *request) {
	if r.state == held && (r.ran && r.class.Effect != Safe || !s.mayRun(r)) || !s.room(r) {
		return
	}
	r.ran = true
	if r.class.Effect == NonIdempotent {
		s.keys.add(r.ID, s.now+r.class.Deadline, 0)
	}
	s.move(r, running)
	s.host.Run(r.ID)
}

// refuse answers a request that has never run. Callers are asked not to go elsewhere unless the trouble is
// this server's own, and then every second one too, so that no chain of tries grows with the fleet: each
// costs a reading, and all that refuse together would only pass their load around.
func (s *Shedder) refuse(r *request, by part) {
	if r.ran || r.answered {
		s.fail(r)
		return
	}
	s.lastRefusal, s.refusedOnce = s.now, true
	s.shed++
	s.refused[by]++
	r.answered = true
	s.forget(r)
	local := s.local()
	after := time.Duration(0)
	if s.set.RetryAfter {
		after = s.set.MaxRetryAfter / shortAway
		if local {
			after = s.set.MaxRetryAfter
		}
	}
	s.host.Reject(r.ID, after, !local || r.seq%goOn != 0)
	s.finish(r)
}

// fail answers a request without assurance and stops its work where that can be done.
func (s *Shedder) fail(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	if !r.ran {
		s.forget(r)
	}
	s.host.Fail(r.ID)
	switch r.state {
	case held, paused, joining:
		s.finish(r)
	case running:
		s.halt(r)
	}
}

// halt stops running work, where the host can.
func (s *Shedder) halt(r *request) {
	if s.set.Preemption != PreemptNone {
		s.move(r, stopping)
		s.host.Stop(r.ID)
	}
}

// join answers with the result of the request it repeats, which is held here or has been run.
func (s *Shedder) join(r *request) {
	r.ran = true // never to be refused: its twin may have run
	s.move(r, joining)
	s.host.Join(r.ID)
}

// finish forgets a request that is over.
func (s *Shedder) finish(r *request) {
	if r.state == held && !r.ran {
		s.forget(r) // vanished unrun
	}
	wasJoin := r.state == joining
	s.move(r, over)
	delete(s.byID, r.ID)
	s.requests = slices.DeleteFunc(s.requests, func(x *request) bool { return x == r })
	s.ended(r)
	if !r.done {
		s.doneWork += min(r.size, r.used.Seconds()/s.usualPace)
	} else if !wasJoin {
		s.doneWork += r.size
		r.class.away += (r.away.Seconds() - r.class.away) / 10
		if r.ExpectedWork <= 0 {
			r.class.meanWork += (r.used.Seconds() - r.class.meanWork) / 10
		} else {
			r.class.meanWork += (r.size - r.class.meanWork) / 10
		}
	}
}

// ---- The hold ----

// pace is the time on the cores that a second of expected work takes. Time counts as it passes and work as it
// ends, so a server gone slow or hung shows before anything ends.
func (s *Shedder) pace() float64 { return s.doneTime / s.doneWork }

// local reports whether the trouble is this server's own, so that others may do better.
func (s *Shedder) local() bool {
	return s.stopAt != 0 || s.speed() < 1 || s.pace() > slowPace*s.usualPace
}

// left is the expected time on the cores that a request still needs.
func (s *Shedder) left(r *request, pace float64) float64 {
	whole := r.size * pace
	return max(whole-s.had(r).Seconds(), whole/4)
}

// weigh finds what a unit of work of each class adds to the goal: its worth, and for the worst-served class
// the weight that the goal gives to that one. What was asked and served fades.
func (s *Shedder) weigh() {
	total, worst, near := 0.0, 1.0, 0.0
	for _, c := range s.classes {
		c.asked, c.served = c.asked*fairMemory, c.served*fairMemory
		total += c.Weight * c.asked
		worst = min(worst, c.share())
	}
	for _, c := range s.classes {
		near += math.Exp((worst - c.share()) / nearWorst)
	}
	for _, c := range s.classes {
		c.weight = (1 - s.set.ClassMix) * c.Weight
		if c.asked > 0 {
			c.weight += s.set.ClassMix * total / c.asked * math.Exp((worst-c.share())/nearWorst) / near
		}
	}
}

// ranked returns the unanswered requests in one of the states, the best first: worth still obtainable for
// the work, then the nearest aim.
func (s *Shedder) ranked(states ...state) []*request {
	var list []*request
	density := map[*request]float64{}
	for _, r := range s.requests {
		if r.answered || !slices.Contains(states, r.state) {
			continue
		}
		list = append(list, r)
		density[r] = r.class.weight * r.share
		if s.now > r.aim {
			density[r] *= r.class.LateWeight
		}
		if !s.set.WeightByWork {
			density[r] /= r.size
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(density[b], density[a]), cmp.Compare(a.aim, b.aim), a.seq-b.seq)
	})
	return list
}

// thin pauses the least worth of what runs while more is on the cores than keeps them busy: calls that end
// together bring their requests back at once, and past some number throughput falls steeply.
func (s *Shedder) thin() {
	surplus := s.inState[running] - int(math.Ceil(crowdSlack*s.runCap()))
	if s.set.Preemption != PreemptPause || surplus <= 0 {
		return
	}
	list := s.ranked(running)
	for _, r := range list[max(0, len(list)-surplus):] {
		s.halt(r)
	}
}

// plan refuses what can't make its aim behind what goes before it, and starts what there is room for.
func (s *Shedder) plan() {
	pace := s.pace()
	ahead, inHand, last := map[string]float64{}, map[string]float64{}, map[string]int{} // of each line
	for _, r := range s.requests {
		inHand[s.line(r)]++
		switch r.state {
		case running, stopping, blocked, calling:
			ahead[s.line(r)] += s.left(r, pace)
		}
	}
	s.thin()
	list := s.ranked(held, paused)
	for i, r := range list {
		last[s.line(r)] = i
	}
	for i, r := range list {
		line, slots := s.line(r), s.slots(r)
		if s.room(r) {
			s.start(r)
			if r.state == running {
				ahead[line] += s.left(r, pace)
				continue
			}
		}
		need := s.left(r, pace)
		stay := ahead[line]/slots + need/min(1, slots) + max(0, r.class.away-r.away.Seconds())
		finish := s.now + seconds(stay)
		crowded := i == last[line] && inHand[line] > s.crowd()*min(1, slots/s.runCap())
		part := byForecast
		if crowded {
			part = byGuard
		}
		end := min(r.aim, s.lastMoment(r))
		if line != "" && r.arrived == s.now { // a line moves on unevenly: who would be told later is told now
			end -= time.Duration(early * float64(end-s.now))
		}
		if r.state == held && !r.ran && (crowded || finish > end) {
			inHand[line]--
			s.refuse(r, part)
			continue
		}
		ahead[line] += need
	}
}

// ---- Calls ----

// paceCalls moves the number of calls out at once by what they take, as TCP does its window: a crowded
// dependency does less in all, so fewer calls end sooner and no fewer of them. Whatever makes calls slow
// is met the same way; where their number is not the reason, throughput falls to the fewest calls.
func (s *Shedder) paceCalls(spent float64) {
	if s.callTime == 0 {
		s.callTime, s.callBase, s.callLimit = spent, spent, float64(s.set.Cores)
	}
	s.callTime = s.callTime*callMemory + spent*(1-callMemory)
	s.callBase = min(s.callTime, s.callBase+(s.callTime-s.callBase)*baseRise)
	if s.callTime > crowded*s.callBase {
		s.callLimit = max(leastShare*s.set.CallQuota, s.callLimit*fewer)
	} else {
		s.callLimit = min(float64(s.set.Cores), s.callLimit+more)
	}
	s.nextCall = s.now + seconds(spent*max(0, 1/s.callLimit-1))
}

// throttle moves the number of calls to a tier below that may be out at once: fewer as it turns calls away,
// at most once for each time that a call typically takes, and more as they go well. What waits is called in
// the order of need, which the tier below, or whoever stands before it, does not know.
func (s *Shedder) throttle(o Outcome) {
	switch {
	case o == OK:
		s.callRoom = min(mostCalls*float64(s.set.Cores), s.callRoom+more)
	case o == Overloaded && s.now >= s.throttled:
		s.callRoom = max(1, s.callRoom*fewer)
		s.throttled = s.now + seconds(s.callTime)
	}
}

// booked is the time in the dependency's hands of the calls in its window, with those out to their last.
func (s *Shedder) booked() time.Duration {
	s.callLog = slices.DeleteFunc(s.callLog, func(c callSpan) bool { return c.ended+s.set.CallWindow < s.now })
	sum := time.Duration(0)
	for _, c := range s.callLog {
		sum += c.spent
	}
	for _, r := range s.requests {
		if r.state == calling {
			sum += r.callTill - r.since + s.set.CallLinger
		}
	}
	return sum
}

// bookable returns the patience that the share of calls in hand allows, 0 for none: rule four for what lies
// below, kept even if every call takes its whole patience.
func (s *Shedder) bookable(want time.Duration) time.Duration {
	if s.set.Dependency != DependencyShared {
		if float64(s.inState[calling]+1) > s.callRoom {
			return 0
		}
		return want
	}
	if s.callTime > 0 && (s.inState[calling] >= int(math.Ceil(s.callLimit)) || s.now < s.nextCall) {
		return 0
	}
	whole := time.Duration(margin * s.set.CallQuota * float64(s.set.CallWindow))
	return min(want, whole-s.booked()-s.set.CallLinger)
}

// settleCalls decides for every request that stands at a call: make it, go without, or wait.
func (s *Shedder) settleCalls() {
	var list []*request
	for _, r := range s.requests {
		if r.state == blocked && !r.answered {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.need(), a.need()), cmp.Compare(a.aim, b.aim))
	})
	for _, r := range list {
		canSkip := r.class.DegradedWeight > 0
		last := s.lastMoment(r)
		if r.class.LateWeight == 0 && s.set.Dependency == DependencyTier {
			last = min(last, r.aim) // from then on its call is work for nothing, here and below
		}
		if canSkip {
			tail := seconds(r.size * s.pace() / 2)
			last = min(last, r.aim-tail)
		}
		left := last - s.now
		typical := seconds(s.callTime)
		switch {
		case r.callAt == math.MaxInt64 || left <= 0 || canSkip && (s.tooLate(r, left) || r.backoff > firstRetry) ||
			s.set.Dependency == DependencyNone:
			s.skipOrFail(r, canSkip)
		case s.now >= r.callAt:
			if patience := s.bookable(left); patience >= min(typical, left) && patience > 0 {
				r.callTill = s.now + patience
				s.move(r, calling)
				s.host.Call(r.ID, patience)
			}
		}
	}
}

// tooLate reports whether leaving a call out earns more than making it: it ends within the time left with the
// chance 1-exp(-left/typical), against the share of the worth that is sure.
func (s *Shedder) tooLate(r *request, left time.Duration) bool {
	return left.Seconds() < -s.callTime*math.Log1p(-min(1, r.class.DegradedWeight))
}

// need is what a unit of the request's work loses without its call.
func (r *request) need() float64 { return r.class.Weight * r.share * (1 - r.class.DegradedWeight) }

func (s *Shedder) skipOrFail(r *request, canSkip bool) {
	if !canSkip {
		s.fail(r)
		return
	}
	s.move(r, running)
	s.host.SkipCall(r.ID)
}
