package recovery

import (
	"slices"
	"time"
)

// Prerequisite is one thing on which the return of service waits.
type Prerequisite uint8

// The prerequisites.
const (
	StoreRead         Prerequisite = iota // what the process stored itself has been read
	WorkerUp                              // that which does the work is up
	RulesConfirmed                        // the rules that it acts on are confirmed
	WindowOver                            // what may have run before, and is not known, can't come again
	HeartbeatsDurable                     // heartbeats are durable
	MapKnown                              // a router has a map to go by
	QuotasKnown                           // a router has its quotas of what all routers share
	prerequisites
)

// String names a prerequisite, in the words of the state and the log.
func (p Prerequisite) String() string {
	return [...]string{"disk", "worker", "rules", "window", "signs", "map", "shares"}[p]
}

// Work is a kind of what a process does for others.
type Work uint8

// The kinds of work.
const (
	Reads              Work = iota // what has no effect
	Replays                        // of what is known to have run
	IdempotentRequests             // requests with an effect
	FullCapacity                   // all of it, as much as the process ever takes
)

// String names a kind of work.
func (w Work) String() string { return [...]string{"reads", "repeats", "sheets", "width"}[w] }

// Role is what a process is.
type Role uint8

// The roles.
const (
	Server Role = iota
	Router
)

// requirements is what each kind of work needs. What a process has no use for (no store, no group) is met from the start.
var requirements = map[Role][]struct {
	work  Work
	needs []Prerequisite
}{
	Server: {{Reads, []Prerequisite{WorkerUp}}, {Replays, []Prerequisite{StoreRead}}, {IdempotentRequests, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}},
		{FullCapacity, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}}},
	Router: {{Reads, []Prerequisite{MapKnown}}, {Replays, []Prerequisite{MapKnown, RulesConfirmed}}, {IdempotentRequests, []Prerequisite{MapKnown, RulesConfirmed}}, {FullCapacity, []Prerequisite{MapKnown, RulesConfirmed, QuotasKnown}}},
}

// maxSteps is how many steps of a recovery are kept, the first ones: a process that goes back and forth fills no memory.
const maxSteps = 32

// State is how far a process has come. Each has all that the ones before it have.
type State uint8

// The states of a recovery.
const (
	Unavailable     State = iota // it answers only that it can't
	ReadsOnly                    // reads
	ReadsAndEffects              // reads, and sheets
	FullService                  // all
)

// String names a state, in the words of the state and the log.
func (s State) String() string { return [...]string{"dark", "reads", "sheets", "full"}[s] }

// Progress is the recovery of one process, from its start to full service. It is single-threaded; times are since the start.
type Progress struct {
	role      Role
	met       [prerequisites]bool
	since     [prerequisites]time.Duration // it is met, or waited for
	maxWait   [prerequisites]time.Duration // 0: as long as it takes
	startedAt time.Duration
	state     State
	reachedAt time.Duration // the state was reached
	steps     []Step
}

// Step is a state with when it was reached, from the start on.
type Step struct {
	State State
	After time.Duration
}

// NewProgress returns the recovery of a process that starts; uses are the prerequisites that it has.
func NewProgress(now time.Duration, role Role, uses ...Prerequisite) *Progress {
	p := &Progress{role: role, startedAt: now, reachedAt: now}
	for n := range prerequisites {
		p.met[n], p.since[n] = !slices.Contains(uses, n), now
	}
	p.advance(now)
	return p
}

// Update notes which prerequisites are met, all at once, and which are not. Those that are not named are as they were.
func (p *Progress) Update(now time.Duration, met map[Prerequisite]bool) {
	for n, isMet := range met {
		if p.met[n] != isMet {
			p.met[n], p.since[n] = isMet, now
		}
	}
	p.advance(now)
}

// ExpectWait notes how long from now on a prerequisite is waited for at the most.
func (p *Progress) ExpectWait(now time.Duration, n Prerequisite, maxWait time.Duration) {
	if !p.met[n] {
		p.since[n], p.maxWait[n] = now, maxWait
	}
}

// Allows reports whether a kind of work is open.
func (p *Progress) Allows(w Work) bool { return len(p.missing(w)) == 0 }

func (p *Progress) missing(w Work) (list []Prerequisite) {
	for _, requirement := range requirements[p.role] {
		if requirement.work != w {
			continue
		}
		for _, n := range requirement.needs {
			if !p.met[n] {
				list = append(list, n)
			}
		}
	}
	return list
}

func (p *Progress) advance(now time.Duration) {
	next := Unavailable
	for _, s := range []struct {
		state State
		work  Work
	}{{ReadsOnly, Reads}, {ReadsAndEffects, IdempotentRequests}, {FullService, FullCapacity}} {
		if !p.Allows(s.work) {
			break
		}
		next = s.state
	}
	if next == p.state {
		return
	}
	if p.state, p.reachedAt = next, now; len(p.steps) < maxSteps {
		p.steps = append(p.steps, Step{next, now - p.startedAt})
	}
}

// Wait is one prerequisite that is not met.
type Wait struct {
	Prerequisite Prerequisite
	Waited       time.Duration // for so long
	MaxWait      time.Duration // 0: as long as it takes
}

// Snapshot is a recovery as it is seen.
type Snapshot struct {
	State State
	Since time.Duration
	Waits []Wait // for all that is not open yet
	Steps []Step
}

// Snapshot returns the present one.
func (p *Progress) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{State: p.state, Since: now - p.reachedAt, Steps: slices.Clone(p.steps)}
	for n := range prerequisites {
		if !p.met[n] {
			snapshot.Waits = append(snapshot.Waits, Wait{n, now - p.since[n], p.maxWait[n]})
		}
	}
	return snapshot
}
