package loadbalancer

import (
	"math"
	"time"
)

// Fairness among the tenants of a cell. Inputs: the requests that this router has in flight there, by tenant, how they end, and the
// rates that tenants have agreed on. The cell's window, the requests in flight that it carries, is found as TCP finds its own: it grows
// with every answer and shrinks when a server rejects something. While the cell has capacity every tenant is admitted. When it has
// none, a tenant within its share of the window by agreed rates still is, up to overcommit times the window; one beyond its share only
// into what those within theirs leave free. So a tenant that floods fills what is left over, and no more.
const (
	initialWindow        = 16.0                   // requests in flight for each server; too high costs some rejections, too low some idle time
	minWindow            = 2.0                    // for each server, so that the window can find its way up again
	windowDecrease       = 0.85                   // of what is in flight, when a server rejects a request
	minDecreaseInterval  = 100 * time.Millisecond // at most, as one overload brings many rejections at once
	tenantIdleTimeout    = time.Second            // a tenant that has sent nothing for so long has no share
	overcommit           = 1.25                   // of the window: as far as tenants within their shares may go beyond it
	shareTolerance       = 2.0                    // standard deviations of what a tenant has in flight, by which chance brings it over its share
	averageWeight        = 0.05                   // weight of a request in what is usual for its tenant; the last twenty count
	reservedBurstSeconds = 0.1                    // seconds of a tenant's agreed rate that are kept free for it beyond what it has in flight
	minAgreedRate        = 1e-3                   // requests a second, of a tenant that has agreed on nothing
)

// TenantLimiter admits the requests of tenants to cells. Like Balancer it is not safe for concurrent use.
type TenantLimiter struct {
	cells    map[string]*cellWindow
	rejected uint64
}

// cellWindow is the congestion window of a cell.
type cellWindow struct {
	limit        float64 // requests in flight at once
	inFlight     int
	nextDecrease time.Duration // the window shrinks no further before then
	tenants      map[string]*tenantUse
}

// tenantUse is what a tenant has of a cell.
type tenantUse struct {
	rate            float64 // requests a second, as agreed
	inFlight        int
	averageInFlight float64       // a moving average, as its requests find it
	lastRequest     time.Duration // when it was
}

// NewTenantLimiter returns a limiter without cells.
func NewTenantLimiter() *TenantLimiter { return &TenantLimiter{cells: map[string]*cellWindow{}} }

// Admit reports whether a request of a tenant with an agreed rate, in requests a second, is admitted to a cell of so many servers. One
// that is has to be ended by Done.
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

// totalRate is the sum of the agreed rates of tenants that are active, in requests a second. Those that are not are forgotten.
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
		// It has less in flight than its share as a rule, and chance has brought it more just now: of a share of four, one request in
		// six finds four in flight. A tenant that floods has more than its share all the time.
		return float64(w.inFlight) < w.limit*overcommit+shareTolerance*math.Sqrt(w.limit)
	}
	return float64(w.inFlight)+w.reservedForOthers(u, totalRate) < w.limit
}

// reservedForOthers are the requests that the window keeps free for the other tenants: what they would send within reservedBurstSeconds, as
// far as it is within their shares.
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

// Done records how a request that was admitted has ended: served ones widen the window, rejected ones narrow it.
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

// Window is the window of a cell, and what is in flight there; 0 for a cell that has had no request.
func (l *TenantLimiter) Window(cell string) (limit float64, inFlight int) {
	if w := l.cells[cell]; w != nil {
		return w.limit, w.inFlight
	}
	return 0, 0
}

// Rejected is the number of requests that were not admitted since the start.
func (l *TenantLimiter) Rejected() uint64 { return l.rejected }
