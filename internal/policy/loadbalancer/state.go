package loadbalancer

import (
	"cmp"
	"slices"
	"time"
)

// Counts are what a balancer has decided since the start.
type Counts struct {
	Ejected      uint64 // ejections of servers
	Panicked     uint64 // choices that ignored health
	Retried      uint64 // retries that were allowed
	RetriesSpent uint64 // and those that the budget did not pay for
	Hedged       uint64 // hedged requests that were allowed
	HedgesSpent  uint64 // and those that the budget did not pay for
	ColdBack     uint64 // restarts of servers that may have forgotten keys
}

// Counts returns what was decided since the start.
func (b *Balancer) Counts() Counts { return b.counts }

// ServerState is what is known of a server, for operators.
type ServerState struct {
	Name         string
	Health       Health
	Circuit      Circuit
	InFlight     int
	Latency      time.Duration
	FailureRatio float64
	WarmupRatio  float64 // the ratio of its share that it gets
	LostKeys     bool    // requests with a key that it ran before its restart are forgotten, and may be repeated
	Boot         int64   // Unix milliseconds, 0 for not told
}

// States returns all servers by name.
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
