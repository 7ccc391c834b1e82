// Package slowstart decides how many requests each of several callers may have in flight to a server that is warming up, so that all
// of them together stay within what it can take. It decides only: no clock, no lock, no I/O. docs/design/crossings.md has the reasons.
//
// The server grants, as it alone hears of all who send to it; a caller uses what it was granted for a term and nothing beyond it. So
// the sum holds whoever joins, leaves, hears late or hears nothing; what is left to chance are requests that go out between a caller's
// health check and the answer to it.
package slowstart

import (
	"hash/maphash"
	"math"
	"slices"
	"strings"
	"time"

	"silverpath"
)

const (
	// safetyMargin is the share of a told limit that is used, as in the module: the last tenth is where queues begin.
	safetyMargin = 0.9
	// maxCallers bounds the callers that are known at once, some 100 bytes each; whoever comes beyond is granted nothing.
	maxCallers = 1024
	// rotationTerms is how many terms a caller keeps its place among those who get what does not divide by all: two, so that it has the
	// request that it was granted for a whole term before another caller has it.
	rotationTerms = 2
)

// Capacity is the number of requests that a server takes at once, so long after its start, and whether it is warming up. It is what
// the module survives on the cores then: their speed rises evenly from Settings.ColdSpeed to 1 over Settings.WarmupTime.
func Capacity(settings silverpath.Settings, uptime time.Duration) (requests float64, warming bool) {
	if !settings.Cold || uptime >= settings.WarmupTime {
		return 0, false
	}
	speed := settings.ColdSpeed + (1-settings.ColdSpeed)*max(0, uptime.Seconds())/settings.WarmupTime.Seconds()
	return safetyMargin * float64(settings.Cores) * (1 + (settings.MaxRunsPerCore-1)*speed), true
}

// Server grants what a server takes to its callers. All times are the server's monotonic clock.
type Server struct {
	assumedCallers int           // until all had the time to be heard
	listeningSince time.Duration // callers could first be heard then
	seed           maphash.Seed
	callers        map[string]*grant
}

// grant is what a caller was granted.
type grant struct {
	requests int
	until    time.Duration // it may go by them until then
	inFlight int           // that it had as it spoke last
}

// NewServer returns the grants of a server that started at the given time. Assumed is the number of callers that it is taken to have
// until each had a term to be heard: nothing but the settings tells it sooner.
func NewServer(now time.Duration, assumed int) *Server {
	return &Server{assumedCallers: max(1, assumed), listeningSince: now, seed: maphash.MakeSeed(), callers: map[string]*grant{}}
}

// Grant is how many requests a caller that speaks now, and has so many in flight here, may have in flight for a term from its speaking
// on. Capacity is what the server takes, from the function of that name. It is called with each health check of a router.
//
// The others count with what they were granted or with what they have in flight, whichever is more, until their term is over: so a
// caller whose grant shrinks and whose requests still run is not counted too low.
func (s *Server) Grant(now time.Duration, caller string, inFlight int, capacity float64, term time.Duration) int {
	g := s.callers[caller]
	if g == nil {
		g = &grant{}
	}
	g.inFlight = max(0, inFlight)
	reservedByOthers, names := 0, []string{caller}
	for name, other := range s.callers {
		if other == g {
			continue
		}
		if now >= other.until {
			delete(s.callers, name) // it said nothing since: what it may still have in flight is left to chance
			continue
		}
		names = append(names, name)
		reservedByOthers += max(other.requests, other.inFlight)
	}
	if len(s.callers) >= maxCallers && s.callers[caller] == nil {
		return 0
	}
	s.callers[caller] = g
	callers := len(names)
	if now-s.listeningSince < term {
		callers = max(callers, s.assumedCallers)
	}
	total := int(math.Floor(capacity))
	share, remainder := total/callers, total%callers
	if s.rank(names, caller, now/(rotationTerms*term)) < remainder {
		share++
	}
	g.requests, g.until = max(0, min(share, total-reservedByOthers)), now+term
	return g.requests
}

// rank is a caller's place among all, another one at each turn.
func (s *Server) rank(names []string, caller string, rotation time.Duration) int {
	// The multiplier is 2^64 by the golden ratio, as in Fibonacci hashing: turns that follow each other give orders that are unlike.
	orderKey := func(name string) uint64 { return maphash.String(s.seed, name) ^ uint64(rotation)*0x9e3779b97f4a7c15 }
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := orderKey(a), orderKey(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return slices.Index(names, caller)
}

// Caller is what a caller knows of a server's slow start. The zero value is of a server that is warm. All times are the caller's
// monotonic clock.
type Caller struct {
	warming  bool
	requests int
	until    time.Duration
}

// Restarted records that the server has started anew: until it grants something, nothing is claimed of it.
func (c *Caller) Restarted() { *c = Caller{warming: true} }

// Granted records how many requests the server granted, for a term that begins as they were asked for.
func (c *Caller) Granted(requestedAt time.Duration, requests int, term time.Duration) {
	*c = Caller{warming: true, requests: requests, until: requestedAt + term}
}

// WarmedUp records that the server has said nothing of a slow start.
func (c *Caller) WarmedUp() { *c = Caller{} }

// HasCapacity reports whether one more request may go out beside those in flight: first attempts, retries and hedged requests alike.
func (c *Caller) HasCapacity(now time.Duration, inFlight int) bool {
	return !c.warming || now < c.until && inFlight < c.requests
}

// Warming reports whether the server is taken to be in its slow start.
func (c *Caller) Warming() bool { return c.warming }
