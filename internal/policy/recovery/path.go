package recovery

import (
	"slices"
	"time"
)

// Need is one thing on which the return of service waits.
type Need uint8

const (
	Disk   Need = iota // what the process kept itself has been read
	Worker             // that which does the work is up
	Rules              // the rules that it acts on are confirmed
	Window             // what may have run before, and is not known, can't come again
	Signs              // signs of life last
	Map                // a router has a map to go by
	Shares             // a router has its parts of what all share
	needs
)

func (n Need) String() string {
	return [...]string{"disk", "worker", "rules", "window", "signs", "map", "shares"}[n]
}

// Work is a kind of what a process does for others.
type Work uint8

const (
	Reads   Work = iota // what has no effect
	Repeats             // of what is known to have run
	Sheets              // what has an effect
	Width               // as much of it as the process ever takes
)

func (w Work) String() string { return [...]string{"reads", "repeats", "sheets", "width"}[w] }

// Role is what a process is.
type Role uint8

const (
	Server Role = iota
	Router
)

// opens is what each work needs. What a process has no use for (no store, no group) is met from the start.
var opens = map[Role][]struct {
	work Work
	by   []Need
}{
	Server: {{Reads, []Need{Worker}}, {Repeats, []Need{Disk}}, {Sheets, []Need{Worker, Disk, Rules, Window, Signs}},
		{Width, []Need{Worker, Disk, Rules, Window, Signs}}},
	Router: {{Reads, []Need{Map}}, {Repeats, []Need{Map, Rules}}, {Sheets, []Need{Map, Rules}}, {Width, []Need{Map, Rules, Shares}}},
}

// mostSteps is how many steps of a path are kept, the first ones.
const mostSteps = 32

// State is how far a process has come. Each has all that the ones before it have.
type State uint8

const (
	Dark    State = iota // nothing yet but the answers that it can't
	Reading              // reads
	Sure                 // reads, and sheets
	Full                 // all
)

func (s State) String() string { return [...]string{"dark", "reads", "sheets", "full"}[s] }

// Path is the way of one process from its start to full service.
type Path struct {
	role  Role
	met   [needs]bool
	since [needs]time.Duration // it is met, or waits
	most  [needs]time.Duration // at the longest it takes; 0: as long as it takes
	began time.Duration
	state State
	at    time.Duration // the state was reached
	log   []Step
}

// Step is a state with when it was reached, from the start on.
type Step struct {
	State State
	After time.Duration
}

// NewPath returns the path of a process that starts, and of which needs it has a use.
func NewPath(now time.Duration, role Role, uses ...Need) *Path {
	p := &Path{role: role, began: now, at: now}
	for n := range needs {
		p.met[n], p.since[n] = !slices.Contains(uses, n), now
	}
	p.settle(now)
	return p
}

// Tell notes which needs are met, all at once, and which are not. Those that are not named are as they were.
func (p *Path) Tell(now time.Duration, met map[Need]bool) {
	for n, is := range met {
		if p.met[n] != is {
			p.met[n], p.since[n] = is, now
		}
	}
	p.settle(now)
}

// Takes notes how long from now on a need is waited for at the most.
func (p *Path) Takes(now time.Duration, n Need, most time.Duration) {
	if !p.met[n] {
		p.since[n], p.most[n] = now, most
	}
}

// Allows reports whether a kind of work is open.
func (p *Path) Allows(w Work) bool { return len(p.lacks(w)) == 0 }

func (p *Path) lacks(w Work) (list []Need) {
	for _, o := range opens[p.role] {
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

func (p *Path) settle(now time.Duration) {
	next := Dark
	for _, s := range []struct {
		state State
		work  Work
	}{{Reading, Reads}, {Sure, Sheets}, {Full, Width}} {
		if !p.Allows(s.work) {
			break
		}
		next = s.state
	}
	if next == p.state {
		return
	}
	if p.state, p.at = next, now; len(p.log) < mostSteps {
		p.log = append(p.log, Step{next, now - p.began})
	}
}

// Wait is one need that is not met.
type Wait struct {
	Need Need
	For  time.Duration // it has waited
	Most time.Duration // it will at the most; 0: as long as it takes
}

// View is a path as it is seen.
type View struct {
	State State
	For   time.Duration
	Waits []Wait // for all that is not open yet
	Steps []Step
}

// View returns the present one.
func (p *Path) View(now time.Duration) View {
	v := View{State: p.state, For: now - p.at, Steps: slices.Clone(p.log)}
	for n := range needs {
		if !p.met[n] {
			v.Waits = append(v.Waits, Wait{n, now - p.since[n], p.most[n]})
		}
	}
	return v
}
