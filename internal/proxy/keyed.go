package proxy

import (
	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
)

// forwardKeyed brings a keyed request to its home. Former homes are asked first whether they know it; one that can't be asked
// may have run it, so then it fails. What is answered there is the answer; what no former home knows, the home runs.
func (r *Runner) forwardKeyed(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for _, former := range route.FormerHomes {
		if r.checkHome(q.Tenant, former) == loadbalancer.HomeLost {
			return r.fail("former_home_lost")
		}
		switch e := r.attempt(q, former, true, q.Deadline); {
		case e.outcome == loadbalancer.Served:
			r.stats.Inc("fleet", "former_home")
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && (e.reason == core.ReasonUnknown || e.reason == core.ReasonMoved):
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonBehind:
			return r.failOutdated("former_home_behind")
		default:
			return r.fail("former_home_" + e.name())
		}
	}
	home := route.Home
	for range 2 {
		switch r.checkHome(q.Tenant, home) {
		case loadbalancer.HomeLost:
			return r.fail("home_lost")
		case loadbalancer.HomeBusy:
			return r.reject("home_full")
		}
		switch e := r.attempt(q, home, false, q.Deadline); {
		case e.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonMoved:
			// Another router, whose clock is ahead, has asked here before it ran the sheet in its new home.
			next, ok := m.Route(Wall().Add(2*m.MaxClockSkew), q.Tenant, q.Key)
			if !ok || next.Home == home {
				return r.fail("moved_nowhere")
			}
			home = next.Home
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonBehind:
			return r.failOutdated("home_behind")
		case e.outcome == loadbalancer.Rejected && e.reason != "":
			return r.fail("home_" + e.reason) // it started anew: an earlier try may have run before
		case e.outcome == loadbalancer.Rejected:
			r.stats.Inc("fleet", "refused", "home")
			return core.Answer{Outcome: core.Rejected, RetryAfter: e.retryAfter, Final: e.final}
		default:
			return r.fail("home_" + e.name())
		}
	}
	return r.fail("moved_twice")
}

func (r *Runner) checkHome(tenant, name string) loadbalancer.HomeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CheckHome(r.clock(), r.tenantInMap(tenant), name)
}
