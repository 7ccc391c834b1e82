package cells

import (
	"fmt"
	"testing"
	"time"
)

// This file is a model of a keyed request that is tried again and again while its tenant moves, checked over all interleavings:
// two routers whose clocks differ, three servers, crashes and cold restarts of servers, restarts of routers, answers that
// get lost. The routes are those of the real Route at three times: before the move, while it is dual, and after.

// rules are those that keep a keyed request from running twice; a test leaves each out on purpose.
type rules struct {
	askFormerHome    bool // former homes are asked first
	recordMiss       bool // one that is asked for what it does not know remembers that, and runs it no more
	matchStart       bool // an attempt is meant for one start of a server
	excludeColdStart bool // a server that came back without its keyed requests gets none that it may have run
}

const (
	serverCount  = 3
	attemptCount = 3
)

// modelServer is a server as the model has it.
type modelServer struct {
	up, ran, missRecorded bool
	start                 uint8
}

// modelRouter is a router: what it knows of the servers, and the phase that its clock shows.
type modelRouter struct {
	phase       uint8 // 0 before, 1 dual, 2 after
	knownStart  [serverCount]uint8
	mayHaveLost [serverCount]bool
}

// modelTry is one try under way.
type modelAttempt struct {
	state       uint8 // 0 not begun, 1 to ask, 2 to go home, 3 over
	router      uint8
	target      uint8 // the server that it stands before
	home        uint8
	hops        uint8
	startPhase  uint8 // phase of its router then
	afterAnswer bool  // begun once the keyed request had run and been answered
	result      uint8
}

const (
	none uint8 = iota
	served
	failed
)

// model is one state.
type model struct {
	servers             [serverCount]modelServer
	routers             [2]modelRouter
	attempts            [attemptCount]modelAttempt
	runs                uint8
	crashes             uint8
	routerRestarts      uint8
	answered            bool
	attemptedBeforeMove bool // an attempt began before the move
}

// open reports whether an attempt that began before the move is under way.
func (m model) hasOldAttempt() bool {
	for _, t := range m.attempts {
		if (t.state == 1 || t.state == 2) && t.startPhase == 0 {
			return true
		}
	}
	return false
}

// routes are homes and former homes in the three phases, by the real map: former is serversOf for nobody.
type routes struct{ home, former [3]uint8 }

func modelRoutes(t *testing.T) routes {
	cellMap := fleet(3) // s0 in a, s1 in b, s2 in c
	cellMap.Tenants[0].Rate = 1
	plan, err := cellMap.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	var r routes
	serverNumber := func(name string) uint8 { return name[1] - '0' }
	for phase, at := range []time.Time{plan.At.Add(-time.Millisecond), plan.At, plan.At.Add(plan.Next.OverlapWindow())} {
		route, _ := plan.Next.Route(at, "kvizmojster", "sheet")
		r.home[phase], r.former[phase] = serverNumber(route.Home), serverCount
		if len(route.FormerHomes) > 0 {
			r.former[phase] = serverNumber(route.FormerHomes[0])
		}
	}
	return r
}

// nexts are the states that may follow one.
func (m model) successors(enabled rules, r routes, maxCrashes, maxRestarts uint8) []model {
	var list []model
	add := func(change func(n *model)) {
		n := m
		change(&n)
		list = append(list, n)
	}
	for i := range m.routers {
		router := m.routers[i]
		// Clocks: one router may be ahead of the other by no more than the skew, so both are past the beginning before
		// either sees the end, and the dual stretch is longer than a caller's patience.
		if router.phase == 0 || router.phase == 1 && m.routers[1-i].phase >= 1 && !m.hasOldAttempt() {
			add(func(n *model) { n.routers[i].phase++ })
		}
		if m.routerRestarts < maxRestarts { // a router that starts anew learns starts by health checks, and what was lost from them
			add(func(n *model) {
				n.routerRestarts++
				for s := range n.servers {
					n.routers[i].knownStart[s], n.routers[i].mayHaveLost[s] = n.servers[s].start, n.servers[s].start > 0
				}
				for k := range n.attempts {
					if n.attempts[k].router == uint8(i) && n.attempts[k].state == 1 || n.attempts[k].state == 2 && n.attempts[k].router == uint8(i) {
						n.attempts[k].state, n.attempts[k].result = 3, failed
					}
				}
			})
		}
		for s := range m.servers { // a health check
			if m.servers[s].up && router.knownStart[s] != m.servers[s].start {
				add(func(n *model) { n.routers[i].knownStart[s], n.routers[i].mayHaveLost[s] = n.servers[s].start, true })
			}
		}
	}
	for s := range m.servers {
		if m.servers[s].up && m.crashes < maxCrashes {
			add(func(n *model) { n.crashes++; n.servers[s] = modelServer{start: n.servers[s].start} })
		}
		if !m.servers[s].up {
			add(func(n *model) { n.servers[s].up = true; n.servers[s].start++ })
		}
	}
	for k, attempt := range m.attempts {
		switch attempt.state {
		case 0:
			if k > 0 && m.attempts[k-1].state == 0 {
				continue // tries are alike
			}
			for i := range m.routers {
				phase := m.routers[i].phase
				if phase == 2 && (k == 0 || m.attemptedBeforeMove) {
					continue // first tried after the move, or its window is over: the dual stretch is longer
				}
				add(func(n *model) {
					n.attemptedBeforeMove = n.attemptedBeforeMove || phase == 0
					n.attempts[k] = modelAttempt{state: 2, startPhase: phase, router: uint8(i), target: r.home[phase], home: r.home[phase], afterAnswer: n.answered}
					if f := r.former[phase]; f < serverCount && enabled.askFormerHome {
						n.attempts[k].state, n.attempts[k].target = 1, f
					}
				})
			}
		case 1, 2:
			add(func(n *model) { n.arrive(k, enabled, r) })
			add(func(n *model) { // the answer, if there is one, is lost on its way
				n.arrive(k, enabled, r)
				if n.attempts[k].state == 3 {
					n.attempts[k].result = failed
					n.attempts[k].afterAnswer = false
				}
			})
		}
	}
	return list
}

// step is an attempt's arrival at the server that it stands before, and what its router makes of the answer: Runner.forwardKeyed.
func (m *model) arrive(k int, enabled rules, r routes) {
	attempt := &m.attempts[k]
	router, server := &m.routers[attempt.router], &m.servers[attempt.target]
	finish := func(result uint8) {
		attempt.state, attempt.result = 3, result
		m.answered = m.answered || result == served
	}
	if enabled.excludeColdStart && router.mayHaveLost[attempt.target] || !server.up {
		finish(failed)
		return
	}
	if server.start != router.knownStart[attempt.target] {
		if enabled.matchStart {
			router.knownStart[attempt.target], router.mayHaveLost[attempt.target] = server.start, true
			finish(failed)
			return
		}
	}
	switch {
	case server.ran:
		finish(served)
	case attempt.state == 1: // unknown
		server.missRecorded = server.missRecorded || enabled.recordMiss
		attempt.state, attempt.target = 2, attempt.home
	case server.missRecorded: // moved: as another router's clock is ahead
		if next := r.home[1]; next != attempt.target && attempt.hops == 0 {
			attempt.target, attempt.hops = next, 1
			return
		}
		finish(failed)
	default:
		server.ran = true
		m.runs++
		finish(served)
	}
}

// explore visits every state that can come about and returns the first that breaks a property, with their number.
func explore(enabled rules, r routes, maxCrashes, maxRestarts uint8) (violation string, states int) {
	initial := model{}
	for s := range initial.servers {
		initial.servers[s].up = true
	}
	seen := map[model]bool{initial: true}
	queue := []model{initial}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if m.runs > 1 {
			return fmt.Sprintf("a sheet ran %d times: %+v", m.runs, m), len(seen)
		}
		for _, attempt := range m.attempts {
			if maxCrashes == 0 && maxRestarts == 0 && attempt.state == 3 && attempt.afterAnswer && attempt.result != served {
				return fmt.Sprintf("a repeat was lost: %+v", m), len(seen)
			}
		}
		for _, n := range m.successors(enabled, r, maxCrashes, maxRestarts) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

var allRules = rules{askFormerHome: true, recordMiss: true, matchStart: true, excludeColdStart: true}

// Over all interleavings a keyed request never runs twice, and where nothing crashes no repeat of one that was answered is lost.
func TestModel(t *testing.T) {
	r := modelRoutes(t)
	if r.home[0] == r.home[1] || r.former[1] != r.home[0] || r.former[0] != serverCount || r.former[2] != serverCount {
		t.Fatalf("routes %+v", r)
	}
	for _, c := range []struct{ crashes, restarts uint8 }{{0, 0}, {1, 0}, {1, 1}, {2, 0}} {
		if testing.Short() && c.crashes+c.restarts > 1 {
			continue
		}
		violation, states := explore(allRules, r, c.crashes, c.restarts)
		t.Logf("%d crashes, %d restarts of routers: %d states", c.crashes, c.restarts, states)
		if violation != "" {
			t.Errorf("%+v: %s", c, violation)
		}
	}
}

// The checker finds the bug when a rule is left out.
func TestModelFindsBugs(t *testing.T) {
	r := modelRoutes(t)
	for name, change := range map[string]func(*rules){
		"former homes are not asked":           func(rs *rules) { rs.askFormerHome = false },
		"who was asked forgets it":             func(rs *rules) { rs.recordMiss = false },
		"a try is for any start":               func(rs *rules) { rs.matchStart = false },
		"who came back cold gets sheets again": func(rs *rules) { rs.excludeColdStart = false },
	} {
		enabled := allRules
		change(&enabled)
		if violation, states := explore(enabled, r, 1, 1); violation == "" {
			t.Errorf("%s: nothing is found in %d states", name, states)
		}
	}
}
