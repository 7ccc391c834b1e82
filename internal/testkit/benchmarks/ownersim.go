package benchmarks

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/fence"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
)

// OwnerSim is one schedule of faults in simulated time. The faults are changes of the group's leader and losses of its
// majority, restarts of servers, some with their fence state lost, commands that are lost, delayed or delivered twice, and
// pauses of an owner between any two of its actions. Leases, controllers and fences are the production code.
type OwnerSim struct {
	rng      *rand.Rand
	now      time.Duration
	wall     time.Time
	state    *statemachine.State
	watch    *lease.Lessor
	groupUp  bool
	upAt     time.Duration
	owners   []*simOwner
	servers  []*simServer
	places   map[int][]byte // content of each version of the map
	orders   []simOrder
	newest   lease.Epoch // highest epoch of a command that took effect
	edits    lease.Epoch // epoch of the map that was published last
	NoFence  bool        // servers execute commands that the fence rejects
	NoPlaces bool        // a published version of the map can be overwritten
	latest   *cells.Map
	raw      []byte
	Broken   []string
	MostOut  int
	Finished int // rollouts and moves that finished
	Handed   int // changes of a duty's owner
}

type simOwner struct {
	name     string
	hz       float64
	frozen   time.Duration
	holders  map[string]*lease.Holder
	conducts controller.Rollout
	keeper   controller.Placement
	pending  map[string]*simAct // action of each duty that is decided but not performed yet
	seen     map[string]controller.Readiness
	epochs   map[string]lease.Epoch
}

type simAct struct {
	at  time.Duration
	act controller.Action
	e   lease.Epoch
	j   controller.Journal
}

type simServer struct {
	name  string
	book  *fence.Fence
	out   bool
	outs  int
	up    time.Duration // time from which the server is reachable
	again int           // number of restarts
}

type simOrder struct {
	at     time.Duration
	order  fence.Command
	server int
	from   *simOwner
}

const (
	simServers = 6
	simMoves   = 4
	simStep    = 5 * time.Millisecond
	simLease   = 300 * time.Millisecond
)

// NewOwnerSim returns the schedule of a seed.
func NewOwnerSim(seed uint64) *OwnerSim {
	s := &OwnerSim{rng: rand.New(rand.NewPCG(seed, 18)), state: statemachine.New(1), groupUp: true, places: map[int][]byte{},
		wall: time.UnixMilli(1_700_000_000_000)}
	terms := lease.Terms{TTL: simLease, Drift: 0.05}
	s.state.Terms = terms
	s.watch = lease.NewLessor(terms)
	s.watch.Promote(0)
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}}}
	for i := range simServers {
		name := fmt.Sprint("s", i)
		m.Servers = append(m.Servers, cells.Server{Name: name, Addr: name, AdminAddr: name, Cell: string(rune('a' + i%2)), Weight: 1})
		s.servers = append(s.servers, &simServer{name: name, book: fence.New(nil, true)})
	}
	for i := range simMoves {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	s.places[1] = settings.FormatCells(m)
	for i := range 3 {
		o := &simOwner{name: fmt.Sprint("o", i), hz: 1 + 0.05*(2*s.rng.Float64()-1), holders: map[string]*lease.Holder{},
			pending: map[string]*simAct{}, seen: map[string]controller.Readiness{}, epochs: map[string]lease.Epoch{}}
		for _, d := range []string{controller.PlacementDuty, controller.RolloutDuty} {
			o.holders[d] = lease.NewHolder(d, o.name, terms)
		}
		o.keeper.Codec = controller.Codec{Format: settings.FormatCells, Parse: settings.ParseCells}
		s.owners = append(s.owners, o)
	}
	for i := range simMoves {
		s.state.Apply(statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.PlacementDuty, ID: fmt.Sprint("m", i), Kind: controller.KindMove,
			Args: fmt.Appendf(nil, `{"tenant":"t%d","to":"b"}`, i)}})
	}
	s.state.Apply(statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.RolloutDuty, ID: "r", Kind: controller.KindRollout,
		Args: []byte(`{"cell_most":1,"all_most":2,"dwell_ms":30,"back_ms":60000}`)}})
	return s
}

func (s *OwnerSim) broke(format string, args ...any) {
	s.Broken = append(s.Broken, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *OwnerSim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *OwnerSim) span(most time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(most))
}

// Run runs the schedule until all moves and the rollout are over or an invariant is violated, at most for a simulated minute
// after the faults. Faults are injected during the first simulated time of the given length. Run then checks the final state.
func (s *OwnerSim) Run(faults time.Duration) {
	for s.now < faults+60*time.Second && len(s.Broken) == 0 {
		s.now += simStep
		if s.now < faults {
			s.trouble()
		}
		if !s.groupUp && s.now >= s.upAt { // a new leader has no record of earlier lease grants
			s.groupUp = true
			s.watch.Demote()
			s.watch.Promote(s.now)
		}
		if s.groupUp {
			for _, a := range s.watch.Overdue(s.state.Table, s.now) {
				s.ask(a)
			}
		}
		for _, o := range s.owners {
			if o.frozen <= s.now {
				s.own(o)
			}
		}
		s.deliver()
		if s.over() && s.now > faults {
			break
		}
	}
	s.end()
}

// trouble draws the faults of this step.
func (s *OwnerSim) trouble() {
	if s.chance(0.01) {
		s.owners[s.rng.IntN(3)].frozen = s.now + s.span(4*simLease)
	}
	if s.chance(0.002) && s.groupUp {
		s.groupUp, s.upAt = false, s.now+s.span(5*simLease)
	}
	if s.chance(0.004) {
		x := s.servers[s.rng.IntN(simServers)]
		x.up, x.out = s.now+s.span(time.Second), false
		x.again++
		if s.chance(0.3) {
			x.book = fence.New(nil, true) // the disk is lost too
		} else {
			x.book = fence.New(x.book.Latest(), true)
		}
	}
}

// ask has the group's leader answer a lease request. It returns the duty, and whether the request was rejected.
func (s *OwnerSim) ask(a lease.Request) (lease.Duty, bool) {
	d := s.state.Table.Duties[a.Duty]
	if d != nil && (a.Op == lease.Renew || a.Op == lease.Acquire && (d.Holder == a.Process || slices.Contains(d.Queue, a.Process))) {
		ending := d.Holder == a.Process && !s.watch.Renew(a.Duty, d.Epoch, a.Op != lease.Renew, s.now)
		s.watch.RecordWaiter(a.Duty, a.Process, s.now)
		return *d, ending || a.Op == lease.Renew && (d.Holder != a.Process || d.Epoch != a.Epoch)
	}
	r := s.state.Apply(statemachine.Command{Lease: &a})
	if r.Duty == nil {
		return lease.Duty{}, true
	}
	s.watch.RecordGrant(r.Duty.Name, r.Duty.Epoch, s.now)
	return *r.Duty, r.Error != ""
}

// own runs one step of an owner. It renews or acquires leases, and then, for each duty, performs the pending action if its
// time has come, or decides on a new one.
func (s *OwnerSim) own(o *simOwner) {
	clock := time.Duration(float64(s.now) * o.hz)
	for _, name := range []string{controller.PlacementDuty, controller.RolloutDuty} {
		h := o.holders[name]
		if a, ok := h.NextRequest(clock); ok && s.groupUp && !s.chance(0.05) {
			d, no := s.ask(a)
			if !s.chance(0.05) {
				if gained, _ := h.HandleAnswer(clock, a, d, no, clock); gained {
					s.Handed++
				}
			}
		}
		if p := o.pending[name]; p != nil {
			if s.now >= p.at {
				delete(o.pending, name)
				s.act(o, name, p)
			}
			continue
		}
		e, has := h.Holds(clock)
		if !has || !s.groupUp {
			continue
		}
		if err := s.state.Table.CheckHolder(name, o.name, e); err != nil {
			continue
		}
		j := *s.state.Journal(name)
		j.Items = slices.Clone(j.Items)
		act := s.decide(o, name, &j, e, clock)
		if act.Kind == controller.Idle {
			continue
		}
		// The owner has checked that it owns the duty. It may be paused before the action, and between an action and its result.
		wait := time.Duration(0)
		if s.chance(0.1) {
			wait = s.span(3 * simLease)
		}
		o.pending[name] = &simAct{s.now + wait, act, e, j}
	}
}

// head returns the latest published map and its content. A withdrawn version is skipped.
func (s *OwnerSim) head() (m *cells.Map, raw []byte) {
	if s.latest != nil {
		return s.latest, s.raw
	}
	last := 0
	for v, b := range s.places {
		if v > last && b[0] == '{' {
			last, raw = v, b
		}
	}
	m, _ = settings.ParseCells(raw)
	s.latest, s.raw = m, raw
	return m, raw
}

// decide returns the next action of the duty's controller.
func (s *OwnerSim) decide(o *simOwner, name string, j *controller.Journal, e lease.Epoch, clock time.Duration) controller.Action {
	m, raw := s.head()
	if name == controller.PlacementDuty {
		h := controller.PublishedMap{Map: m, Raw: raw}
		for v := range s.places {
			h.HighestVersion = max(h.HighestVersion, v)
		}
		if it := j.Current(); it != nil && it.State == controller.Intended {
			if plan, err := settings.ParseCells([]byte(it.Plan)); err == nil {
				h.Occupant = s.places[plan.Version]
			}
		}
		return o.keeper.Next(j, h, uint64(e), s.wall.Add(s.now))
	}
	var list []controller.RolloutServer
	for _, x := range m.Servers {
		list = append(list, controller.RolloutServer{Name: x.Name, Cell: x.Cell, Admin: x.AdminAddr})
	}
	for _, x := range s.servers {
		o.seen[x.name] = controller.Readiness{ProbedAt: clock, Reachable: x.up <= s.now, Ready: x.up <= s.now && !x.out}
	}
	return o.conducts.Next(j, uint64(e), list, o.seen, clock)
}

// act performs an action that an owner decided earlier.
func (s *OwnerSim) act(o *simOwner, name string, p *simAct) {
	switch p.act.Kind {
	case controller.WriteJournal:
		if s.groupUp {
			w := p.act.Write
			w.Duty, w.Process, w.Epoch, w.Step = name, o.name, p.e, p.j.Step+1
			s.state.Apply(statemachine.Command{Journal: &w})
		}
	case controller.Publish, controller.Withdraw:
		raw := p.act.Raw
		if p.act.Kind == controller.Withdraw {
			raw = []byte("withdrawn\n")
		}
		if s.places[p.act.Version] == nil || s.NoPlaces { // a version can be published only once
			s.latest = nil
			s.places[p.act.Version] = raw
			if m, err := settings.ParseCells(raw); err == nil {
				if lease.Epoch(m.Epoch) < s.edits {
					s.broke("map of epoch %v published after one of epoch %v", m.Epoch, s.edits)
				}
				s.edits = lease.Epoch(m.Epoch)
			}
		}
	case controller.SendCommand:
		it := p.j.Current()
		act := "rejoin"
		if p.act.Command.Evacuate {
			act = "evacuate"
		}
		server := int(p.act.Command.Server[1] - '0')
		order := simOrder{s.now, fence.Command{Duty: name, Epoch: p.e, Step: it.Step, Action: act}, server, o}
		switch {
		case s.chance(0.05): // lost
			o.conducts.RecordCommand(p.act.Command.Server, false)
		case s.chance(0.1): // delayed on the way
			order.at += s.span(10 * simLease)
			o.conducts.RecordCommand(p.act.Command.Server, false)
			order.from = nil
			s.orders = append(s.orders, order)
		default:
			s.orders = append(s.orders, order)
		}
		if s.chance(0.1) { // a copy
			order.at, order.from = s.now+s.span(10*simLease), nil
			s.orders = append(s.orders, order)
		}
	}
}

// deliver delivers the commands that are due and reports their results to the owners that sent them.
func (s *OwnerSim) deliver() {
	var later []simOrder
	for _, o := range s.orders {
		if o.at > s.now {
			later = append(later, o)
			continue
		}
		yes := s.take(s.servers[o.server], o.order)
		if o.from != nil {
			o.from.conducts.RecordCommand(s.servers[o.server].name, yes)
		}
	}
	s.orders = later
}

// take has a server check a command against its fence and execute it. It returns whether the server accepted the command.
func (s *OwnerSim) take(x *simServer, o fence.Command) bool { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	if x.up > s.now {
		return false
	}
	if !x.book.Knows(o.Duty) {
		if !s.groupUp {
			return false
		}
		x.book.SetFloor(o.Duty, s.state.Table.Duties[o.Duty].Epoch, s.state.Journal(o.Duty).Step)
	}
	fresh, err := x.book.Check(o)
	if err != nil && !s.NoFence {
		return false
	}
	x.book.Record(o)
	if err == nil && !fresh {
		return true
	}
	evacuate := o.Action == "evacuate"
	if x.out != evacuate {
		if o.Epoch < s.newest {
			s.broke("%s: %s of epoch %v executed after a command of epoch %v", x.name, o.Action, o.Epoch, s.newest)
		}
		if evacuate {
			x.outs++
		}
	}
	s.newest = max(s.newest, o.Epoch)
	x.out = evacuate
	out, cell := 0, [2]int{}
	for i, y := range s.servers {
		if y.out {
			out++
			cell[i%2]++
		}
	}
	s.MostOut = max(s.MostOut, out)
	if out > 2 || cell[0] > 1 || cell[1] > 1 {
		s.broke("%d servers evacuated, %v by cell", out, cell)
	}
	return true
}

// over returns whether no duty has an open item.
func (s *OwnerSim) over() bool {
	for _, name := range []string{controller.PlacementDuty, controller.RolloutDuty} {
		if s.state.Journal(name).Current() != nil {
			return false
		}
	}
	return true
}

// end checks that each move and the rollout is done or failed, that the map agrees, and that no server was evacuated more
// often than its restarts allow.
func (s *OwnerSim) end() {
	if len(s.Broken) > 0 {
		return
	}
	m, _ := s.head()
	for i := range simMoves {
		it := s.state.Journal(controller.PlacementDuty).Item(fmt.Sprint("m", i))
		homes := len(m.Tenants[i].Homes)
		switch {
		case it.State == controller.Done && homes == 2:
			s.Finished++
		case it.State == controller.Failed && homes == 1: // a controller may give up a move
		default:
			s.broke("move %s is %s (%s), but t%d has %d homes", it.ID, it.State, it.Note, i, homes)
		}
	}
	r := s.state.Journal(controller.RolloutDuty).Item("r")
	switch r.State {
	case controller.Done:
		s.Finished++
		for _, x := range s.servers {
			if x.out {
				s.broke("%s is still evacuated after the rollout", x.name)
			}
			if x.outs == 0 || x.outs > 1+x.again {
				s.broke("%s was evacuated %d times with %d restarts", x.name, x.outs, x.again)
			}
		}
	case controller.Failed:
	default:
		s.broke("the rollout is %s: %s", r.State, r.Note)
	}
}

// SimOwners runs n schedules, beginning with the seed first. It returns how many rollouts and moves finished and how often a
// duty changed its owner. It stops at the first schedule that violates an invariant and returns the violations as an error.
// edit, if not nil, changes each schedule before it runs.
func SimOwners(first, n uint64, edit func(*OwnerSim)) (finished, handed int, err error) {
	for seed := first; seed < first+n; seed++ {
		s := NewOwnerSim(seed)
		if edit != nil {
			edit(s)
		}
		s.Run(6 * time.Second)
		finished, handed = finished+s.Finished, handed+s.Handed
		for _, b := range s.Broken {
			err = errors.Join(err, fmt.Errorf("seed %d: %s", seed, b))
		}
		if err != nil {
			return finished, handed, err
		}
	}
	return finished, handed, nil
}
