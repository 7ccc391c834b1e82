package proxy

import (
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/core"
	"silverpath/internal/policy/loadbalancer"
)

// Status returns the state of the router as a JSON object for operators: the map in force, its servers and the counts of decisions. The
// names in the object are an interface, described in docs/cells.md.
func (r *Runner) Status() []byte {
	m := r.current.Load()
	states, counts := r.States()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("map_version", a.NewNumberInt(m.Version))
	o.Set("map_read_ms_ago", a.NewNumberInt(int(time.Since(m.confirmedAt).Milliseconds())))
	o.Set("map_id", a.NewString(m.name))
	o.Set("rules", r.versionsStatus(&a, m))
	o.Set("worth_asked", a.NewNumberFloat64(float64(r.offeredWeight.Load())/1000))
	o.Set("worth_served", a.NewNumberFloat64(float64(r.servedWeight.Load())/1000))
	o.Set("servers", serversStatus(&a, m, states))
	windows, rejected := r.windowsStatus(&a, m)
	o.Set("over_share", rejected)
	if r.quota != nil {
		r.quotaStatus(&a, o, m)
	}
	o.Set("cells", windows)
	o.Set("tenants", migrationsStatus(&a, m))
	for _, c := range []struct {
		name string
		n    uint64
	}{
		{"ejected", counts.Ejected}, {"panicked", counts.Panicked}, {"retried", counts.Retried},
		{"retries_spent", counts.RetriesDenied}, {"hedged", counts.Hedged}, {"hedges_spent", counts.HedgesDenied},
		{"cold_back", counts.LostKeyRestarts},
	} {
		o.Set(c.name, a.NewNumberInt(int(c.n)))
	}
	return o.MarshalTo(nil)
}

// versionsStatus returns the versions of maps that were seen elsewhere, and the verdict on the map in force.
func (r *Runner) versionsStatus(a *fastjson.Arena, m *mapInForce) *fastjson.Value {
	r.mu.Lock()
	defer r.mu.Unlock()
	rules := core.RulesStatus(a, &r.versions, r.clock())
	rules.Set("standing", a.NewString(r.versions.Check(r.clock(), m.id).String()))
	return rules
}

// serversStatus returns the state of each server.
func serversStatus(a *fastjson.Arena, m *mapInForce, states []loadbalancer.ServerState) *fastjson.Value {
	list := a.NewArray()
	for i, s := range states {
		e := a.NewObject()
		e.Set("name", a.NewString(s.Name))
		e.Set("health", a.NewString(s.Health.String()))
		e.Set("circuit", a.NewString(s.Circuit.String()))
		e.Set("flying", a.NewNumberInt(s.InFlight))
		e.Set("latency_ms", a.NewNumberFloat64(s.Latency.Seconds()*1000))
		e.Set("fails", a.NewNumberFloat64(s.FailureRatio))
		e.Set("part", a.NewNumberFloat64(s.WarmupRatio))
		if s.LostKeys {
			e.Set("sheets_lost", a.NewTrue())
		} else {
			e.Set("sheets_lost", a.NewFalse())
		}
		if server := m.Server(s.Name); server != nil {
			e.Set("cell", a.NewString(server.Cell))
		}
		list.SetArrayItem(i, e)
	}
	return list
}

// windowsStatus returns the window of each cell, and the number of requests that were rejected by a window.
func (r *Runner) windowsStatus(a *fastjson.Arena, m *mapInForce) (windows, rejected *fastjson.Value) {
	windows = a.NewObject()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range m.Cells {
		limit, inFlight := r.tenants.Window(c.Name)
		w := a.NewObject()
		w.Set("window", a.NewNumberFloat64(limit))
		w.Set("flying", a.NewNumberInt(inFlight))
		windows.Set(c.Name, w)
	}
	return windows, a.NewNumberInt(int(r.tenants.Rejected()))
}

// quotaStatus adds to o the rates that this router may use, by cell and tenant. While it holds r.mu it iterates only over the rates that
// were granted or requested, not over all tenants of all cells.
func (r *Runner) quotaStatus(a *fastjson.Arena, o *fastjson.Value, m *mapInForce) {
	r.mu.Lock()
	rates, rest := r.quota.Rates(r.leaseClock())
	overQuota := r.quota.Counts().Rejected
	r.mu.Unlock()
	cellRates, unlisted := map[string]*fastjson.Value{}, a.NewObject()
	parts := a.NewObject()
	for _, c := range m.Cells {
		cellRates[c.Name] = a.NewObject()
		parts.Set(c.Name, cellRates[c.Name])
		unlisted.Set(c.Name, a.NewNumberFloat64(rest[c.Name]))
	}
	for k, rate := range rates {
		if e := cellRates[k.Cell]; e != nil && rate > 0 {
			e.Set(k.Tenant, a.NewNumberFloat64(rate))
		}
	}
	o.Set("parts", parts)
	o.Set("parts_rest", unlisted)
	o.Set("beyond_part", a.NewNumberInt(int(overQuota)))
}

// migrationsStatus returns the state of each tenant's latest migration. Tenants that never migrated, nearly all in a large map, are left
// out.
func migrationsStatus(a *fastjson.Arena, m *mapInForce) *fastjson.Value {
	tenants := a.NewObject()
	for t := range m.AllTenants() {
		if len(t.Homes) < 2 {
			continue
		}
		if st, ok := m.MoveState(t.Name, time.Now()); ok {
			tenants.Set(t.Name, a.NewString(st.String()))
		}
	}
	return tenants
}
