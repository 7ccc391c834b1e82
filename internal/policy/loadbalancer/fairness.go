package loadbalancer

import (
	"math"
	"time"
)

// Fairness among the tenants of a cell. Inputs: this router's requests in flight to the cell by tenant, their outcomes, and the agreed
// rates of the tenants. The cell's window is the number of requests in flight that the cell carries. It is found like a TCP congestion
// window: it grows with every served request and shrinks when a server rejects one. While the cell has capacity, every tenant is admitted.
// When it has none, a tenant within its share of the window (by agreed rates) is admitted up to overcommit times the window. A tenant
// beyond its share is admitted only into the capacity that tenants within their shares leave free, so a flooding tenant gets no more
// than that.
const (
	initialWindow        = 16.0                   // requests in flight per server; higher costs some rejections at the start, lower some idle time
	minWindow            = 2.0                    // requests in flight per server; a smaller window could not grow again
	windowDecrease       = 0.85                   // factor on the requests in flight when a server rejects a request
	minDecreaseInterval  = 100 * time.Millisecond // one overload causes many rejections at once
	tenantIdleTimeout    = time.Second            // without a request for longer, a tenant has no share
	overcommit           = 1.25                   // multiple of the window up to which tenants within their shares are admitted
	shareTolerance       = 2.0                    // standard deviations by which a tenant's requests in flight may exceed its share by chance
	averageWeight        = 0.05                   // weight of a new sample in a tenant's average, which spans about twenty requests
	reservedBurstSeconds = 0.1                    // beyond its requests in flight, the requests that its agreed rate brings in this many seconds are reserved for a tenant
	minAgreedRate        = 1e-3                   // requests a second, for a tenant without an agreed rate
)

// TenantLimiter admits requests of tenants to cells. Like Balancer, it is not safe for concurrent use.
type TenantLimiter struct {
	cells    map[string]*cellWindow
	rejected uint64
}

// cellWindow is the congestion window of a cell.
type cellWindow struct {
	limit        float64 // requests in flight that the cell carries
	inFlight     int
	nextDecrease time.Duration // the earliest time of the next decrease
	tenants      map[string]*tenantUse
}

// tenantUse is a tenant's use of a cell.
type tenantUse struct {
	rate            float64 // agreed requests a second
	inFlight        int
	averageInFlight float64       // a moving average, sampled at each of its requests
	lastRequest     time.Duration // time of the tenant's latest request
}

// NewTenantLimiter returns a limiter without cells.
func NewTenantLimiter() *TenantLimiter { return &TenantLimiter{cells: map[string]*cellWindow{}} }

// Admit reports whether a tenant's request is admitted to a cell. Rate is the tenant's agreed rate in requests a second; servers is the
// number of servers in the cell. An admitted request must be ended by Done.
func (l *TenantLimiter) Admit(now time.Duration, cell, tenant string, rate float64, servers int) bool {
	w := l.cells[cell]
	if w == nil {
		w = &cellWindow{limit: initialWindow * float64(servers), tenants: map[string]*tenantUse{}}
		l.cells[cell] = w
	}
	w.limit = max(minWindow*float64(servers), w.limit)
	u := w.tenants[tenant]
	if u == nil {
		u = &tenantUse{}
		w.tenants[tenant] = u
	}
	u.rate, u.lastRequest = max(rate, minAgreedRate), now
	if !w.hasCapacity(u, w.totalRate(now)) {
		l.rejected++
		return false
	}
	u.inFlight++
	w.inFlight++
	return true
}

// totalRate returns the sum of the agreed rates of the active tenants, in requests a second. It deletes idle tenants.
func (w *cellWindow) totalRate(now time.Duration) float64 {
	total := 0.0
	for name, u := range w.tenants {
		if u.inFlight == 0 && now-u.lastRequest > tenantIdleTimeout {
			delete(w.tenants, name)
			continue
		}
		total += u.rate
	}
	return total
}

// hasCapacity reports whether the window has capacity for one more request of a tenant.
func (w *cellWindow) hasCapacity(u *tenantUse, totalRate float64) bool {
	share := w.limit * u.rate / totalRate
	u.averageInFlight += (float64(u.inFlight) - u.averageInFlight) * averageWeight
	switch {
	case float64(u.inFlight) < share:
		return float64(w.inFlight) < w.limit*overcommit
	case u.averageInFlight < share && float64(u.inFlight) < share+shareTolerance*math.Sqrt(share)+1:
		// The tenant's average is below its share, and it exceeds the share only by chance now: with an average just under a share of
		// four, about one request in six finds four in flight. A flooding tenant is above its share all the time.
		return float64(w.inFlight) < w.limit*overcommit+shareTolerance*math.Sqrt(w.limit)
	}
	return float64(w.inFlight)+w.reservedForOthers(u, totalRate) < w.limit
}

// reservedForOthers returns the number of requests that the window reserves for the other tenants: what they would send within
// reservedBurstSeconds, limited to their shares.
func (w *cellWindow) reservedForOthers(u *tenantUse, totalRate float64) float64 {
	reserved := 0.0
	for _, other := range w.tenants {
		if other != u {
			inFlight := float64(other.inFlight)
			reserved += max(0, min(w.limit*other.rate/totalRate, inFlight+other.rate*reservedBurstSeconds)-inFlight)
		}
	}
	return reserved
}

// Done records the outcome of an admitted request. A served request widens the cell's window, a rejected one narrows it.
func (l *TenantLimiter) Done(now time.Duration, cell, tenant string, o Outcome) {
	w := l.cells[cell]
	if w == nil {
		return
	}
	w.inFlight = max(0, w.inFlight-1)
	if u := w.tenants[tenant]; u != nil {
		u.inFlight = max(0, u.inFlight-1)
	}
	switch {
	case o == Served:
		w.limit += 1 / w.limit
	case o == Rejected && now >= w.nextDecrease:
		w.limit = math.Min(w.limit, float64(w.inFlight+1)) * windowDecrease
		w.nextDecrease = now + minDecreaseInterval
	}
}

// Window returns the window of a cell and its requests in flight, or 0 for a cell that has had no request.
func (l *TenantLimiter) Window(cell string) (limit float64, inFlight int) {
	if w := l.cells[cell]; w != nil {
		return w.limit, w.inFlight
	}
	return 0, 0
}

// Rejected returns the number of requests that Admit refused since the start.
func (l *TenantLimiter) Rejected() uint64 { return l.rejected }
