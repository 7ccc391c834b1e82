// Package slowstart decides how many requests each caller may have in flight to a server that is warming up, so that the sum over all
// callers stays within the server's capacity. It has no clock, no lock and no I/O. docs/design/crossings.md has the reasons.
//
// The server grants the requests, because only it receives messages from all callers. A caller uses its grant for a term and sends
// nothing beyond it. The sum therefore stays within the capacity when callers join or leave, or receive their grants late or never. It
// can be exceeded only by requests that a caller sends between its health check and the answer to it.
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
	// safetyMargin is the ratio of the capacity that is granted, as in the module: queues begin in the last tenth.
	safetyMargin = 0.9
	// maxCallers bounds the stored callers, which cost about 100 bytes each. Further callers are granted nothing.
	maxCallers = 1024
	// rotationTerms is the number of terms after which the remainder of the division among callers rotates to other callers. With two, a
	// caller keeps an extra request for at least one whole term before another caller gets it.
	rotationTerms = 2
)

// Capacity returns the number of concurrent requests that a server accepts at a given uptime, and whether it is warming up. The number
// follows from the speed of the cores, which rises linearly from Settings.ColdSpeed to 1 over Settings.WarmupTime, and from the runs per
// core that the module sustains at that speed.
func Capacity(settings silverpath.Settings, uptime time.Duration) (requests float64, warming bool) {
	if !settings.Cold || uptime >= settings.WarmupTime {
		return 0, false
	}
	speed := settings.ColdSpeed + (1-settings.ColdSpeed)*max(0, uptime.Seconds())/settings.WarmupTime.Seconds()
	return safetyMargin * float64(settings.Cores) * (1 + (settings.MaxRunsPerCore-1)*speed), true
}

// Server divides a server's capacity among its callers. All times are those of the server's monotonic clock.
type Server struct {
	assumedCallers int           // minimum number of callers during the first term
	listeningSince time.Duration // since then callers can reach the server
	seed           maphash.Seed
	callers        map[string]*grant
}

// grant is the grant of one caller.
type grant struct {
	requests int
	until    time.Duration // end of the term
	inFlight int           // as reported by the caller's latest health check
}

// NewServer returns a Server without grants. Now is the time at which the server started. Assumed is the number of callers, from the
// settings, that the server assumes during its first term, before every caller has sent a health check.
func NewServer(now time.Duration, assumed int) *Server {
	return &Server{assumedCallers: max(1, assumed), listeningSince: now, seed: maphash.MakeSeed(), callers: map[string]*grant{}}
}

// Grant returns the number of requests that a caller may have in flight for a term from now on. It is called with each health check of a
// router. InFlight is the number of requests that the caller has in flight to this server; capacity is the result of Capacity.
//
// Until their terms are over, the other callers count with the larger of their grant and their requests in flight. A caller whose grant
// shrinks while its requests still run is therefore not counted too low.
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
			delete(s.callers, name) // its term is over; requests that it still has in flight are not counted
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

// rank returns a caller's position among all callers. The order changes with each rotation.
func (s *Server) rank(names []string, caller string, rotation time.Duration) int {
	// The multiplier is 2^64 divided by the golden ratio, as in Fibonacci hashing: it gives successive rotations dissimilar orders.
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

// Caller is a caller's state of one server's slow start. The zero value is that of a warm server. All times are those of the caller's
// monotonic clock.
type Caller struct {
	warming  bool
	requests int
	until    time.Duration
}

// Restarted records that the server has restarted. HasCapacity then returns false until the server grants requests.
func (c *Caller) Restarted() { *c = Caller{warming: true} }

// Granted records the number of requests that the server granted, for a term that begins when the caller sent its health check.
func (c *Caller) Granted(requestedAt time.Duration, requests int, term time.Duration) {
	*c = Caller{warming: true, requests: requests, until: requestedAt + term}
}

// WarmedUp records that an answer of the server had no slow-start grant.
func (c *Caller) WarmedUp() { *c = Caller{} }

// HasCapacity reports whether one more request may be sent besides those in flight. First attempts, retries and hedged requests count
// alike.
func (c *Caller) HasCapacity(now time.Duration, inFlight int) bool {
	return !c.warming || now < c.until && inFlight < c.requests
}

// Warming reports whether the caller assumes that the server is in its slow start.
func (c *Caller) Warming() bool { return c.warming }
