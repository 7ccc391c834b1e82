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

// grantableMap is the map that is in force. Of a map in parts only the parts that changed are read again.
type grantableMap struct {
	id        configstore.ID
	cellMap   *cells.Map
	refreshAt time.Time // when the capacity changes by the times in the map; zero: the ledger was not told of this map
}

// update reads what has changed in the map that is in force. It reports whether there is one that can be read.
func (g *grantableMap) update(e *configstore.Revision) bool {
	if g.cellMap != nil && g.id == e.ID {
		return true
	}
	var of *cells.Map
	var err error
	if e.InParts {
		old, changed := g.cellMap, map[string]string{}
		for name, p := range e.Parts {
			if old == nil || p.Version > g.id.Version {
				changed[name] = p.Text
			}
		}
		if len(changed) == len(e.Parts) {
			old = nil
		}
		of, err = settings.JoinCells(old, changed)
	} else {
		of, err = settings.ParseCells([]byte(e.Text))
	}
	if err != nil {
		return false
	}
	*g = grantableMap{id: e.ID, cellMap: of}
	return true
}

// updateLedger tells the ledger what capacity there is to grant: at a new map, and as servers come and go and tenants move by the times in
// it. It reports whether there is a map.
func (m *Member) updateLedger(e *configstore.Revision) bool {
	if !m.grantable.update(e) {
		return false
	}
	if now := time.Now(); !now.Before(m.grantable.refreshAt) {
		m.quotaLedger.SetCapacity(quota.CapacityOf(m.grantable.cellMap, now))
		m.grantable.refreshAt = now.Add(ledgerRefresh)
		if next, ok := m.grantable.cellMap.NextChange(now); ok && next.Before(m.grantable.refreshAt) {
			m.grantable.refreshAt = next
		}
		m.stats.Inc("rules", "lent_anew")
	}
	return true
}

// grantQuota is what a router is granted of the cells that it shares with others; nil: it shares none. It counts as granted from here on,
// whether or not the reply arrives.
func (m *Member) grantQuota(s quorum.ConfigSync) *quota.Grant {
	d := m.state.Config.Documents[configstore.DocMap]
	if s.Quota == nil || d == nil || d.Active == nil {
		return nil
	}
	if !m.updateLedger(d.Active) {
		return nil
	}
	g, ok := m.quotaLedger.Lend(m.clock(), s.Process.Name, *s.Quota)
	if !ok {
		m.stats.Inc("rules", "no_share")
		return nil
	}
	return &g
}
