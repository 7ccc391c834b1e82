package recovery

import (
	"slices"
	"time"
)

// Need is one thing on which the return of service waits.
type Prerequisite uint8

const (
	StoreRead         Prerequisite = iota // what the process kept itself has been read
	WorkerUp                              // that which does the work is up
	RulesConfirmed                        // the rules that it acts on are confirmed
	WindowOver                            // what may have run before, and is not known, can't come again
	HeartbeatsDurable                     // signs of life last
	MapKnown                              // a router has a map to go by
	QuotasKnown                           // a router has its parts of what all share
	prerequisites
)

func (n Prerequisite) String() string {
	return [...]string{"disk", "worker", "rules", "window", "signs", "map", "shares"}[n]
}

// Work is a kind of what a process does for others.
type Work uint8

const (
	Reads              Work = iota // what has no effect
	Replays                        // of what is known to have run
	IdempotentRequests             // what has an effect
	FullCapacity                   // as much of it as the process ever takes
)

func (w Work) String() string { return [...]string{"reads", "repeats", "sheets", "width"}[w] }

// Role is what a process is.
type Role uint8

const (
	Server Role = iota
	Router
)

// opens is what each work needs. What a process has no use for (no store, no group) is met from the start.
var requirements = map[Role][]struct {
	work Work
	by   []Prerequisite
}{
	Server: {{Reads, []Prerequisite{WorkerUp}}, {Replays, []Prerequisite{StoreRead}}, {IdempotentRequests, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}},
		{FullCapacity, []Prerequisite{WorkerUp, StoreRead, RulesConfirmed, WindowOver, HeartbeatsDurable}}},
	Router: {{Reads, []Prerequisite{MapKnown}}, {Replays, []Prerequisite{MapKnown, RulesConfirmed}}, {IdempotentRequests, []Prerequisite{MapKnown, RulesConfirmed}}, {FullCapacity, []Prerequisite{MapKnown, RulesConfirmed, QuotasKnown}}},
}

// mostSteps is how many steps of a path are kept, the first ones.
const maxSteps = 32

// State is how far a process has come. Each has all that the ones before it have.
type State uint8

const (
	Unavailable     State = iota // nothing yet but the answers that it can't
	ReadsOnly                    // reads
	ReadsAndEffects              // reads, and sheets
	FullService                  // all
)

func (s State) String() string { return [...]string{"dark", "reads", "sheets", "full"}[s] }

// Path is the way of one process from its start to full service.
type Progress struct {
	role      Role
	met       [prerequisites]bool
	since     [prerequisites]time.Duration // it is met, or waits
	maxWait   [prerequisites]time.Duration // at the longest it takes; 0: as long as it takes
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

// NewPath returns the path of a process that starts, and of which needs it has a use.
func NewProgress(now time.Duration, role Role, uses ...Prerequisite) *Progress {
	p := &Progress{role: role, startedAt: now, reachedAt: now}
	for n := range prerequisites {
		p.met[n], p.since[n] = !slices.Contains(uses, n), now
	}
	p.advance(now)
	return p
}

// Tell notes which needs are met, all at once, and which are not. Those that are not named are as they were.
func (p *Progress) Update(now time.Duration, met map[Prerequisite]bool) {
	for n, is := range met {
		if p.met[n] != is {
			p.met[n], p.since[n] = is, now
		}
	}
	p.advance(now)
}

// Takes notes how long from now on a need is waited for at the most.
func (p *Progress) ExpectWait(now time.Duration, n Prerequisite, max time.Duration) {
	if !p.met[n] {
		p.since[n], p.maxWait[n] = now, max
	}
}

// Allows reports whether a kind of work is open.
func (p *Progress) Allows(w Work) bool { return len(p.missing(w)) == 0 }

func (p *Progress) missing(w Work) (list []Prerequisite) {
	for _, o := range requirements[p.role] {
		if o.work != w {
			continue
		}
		for _, n := range o.by {
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

// Wait is one need that is not met.
type Wait struct {
	Prerequisite Prerequisite
	Waited       time.Duration // it has waited
	MaxWait      time.Duration // it will at the most; 0: as long as it takes
}

// View is a path as it is seen.
type Snapshot struct {
	State State
	Since time.Duration
	Waits []Wait // for all that is not open yet
	Steps []Step
}

// View returns the present one.
func (p *Progress) Snapshot(now time.Duration) Snapshot {
	v := Snapshot{State: p.state, Since: now - p.reachedAt, Steps: slices.Clone(p.steps)}
	for n := range prerequisites {
		if !p.met[n] {
			v.Waits = append(v.Waits, Wait{n, now - p.since[n], p.maxWait[n]})
		}
	}
	return v
}
