package loadbalancer

import (
	"slices"
	"time"
)

// Failure detection. Inputs: answers of a server, of whatever kind, and health checks or connections that failed. After
// suspectAfter failures in a row a server is suspect: it gets attempts only where nobody better is there. After deadAfter it is dead:
// it gets none, and requests that are sticky to it fail. One answer makes it alive again, unless it flaps: a server whose health
// changed more than maxFlaps times within flapWindow is held down, and has to answer after holdDown once more.
const (
	suspectAfter = 1 // failures in a row; one is no proof, but there is mostly a better server
	deadAfter    = 3 // failures in a row; one or two are lost to a restart or a busy network

	flapWindow = time.Minute      // in which changes of health are counted; several restarts fit in
	maxFlaps   = 4                // changes; a restart makes two or three of them
	holdDown   = 10 * time.Second // longer than a restart, so that one that crashes at start stays out
)

// Health is what is believed of a server. The names are those of SWIM (Das, Gupta and Motivala, 2002).
type Health int

// The states of a server's health.
const (
	Unknown Health = iota // nothing was heard of it yet
	Alive                 // it answers
	Suspect               // something failed: it gets attempts only where nobody better is there
	Dead                  // it can't be reached
)

// String is the health's name in the log and in the status of a router.
func (h Health) String() string { return [...]string{"unknown", "alive", "suspect", "dead"}[h] }

// Incarnation is what an answer says of the process that gave it. All times are Unix milliseconds.
type Incarnation struct {
	Boot     int64 // when it started, by its own word; 0: it does not say
	RanUntil int64 // until when, at the latest, an earlier process of it may have run anything; 0: it can't say
	Joined   int64 // when the server came to be in the cell map
	Now      int64 // the present, by the router's wall clock
}

// Answered records that a server answered a health check or a request. It makes the server alive, unless it flaps, and notices a
// restart: homes.go.
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

// Unreachable records that a health check failed, or that no connection was to be had.
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
