package recovery

import (
	"slices"
	"time"
)

// Prerequisite is a condition for kinds of work after a start.
type Prerequisite uint8

// The prerequisites.
const (
	StoreRead         Prerequisite = iota // the process has read its own store
	WorkerUp                              // the interpreter is up
	RulesConfirmed                        // the rules in use are confirmed as current
	WindowOver                            // no repeat can arrive of a request that ran before the start and is unknown
	HeartbeatsDurable                     // heartbeats are durable
	MapKnown                              // the router has a cell map
	QuotasKnown                           // the router has its quotas of the limits that all routers share
	prerequisites
)

// String returns the prerequisite's name in the status and the log.
func (p Prerequisite) String() string {
	return [...]string{"disk", "worker", "rules", "window", "signs", "map", "shares"}[p]
}

// Work is a kind of work that a process does for clients.
type Work uint8

// The kinds of work.
const (
	Reads              Work = iota // requests without an effect
	Replays                        // answers to repeats of requests that are known to have run
	IdempotentRequests             // requests with an effect
	FullCapacity                   // all kinds of work, at full capacity
)

// String returns the name of the kind of work.
func (w Work) String() string { return [...]string{"reads", "repeats", "sheets", "width"}[w] }

// Role is the role of a process.
type Role uint8

// The roles.
const (
	Server Role = iota
	Router
)

// requirements lists the prerequisites of each kind of work. A prerequisite that a process does not use (no store, no group) is met from
// the start.
var requirements = map[Role][]struct {
	work  Work
	needs []Prerequisite
}{
	Server: {{Reads, []Prerequisite{WorkerUp}}, {Replays, []Prerequisite{StoreRead}}, {IdempotentRequests, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}},
		{FullCapacity, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}}},
	Router: {{Reads, []Prerequisite{MapKnown}}, {Replays, []Prerequisite{MapKnown, RulesConfirmed}}, {IdempotentRequests, []Prerequisite{MapKnown, RulesConfirmed}}, {FullCapacity, []Prerequisite{MapKnown, RulesConfirmed, QuotasKnown}}},
}

// maxSteps bounds the recorded steps of a recovery. The first ones are kept, so a process whose state alternates does not fill memory.
const maxSteps = 32

// State is the state of a recovery. Each state allows the work of the states before it.
type State uint8

// The states of a recovery.
const (
	Unavailable     State = iota // all requests are refused
	ReadsOnly                    // reads are served
	ReadsAndEffects              // reads and requests with an effect are served
	FullService                  // all work is done at full capacity
)

// String returns the state's name in the status and the log.
func (s State) String() string { return [...]string{"dark", "reads", "sheets", "full"}[s] }

// Progress tracks the recovery of one process from its start to full service. It is not safe for concurrent use. The caller passes all
// times from one monotonic clock.
type Progress struct {
	role      Role
	met       [prerequisites]bool
	since     [prerequisites]time.Duration // time of the latest change between met and unmet, or of ExpectWait
	maxWait   [prerequisites]time.Duration // 0: unbounded
	startedAt time.Duration
	state     State
	reachedAt time.Duration // when the state was reached
	steps     []Step
}

// Step is a state and the time from the start until it was reached.
type Step struct {
	State State
	After time.Duration
}

// NewProgress returns the recovery of a process that starts now. Uses are the prerequisites that apply to it.
func NewProgress(now time.Duration, role Role, uses ...Prerequisite) *Progress {
	p := &Progress{role: role, startedAt: now, reachedAt: now}
	for n := range prerequisites {
		p.met[n], p.since[n] = !slices.Contains(uses, n), now
	}
	p.advance(now)
	return p
}

// Update records, in one step, which prerequisites are met and which are not. Prerequisites that are not in the map keep their state.
func (p *Progress) Update(now time.Duration, met map[Prerequisite]bool) {
	for n, isMet := range met {
		if p.met[n] != isMet {
			p.met[n], p.since[n] = isMet, now
		}
	}
	p.advance(now)
}

// ExpectWait records the maximum wait for an unmet prerequisite, counted from now.
func (p *Progress) ExpectWait(now time.Duration, n Prerequisite, maxWait time.Duration) {
	if !p.met[n] {
		p.since[n], p.maxWait[n] = now, maxWait
	}
}

// Allows reports whether all prerequisites of a kind of work are met.
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

// Wait is an unmet prerequisite.
type Wait struct {
	Prerequisite Prerequisite
	Waited       time.Duration // wait so far
	MaxWait      time.Duration // 0: unbounded
}

// Snapshot is the state of a recovery at one time.
type Snapshot struct {
	State State
	Since time.Duration // time since the state was reached
	Waits []Wait        // the unmet prerequisites
	Steps []Step
}

// Snapshot returns the recovery's current state.
func (p *Progress) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{State: p.state, Since: now - p.reachedAt, Steps: slices.Clone(p.steps)}
	for n := range prerequisites {
		if !p.met[n] {
			snapshot.Waits = append(snapshot.Waits, Wait{n, now - p.since[n], p.maxWait[n]})
		}
	}
	return snapshot
}
