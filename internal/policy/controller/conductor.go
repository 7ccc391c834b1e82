package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// KindRoll is what the conductor is asked for.
const KindRoll = "roll"

// Roll is a rolling evacuation and return.
type Roll struct {
	Servers    []string `json:"servers,omitempty"` // empty: all of the map
	CellMost   int      `json:"cell_most"`         // out at once in a cell
	AllMost    int      `json:"all_most"`          // and in all
	DwellMS    int64    `json:"dwell_ms"`          // out for so long at least
	BackMS     int64    `json:"back_ms"`           // back within so long of being told, or the roll stops
	WorthLeast float64  `json:"worth_least"`       // of what is asked, the part that has to be served; 0: not looked at
}

// Check names the first field that can't be.
func (r Roll) Check() error {
	switch {
	case r.CellMost < 1:
		return fmt.Errorf("cell_most: under 1: %d", r.CellMost)
	case r.AllMost < 1:
		return fmt.Errorf("all_most: under 1: %d", r.AllMost)
	case r.DwellMS < 0:
		return fmt.Errorf("dwell_ms: under 0: %d", r.DwellMS)
	case r.BackMS <= 0:
		return fmt.Errorf("back_ms: not above 0: %d", r.BackMS)
	case !(r.WorthLeast >= 0 && r.WorthLeast <= 1):
		return fmt.Errorf("worth_least: not from 0 to 1: %v", r.WorthLeast)
	}
	return nil
}

// Stage is how far a server is.
type Stage string

const (
	In        Stage = "in"        // not yet its turn
	GoingOut  Stage = "going_out" // its order is meant, and may have been given
	IsOut     Stage = "out"
	GoingBack Stage = "going_back" // likewise
	Returning Stage = "returning"  // told to come back, and not seen ready yet
	IsBack    Stage = "back"
	Lost      Stage = "lost" // can't be told, or did not come back
)

// away reports whether a server at a stage may be out.
func (s Stage) away() bool { return s != In && s != IsBack }

// Member is a server of a roll.
type Member struct {
	Name  string `json:"name"`
	Cell  string `json:"cell"`
	Mgmt  string `json:"mgmt"`
	Stage Stage  `json:"stage"`
}

// Progress is how far a roll is: its item's plan.
type Progress struct {
	Members []Member `json:"members"`
	Stopped string   `json:"stopped,omitempty"` // why nobody else goes out
}

// Order is what a server is told: for a duty, by its owner's epoch and the step of its intent.
type Order struct {
	Server, Mgmt string
	Evacuate     bool // else rejoin
}

// Seen is what was last seen of a server's readiness.
type Seen struct {
	At        time.Duration // when it was asked; 0: never
	Reachable bool
	Ready     bool
}

// Worth is what routers served of what they were asked, since the roll was last looked at.
type Worth struct{ Asked, Served float64 }

// leastAsked is the worth that has to have been asked for before a part of it says anything.
const leastAsked = 50

// Conductor decides what a roll does next. It is the present owner's: times are its own clock's, so what an owner before
// it had waited for is waited for anew.
type Conductor struct {
	epoch  uint64 // whose orders were given
	item   string
	since  map[string]time.Duration // at the present stage
	stage  map[string]Stage
	given  map[string]bool // its order was given by this epoch
	failed map[string]int  // tries of its order
	worth  Worth
	low    int
}

const (
	mostOrders = 5 // tries of an order before a server counts as lost
	mostLow    = 3 // looks in a row at which too little was served
)

// Look takes a second's worth.
func (c *Conductor) Look(w Worth, least float64) {
	if w.Asked < leastAsked || least == 0 {
		return
	}
	c.worth = w
	if c.low++; w.Served >= least*w.Asked {
		c.low = 0
	}
}

// Told takes what became of an order: given, or not, as the server can't be reached or says no.
func (c *Conductor) Told(server string, yes bool) {
	if yes {
		c.given[server] = true
	} else {
		c.failed[server]++
	}
}

// Next is what to do now. Servers are those of the map, seen what was seen of each, also of those that are not part of the
// roll: who is not there counts as out.
func (c *Conductor) Next(j *Journal, epoch uint64, servers []Member, seen map[string]Seen, now time.Duration) Act {
	it := j.Current()
	if it == nil {
		return Act{}
	}
	fail := func(why string) Act {
		return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Failed, Note: why}}
	}
	var r Roll
	if err := json.Unmarshal(it.Args, &r); err != nil {
		return fail("its arguments: " + err.Error())
	}
	if err := r.Check(); err != nil {
		return fail(err.Error())
	}
	if it.State == Queued {
		p, err := begin(r, servers)
		if err != nil {
			return fail(err.Error())
		}
		return c.down(it, p, "")
	}
	var p Progress
	if err := json.Unmarshal([]byte(it.Plan), &p); err != nil {
		return fail("its progress can't be read: " + err.Error())
	}
	c.meet(it.ID, epoch, p, now)
	return c.step(it, r, p, servers, seen, now)
}

func begin(r Roll, servers []Member) (Progress, error) {
	var p Progress
	for _, s := range servers {
		if len(r.Servers) == 0 || slices.Contains(r.Servers, s.Name) {
			if s.Mgmt == "" {
				return p, fmt.Errorf("server %s: no mgmt in the map", s.Name)
			}
			s.Stage = In
			p.Members = append(p.Members, s)
		}
	}
	for _, name := range r.Servers {
		if !slices.ContainsFunc(servers, func(s Member) bool { return s.Name == name }) {
			return p, fmt.Errorf("no such server: %q", name)
		}
	}
	if len(p.Members) == 0 {
		return p, fmt.Errorf("no servers")
	}
	return p, nil
}

// meet notes since when each member has been at its stage, as this owner knows it.
func (c *Conductor) meet(item string, epoch uint64, p Progress, now time.Duration) {
	if c.item != item || c.epoch != epoch {
		*c = Conductor{item: item, epoch: epoch, since: map[string]time.Duration{}, stage: map[string]Stage{},
			given: map[string]bool{}, failed: map[string]int{}}
	}
	for _, m := range p.Members {
		if c.stage[m.Name] != m.Stage {
			c.stage[m.Name], c.since[m.Name] = m.Stage, now
			delete(c.given, m.Name)
			delete(c.failed, m.Name)
		}
	}
}

// step finds the first thing to do, what was begun before what is new.
func (c *Conductor) step(it *Item, r Roll, p Progress, servers []Member, seen map[string]Seen, now time.Duration) Act {
	to := func(i int, s Stage, note string) Act {
		p.Members = slices.Clone(p.Members)
		p.Members[i].Stage = s
		return c.down(it, p, note)
	}
	stop := func(why string) Act {
		p.Stopped = why
		return c.down(it, p, why)
	}
	if p.Stopped == "" && it.Wish == "abort" {
		return stop("aborted by an operator")
	}
	if p.Stopped == "" && c.low >= mostLow {
		return stop(fmt.Sprintf("%.0f%% of the worth was served, at least %.0f%% has to be", 100*c.worth.Served/c.worth.Asked, 100*r.WorthLeast))
	}
	dwell, back := time.Duration(r.DwellMS)*time.Millisecond, time.Duration(r.BackMS)*time.Millisecond
	// Orders that are meant come before all else: an owner before this one may have given them, and they may be on their way.
	// Once a server has this one's it refuses the older.
	ordered := func(m Member) bool { return m.Stage == GoingOut || m.Stage == GoingBack }
	order := make([]int, 0, len(p.Members))
	for i, m := range p.Members {
		if ordered(m) {
			order = append(order, i)
		}
	}
	if len(order) == 0 {
		for i := range p.Members {
			order = append(order, i)
		}
	}
	for _, i := range order {
		m := p.Members[i]
		at := now - c.since[m.Name]
		s := seen[m.Name]
		ready := s.Reachable && s.Ready && s.At > c.since[m.Name]
		switch {
		case (m.Stage == GoingOut || m.Stage == GoingBack) && c.given[m.Name]:
			if m.Stage == GoingOut {
				return to(i, IsOut, "")
			}
			return to(i, Returning, "")
		case m.Stage == GoingOut && (it.Epoch != lease.Epoch(c.epoch) || it.Step == 0):
			return c.down(it, p, "") // meant by an owner before: meant again by this one, before it is ordered again
		case m.Stage == GoingOut && c.failed[m.Name] >= mostOrders && at >= back:
			p.Stopped = m.Name + " can't be told to go out"
			return to(i, GoingBack, p.Stopped) // the order may have come all the same
		case m.Stage == GoingBack && c.failed[m.Name] >= mostOrders && at >= back:
			p.Stopped = m.Name + " can't be told to come back"
			return to(i, Lost, p.Stopped)
		case m.Stage == GoingOut, m.Stage == GoingBack && it.Epoch == lease.Epoch(c.epoch):
			return Act{Kind: Send, Order: Order{Server: m.Name, Mgmt: m.Mgmt, Evacuate: m.Stage == GoingOut}}
		case m.Stage == GoingBack:
			return c.down(it, p, "")
		case m.Stage == IsOut && (at >= dwell || p.Stopped != "") && (s.Reachable && s.At > c.since[m.Name] || at >= dwell+back):
			return to(i, GoingBack, "")
		case m.Stage == Returning && ready:
			return to(i, IsBack, "")
		case m.Stage == Returning && at >= back:
			if p.Stopped == "" {
				p.Stopped = fmt.Sprintf("%s did not come back within %v", m.Name, back)
			}
			return to(i, Lost, p.Stopped)
		}
	}
	if slices.ContainsFunc(p.Members, ordered) {
		return Act{}
	}
	if p.Stopped != "" {
		if !slices.ContainsFunc(p.Members, func(m Member) bool { return m.Stage.away() && m.Stage != Lost }) {
			return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Failed, Note: p.Stopped}}
		}
		return Act{}
	}
	left := slices.IndexFunc(p.Members, func(m Member) bool { return m.Stage == In })
	if left < 0 {
		if !slices.ContainsFunc(p.Members, func(m Member) bool { return m.Stage != IsBack }) {
			return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Done, Note: fmt.Sprintf("%d servers", len(p.Members))}}
		}
		return Act{}
	}
	if it.Wish == "pause" {
		return Act{}
	}
	for i, m := range p.Members {
		if m.Stage == In && room(r, p, m, servers, seen, now) {
			return to(i, GoingOut, "")
		}
	}
	return Act{}
}

// freshFor is how long what was seen of a server says that it is there.
const freshFor = 3 * time.Second

// room reports whether one more may go out. Whoever was not seen ready of late counts as out: one that this roll sent, one of
// the map that is no part of it, and all of them as an owner begins or wakes up.
func room(r Roll, p Progress, next Member, servers []Member, seen map[string]Seen, now time.Duration) bool {
	there := func(name string) bool {
		s := seen[name]
		return s.At > 0 && now-s.At <= freshFor && s.Reachable && s.Ready
	}
	if !there(next.Name) {
		return false // it is not there to be sent out
	}
	all, cell := 0, 0
	count := func(m Member, away bool) {
		if m.Name != next.Name && (away || !there(m.Name)) {
			all++
			if m.Cell == next.Cell {
				cell++
			}
		}
	}
	for _, m := range p.Members {
		count(m, m.Stage.away())
	}
	for _, m := range servers {
		if m.Mgmt != "" && !slices.ContainsFunc(p.Members, func(o Member) bool { return o.Name == m.Name }) {
			count(m, false)
		}
	}
	return all < r.AllMost && cell < r.CellMost
}

// Away is how many members may be out, by the journal.
func (p Progress) Away() int {
	n := 0
	for _, m := range p.Members {
		if m.Stage.away() {
			n++
		}
	}
	return n
}

func (c *Conductor) down(it *Item, p Progress, note string) Act {
	raw, err := json.Marshal(p)
	if err != nil {
		note = err.Error()
	}
	return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Intent, Plan: string(raw), Note: note}}
}
