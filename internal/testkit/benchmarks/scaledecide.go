package benchmarks

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/slowstart"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
)

// The size of the whole fleet that the service is designed for.
const (
	scaleServers   = 930
	scaleCallers   = 13000
	scaleRoutes    = 17000
	scaleTenants   = 21000
	scaleZones     = 5
	scaleFollowers = 1400 // processes that follow documents: servers and routers
)

// measureCall returns the time of one call of f in microseconds and the objects that it allocates, averaged
// over at least 3 calls and 60 ms.
func measureCall(f func()) (us, objects float64) {
	f()
	runtime.GC() // collect the garbage of the setup first, so that it does not count
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	startedAt, n := time.Now(), 0
	for n < 3 || time.Since(startedAt) < 60*time.Millisecond {
		f()
		n++
	}
	took := time.Since(startedAt)
	runtime.ReadMemStats(&now)
	return took.Seconds() * 1e6 / float64(n), float64(now.Mallocs-before.Mallocs) / float64(n)
}

// decisions measures the decision code without processes, at sizes up to that of the whole fleet.
func (s *scale) decisions() error {
	for range s.repetitions {
		for _, f := range []func() error{s.decideTenants, s.decideServers, s.decideCallers, s.decideFollowers} {
			if err := f(); err != nil {
				return err
			}
		}
	}
	return nil
}

// decideTenants measures the code that handles a cell map, by the number of tenants.
func (s *scale) decideTenants() error {
	fixed := map[string]float64{"servers": scaleServers, "zones": scaleZones}
	now := time.Now()
	for _, n := range s.scaled(1000, 2500, 5000, 10000, scaleTenants) {
		m := scaleMap(serverAddrs(scaleServers), scaleZones, n)
		at := float64(n)
		k := 0
		us, objects := measureCall(func() {
			m.Route(now, m.Tenants[k%n].Name, "key") // spread over all tenants, so that a search covers half of them on average
			k += 7919
		})
		s.add("router.route.tenants", "us", "simulated", fixed, at, us)
		s.add("router.route_allocations.tenants", "1", "simulated", fixed, at, objects)
		text := settings.FormatCells(m)
		us, _ = measureCall(func() { _, _ = settings.ParseCells(text) })
		s.add("router.parse.tenants", "ms", "simulated", fixed, at, us/1000)
		next, err := settings.ParseCells(text)
		if err != nil {
			return err
		}
		next.Version++
		next.Tenants[0].Rate++
		startedAt := time.Now() // measured once, because the time grows quadratically
		if err := next.Follows(m, now); err != nil {
			return err
		}
		s.add("router.follows.tenants", "ms", "simulated", fixed, at, time.Since(startedAt).Seconds()*1000)
		startedAt = time.Now()
		capacities := quota.CapacityOf(m, now)
		s.add("leader.wholes.tenants", "ms", "simulated", fixed, at, time.Since(startedAt).Seconds()*1000)
		demand := map[string]map[string]float64{}
		for r := range 4 {
			demand[fmt.Sprint("r", r)] = map[string]float64{}
			for i := 0; i < n; i += scaleZones * 8 {
				demand[fmt.Sprint("r", r)][m.Tenants[i].Name] = 5
			}
		}
		startedAt = time.Now()
		quota.Targets(capacities[m.Cells[0].Name], demand)
		s.add("leader.targets.tenants", "ms", "simulated", map[string]float64{"servers": scaleServers, "zones": scaleZones, "routers": 4}, at, time.Since(startedAt).Seconds()*1000)
	}
	return nil
}

// newBalancer returns a router's balancer of n healthy servers, and the names of the servers.
func newBalancer(n int) (t *loadbalancer.Balancer, names []string) {
	t = loadbalancer.New(loadbalancer.Config{Seed: 1, KeyWindow: 20 * time.Second})
	weights := map[string]float64{}
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
		weights[names[i]] = 1
	}
	t.SetServers(time.Hour, weights)
	for _, name := range names {
		t.Answered(time.Hour, name, loadbalancer.Incarnation{Boot: 1, RanUntil: 1, Now: 2})
	}
	return t, names
}

// decideServers measures the routing and health check code, by the number of servers and of zones.
func (s *scale) decideServers() error {
	fixed := map[string]float64{"tenants": 1000, "zones": scaleZones}
	wall, now := time.Now(), time.Hour+time.Second
	sizes := s.scaled(60, 120, 240, 465, scaleServers)
	for _, n := range sizes {
		at := float64(n)
		m := scaleMap(serverAddrs(n), min(n, scaleZones), 1000)
		k := 0
		us, _ := measureCall(func() {
			m.Route(wall, m.Tenants[k%1000].Name, "key")
			k += 7
		})
		s.add("router.route.servers", "us", "simulated", fixed, at, us)
		if n == sizes[len(sizes)-1] { // the whole fleet, with fewer and with more zones
			for _, zones := range []int{1, 2, 5, 10, 20} {
				x := scaleMap(serverAddrs(n), zones, 1000)
				us, _ := measureCall(func() {
					x.Route(wall, x.Tenants[k%1000].Name, "key")
					k += 7
				})
				s.add("router.route.zones", "us", "simulated", map[string]float64{"tenants": 1000, "servers": scaleServers}, float64(zones), us)
			}
		}
		t, names := newBalancer(n)
		us, _ = measureCall(func() { t.Pick(now, "t", names, "") })
		s.add("router.pick.servers", "us", "simulated", nil, at, us)
		us, _ = measureCall(func() { t.States(now) })
		s.add("router.states.servers", "us", "simulated", nil, at, us)
		us, _ = measureCall(func() { // one round of health checks, each of which ends with the states of all servers
			for _, name := range names {
				t.Answered(now, name, loadbalancer.Incarnation{Boot: 1, RanUntil: 1, Now: 2})
				t.States(now)
			}
		})
		s.add("router.round.servers", "ms", "simulated", nil, at, us/1000)
		us, _ = measureCall(func() { m.Server(names[n/2]) })
		s.add("router.find.servers", "us", "simulated", nil, at, us)
	}
	return nil
}

// decideCallers measures how a cold server grants its room, by the number of callers. The server knows at
// most 1,024 callers at once. It grants nothing to further callers, so the cost does not grow beyond that
// number.
func (s *scale) decideCallers() error {
	for _, n := range s.scaled(60, 120, 240, 480, 1000, scaleCallers) {
		at := float64(n)
		x := slowstart.NewServer(0, 3)
		names := make([]string, n)
		now := time.Duration(0)
		const term = 1500 * time.Millisecond
		for i := range names {
			names[i] = fmt.Sprint("caller", i)
			x.Grant(now, names[i], 0, 400, term)
		}
		k := 0
		us, _ := measureCall(func() {
			x.Grant(now, names[k%n], 0, 400, term)
			k++
		})
		more := ""
		if n > 1024 { // the server knows at most 1,024 callers, so larger sizes are not part of the slope
			more = ".beyond"
		}
		s.add("server.part.callers"+more, "us", "simulated", map[string]float64{"room": 400}, at, us)
		s.add("server.round.callers"+more, "ms", "simulated", map[string]float64{"room": 400}, at, us*at/1000)
	}
	return nil
}

// decideFollowers measures the code of a group's leader, by the number of processes that follow documents.
func (s *scale) decideFollowers() error {
	terms := lease.Terms{TTL: scaleLease, Drift: 0.05}
	for _, n := range s.scaled(60, 120, 240, 465, 1000, scaleFollowers) {
		at := float64(n)
		b, w := configstore.NewStore(), configstore.NewProcessMonitor(terms)
		w.StartLeading(0)
		if _, err := b.Apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocRouting, Text: "{}"}); err != nil {
			return err
		}
		refused := 0
		var users []configstore.Process
		for i := range n {
			u := configstore.Process{Name: fmt.Sprint("p", i), Formats: map[string]int{configstore.DocRouting: 1}, Prepared: map[string]int{configstore.DocRouting: 1}}
			users = append(users, u)
			if _, err := b.Apply(configstore.Change{Op: configstore.OpRegister, Process: &u}); err != nil {
				refused++
			}
		}
		s.add("leader.refused.followers", "%", "simulated", nil, at, 100*float64(refused)/at)
		for round := range 120 { // two minutes of observations
			for _, u := range users {
				w.Observe(u.Name, time.Duration(round)*time.Second, nil, configstore.Goodput{}, "")
			}
		}
		now := 120 * time.Second
		k := 0
		us, _ := measureCall(func() {
			w.Observe(users[k%n].Name, now, nil, configstore.Goodput{}, "")
			k++
		})
		s.add("leader.heard.followers", "us", "simulated", nil, at, us)
		d := b.Documents[configstore.DocRouting]
		us, _ = measureCall(func() { b.WaitingFor(d) })
		s.add("leader.waits.followers", "us", "simulated", nil, at, us)
		us, _ = measureCall(func() { w.Proposals(b, now) })
		s.add("leader.due.followers", "us", "simulated", nil, at, us)
		st := statemachine.New(1)
		st.Config = b
		size := 0
		us, _ = measureCall(func() {
			text, _ := st.Snapshot()
			size = len(text)
		})
		s.add("member.snapshot.followers", "ms", "simulated", nil, at, us/1000)
		s.add("member.snapshot_size.followers", "KB", "simulated", nil, at, float64(size)/1024)
	}
	return nil
}

// losses removes a machine, a rack, a zone and a region in simulated time. It measures which keys lose their
// home, which have no home in the changed map, which others move, and when a router considers the servers
// dead.
func (s *scale) losses() error {
	const perRack, keys = 20, 4000
	fixed := map[string]float64{"servers": scaleServers, "zones": scaleZones, "tenants": scaleTenants, "check_ms": float64(scaleCheck.Milliseconds())}
	rng := rand.New(rand.NewPCG(1, 1))
	m := scaleMap(serverAddrs(scaleServers), scaleZones, scaleTenants)
	zone := func(z int) (list []string) {
		for i, x := range m.Servers {
			if i%scaleZones == z {
				list = append(list, x.Name)
			}
		}
		return list
	}
	wall := time.Now()
	type home struct{ tenant, key, at string }
	var homes []home
	for i := range keys {
		h := home{tenant: m.Tenants[rng.IntN(scaleTenants)].Name, key: fmt.Sprint("key", i)}
		r, ok := m.Route(wall, h.tenant, h.key)
		if !ok {
			return fmt.Errorf("cell map has no home for tenant %s", h.tenant)
		}
		h.at = r.Home
		homes = append(homes, h)
	}
	for _, loss := range []struct {
		unit    string
		servers []string
	}{{"machine", zone(0)[:1]}, {"rack", zone(0)[:perRack]}, {"zone", zone(0)}, {"region", slices.Concat(zone(0), zone(1))}} {
		isGone := map[string]bool{}
		for _, name := range loss.servers {
			isGone[name] = true
		}
		at := float64(len(isGone))
		after := *m
		after.Servers = slices.DeleteFunc(slices.Clone(m.Servers), func(x cells.Server) bool { return isGone[x.Name] })
		lost, moved, homeless := 0, 0, 0
		for _, h := range homes {
			if isGone[h.at] {
				lost++
			}
			r, ok := after.Route(wall, h.tenant, h.key)
			switch {
			case !ok:
				homeless++
			case r.Home != h.at && !isGone[h.at]:
				moved++
			}
		}
		s.add("router.keys_lost.servers_lost", "%", "simulated", fixed, at, 100*float64(lost)/keys)
		s.add("router.keys_nowhere.servers_lost", "%", "simulated", fixed, at, 100*float64(homeless)/keys)
		s.add("router.others_moved.servers_lost", "%", "simulated", fixed, at, 100*float64(moved)/keys)
		for _, mode := range []string{"refusing", "silent"} { // a powered-off machine sends nothing, so each check times out after 1 s
			delay := s.deadAfter(loss.servers, mode == "silent")
			s.add("router.dead_after.servers_lost."+mode, "ms", "simulated", fixed, at, delay.Seconds()*1000)
		}
	}
	return nil
}

// deadAfter returns how long after a loss, in simulated time and at the latest, a router considers all lost
// servers dead. If silent is set, a check of a lost server ends after a timeout of 1 s; otherwise it fails at
// once.
func (s *scale) deadAfter(lostServers []string, silent bool) time.Duration {
	t, names := newBalancer(scaleServers)
	isLost := map[string]bool{}
	for _, name := range lostServers {
		isLost[name] = true
	}
	lost, wait := time.Hour+time.Second, time.Duration(0)
	if silent {
		wait = time.Second
	}
	for now := lost + scaleCheck; ; now += wait + scaleCheck { // the previous check was just before the loss
		for _, name := range names {
			if isLost[name] {
				t.Unreachable(now+wait, name)
			} else {
				t.Answered(now, name, loadbalancer.Incarnation{Boot: 1, RanUntil: 1, Now: 2})
			}
		}
		if !slices.ContainsFunc(t.States(now+wait), func(x loadbalancer.ServerState) bool { return isLost[x.Name] && x.Health != loadbalancer.Dead }) {
			return now + wait - lost
		}
	}
}
