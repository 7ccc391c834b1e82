// Package slowstart decides how many requests each of several callers may have out at a server that is cold, so that all of them
// together stay within what it can take. It decides only: no clock, no lock, no I/O. docs/design/crossings.md has the reasons.
//
// The server shares out, as it alone hears of all who send to it; a caller holds what it was told for a term and nothing
// beyond it. So the sum holds whoever joins, leaves, hears late or hears nothing; what is left to chance are requests that go
// out between a caller's word and the answer to it.
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
	margin = 0.9 // share of a told limit that is used, as in the module
	// mostCallers bounds the callers that are known at once: whoever comes beyond gets no part.
	mostCallers = 1024
	// turns is how many terms a caller keeps its place among those who get what does not divide by all.
	turns = 2
)

// Whole is the number of requests that a server takes at once, so long after its start, and whether it is cold. It is what
// the module survives on the cores then.
func Whole(set silverpath.Settings, up time.Duration) (whole float64, cold bool) {
	if !set.Cold || up >= set.WarmupTime {
		return 0, false
	}
	speed := set.ColdSpeed + (1-set.ColdSpeed)*max(0, up.Seconds())/set.WarmupTime.Seconds()
	return margin * float64(set.Cores) * (1 + (set.MaxRunsPerCore-1)*speed), true
}

// Server shares out what a server takes.
type Server struct {
	assumed int           // callers, until all had the time to be heard
	began   time.Duration // when it could be heard of first
	seed    maphash.Seed
	callers map[string]*caller
}

type caller struct {
	part   int
	until  time.Duration // it may go by the part until then
	flying int           // that it had out as it spoke last
}

// NewServer returns the shares of a server that started at the given time. Assumed is the number of callers that it is taken
// to have until each had a term to be heard of: nothing but the settings tells it sooner.
func NewServer(now time.Duration, assumed int) *Server {
	return &Server{assumed: max(1, assumed), began: now, seed: maphash.MakeSeed(), callers: map[string]*caller{}}
}

// Part is what a caller that speaks now, and has so many requests out here, may have out for a term from its speaking on.
func (s *Server) Part(now time.Duration, who string, flying int, whole float64, term time.Duration) int {
	c := s.callers[who]
	if c == nil {
		c = &caller{}
	}
	c.flying = max(0, flying)
	held, names := 0, []string{who}
	for name, o := range s.callers {
		if o == c {
			continue
		}
		if now >= o.until {
			delete(s.callers, name) // its part is over, and it said nothing since: what it may still have out is left to chance
			continue
		}
		names = append(names, name)
		held += max(o.part, o.flying)
	}
	if len(s.callers) >= mostCallers && s.callers[who] == nil {
		return 0
	}
	s.callers[who] = c
	n := len(names)
	if now-s.began < term {
		n = max(n, s.assumed)
	}
	all := int(math.Floor(whole))
	part, rest := all/n, all%n
	if s.rank(names, who, now/(turns*term)) < rest {
		part++
	}
	c.part, c.until = max(0, min(part, all-held)), now+term
	return c.part
}

// rank is a caller's place among all, another one at each turn.
func (s *Server) rank(names []string, who string, turn time.Duration) int {
	place := func(name string) uint64 { return maphash.String(s.seed, name) ^ uint64(turn)*0x9e3779b97f4a7c15 }
	slices.SortFunc(names, func(a, b string) int {
		switch x, y := place(a), place(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(a, b)
	})
	return slices.Index(names, who)
}

// Caller is what a caller knows of a server's slow start. The zero value is of a server that is warm.
type Caller struct {
	cold  bool
	part  int
	until time.Duration
}

// Starts is told that the server has started anew: until it says what it takes, nothing is claimed of it.
func (c *Caller) Starts() { *c = Caller{cold: true} }

// Told is told the part that the server gave, for a term from the asking on.
func (c *Caller) Told(asked time.Duration, part int, term time.Duration) {
	*c = Caller{cold: true, part: part, until: asked + term}
}

// Warm is told that the server has said nothing of a slow start.
func (c *Caller) Warm() { *c = Caller{} }

// Room reports whether one more request may go out, first tries, retries and second copies alike, beside those that are.
func (c *Caller) Room(now time.Duration, flying int) bool {
	return !c.cold || now < c.until && flying < c.part
}

// Cold reports whether the server is taken to be in its slow start.
func (c *Caller) Cold() bool { return c.cold }
