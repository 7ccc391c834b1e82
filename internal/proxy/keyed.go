package proxy

import (
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
)

// Requests with an idempotency key. Inputs: the map in force, the verdict on its version, and the states of the key's home and of its former
// homes. Such a request must take effect at most once, and only its home and former homes have a record of its runs. So it is sent to no
// other server, and fails after an attempt that may have run, as a retry on another server could run it twice. It also fails if this router
// can't be sure of the home: if its map was not confirmed for a lease, or conflicts with another map of the same version.

// maxHomes is the number of homes that a request is sent to: its home, and the next one if the first answers that the key has moved.
const maxHomes = 2

// forwardToHome forwards a request with a key to its home. A server that has seen a newer map rejects the request without running it. If
// this router then loads a newer map, it tries once more with that map.
func (r *Runner) forwardToHome(req core.Request, m *mapInForce, route cells.Route) core.Answer {
	for retried := false; ; retried = true {
		if time.Since(m.confirmedAt) > m.Lease {
			return r.fail("stale_map") // the key may have moved since, and the request may have run at its new home
		}
		if v := r.verdict(m); v != configstore.VerdictValid {
			return r.fail(v.String())
		}
		req.RulesID = m.name
		r.lastKeyedSent.Store(int64(r.clock()))
		Boundary("routed")
		a := r.forwardKeyed(req, m, route)
		if a.Reason != core.ReasonBehind || retried {
			return a
		}
		r.Reload()
		newest := r.current.Load()
		ok := false
		if route, ok = newest.Route(Wall(), req.Tenant, req.Key); !ok || newest.Version == m.Version {
			return a
		}
		m = newest
	}
}

// forwardKeyed asks the former homes of a key for a result, and then sends the request to its home. A result of a former home is the
// answer; if no former home has a record of the key, the home runs the request.
func (r *Runner) forwardKeyed(req core.Request, m *mapInForce, route cells.Route) core.Answer {
	for _, former := range route.FormerHomes {
		if a, known := r.queryFormerHome(req, former); known {
			return a
		}
	}
	home := route.Home
	for range maxHomes {
		a, moved := r.runAtHome(req, home)
		if !moved {
			return a
		}
		// A router whose clock is ahead has already treated this home as a former one, and then sent the request to the new home.
		next, ok := m.Route(Wall().Add(2*m.MaxClockSkew), req.Tenant, req.Key)
		if !ok || next.Home == home {
			return r.fail("moved_nowhere")
		}
		home = next.Home
	}
	return r.fail("moved_twice")
}

// queryFormerHome asks a former home of a key whether it has a record of the request. Known is false only if it certainly has none. The
// request fails if the former home can't be asked, as it may have run there.
func (r *Runner) queryFormerHome(req core.Request, former string) (a core.Answer, known bool) {
	if r.checkHome(req.Tenant, former) == loadbalancer.HomeLost {
		return r.fail("former_home_lost"), true
	}
	switch res := r.attempt(req, former, knownOnly); {
	case res.outcome == loadbalancer.Served:
		r.stats.Inc("fleet", "former_home")
		return core.Answer{Outcome: core.Served, Body: res.body}, true
	case res.outcome != loadbalancer.Rejected:
		return r.fail("former_home_" + res.counterName()), true
	case res.reason == core.ReasonUnknown || res.reason == core.ReasonMoved:
		return core.Answer{}, false
	case res.reason == core.ReasonBehind:
		return r.failOutdated("former_home_behind"), true
	default:
		return r.fail("former_home_" + res.counterName()), true
	}
}

// runAtHome sends a request to its home. Moved reports that the home did not run it because the key has moved to another home.
func (r *Runner) runAtHome(req core.Request, home string) (a core.Answer, moved bool) {
	switch r.checkHome(req.Tenant, home) {
	case loadbalancer.HomeLost:
		return r.fail("home_lost"), false
	case loadbalancer.HomeBusy:
		return r.reject("home_full"), false
	}
	res := r.attempt(req, home, mayRun)
	if res.outcome == loadbalancer.Served {
		return core.Answer{Outcome: core.Served, Body: res.body}, false
	}
	if res.outcome != loadbalancer.Rejected {
		return r.fail("home_" + res.counterName()), false
	}
	switch res.reason {
	case core.ReasonMoved:
		return core.Answer{}, true
	case core.ReasonBehind:
		return r.failOutdated("home_behind"), false
	case "":
		r.stats.Inc("fleet", "refused", "home")
		return core.Answer{Outcome: core.Rejected, RetryAfter: res.retryAfter, Final: res.final}, false
	}
	return r.fail("home_" + res.reason), false // the home has restarted or must not start runs: an earlier attempt may have run there
}

// checkHome returns whether a tenant's request may be sent to a home.
func (r *Runner) checkHome(tenant, name string) loadbalancer.HomeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CheckHome(r.clock(), r.tenantInMap(tenant), name)
}
