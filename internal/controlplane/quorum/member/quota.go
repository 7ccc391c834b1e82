package member

import (
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/settings"
)

// This file sets the capacity in the leader's quota ledger and grants routers their quota of it.

// ledgerRefresh is the longest time before the ledger's capacity is computed again: tenants move by the wall clock, which may be set in
// between.
const ledgerRefresh = time.Minute

// capacityMap caches the parsed active cell map. If the map is in parts, only changed parts are parsed again.
type capacityMap struct {
	id        configstore.ID
	cellMap   *cells.Map
	refreshAt time.Time // when to compute the capacity again; zero: the ledger does not have the capacity of this map yet
}

// update parses the changes of the active cell map since the last call. It reports whether the map is valid.
func (c *capacityMap) update(active *configstore.Revision) bool {
	if c.cellMap != nil && c.id == active.ID {
		return true
	}
	var parsed *cells.Map
	var err error
	if active.InParts {
		old, changed := c.cellMap, map[string]string{}
		for name, p := range active.Parts {
			if old == nil || p.Version > c.id.Version {
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
	*c = capacityMap{id: active.ID, cellMap: parsed}
	return true
}

// updateLedger sets the ledger's capacity after a new cell map, and when the times in the map add or remove servers or move tenants. It
// reports whether the map is valid.
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

// grantQuota grants a router its quota in the cells that it shares with other routers. It returns nil if the router requests no quota, if
// there is no valid cell map, or if the ledger grants nothing. The ledger counts the quota as granted even if the reply is lost.
func (m *Member) grantQuota(request quorum.ConfigSync) *quota.Grant {
	d := m.state.Config.Documents[configstore.DocMap]
	if request.Quota == nil || d == nil || d.Active == nil {
		return nil
	}
	if !m.updateLedger(d.Active) {
		return nil
	}
	grant, ok := m.quotaLedger.Grant(m.clock(), request.Process.Name, *request.Quota)
	if !ok {
		m.stats.Inc("rules", "no_share")
		return nil
	}
	return &grant
}
