package proxy

import (
	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
)

// The way of a request: its cell by the map, admission to the cell, then its home or any server of its tenant.

// route is one request's way through the fleet, from the map to its answer.
func (r *Runner) route(q core.Request, class silverpath.Class) (a core.Answer) {
	m := r.current.Load()
	keyed := class.Effect == silverpath.Idempotent && q.Key != ""
	key := ""
	if keyed {
		key = q.Key
	}
	route, ok := m.Route(Wall(), q.Tenant, key)
	if !ok {
		return r.reject("no_cell")
	}
	if !r.admit(m, q.Tenant, route) {
		if keyed { // another router may have forwarded an attempt of it, and only its home can tell
			return r.fail("over_share")
		}
		return r.reject("over_share")
	}
	defer func() { r.done(m, q.Tenant, route, a) }()
	if keyed {
		return r.forwardToHome(q, m, route)
	}
	// A request of an idempotent class that has no key can't be told from another one: it is retried only on proof that it never ran,
	// like whatever must run at most once.
	return r.forwardAnywhere(q, route, class.Effect == silverpath.Safe)
}

// admit reports whether a tenant may send one more request into its cell: within the quota that this router was lent, where routers
// share the cell, and within the tenant's share of the cell's window.
func (r *Runner) admit(m *mapInForce, tenant string, route cells.Route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, rate := m.AgreedRate(tenant)
	if r.quota != nil {
		// By what this router was lent of the tenant's rate, in place of what was agreed for all routers.
		k, now := quota.Key{Cell: route.Cell, Tenant: name}, r.leaseClock()
		if !r.quota.Admit(now, k) {
			return false
		}
		rate = r.quota.Rate(now, k)
	}
	return r.tenants.Admit(r.clock(), route.Cell, name, rate, len(route.Servers))
}

// tenantInMap is a tenant's name as the map has it, which bounds how many there are. It is called under the lock.
func (r *Runner) tenantInMap(tenant string) string {
	name, _ := r.current.Load().AgreedRate(tenant)
	return name
}

// done ends what admit let in. A failure says nothing of the cell's capacity.
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

// reject rejects a request, which has not run, and counts why.
func (r *Runner) reject(why string) core.Answer {
	r.stats.Inc("fleet", "refused", why)
	return core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
}

// fail fails a request, which may have run, and counts why.
func (r *Runner) fail(why string) core.Answer {
	r.stats.Inc("fleet", "failed", why)
	return core.Answer{Outcome: core.Failed}
}

// failOutdated is fail where a server knows of a newer map, by which the request may have to run elsewhere.
func (r *Runner) failOutdated(why string) core.Answer {
	a := r.fail(why)
	a.Reason = core.ReasonBehind
	return a
}
