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

// OwnerSim is one schedule of faults in simulated time. The group changes its leader and loses its majority.
// Servers restart, and some lose the state of their fence. Commands are lost, delayed or delivered twice. Owners are paused
// between any two of their actions. Leases, controllers and fences are the production code.
type OwnerSim struct {
	rng            *rand.Rand
	now            time.Duration
	wall           time.Time
	state          *statemachine.State
	lessor         *lease.Lessor
	groupUp        bool
	groupUpAt      time.Duration
	owners         []*simOwner
	servers        []*simServer
	versions       map[int][]byte // content of each version of the map
	commands       []simCommand
	newestExecuted lease.Epoch // highest epoch of a command that took effect
	publishedEpoch lease.Epoch // epoch of the map that was published last
	NoFence        bool        // servers execute commands that the fence rejects
	AllowOverwrite bool        // a published version of the map can be overwritten
	latest         *cells.Map
	latestRaw      []byte
	Violations     []string
	MaxEvacuated   int
	Finished       int // rollouts and moves that finished
	OwnerChanges   int // changes of a duty's owner
}

type simOwner struct {
	name           string
	clockRate      float64
	frozenUntil    time.Duration
	holders        map[string]*lease.Holder
	rollout        controller.Rollout
	placement      controller.Placement
	pendingActions map[string]*simAction // action of each duty that is decided but not performed yet
	readiness      map[string]controller.Readiness
	epochs         map[string]lease.Epoch
}

type simAction struct {
	at      time.Duration
	action  controller.Action
	epoch   lease.Epoch
	journal controller.Journal
}

type simServer struct {
	name        string
	fence       *fence.Fence
	evacuated   bool
	evacuations int
	reachableAt time.Duration // time from which the server is reachable
	restarts    int           // number of restarts
}

type simCommand struct {
	at      time.Duration
	command fence.Command
	server  int
	sender  *simOwner
}

const (
	simServers = 6
	simMoves   = 4
	simStep    = 5 * time.Millisecond
	simLease   = 300 * time.Millisecond
)

// NewOwnerSim returns the schedule of a seed.
func NewOwnerSim(seed uint64) *OwnerSim {
	s := &OwnerSim{rng: rand.New(rand.NewPCG(seed, 18)), state: statemachine.New(1), groupUp: true, versions: map[int][]byte{},
		wall: time.UnixMilli(1_700_000_000_000)}
	terms := lease.Terms{TTL: simLease, Drift: 0.05}
	s.state.Terms = terms
	s.lessor = lease.NewLessor(terms)
	s.lessor.Promote(0)
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}}}
	for i := range simServers {
		name := fmt.Sprint("s", i)
		m.Servers = append(m.Servers, cells.Server{Name: name, Addr: name, AdminAddr: name, Cell: string(rune('a' + i%2)), Weight: 1})
		s.servers = append(s.servers, &simServer{name: name, fence: fence.New(nil, true)})
	}
	for i := range simMoves {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	s.versions[1] = settings.FormatCells(m)
	for i := range 3 {
		o := &simOwner{name: fmt.Sprint("o", i), clockRate: 1 + 0.05*(2*s.rng.Float64()-1), holders: map[string]*lease.Holder{},
			pendingActions: map[string]*simAction{}, readiness: map[string]controller.Readiness{}, epochs: map[string]lease.Epoch{}}
		for _, d := range []string{controller.PlacementDuty, controller.RolloutDuty} {
			o.holders[d] = lease.NewHolder(d, o.name, terms)
		}
		o.placement.Codec = controller.Codec{Format: settings.FormatCells, Parse: settings.ParseCells}
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

func (s *OwnerSim) violation(format string, args ...any) {
	s.Violations = append(s.Violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

func (s *OwnerSim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *OwnerSim) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Float64() * float64(limit))
}

// Run runs the schedule until all moves and the rollout are over or an invariant is violated, at most for a simulated minute
// after the faults. Faults are injected during the first simulated time of the given length. Run then checks the final state.
func (s *OwnerSim) Run(faults time.Duration) {
	for s.now < faults+60*time.Second && len(s.Violations) == 0 {
		s.now += simStep
		if s.now < faults {
			s.injectFaults()
		}
		if !s.groupUp && s.now >= s.groupUpAt { // a new leader has no record of earlier lease grants
			s.groupUp = true
			s.lessor.Demote()
			s.lessor.Promote(s.now)
		}
		if s.groupUp {
			for _, a := range s.lessor.Overdue(s.state.Table, s.now) {
				s.answerLease(a)
			}
		}
		for _, o := range s.owners {
			if o.frozenUntil <= s.now {
				s.stepOwner(o)
			}
		}
		s.deliver()
		if s.allFinished() && s.now > faults {
			break
		}
	}
	s.checkFinalState()
}

// injectFaults draws the faults of this step.
func (s *OwnerSim) injectFaults() {
	if s.chance(0.01) {
		s.owners[s.rng.IntN(3)].frozenUntil = s.now + s.randomDuration(4*simLease)
	}
	if s.chance(0.002) && s.groupUp {
		s.groupUp, s.groupUpAt = false, s.now+s.randomDuration(5*simLease)
	}
	if s.chance(0.004) {
		server := s.servers[s.rng.IntN(simServers)]
		server.reachableAt, server.evacuated = s.now+s.randomDuration(time.Second), false
		server.restarts++
		if s.chance(0.3) {
			server.fence = fence.New(nil, true) // the disk is lost too
		} else {
			server.fence = fence.New(server.fence.Latest(), true)
		}
	}
}

// answerLease has the group's leader answer a lease request. It returns the duty, and whether the request was rejected.
func (s *OwnerSim) answerLease(req lease.Request) (lease.Duty, bool) {
	d := s.state.Table.Duties[req.Duty]
	if d != nil && (req.Op == lease.Renew || req.Op == lease.Acquire && (d.Holder == req.Process || slices.Contains(d.Queue, req.Process))) {
		ending := d.Holder == req.Process && !s.lessor.Renew(req.Duty, d.Epoch, req.Op != lease.Renew, s.now)
		s.lessor.RecordWaiter(req.Duty, req.Process, s.now)
		return *d, ending || req.Op == lease.Renew && (d.Holder != req.Process || d.Epoch != req.Epoch)
	}
	r := s.state.Apply(statemachine.Command{Lease: &req})
	if r.Duty == nil {
		return lease.Duty{}, true
	}
	s.lessor.RecordGrant(r.Duty.Name, r.Duty.Epoch, s.now)
	return *r.Duty, r.Error != ""
}

// stepOwner runs one step of an owner. It renews or acquires leases, and then, for each duty, performs the pending action if its
// time has come, or decides on a new one.
func (s *OwnerSim) stepOwner(o *simOwner) {
	localTime := time.Duration(float64(s.now) * o.clockRate)
	for _, name := range []string{controller.PlacementDuty, controller.RolloutDuty} {
		h := o.holders[name]
		if a, ok := h.NextRequest(localTime); ok && s.groupUp && !s.chance(0.05) {
			d, rejected := s.answerLease(a)
			if !s.chance(0.05) {
				if gained, _ := h.HandleAnswer(localTime, a, d, rejected, localTime); gained {
					s.OwnerChanges++
				}
			}
		}
		if p := o.pendingActions[name]; p != nil {
			if s.now >= p.at {
				delete(o.pendingActions, name)
				s.perform(o, name, p)
			}
			continue
		}
		epoch, holds := h.Holds(localTime)
		if !holds || !s.groupUp {
			continue
		}
		if err := s.state.Table.CheckHolder(name, o.name, epoch); err != nil {
			continue
		}
		j := *s.state.Journal(name)
		j.Items = slices.Clone(j.Items)
		action := s.decide(o, name, &j, epoch, localTime)
		if action.Kind == controller.Idle {
			continue
		}
		// The owner has checked that it owns the duty. It may be paused before the action, and between an action and its result.
		delay := time.Duration(0)
		if s.chance(0.1) {
			delay = s.randomDuration(3 * simLease)
		}
		o.pendingActions[name] = &simAction{s.now + delay, action, epoch, j}
	}
}

// latestMap returns the latest published map and its content. A withdrawn version is skipped.
func (s *OwnerSim) latestMap() (m *cells.Map, raw []byte) {
	if s.latest != nil {
		return s.latest, s.latestRaw
	}
	latestVersion := 0
	for v, b := range s.versions {
		if v > latestVersion && b[0] == '{' {
			latestVersion, raw = v, b
		}
	}
	m, _ = settings.ParseCells(raw)
	s.latest, s.latestRaw = m, raw
	return m, raw
}

// decide returns the next action of the duty's controller.
func (s *OwnerSim) decide(o *simOwner, name string, journal *controller.Journal, epoch lease.Epoch, localTime time.Duration) controller.Action {
	m, raw := s.latestMap()
	if name == controller.PlacementDuty {
		h := controller.PublishedMap{Map: m, Raw: raw}
		for v := range s.versions {
			h.HighestVersion = max(h.HighestVersion, v)
		}
		if it := journal.Current(); it != nil && it.State == controller.Intended {
			if plan, err := settings.ParseCells([]byte(it.Plan)); err == nil {
				h.VersionEntry = s.versions[plan.Version]
			}
		}
		return o.placement.Next(journal, h, uint64(epoch), s.wall.Add(s.now))
	}
	var servers []controller.RolloutServer
	for _, x := range m.Servers {
		servers = append(servers, controller.RolloutServer{Name: x.Name, Cell: x.Cell, Admin: x.AdminAddr})
	}
	for _, x := range s.servers {
		o.readiness[x.name] = controller.Readiness{ProbedAt: localTime, Reachable: x.reachableAt <= s.now, Ready: x.reachableAt <= s.now && !x.evacuated}
	}
	return o.rollout.Next(journal, uint64(epoch), servers, o.readiness, localTime)
}

// perform performs an action that an owner decided earlier.
func (s *OwnerSim) perform(o *simOwner, name string, p *simAction) {
	switch p.action.Kind {
	case controller.WriteJournal:
		if s.groupUp {
			w := p.action.Write
			w.Duty, w.Process, w.Epoch, w.Step = name, o.name, p.epoch, p.journal.Step+1
			s.state.Apply(statemachine.Command{Journal: &w})
		}
	case controller.Publish, controller.Withdraw:
		raw := p.action.Raw
		if p.action.Kind == controller.Withdraw {
			raw = []byte("withdrawn\n")
		}
		if s.versions[p.action.Version] == nil || s.AllowOverwrite { // a version can be published only once
			s.latest = nil
			s.versions[p.action.Version] = raw
			if m, err := settings.ParseCells(raw); err == nil {
				if lease.Epoch(m.Epoch) < s.publishedEpoch {
					s.violation("map of epoch %v published after one of epoch %v", m.Epoch, s.publishedEpoch)
				}
				s.publishedEpoch = lease.Epoch(m.Epoch)
			}
		}
	case controller.SendCommand:
		it := p.journal.Current()
		actionName := "rejoin"
		if p.action.Command.Evacuate {
			actionName = "evacuate"
		}
		server := int(p.action.Command.Server[1] - '0')
		command := simCommand{s.now, fence.Command{Duty: name, Epoch: p.epoch, Step: it.Step, Action: actionName}, server, o}
		switch {
		case s.chance(0.05): // lost
			o.rollout.RecordCommand(p.action.Command.Server, false)
		case s.chance(0.1): // delayed on the way
			command.at += s.randomDuration(10 * simLease)
			o.rollout.RecordCommand(p.action.Command.Server, false)
			command.sender = nil
			s.commands = append(s.commands, command)
		default:
			s.commands = append(s.commands, command)
		}
		if s.chance(0.1) { // a copy
			command.at, command.sender = s.now+s.randomDuration(10*simLease), nil
			s.commands = append(s.commands, command)
		}
	}
}

// deliver delivers the commands that are due and reports their results to the owners that sent them.
func (s *OwnerSim) deliver() {
	var undelivered []simCommand
	for _, o := range s.commands {
		if o.at > s.now {
			undelivered = append(undelivered, o)
			continue
		}
		accepted := s.execute(s.servers[o.server], o.command)
		if o.sender != nil {
			o.sender.rollout.RecordCommand(s.servers[o.server].name, accepted)
		}
	}
	s.commands = undelivered
}

// execute has a server check a command against its fence and execute it. It returns whether the server accepted the command.
func (s *OwnerSim) execute(server *simServer, c fence.Command) bool { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	if server.reachableAt > s.now {
		return false
	}
	if !server.fence.CanCheck(c.Duty) {
		if !s.groupUp {
			return false
		}
		server.fence.SetFloor(c.Duty, s.state.Table.Duties[c.Duty].Epoch, s.state.Journal(c.Duty).Step)
	}
	fresh, err := server.fence.Check(c)
	if err != nil && !s.NoFence {
		return false
	}
	server.fence.Record(c)
	if err == nil && !fresh {
		return true
	}
	evacuate := c.Action == "evacuate"
	if server.evacuated != evacuate {
		if c.Epoch < s.newestExecuted {
			s.violation("%s: %s of epoch %v executed after a command of epoch %v", server.name, c.Action, c.Epoch, s.newestExecuted)
		}
		if evacuate {
			server.evacuations++
		}
	}
	s.newestExecuted = max(s.newestExecuted, c.Epoch)
	server.evacuated = evacuate
	total, perCell := 0, [2]int{}
	for i, other := range s.servers {
		if other.evacuated {
			total++
			perCell[i%2]++
		}
	}
	s.MaxEvacuated = max(s.MaxEvacuated, total)
	if total > 2 || perCell[0] > 1 || perCell[1] > 1 {
		s.violation("%d servers evacuated, %v by cell", total, perCell)
	}
	return true
}

// allFinished returns whether no duty has an open item.
func (s *OwnerSim) allFinished() bool {
	for _, name := range []string{controller.PlacementDuty, controller.RolloutDuty} {
		if s.state.Journal(name).Current() != nil {
			return false
		}
	}
	return true
}

// checkFinalState checks that each move and the rollout is done or failed, that the map agrees, and that no server was evacuated more
// often than its restarts allow.
func (s *OwnerSim) checkFinalState() {
	if len(s.Violations) > 0 {
		return
	}
	m, _ := s.latestMap()
	for i := range simMoves {
		it := s.state.Journal(controller.PlacementDuty).Item(fmt.Sprint("m", i))
		homes := len(m.Tenants[i].Homes)
		switch {
		case it.State == controller.Done && homes == 2:
			s.Finished++
		case it.State == controller.Failed && homes == 1: // a controller may give up a move
		default:
			s.violation("move %s is %s (%s), but t%d has %d homes", it.ID, it.State, it.Note, i, homes)
		}
	}
	rollout := s.state.Journal(controller.RolloutDuty).Item("r")
	switch rollout.State {
	case controller.Done:
		s.Finished++
		for _, x := range s.servers {
			if x.evacuated {
				s.violation("%s is still evacuated after the rollout", x.name)
			}
			if x.evacuations == 0 || x.evacuations > 1+x.restarts {
				s.violation("%s was evacuated %d times with %d restarts", x.name, x.evacuations, x.restarts)
			}
		}
	case controller.Failed:
	default:
		s.violation("the rollout is %s: %s", rollout.State, rollout.Note)
	}
}

// SimOwners runs n schedules, beginning with the seed first. It returns how many rollouts and moves finished and how often a
// duty changed its owner. It stops at the first schedule that violates an invariant and returns the violations as an error.
// edit, if not nil, changes each schedule before it runs.
func SimOwners(first, n uint64, edit func(*OwnerSim)) (finished, ownerChanges int, err error) {
	for seed := first; seed < first+n; seed++ {
		s := NewOwnerSim(seed)
		if edit != nil {
			edit(s)
		}
		s.Run(6 * time.Second)
		finished, ownerChanges = finished+s.Finished, ownerChanges+s.OwnerChanges
		for _, b := range s.Violations {
			err = errors.Join(err, fmt.Errorf("seed %d: %s", seed, b))
		}
		if err != nil {
			return finished, ownerChanges, err
		}
	}
	return finished, ownerChanges, nil
}
