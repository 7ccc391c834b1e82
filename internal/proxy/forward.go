package proxy

import (
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
)

// route is one request's way through the fleet, from the map to its answer.
func (r *Runner) route(q core.Request, class silverpath.Class) (a core.Answer) {
	m := r.current.Load()
	keyed := class.Effect == silverpath.Idempotent && q.Key != ""
	key := ""
	if keyed {
		key = q.Key
	}
	route, ok := m.Route(Wall(), q.Tenant, key)
	if ok && !r.admit(m, q.Tenant, route) {
		if keyed { // another router may have handed on a try of it, and only its home can tell
			return r.fail("over_share")
		}
		return r.reject("over_share")
	}
	if ok {
		defer func() { r.done(m, q.Tenant, route, a) }()
	}
	switch {
	case !ok:
		return r.reject("no_cell")
	case keyed:
		return r.forwardToHome(q, m, route)
	}
	// A keyed class's request without a key can't be told from another one: it is tried elsewhere only on proof, like
	// whatever must run at most once.
	return r.forwardAnywhere(q, route, class.Effect == silverpath.Safe)
}

// forwardToHome is a sheet's way to its home. Where a server knows of rules by which it must not run there, it has not run by this try,
// and where this router then finds newer ones, they are asked once.
func (r *Runner) forwardToHome(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for anew := false; ; anew = true {
		if time.Since(m.confirmedAt) > m.Lease {
			return r.fail("stale_map") // it may have been moved, and run elsewhere
		}
		if v := r.verdict(m); v != configstore.VerdictValid {
			return r.fail(v.String())
		}
		q.RulesID = m.name
		r.lastKeyedSent.Store(int64(r.clock()))
		Boundary("routed")
		a := r.forwardKeyed(q, m, route)
		if a.Reason != core.ReasonBehind || anew {
			return a
		}
		r.Reload()
		now := r.current.Load()
		ok := false
		if route, ok = now.Route(Wall(), q.Tenant, q.Key); !ok || now.Version == m.Version {
			return a
		}
		m = now
	}
}

// admit reports whether a tenant may send one more request into its cell.
func (r *Runner) admit(m *mapInForce, tenant string, route cells.Route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, rate := m.AgreedRate(tenant)
	if r.quota != nil {
		// By its part of what all routers share in place of what was agreed for all of them.
		k, now := quota.Key{Cell: route.Cell, Tenant: name}, r.leaseClock()
		if !r.quota.Admit(now, k) {
			return false
		}
		rate = r.quota.Rate(now, k)
	}
	return r.tenants.Admit(r.clock(), route.Cell, name, rate, len(route.Servers))
}

// tenantInMap is a tenant's name as the map has it, which bounds how many there are.
func (r *Runner) tenantInMap(tenant string) string {
	name, _ := r.current.Load().AgreedRate(tenant)
	return name
}

// done ends what admit let in. A failure says nothing of the cell's room.
func (r *Runner) done(m *mapInForce, tenant string, route cells.Route, a core.Answer) {
	o := loadbalancer.Failed
	switch a.Outcome {
	case core.Served:
		o = loadbalancer.Served
	case core.Rejected:
		o = loadbalancer.Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := m.AgreedRate(tenant)
	r.tenants.Done(r.clock(), route.Cell, name, o)
}

func (r *Runner) reject(why string) core.Answer {
	r.stats.Inc("fleet", "refused", why)
	return core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
}

func (r *Runner) fail(why string) core.Answer {
	r.stats.Inc("fleet", "failed", why)
	return core.Answer{Outcome: core.Failed}
}

// failOutdated is the answer where a server knows of newer rules, which may have the sheet run elsewhere.
func (r *Runner) failOutdated(why string) core.Answer {
	a := r.fail(why)
	a.Reason = core.ReasonBehind
	return a
}
