package loadbalancer

import (
	"maps"
	"time"
)

// Backpressure. Inputs: what each answer of a server says beside its outcome. A server that rejects a tenant's request with a
// Retry-After gets nothing of that tenant until then. One that tells a credit gets no more requests in flight than that, one at least.
// One in its slow start gets what it granted this router: policy/slowstart.

// maxRetryAfterTenants bounds the tenants whose Retry-After is kept of a server; those that are over are dropped first, and all of them
// where that is not enough. Each costs a map entry, and a cell serves some dozens of tenants at a time.
const maxRetryAfterTenants = 256

// Backpressure records what an answer to a tenant's request said beside its outcome: a credit, the requests that the server wants in
// flight at most, 0 for none told, and a Retry-After, 0 for none. The Retry-After is for the tenant alone: a server rejects first who
// has more than its share, and what a tenant that floods is told says nothing to the others in its cell.
func (b *Balancer) Backpressure(now time.Duration, tenant, name string, credit float64, retryAfter time.Duration) {
	s := b.servers[name]
	if s == nil {
		return
	}
	if credit > 0 {
		s.credit = credit
	}
	if retryAfter > 0 {
		if len(s.retryAfter) >= maxRetryAfterTenants {
			maps.DeleteFunc(s.retryAfter, func(_ string, until time.Duration) bool { return now >= until })
		}
		if s.retryAfter == nil || len(s.retryAfter) >= maxRetryAfterTenants {
			s.retryAfter = map[string]time.Duration{}
		}
		s.retryAfter[tenant] = max(s.retryAfter[tenant], now+retryAfter)
	}
}

// inBackoff reports whether a server asked to be left alone with a tenant's requests for now.
func (s *server) inBackoff(now time.Duration, tenant string) bool { return now < s.retryAfter[tenant] }

// overCredit reports whether a server has as much in flight as it wants.
func (s *server) overCredit() bool { return s.credit > 0 && float64(s.inFlight) >= max(1, s.credit) }

// hasCapacity reports whether one more request fits: within the bound of requests in flight, and within the part that the server
// granted this router in its slow start.
func (b *Balancer) hasCapacity(now time.Duration, s *server) bool {
	return s.inFlight < b.cfg.MaxInFlight && s.warmup.HasCapacity(now, s.inFlight)
}

// SlowStartGranted records what a server's answer to a health check said of its slow start: how many requests this router may have in
// flight there, for a term that begins as the check was sent.
func (b *Balancer) SlowStartGranted(sent time.Duration, name string, requests int, term time.Duration) {
	if s := b.servers[name]; s != nil {
		s.warmup.Granted(sent, requests, term)
	}
}

// WarmedUp records that a server has answered and said nothing of a slow start.
func (b *Balancer) WarmedUp(name string) {
	if s := b.servers[name]; s != nil {
		s.warmup.WarmedUp()
	}
}

// AwaitHealthCheck records that a server is new to this router: it gets nothing until it has answered a health check, as it may be in
// its slow start.
func (b *Balancer) AwaitHealthCheck(name string) {
	if s := b.servers[name]; s != nil {
		s.warmup.Restarted()
	}
}
