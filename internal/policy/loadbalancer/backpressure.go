package loadbalancer

import (
	"maps"
	"time"
)

// Backpressure. Inputs: the Retry-After, credit and slow-start grant that a server's answers carry. A server that rejects a tenant's
// request with a Retry-After gets no requests of that tenant until it has passed. A server that announces a credit gets at most that many
// requests in flight, but always at least one. A server in its slow start gets at most what it granted this router: policy/slowstart.

// maxRetryAfterTenants bounds the tenants for which a server's Retry-After is stored. At the bound, expired entries are dropped; if none
// has expired, all entries are dropped. Each costs a map entry, and a cell serves some dozens of tenants at a time.
const maxRetryAfterTenants = 256

// Backpressure records the credit and the Retry-After of an answer to a tenant's request. The credit is the maximum number of requests
// that the server accepts in flight; 0 means that the answer had none. A retryAfter of 0 means that it had none. The Retry-After applies
// to this tenant only: a server first rejects tenants that exceed their share, so the Retry-After of a flooding tenant must not delay
// the other tenants of its cell.
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

// inBackoff reports whether the Retry-After that the server sent for a tenant has not passed yet.
func (s *server) inBackoff(now time.Duration, tenant string) bool { return now < s.retryAfter[tenant] }

// overCredit reports whether a server has as many requests in flight as its credit allows.
func (s *server) overCredit() bool { return s.credit > 0 && float64(s.inFlight) >= max(1, s.credit) }

// hasCapacity reports whether one more request fits within MaxInFlight and within the server's slow-start grant to this router.
func (b *Balancer) hasCapacity(now time.Duration, s *server) bool {
	return s.inFlight < b.cfg.MaxInFlight && s.warmup.HasCapacity(now, s.inFlight)
}

// SlowStartGranted records the slow-start grant in a server's answer to a health check: the number of requests that this router may have
// in flight to the server, for a term that begins when the check was sent.
func (b *Balancer) SlowStartGranted(sent time.Duration, name string, requests int, term time.Duration) {
	if s := b.servers[name]; s != nil {
		s.warmup.Granted(sent, requests, term)
	}
}

// WarmedUp records an answer without a slow-start grant: the server is warm.
func (b *Balancer) WarmedUp(name string) {
	if s := b.servers[name]; s != nil {
		s.warmup.WarmedUp()
	}
}

// AwaitHealthCheck records that a server is new to this router. The server gets no requests until it has answered a health check, because
// it may be in its slow start.
func (b *Balancer) AwaitHealthCheck(name string) {
	if s := b.servers[name]; s != nil {
		s.warmup.Restarted()
	}
}
