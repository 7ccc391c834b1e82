package cells

import "time"

// Migrations of a tenant between cells. Inputs: the tenant's homes and the time. The time alone determines the state, so routers do not
// communicate about it.

// State is the state of a tenant's latest migration.
type State int

// The states of a migration.
const (
	Settled  State = iota // the tenant has one cell, and no repeat of a keyed request from another cell can arrive
	Prepared              // announced, not yet in force; ends at Home.Since, at least Lease and MaxClockSkew after the announcement
	Dual                  // in force, former homes are asked first; ends after OverlapWindow
	Draining              // former homes are not asked any more and may still be answering; ends after CallerTimeout
	Aborted               // reverted: Dual in the opposite direction
)

// String returns the state's name in the status of a router and in the output of commands.
func (s State) String() string {
	return [...]string{"settled", "prepared", "dual", "draining", "aborted"}[s]
}

// MoveState returns the state of a tenant's latest migration at a time. It reports false if the map has no entry for the tenant.
func (m *Map) MoveState(tenant string, now time.Time) (State, bool) {
	t := m.tenant(tenant, false)
	if t == nil {
		return Settled, false
	}
	return m.moveState(t, now.UnixMilli()), true
}

// moveState is MoveState for an entry of the map, at a time in Unix milliseconds.
func (m *Map) moveState(t *Tenant, at int64) State {
	if len(t.Homes) < 2 {
		return Settled
	}
	last := t.Homes[len(t.Homes)-1]
	switch since := at - last.Since; {
	case since < 0 && last.IsAbort:
		return Dual // the migration stays in force until its abort takes effect
	case since < 0:
		return Prepared
	case since < m.OverlapWindow().Milliseconds() && last.IsAbort:
		return Aborted
	case since < m.OverlapWindow().Milliseconds():
		return Dual
	case since < (m.OverlapWindow() + m.CallerTimeout).Milliseconds():
		return Draining
	}
	return Settled
}
