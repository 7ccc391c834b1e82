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
	ask  bool // former homes are asked first
	mark bool // one that is asked for what it does not know remembers that, and runs it no more
	boot bool // an attempt is meant for one start of a server
	lost bool // a server that came back without its keyed requests gets none that it may have run
}

const (
	serversOf = 3
	tries     = 3
)

// modelServer is a server as the model has it.
type modelServer struct {
	up, ran, marked bool
	start           uint8
}

// modelRouter is a router: what it knows of the servers, and the phase that its clock shows.
type modelRouter struct {
	phase uint8 // 0 before, 1 dual, 2 after
	knows [serversOf]uint8
	lost  [serversOf]bool
}

// modelTry is one try under way.
type modelTry struct {
	state  uint8 // 0 not begun, 1 to ask, 2 to go home, 3 over
	router uint8
	to     uint8 // the server that it stands before
	home   uint8
	hops   uint8
	begun  uint8 // phase of its router then
	after  bool  // begun once the keyed request had run and been answered
	result uint8
}

const (
	none uint8 = iota
	served
	failed
)

// model is one state.
type model struct {
	servers  [serversOf]modelServer
	routers  [2]modelRouter
	tries    [tries]modelTry
	runs     uint8
	crashes  uint8
	restarts uint8
	answered bool
	early    bool // an attempt began before the move
}

// open reports whether an attempt that began before the move is under way.
func (m model) open() bool {
	for _, t := range m.tries {
		if (t.state == 1 || t.state == 2) && t.begun == 0 {
			return true
		}
	}
	return false
}

// routes are homes and former homes in the three phases, by the real map: former is serversOf for nobody.
type routes struct{ home, former [3]uint8 }

func routesOf(t *testing.T) routes {
	m := fleet(3) // s0 in a, s1 in b, s2 in c
	m.Tenants[0].Rate = 1
	p, err := m.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	var r routes
	number := func(name string) uint8 { return name[1] - '0' }
	for phase, at := range []time.Time{p.At.Add(-time.Millisecond), p.At, p.At.Add(p.Next.OverlapWindow())} {
		x, _ := p.Next.Route(at, "kvizmojster", "sheet")
		r.home[phase], r.former[phase] = number(x.Home), serversOf
		if len(x.FormerHomes) > 0 {
			r.former[phase] = number(x.FormerHomes[0])
		}
	}
	return r
}

// nexts are the states that may follow one.
func (m model) nexts(rs rules, r routes, crashes, restarts uint8) []model {
	var list []model
	add := func(change func(n *model)) {
		n := m
		change(&n)
		list = append(list, n)
	}
	for i := range m.routers {
		x := m.routers[i]
		// Clocks: one router may be ahead of the other by no more than the skew, so both are past the beginning before
		// either sees the end, and the dual stretch is longer than a caller's patience.
		if x.phase == 0 || x.phase == 1 && m.routers[1-i].phase >= 1 && !m.open() {
			add(func(n *model) { n.routers[i].phase++ })
		}
		if m.restarts < restarts { // a router that starts anew learns starts by health checks, and what was lost from them
			add(func(n *model) {
				n.restarts++
				for s := range n.servers {
					n.routers[i].knows[s], n.routers[i].lost[s] = n.servers[s].start, n.servers[s].start > 0
				}
				for k := range n.tries {
					if n.tries[k].router == uint8(i) && n.tries[k].state == 1 || n.tries[k].state == 2 && n.tries[k].router == uint8(i) {
						n.tries[k].state, n.tries[k].result = 3, failed
					}
				}
			})
		}
		for s := range m.servers { // a health check
			if m.servers[s].up && x.knows[s] != m.servers[s].start {
				add(func(n *model) { n.routers[i].knows[s], n.routers[i].lost[s] = n.servers[s].start, true })
			}
		}
	}
	for s := range m.servers {
		if m.servers[s].up && m.crashes < crashes {
			add(func(n *model) { n.crashes++; n.servers[s] = modelServer{start: n.servers[s].start} })
		}
		if !m.servers[s].up {
			add(func(n *model) { n.servers[s].up = true; n.servers[s].start++ })
		}
	}
	for k, t := range m.tries {
		switch t.state {
		case 0:
			if k > 0 && m.tries[k-1].state == 0 {
				continue // tries are alike
			}
			for i := range m.routers {
				phase := m.routers[i].phase
				if phase == 2 && (k == 0 || m.early) {
					continue // first tried after the move, or its window is over: the dual stretch is longer
				}
				add(func(n *model) {
					n.early = n.early || phase == 0
					n.tries[k] = modelTry{state: 2, begun: phase, router: uint8(i), to: r.home[phase], home: r.home[phase], after: n.answered}
					if f := r.former[phase]; f < serversOf && rs.ask {
						n.tries[k].state, n.tries[k].to = 1, f
					}
				})
			}
		case 1, 2:
			add(func(n *model) { n.step(k, rs, r) })
			add(func(n *model) { // the answer, if there is one, is lost on its way
				n.step(k, rs, r)
				if n.tries[k].state == 3 {
					n.tries[k].result = failed
					n.tries[k].after = false
				}
			})
		}
	}
	return list
}

// step is an attempt's arrival at the server that it stands before, and what its router makes of the answer: Runner.forwardKeyed.
func (m *model) step(k int, rs rules, r routes) {
	t := &m.tries[k]
	x, s := &m.routers[t.router], &m.servers[t.to]
	over := func(result uint8) {
		t.state, t.result = 3, result
		m.answered = m.answered || result == served
	}
	if rs.lost && x.lost[t.to] || !s.up {
		over(failed)
		return
	}
	if s.start != x.knows[t.to] {
		if rs.boot {
			x.knows[t.to], x.lost[t.to] = s.start, true
			over(failed)
			return
		}
	}
	switch {
	case s.ran:
		over(served)
	case t.state == 1: // unknown
		s.marked = s.marked || rs.mark
		t.state, t.to = 2, t.home
	case s.marked: // moved: as another router's clock is ahead
		if next := r.home[1]; next != t.to && t.hops == 0 {
			t.to, t.hops = next, 1
			return
		}
		over(failed)
	default:
		s.ran = true
		m.runs++
		over(served)
	}
}

// explore visits every state that can come about and returns the first that breaks a property, with their number.
func explore(rs rules, r routes, crashes, restarts uint8) (broken string, states int) {
	start := model{}
	for s := range start.servers {
		start.servers[s].up = true
	}
	seen := map[model]bool{start: true}
	queue := []model{start}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if m.runs > 1 {
			return fmt.Sprintf("a sheet ran %d times: %+v", m.runs, m), len(seen)
		}
		for _, t := range m.tries {
			if crashes == 0 && restarts == 0 && t.state == 3 && t.after && t.result != served {
				return fmt.Sprintf("a repeat was lost: %+v", m), len(seen)
			}
		}
		for _, n := range m.nexts(rs, r, crashes, restarts) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

var allRules = rules{ask: true, mark: true, boot: true, lost: true}

// Over all interleavings a keyed request never runs twice, and where nothing crashes no repeat of one that was answered is lost.
func TestModel(t *testing.T) {
	r := routesOf(t)
	if r.home[0] == r.home[1] || r.former[1] != r.home[0] || r.former[0] != serversOf || r.former[2] != serversOf {
		t.Fatalf("routes %+v", r)
	}
	for _, c := range []struct{ crashes, restarts uint8 }{{0, 0}, {1, 0}, {1, 1}, {2, 0}} {
		if testing.Short() && c.crashes+c.restarts > 1 {
			continue
		}
		broken, n := explore(allRules, r, c.crashes, c.restarts)
		t.Logf("%d crashes, %d restarts of routers: %d states", c.crashes, c.restarts, n)
		if broken != "" {
			t.Errorf("%+v: %s", c, broken)
		}
	}
}

// The checker finds the bug when a rule is left out.
func TestModelFindsBugs(t *testing.T) {
	r := routesOf(t)
	for name, change := range map[string]func(*rules){
		"former homes are not asked":           func(rs *rules) { rs.ask = false },
		"who was asked forgets it":             func(rs *rules) { rs.mark = false },
		"a try is for any start":               func(rs *rules) { rs.boot = false },
		"who came back cold gets sheets again": func(rs *rules) { rs.lost = false },
	} {
		rs := allRules
		change(&rs)
		if broken, n := explore(rs, r, 1, 1); broken == "" {
			t.Errorf("%s: nothing is found in %d states", name, n)
		}
	}
}
