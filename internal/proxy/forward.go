package proxy

import (
	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
)

// The path of a request: the map gives its cell, the request is admitted to the cell, and then it goes to its home or to any server of
// its tenant.

// route routes a request by the map in force, admits it to its cell, forwards it, and returns the answer.
func (r *Runner) route(req core.Request, class silverpath.Class) (a core.Answer) {
	m := r.current.Load()
	keyed := class.Effect == silverpath.Idempotent && req.Key != ""
	key := ""
	if keyed {
		key = req.Key
	}
	route, ok := m.Route(Wall(), req.Tenant, key)
	if !ok {
		return r.reject("no_cell")
	}
	if !r.admit(m, req.Tenant, route) {
		if keyed { // another router may have sent it to its home, so it may have run
			return r.fail("over_share")
		}
		return r.reject("over_share")
	}
	defer func() { r.done(m, req.Tenant, route, a) }()
	if keyed {
		return r.forwardToHome(req, m, route)
	}
	// Without a key, a server can't recognise a repeat, even of an idempotent class: such a request is retried only on proof that it
	// never ran, like one of a non-idempotent class.
	return r.forwardAnywhere(req, route, class.Effect == silverpath.Safe)
}

// admit reports whether a tenant may send one more request to its cell. The request must be within this router's quota, if routers share
// cells, and within the tenant's share of the cell's window. An admitted request has to be ended by done.
func (r *Runner) admit(m *mapInForce, tenant string, route cells.Route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, rate := m.AgreedRate(tenant)
	if r.quota != nil {
		// The rate that was granted to this router replaces the agreed one, which is for all routers together.
		k, now := quota.Key{Cell: route.Cell, Tenant: name}, r.leaseClock()
		if !r.quota.Admit(now, k) {
			return false
		}
		rate = r.quota.Rate(now, k)
	}
	return r.tenants.Admit(r.clock(), route.Cell, name, rate, len(route.Servers))
}

// tenantInMap returns the name under which the map lists a tenant. State per tenant uses this name, so that its size is bounded by the
// map. The caller holds r.mu.
func (r *Runner) tenantInMap(tenant string) string {
	name, _ := r.current.Load().AgreedRate(tenant)
	return name
}

// done releases a request that admit has admitted, and records its outcome. A failure does not change the cell's window.
func (r *Runner) done(m *mapInForce, tenant string, route cells.Route, a core.Answer) {
	outcome := loadbalancer.Failed
	switch a.Outcome {
	case core.Served:
		outcome = loadbalancer.Served
	case core.Rejected:
		outcome = loadbalancer.Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := m.AgreedRate(tenant)
	r.tenants.Done(r.clock(), route.Cell, name, outcome)
}

// reject returns the rejection of a request that has not run, and counts it under reason.
func (r *Runner) reject(reason string) core.Answer {
	r.stats.Inc("fleet", "refused", reason)
	return core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
}

// fail returns the failure of a request that may have run, and counts it under reason.
func (r *Runner) fail(reason string) core.Answer {
	r.stats.Inc("fleet", "failed", reason)
	return core.Answer{Outcome: core.Failed}
}

// failOutdated is like fail, for a server that has seen a newer map, by which the request may belong to another home.
func (r *Runner) failOutdated(reason string) core.Answer {
	a := r.fail(reason)
	a.Reason = core.ReasonBehind
	return a
}
