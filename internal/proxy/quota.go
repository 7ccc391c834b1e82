package proxy

import (
	"math"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// EnableQuota makes the router use its cells under a quota, as one of at most maxRouters. HasReserve says that no other process can have this
// router's name; the router then also has a reserve, which needs no grant. EnableQuota is called before the first request.
func (r *Runner) EnableQuota(maxRouters int, hasReserve bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quota, r.quotaCapacity = quota.NewHolder(maxRouters, hasReserve), capacitySpan{}
	r.updateQuotaCapacity()
}

// capacitySpan is the map and the time span for which the capacity of cells was computed last.
type capacitySpan struct {
	m           *cells.Map
	from, until int64 // Unix milliseconds; from is inclusive, until exclusive
}

// updateQuotaCapacity passes the capacity of the cells to the quota. It computes the capacity, at a cost that grows with the number of
// servers and tenants, only if the map has changed or a server or tenant joins, leaves or moves now. The caller holds r.mu.
func (r *Runner) updateQuotaCapacity() {
	m, now := r.current.Load().Map, Wall()
	if nowMS := now.UnixMilli(); r.quotaCapacity.m == m && r.quotaCapacity.from <= nowMS && nowMS < r.quotaCapacity.until {
		return
	}
	r.quota.SetCapacity(quota.CapacityOf(m, now))
	r.quotaCapacity = capacitySpan{m, now.UnixMilli(), math.MaxInt64}
	if next, ok := m.NextChange(now); ok {
		r.quotaCapacity.until = next.UnixMilli()
	}
}

// QuotaRequest returns this router's request to the group's leader, and the function to call with the grant that answers it.
func (r *Runner) QuotaRequest() (request quota.Request, granted func(quota.Grant, lease.Terms)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requestedAt := r.leaseClock()
	request = r.quota.Request(requestedAt)
	return request, func(g quota.Grant, t lease.Terms) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		r.quota.ApplyGrant(requestedAt, request.Applied, g, t)
	}
}

// leaseClock returns the time by which the leases of grants expire.
func (r *Runner) leaseClock() time.Duration { return time.Duration(float64(r.clock()) * Rate) }
