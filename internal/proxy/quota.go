package proxy

import (
	"math"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// ShareQuota has this router share its cells with others: it is one of so many, and has a reserve where nobody else can be there under its
// name. It is called before the first request.
func (r *Runner) ShareQuota(maxRouters int, hasReserve bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quota, r.quotaCapacity = quota.NewHolder(maxRouters, hasReserve), capacitySpan{}
	r.updateQuotaCapacity()
}

// capacitySpan is the map and the time for which the capacity of cells was computed last.
type capacitySpan struct {
	m           *cells.Map
	from, until int64 // Unix milliseconds; until is the first one that is not in it
}

// updateQuotaCapacity sets the capacity of cells, under the lock. It runs over all servers and tenants, and only where the map is another
// one or the time has come at which one of them comes, goes or moves.
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

// QuotaRequest is this router's request to the group's leader, and what to call with the grant that answers it.
func (r *Runner) QuotaRequest() (request quota.Request, granted func(quota.Grant, lease.Terms)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestedAt := r.leaseClock()
	request = r.quota.Request(requestedAt)
	return request, func(g quota.Grant, t lease.Terms) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		r.quota.TakeGrant(requestedAt, request.Applied, g, t)
	}
}

// leaseClock is the clock by which the leases of grants end.
func (r *Runner) leaseClock() time.Duration { return time.Duration(float64(r.clock()) * Rate) }
