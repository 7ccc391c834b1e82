package loadbalancer

import (
	"slices"
	"time"
)

// Failure detection. Inputs: any answers of a server, and failed health checks or connections. After suspectAfter consecutive failures a
// server is suspect and gets attempts only if no better server is available. After deadAfter it is dead: it gets none, and requests that
// are sticky to it fail. One answer makes it alive again, unless it flaps: if a server's health changed more than maxFlaps times within
// flapWindow, answers count again only after holdDown.
const (
	suspectAfter = 1 // consecutive failures; one proves little, but a better server is usually available
	deadAfter    = 3 // consecutive failures; a restart or a busy network causes one or two

	flapWindow = time.Minute      // period over which health changes are counted; it covers several restarts
	maxFlaps   = 4                // health changes; a restart causes two or three
	holdDown   = 10 * time.Second // longer than a restart, so that a server that crashes at start gets no requests
)

// Health is a server's state according to failure detection. The names are those of SWIM (Das, Gupta and Motivala, 2002).
type Health int

// The states of a server's health.
const (
	Unknown Health = iota // no answer and no failure yet
	Alive                 // the server answers
	Suspect               // a check or connection failed: the server gets attempts only if no better one is available
	Dead                  // the server is unreachable
)

// String returns the state's name in the log and in a router's status.
func (h Health) String() string { return [...]string{"unknown", "alive", "suspect", "dead"}[h] }

// Incarnation identifies the process that gave an answer. All times are Unix milliseconds.
type Incarnation struct {
	Boot     int64 // start of the process, as it reports it; 0 if it reports none
	RanUntil int64 // latest time at which an earlier process of the server may have run a request; 0 if the server cannot tell
	Joined   int64 // when the server was added to the cell map
	Now      int64 // current time by the router's wall clock
}

// Answered records that a server answered a health check or a request. It makes the server alive, unless the server flaps, and detects
// restarts (homes.go).
func (b *Balancer) Answered(now time.Duration, name string, in Incarnation) {
	s := b.servers[name]
	if s == nil {
		return
	}
	b.detectRestart(now, s, in)
	s.failuresInRow = 0
	if s.health != Alive && now >= s.holdDownUntil {
		s.setHealth(now, Alive)
	}
}

// Unreachable records a failed health check or connection.
func (b *Balancer) Unreachable(now time.Duration, name string) {
	s := b.servers[name]
	if s == nil {
		return
	}
	s.failuresInRow++
	switch {
	case s.failuresInRow >= deadAfter && s.health != Dead:
		s.setHealth(now, Dead)
	case s.failuresInRow >= suspectAfter && (s.health == Alive || s.health == Unknown):
		s.setHealth(now, Suspect)
	}
}

func (s *server) setHealth(now time.Duration, h Health) {
	s.health = h
	s.healthChanges = append(slices.DeleteFunc(s.healthChanges, func(at time.Duration) bool { return now-at > flapWindow }), now)
	if len(s.healthChanges) > maxFlaps {
		s.holdDownUntil = now + holdDown
	}
	if h == Alive {
		s.upSince = now
	}
}
