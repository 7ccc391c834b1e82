package silverpath

import (
	"time"

	"silverpath/internal/policy/window"
)

// This file holds what is kept of the server, its classes, requests and keys. What is done with it, and every
// value that is tuned, is in shedder.go.

// Shedder decides for one server. It is single-threaded: a host must not call it from two goroutines at
// once, nor from within an action.
type Shedder struct {
	set     Settings
	host    Host
	pools   Pools // nil: none
	now     time.Duration
	started time.Duration // and, where it is cold, warmed up from then on
	// learnFrom is when the usual pace began to be learned.
	learnFrom time.Duration
	classes   []*class
	byName    map[string]*class
	tenants   map[string]*window.TokenBucket

	requests []*request // in order of arrival
	byID     map[string]*request
	patience window.Average // share of the deadline after which callers give a try up
	seq      int
	keys     keyTable

	cpu         window.Average
	nextSample  time.Duration
	lastRefusal time.Duration
	refusedOnce bool

	coreClock           time.Duration
	memory              float64 // kilobytes of the requests in hand
	inState             [over + 1]int
	coreShare           window.Average // what wants a core for each run
	coreTime            float64        // seconds on the cores of all runs since the last sample
	doneTime            float64        // seconds on the cores of the runs that ended of late
	doneWork            float64        // and their expected work
	usualPace           float64
	callTime            float64       // seconds, typical of late
	callBase            float64       // the lowest that it has been, slowly forgotten
	callLimit           float64       // calls out at once; under 1, calls keep a distance
	nextCall            time.Duration // none before then
	callRoom            float64       // calls to a tier below out at once
	throttled           time.Duration // callRoom falls no further before then
	callLog             []callSpan
	readRate            window.Average
	idleAfter           time.Duration // connections idle for longer are closed; 0: the longest
	refused             [parts]int    // since the overload began, by part
	overload, slowCalls bool          // as last logged
	slowSince           time.Duration // when the calls were last seen as logged
	read, shed          float64       // requests read and refused since the last sample
	pressure            float64       // from 0 to 1, what callers are told of it
	drainingAt          time.Duration
	stopAt              time.Duration // 0 until told to leave
}

// part is what refused a request.
type part int

const (
	byFlight   part = iota // the ordinary path
	byGuard                // memory, keys, drain, the crowd in hand
	byForecast             // it can't make its aim
	parts
)

// callSpan is the time a finished call spent in the dependency's hands, with what it may linger there.
type callSpan struct{ ended, spent time.Duration }

type state uint8

const (
	held     state = iota
	running        // on the cores, or waiting for disk
	stopping       // running, told to stop
	paused
	blocked // stands at a call
	calling // its call is out
	joining // waits for the request it repeats
	over
)

// class is a class with what was seen of it, which a class of other settings under the same name shares.
type class struct {
	Class
	*seen
}

type seen struct {
	times         *window.Rolling // of its ends
	flying        int
	avgFlying     window.Average
	meanWork      float64 // seconds, of its requests so far
	asked, served float64 // work of late
	weight        float64 // of a unit of its work in the goal
	away          float64 // seconds that calls of its requests are out, typically
}

// request is the record of one request.
type request struct {
	Request
	seq              int
	class            *class
	state            state
	answered, ran    bool
	taken            bool // in flight for the ordinary path
	timedOut, done   bool // its time ran out; its run came to its end
	arrived          time.Duration
	reached          time.Duration
	aim, due         time.Duration
	share            float64       // of its class's worth: less beyond the tenant's share
	size             float64       // expected work, in seconds on a standard core
	used, away       time.Duration // time on the cores and at calls so far
	since            time.Duration // in this state
	clockAt          time.Duration // clock of the cores then
	callTill, callAt time.Duration // when an outstanding call is given up; when the next may be made
	backoff          time.Duration
}

// kb is the memory that a request takes in its state.
func (s *Shedder) kb(r *request) float64 {
	switch r.state {
	case held, joining:
		return r.QueuedKB
	case over:
		return 0
	}
	return r.QueuedKB * s.set.RunFactor
}

// had is the time on the cores that a request has had.
func (s *Shedder) had(r *request) time.Duration {
	if r.state == running || r.state == stopping {
		return r.used + s.coreClock - r.clockAt
	}
	return r.used
}

// share is the share of its work asked for that was served in time.
func (c *class) share() float64 {
	if c.asked == 0 {
		return 1
	}
	return c.served / c.asked
}

// places are the states as pools are told of them.
var places = [over + 1]Place{
	held: PlaceWaiting, running: PlaceOnCores, stopping: PlaceOnCores, paused: PlaceAway, blocked: PlaceAway,
	calling: PlaceAway, joining: PlaceAway, over: PlaceOver,
}

// tell tells the pools where a request is.
func (s *Shedder) tell(r *request) {
	if s.pools != nil {
		s.pools.Moved(s.now, r.ID, r.class.Name, places[r.state])
	}
}

// line is the line in which a request waits: with pools each has its own.
func (s *Shedder) line(r *request) string {
	if s.pools == nil {
		return ""
	}
	return s.pools.Queue(r.class.Name)
}

// slots is the number of runs at once that a request's line has.
func (s *Shedder) slots(r *request) float64 {
	if s.pools == nil {
		return s.runCap()
	}
	return s.pools.Concurrency(r.class.Name)
}

// onCores is the number of runs on the cores, or waiting for disk.
func (s *Shedder) onCores() int { return s.inState[running] + s.inState[stopping] }

// begun is the number of all runs that have not ended.
func (s *Shedder) begun() int {
	return s.onCores() + s.inState[paused] + s.inState[blocked] + s.inState[calling]
}

// keyTable remembers requests whose effect must not be repeated, each until a time.
type keyTable struct {
	entries []keyEntry
	known   map[string]bool
	kb      float64 // memory of all entries
}

type keyEntry struct {
	id    string
	until time.Duration
	kb    float64
}

func newKeyTable() keyTable { return keyTable{known: map[string]bool{}} }

func (t *keyTable) has(id string) bool { return t.known[id] }

func (t *keyTable) add(id string, until time.Duration, kb float64) {
	if !t.known[id] {
		t.known[id] = true
		t.entries = append(t.entries, keyEntry{id, until, kb})
		t.kb += kb
	}
}

func (t *keyTable) remove(id string) {
	t.drop(func(e keyEntry) bool { return e.id == id })
}

func (t *keyTable) expire(now time.Duration) {
	t.drop(func(e keyEntry) bool { return e.until < now })
}

func (t *keyTable) drop(out func(keyEntry) bool) {
	kept := t.entries[:0]
	for _, e := range t.entries {
		if out(e) {
			delete(t.known, e.id)
			t.kb -= e.kb
		} else {
			kept = append(kept, e)
		}
	}
	t.entries = kept
}
