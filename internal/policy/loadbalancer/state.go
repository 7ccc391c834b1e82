package loadbalancer

import (
	"cmp"
	"slices"
	"time"
)

// Counts counts the decisions of a Balancer since its start.
type Counts struct {
	Ejected         uint64 // ejections of servers
	Panicked        uint64 // choices that ignored health, below PanicThreshold
	Retried         uint64 // allowed retries
	RetriesDenied   uint64 // retries denied because the budget was spent
	Hedged          uint64 // allowed hedged requests
	HedgesDenied    uint64 // hedged requests denied because the budget was spent
	LostKeyRestarts uint64 // server restarts that may have lost idempotency keys
}

// Counts returns the decision counters since the start.
func (b *Balancer) Counts() Counts { return b.counts }

// ServerState is the state of a server as shown to operators.
type ServerState struct {
	Name         string
	Health       Health
	Circuit      Circuit
	InFlight     int
	Latency      time.Duration
	FailureRatio float64
	WarmupRatio  float64 // ratio of its share that it gets in its slow start
	LostKeys     bool    // its record of requests with a key was lost in a restart, and repeats of them may still arrive
	Boot         int64   // start of the process in Unix milliseconds, 0 if unknown
}

// States returns the states of all servers, sorted by name.
func (b *Balancer) States(now time.Duration) []ServerState {
	var list []ServerState
	for _, s := range b.servers {
		list = append(list, ServerState{
			Name: s.name, Health: s.health, Circuit: s.circuit, InFlight: s.inFlight, FailureRatio: s.failureRatio, WarmupRatio: b.warmupRatio(now, s),
			Latency: time.Duration(s.latency * float64(time.Second)), Boot: s.boot, LostKeys: b.hasLostKeys(now, s),
		})
	}
	slices.SortFunc(list, func(a, b ServerState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
