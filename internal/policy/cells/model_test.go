package cells

import (
	"fmt"
	"testing"
	"time"
)

// This file checks a model of a keyed request that is attempted repeatedly while its tenant moves, over all interleavings. The model has
// two routers whose clocks differ, three servers, crashes and cold restarts of servers, restarts of routers, and lost answers. Its routes
// come from Map.Route at three times: before the move, in the state Dual, and after it.

// rules are the rules that keep a keyed request from running twice. A test disables each of them in turn.
type rules struct {
	askFormerHome    bool // a router asks the former home first
	recordMiss       bool // a former home that does not know the key records that it was asked, and does not run the request afterwards
	matchStart       bool // a server rejects an attempt that was sent to an earlier start of it
	excludeColdStart bool // a restarted server that lost its keyed requests gets none that it may have run
}

const (
	serverCount  = 3
	attemptCount = 3
)

// modelServer is the state of a server.
type modelServer struct {
	up, ran, missRecorded bool
	start                 uint8
}

// modelRouter is the state of a router: the phase of the move by its clock, the last start number that it saw of each server, and whether
// each server may have lost its keyed requests.
type modelRouter struct {
	phase       uint8 // 0: before the move, 1: Dual, 2: after
	knownStart  [serverCount]uint8
	mayHaveLost [serverCount]bool
}

// modelAttempt is the state of one attempt of the request.
type modelAttempt struct {
	state       uint8 // 0: not started, 1: asking the former home, 2: sent to the home, 3: finished
	router      uint8
	target      uint8 // the server that it is sent to
	home        uint8
	hops        uint8
	startPhase  uint8 // phase of its router when it started
	afterAnswer bool  // it started after an earlier attempt was answered
	result      uint8
}

const (
	none uint8 = iota
	served
	failed
)

// model is one state of the whole system.
type model struct {
	servers             [serverCount]modelServer
	routers             [2]modelRouter
	attempts            [attemptCount]modelAttempt
	runs                uint8
	crashes             uint8
	routerRestarts      uint8
	answered            bool
	attemptedBeforeMove bool // an attempt started before the move
}

// hasOldAttempt reports whether an attempt that started before the move is still in progress.
func (m model) hasOldAttempt() bool {
	for _, t := range m.attempts {
		if (t.state == 1 || t.state == 2) && t.startPhase == 0 {
			return true
		}
	}
	return false
}

// routes has the key's home and former home in each of the three phases. A former home of serverCount means none.
type routes struct{ home, former [3]uint8 }

// modelRoutes computes the routes with a map that moves the tenant from cell a to cell b.
func modelRoutes(t *testing.T) routes {
	cellMap := fleet(3) // s0 in a, s1 in b, s2 in c
	cellMap.Tenants[0].Rate = 1
	plan, err := cellMap.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	var r routes
	serverNumber := func(name string) uint8 { return name[1] - '0' }
	for phase, at := range []time.Time{plan.EffectiveAt.Add(-time.Millisecond), plan.EffectiveAt, plan.EffectiveAt.Add(plan.Next.OverlapWindow())} {
		route, _ := plan.Next.Route(at, "kvizmojster", "sheet")
		r.home[phase], r.former[phase] = serverNumber(route.Home), serverCount
		if len(route.FormerHomes) > 0 {
			r.former[phase] = serverNumber(route.FormerHomes[0])
		}
	}
	return r
}

// successors returns the states that can follow a state.
func (m model) successors(enabled rules, r routes, maxCrashes, maxRestarts uint8) []model {
	var list []model
	add := func(change func(n *model)) {
		n := m
		change(&n)
		list = append(list, n)
	}
	for i := range m.routers {
		router := m.routers[i]
		// The clocks of the routers differ by at most MaxClockSkew, so both routers are past the start of the overlap before either
		// sees its end. The overlap is longer than CallerTimeout.
		if router.phase == 0 || router.phase == 1 && m.routers[1-i].phase >= 1 && !m.hasOldAttempt() {
			add(func(n *model) { n.routers[i].phase++ })
		}
		if m.routerRestarts < maxRestarts { // a restarted router learns from health checks each server's start number and whether it may have lost keys
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
				continue // the attempts are interchangeable
			}
			for i := range m.routers {
				phase := m.routers[i].phase
				if phase == 2 && (k == 0 || m.attemptedBeforeMove) {
					continue // the first attempt is after the move, or the key window has ended, as the overlap is longer
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
			add(func(n *model) { // as above, but the answer, if there is one, is lost
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

// arrive delivers an attempt to its target and applies the router's reaction to the answer, as proxy.Runner.forwardKeyed does.
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
	case attempt.state == 1: // the former home does not know the key
		server.missRecorded = server.missRecorded || enabled.recordMiss
		attempt.state, attempt.target = 2, attempt.home
	case server.missRecorded: // a router whose clock is ahead has asked this server, so the tenant has moved
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

// explore visits every reachable state. It returns a description of the first one that violates a property, empty for none, and the
// number of states.
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
			return fmt.Sprintf("the request ran %d times: %+v", m.runs, m), len(seen)
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

// A keyed request never runs twice in any interleaving. Without crashes and restarts, no repeat of an answered request fails.
func TestModel(t *testing.T) {
	r := modelRoutes(t)
	if r.home[0] == r.home[1] || r.former[1] != r.home[0] || r.former[0] != serverCount || r.former[2] != serverCount {
		t.Fatalf("unexpected routes: %+v", r)
	}
	for _, c := range []struct{ crashes, restarts uint8 }{{0, 0}, {1, 0}, {1, 1}, {2, 0}} {
		if testing.Short() && c.crashes+c.restarts > 1 {
			continue
		}
		violation, states := explore(allRules, r, c.crashes, c.restarts)
		t.Logf("%d crashes, %d router restarts: %d states", c.crashes, c.restarts, states)
		if violation != "" {
			t.Errorf("%+v: %s", c, violation)
		}
	}
}

// Guards against a model too weak to notice a missing rule: with any one rule disabled, explore must find a violation.
func TestModelFindsBugs(t *testing.T) {
	r := modelRoutes(t)
	for name, change := range map[string]func(*rules){
		"former homes are not asked":        func(rs *rules) { rs.askFormerHome = false },
		"a miss is not recorded":            func(rs *rules) { rs.recordMiss = false },
		"an attempt matches any start":      func(rs *rules) { rs.matchStart = false },
		"a cold server gets keyed requests": func(rs *rules) { rs.excludeColdStart = false },
	} {
		enabled := allRules
		change(&enabled)
		if violation, states := explore(enabled, r, 1, 1); violation == "" {
			t.Errorf("%s: no violation found in %d states", name, states)
		}
	}
}
