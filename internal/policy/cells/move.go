package cells

import "time"

// Migrations of a tenant between cells. Inputs: the tenant's homes and the time. Each state is entered and left by the time alone, so
// that routers need no word of each other.

// State is the state of a tenant's latest migration.
type State int

// The states of a migration.
const (
	Settled  State = iota // it lives in one cell, and no repeat can come from another
	Prepared              // announced, not yet in force: left when its time comes, Lease and MaxClockSkew after the announcement at least
	Dual                  // in force: former homes are asked first; left after OverlapWindow
	Draining              // nobody is asked any more; former homes may still have answers to give: left after CallerTimeout
	Aborted               // taken back: Dual in the other direction
)

// String is the state's name in the status of a router and in what commands print.
func (s State) String() string {
	return [...]string{"settled", "prepared", "dual", "draining", "aborted"}[s]
}

// MoveState is the state of a tenant's latest migration at a time. It reports false where the map has no such tenant.
func (m *Map) MoveState(tenant string, now time.Time) (State, bool) {
	t := m.tenant(tenant, false)
	if t == nil {
		return Settled, false
	}
	return m.moveState(t, now.UnixMilli()), true
}

func (m *Map) moveState(t *Tenant, at int64) State {
	if len(t.Homes) < 2 {
		return Settled
	}
	last := t.Homes[len(t.Homes)-1]
	switch since := at - last.Since; {
	case since < 0 && last.IsAbort:
		return Dual // the move still holds until its abort does
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
