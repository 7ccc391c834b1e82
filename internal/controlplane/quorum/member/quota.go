package member

import (
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/settings"
)

// This file tells the leader's quota ledger what capacity there is to grant, and grants routers their part of it.

// ledgerRefresh is how long the ledger goes by what it was told, at most: the wall clock, by which tenants move, may be set meanwhile.
const ledgerRefresh = time.Minute

// capacityMap is the map that is in force. Of a map in parts only the parts that changed are read again.
type capacityMap struct {
	id        configstore.ID
	cellMap   *cells.Map
	refreshAt time.Time // when the capacity changes by the times in the map; zero: the ledger was not told of this map
}

// update reads what has changed in the map that is in force. It reports whether there is one that can be read.
func (g *capacityMap) update(active *configstore.Revision) bool {
	if g.cellMap != nil && g.id == active.ID {
		return true
	}
	var parsed *cells.Map
	var err error
	if active.InParts {
		old, changed := g.cellMap, map[string]string{}
		for name, p := range active.Parts {
			if old == nil || p.Version > g.id.Version {
				changed[name] = p.Text
			}
		}
		if len(changed) == len(active.Parts) {
			old = nil
		}
		parsed, err = settings.JoinCells(old, changed)
	} else {
		parsed, err = settings.ParseCells([]byte(active.Text))
	}
	if err != nil {
		return false
	}
	*g = capacityMap{id: active.ID, cellMap: parsed}
	return true
}

// updateLedger tells the ledger what capacity there is to grant: at a new map, and as servers come and go and tenants move by the times in
// it. It reports whether there is a map.
func (m *Member) updateLedger(active *configstore.Revision) bool {
	if !m.capacityMap.update(active) {
		return false
	}
	if now := time.Now(); !now.Before(m.capacityMap.refreshAt) {
		m.quotaLedger.SetCapacity(quota.CapacityOf(m.capacityMap.cellMap, now))
		m.capacityMap.refreshAt = now.Add(ledgerRefresh)
		if next, ok := m.capacityMap.cellMap.NextChange(now); ok && next.Before(m.capacityMap.refreshAt) {
			m.capacityMap.refreshAt = next
		}
		m.stats.Inc("rules", "lent_anew")
	}
	return true
}

// grantQuota is what a router is granted of the cells that it shares with others; nil: it shares none. It counts as granted from here on,
// whether or not the reply arrives.
func (m *Member) grantQuota(request quorum.ConfigSync) *quota.Grant {
	d := m.state.Config.Documents[configstore.DocMap]
	if request.Quota == nil || d == nil || d.Active == nil {
		return nil
	}
	if !m.updateLedger(d.Active) {
		return nil
	}
	grant, ok := m.quotaLedger.Lend(m.clock(), request.Process.Name, *request.Quota)
	if !ok {
		m.stats.Inc("rules", "no_share")
		return nil
	}
	return &grant
}
