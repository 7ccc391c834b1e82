package proxy

import (
	"math"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// ShareQuota has this router share its cells with others: it is one of so many, and has a part for good where nobody else can be there
// under its name. It is called before the first request.
func (r *Runner) ShareQuota(most int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quota, r.quotaCapacity = quota.NewHolder(most, good), capacitySpan{}
	r.updateQuotaCapacity()
}

// capacitySpan is of which map, and from when until before when, Unix milliseconds, what there is to share is as it was told.
type capacitySpan struct {
	m           *cells.Map
	from, until int64
}

// updateQuotaCapacity tells the share what there is, under the lock. It runs over all servers and tenants, and only where the map is another one or
// the time has come at which one of them comes, goes or moves.
func (r *Runner) updateQuotaCapacity() {
	m, now := r.current.Load().Map, Wall()
	if at := now.UnixMilli(); r.quotaCapacity.m == m && r.quotaCapacity.from <= at && at < r.quotaCapacity.until {
		return
	}
	r.quota.SetCapacity(quota.CapacityOf(m, now))
	r.quotaCapacity = capacitySpan{m, now.UnixMilli(), math.MaxInt64}
	if next, ok := m.NextChange(now); ok {
		r.quotaCapacity.until = next.UnixMilli()
	}
}

// QuotaRequest is this router's word to the group, for its part in the cells.
func (r *Runner) QuotaRequest() (w quota.Request, told func(quota.Grant, lease.Terms)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.leaseClock()
	w = r.quota.Request(asked)
	return w, func(g quota.Grant, t lease.Terms) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		r.quota.TakeGrant(asked, w.Applied, g, t)
	}
}

// leaseClock is the clock by which parts end.
func (r *Runner) leaseClock() time.Duration { return time.Duration(float64(r.clock()) * Rate) }
