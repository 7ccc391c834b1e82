package proxy

import (
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
)

// Requests with an idempotency key. Inputs: the map in force, what is known of its version, and the states of the key's home and of its
// former homes. Such a request must take effect at most once, and only its home can tell whether it has run: so it is sent nowhere else,
// and once an attempt may have run it fails rather than being tried elsewhere. It fails too where this router can't know its home: by a
// map that it could not confirm for a lease, or that others contradict.

// maxHomes is the number of homes that a request is sent to: its home, and the next one where the first says that the key has moved.
const maxHomes = 2

// forwardToHome brings a request with a key to its home. Where a server knows of a newer map by which the request must not run there,
// it has not run by this attempt; where this router finds a newer map then, it tries once more by that one.
func (r *Runner) forwardToHome(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for second := false; ; second = true {
		if time.Since(m.confirmedAt) > m.Lease {
			return r.fail("stale_map") // the key may have moved, and have run elsewhere
		}
		if v := r.verdict(m); v != configstore.VerdictValid {
			return r.fail(v.String())
		}
		q.RulesID = m.name
		r.lastKeyedSent.Store(int64(r.clock()))
		Boundary("routed")
		a := r.forwardKeyed(q, m, route)
		if a.Reason != core.ReasonBehind || second {
			return a
		}
		r.Reload()
		newest := r.current.Load()
		ok := false
		if route, ok = newest.Route(Wall(), q.Tenant, q.Key); !ok || newest.Version == m.Version {
			return a
		}
		m = newest
	}
}

// forwardKeyed asks the former homes of a key whether they know it, and then sends the request to its home. What a former home answers
// is the answer; what no former home knows, the home runs.
func (r *Runner) forwardKeyed(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for _, former := range route.FormerHomes {
		if a, known := r.askFormerHome(q, former); known {
			return a
		}
	}
	home := route.Home
	for range maxHomes {
		a, moved := r.runAtHome(q, home)
		if !moved {
			return a
		}
		// Another router, whose clock is ahead, has asked here before it ran the request at its new home.
		next, ok := m.Route(Wall().Add(2*m.MaxClockSkew), q.Tenant, q.Key)
		if !ok || next.Home == home {
			return r.fail("moved_nowhere")
		}
		home = next.Home
	}
	return r.fail("moved_twice")
}

// askFormerHome asks a former home of a key whether it knows the request. Known is false where it surely does not; a former home that
// can't be asked may have run it, so that the request fails.
func (r *Runner) askFormerHome(q core.Request, former string) (a core.Answer, known bool) {
	if r.checkHome(q.Tenant, former) == loadbalancer.HomeLost {
		return r.fail("former_home_lost"), true
	}
	switch e := r.attempt(q, former, knownOnly); {
	case e.outcome == loadbalancer.Served:
		r.stats.Inc("fleet", "former_home")
		return core.Answer{Outcome: core.Served, Body: e.body}, true
	case e.outcome != loadbalancer.Rejected:
		return r.fail("former_home_" + e.counterName()), true
	case e.reason == core.ReasonUnknown || e.reason == core.ReasonMoved:
		return core.Answer{}, false
	case e.reason == core.ReasonBehind:
		return r.failOutdated("former_home_behind"), true
	default:
		return r.fail("former_home_" + e.counterName()), true
	}
}

// runAtHome sends a request to its home. Moved says that the home does not run it, as the key has moved on.
func (r *Runner) runAtHome(q core.Request, home string) (a core.Answer, moved bool) {
	switch r.checkHome(q.Tenant, home) {
	case loadbalancer.HomeLost:
		return r.fail("home_lost"), false
	case loadbalancer.HomeBusy:
		return r.reject("home_full"), false
	}
	e := r.attempt(q, home, mayRun)
	if e.outcome == loadbalancer.Served {
		return core.Answer{Outcome: core.Served, Body: e.body}, false
	}
	if e.outcome != loadbalancer.Rejected {
		return r.fail("home_" + e.counterName()), false
	}
	switch e.reason {
	case core.ReasonMoved:
		return core.Answer{}, true
	case core.ReasonBehind:
		return r.failOutdated("home_behind"), false
	case "":
		r.stats.Inc("fleet", "refused", "home")
		return core.Answer{Outcome: core.Rejected, RetryAfter: e.retryAfter, Final: e.final}, false
	}
	return r.fail("home_" + e.reason), false // it started anew, or may begin nothing: an earlier attempt may have run there
}

// checkHome tells what may be done with a tenant's request at a home.
func (r *Runner) checkHome(tenant, name string) loadbalancer.HomeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CheckHome(r.clock(), r.tenantInMap(tenant), name)
}
