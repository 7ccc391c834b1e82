package proxy

import (
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/core"
)

// Status is what a router knows of its fleet, as a JSON object: the map in force, its servers and what was decided.
func (r *Runner) Status() []byte {
	m := r.current.Load()
	states, counts := r.States()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("map_version", a.NewNumberInt(m.Version))
	o.Set("map_read_ms_ago", a.NewNumberInt(int(time.Since(m.confirmedAt).Milliseconds())))
	o.Set("map_id", a.NewString(m.name))
	r.mu.Lock()
	rules := core.RulesStatus(&a, &r.versions, r.clock())
	rules.Set("standing", a.NewString(r.versions.Check(r.clock(), m.id).String()))
	r.mu.Unlock()
	o.Set("rules", rules)
	o.Set("worth_asked", a.NewNumberFloat64(float64(r.offeredWeight.Load())/1000))
	o.Set("worth_served", a.NewNumberFloat64(float64(r.servedWeight.Load())/1000))
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
		if at := m.Server(s.Name); at != nil {
			e.Set("cell", a.NewString(at.Cell))
		}
		list.SetArrayItem(i, e)
	}
	o.Set("servers", list)
	windows := a.NewObject()
	r.mu.Lock()
	for _, c := range m.Cells {
		limit, flying := r.tenants.Window(c.Name)
		w := a.NewObject()
		w.Set("window", a.NewNumberFloat64(limit))
		w.Set("flying", a.NewNumberInt(flying))
		windows.Set(c.Name, w)
	}
	o.Set("over_share", a.NewNumberInt(int(r.tenants.Rejected())))
	r.mu.Unlock()
	if r.quota != nil {
		// With the lock it runs over those that it was lent parts of or asked for, not over all tenants of all cells.
		r.mu.Lock()
		list, rest := r.quota.Rates(r.leaseClock())
		beyond := r.quota.Counts().Beyond
		r.mu.Unlock()
		each, others := map[string]*fastjson.Value{}, a.NewObject()
		parts := a.NewObject()
		for _, c := range m.Cells {
			each[c.Name] = a.NewObject()
			parts.Set(c.Name, each[c.Name])
			others.Set(c.Name, a.NewNumberFloat64(rest[c.Name]))
		}
		for k, p := range list {
			if e := each[k.Cell]; e != nil && p > 0 {
				e.Set(k.Tenant, a.NewNumberFloat64(p))
			}
		}
		o.Set("parts", parts)
		o.Set("parts_rest", others)
		o.Set("beyond_part", a.NewNumberInt(int(beyond)))
	}
	o.Set("cells", windows)
	tenants := a.NewObject()
	for t := range m.AllTenants() {
		if len(t.Homes) < 2 { // it has never moved: of a large map that is nearly everybody
			continue
		}
		if st, ok := m.MoveState(t.Name, time.Now()); ok {
			tenants.Set(t.Name, a.NewString(st.String()))
		}
	}
	o.Set("tenants", tenants)
	for _, c := range []struct {
		name string
		n    uint64
	}{
		{"ejected", counts.Ejected}, {"panicked", counts.Panicked}, {"retried", counts.Retried},
		{"retries_spent", counts.RetriesSpent}, {"hedged", counts.Hedged}, {"hedges_spent", counts.HedgesSpent},
		{"cold_back", counts.ColdBack},
	} {
		o.Set(c.name, a.NewNumberInt(int(c.n)))
	}
	return o.MarshalTo(nil)
}
