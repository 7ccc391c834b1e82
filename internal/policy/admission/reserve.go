package admission

import (
	"fmt"
	"math"
	"time"
)

// Reserve keeps a part of a listener's connections and of the process's time for cheap calls, which need no run: health checks, status
// requests and rejections. It decides which connections may carry work, which connection is closed for a new one when the listener is
// full, and how long the answer to a peer that makes too many cheap calls is delayed. Token buckets limit the rate of cheap calls, in
// total and per peer.
type Reserve struct {
	cfg             ReserveConfig
	maxConnections  int
	conns           map[uint64]*peer
	workConnections int         // connections that carry work
	totalBucket     tokenBucket // of the cheap calls of all peers
	busyPeers       int         // peers that made a cheap call within busyWindow
	lastSweep       time.Duration
	stats           ReserveSnapshot
}

// ReserveConfig configures a [Reserve]. A field of 0 takes its default.
type ReserveConfig struct {
	Connections      float64 // fraction of the connections that carry no work
	CheapRate        float64 // cheap calls a second of all peers together
	CheapRatePerPeer float64 // cheap calls a second of one peer; less if the total rate is exhausted
}

const (
	defaultReservedConnections = 0.125 // fraction: enough for health checks while work fills the other connections
	defaultCheapRate           = 4000  // calls a second: a part of the capacity of one core
	defaultCheapRatePerPeer    = 100   // calls a second: far more than a load balancer or an operator needs

	burstWindow = 200 * time.Millisecond // capacity of a token bucket as time at its rate
	busyWindow  = time.Second            // time after a cheap call for which a peer counts as busy
	maxDelay    = time.Second            // of the answer to a cheap call; peers that reach it are evicted first
)

func (c ReserveConfig) withDefaults() ReserveConfig {
	setDefault(&c.Connections, defaultReservedConnections)
	setDefault(&c.CheapRate, defaultCheapRate)
	setDefault(&c.CheapRatePerPeer, defaultCheapRatePerPeer)
	return c
}

// String returns the effective values for operators, with defaults applied.
func (c ReserveConfig) String() string {
	c = c.withDefaults()
	return fmt.Sprintf("%.0f%% of a front's connections carry no work, %g cheap calls a second in all and %g a peer",
		100*c.Connections, c.CheapRate, c.CheapRatePerPeer)
}

// Check returns an error that names the first invalid field.
func (c ReserveConfig) Check() error {
	c = c.withDefaults()
	if !(c.Connections > 0 && c.Connections < 1) {
		return fmt.Errorf("reserve.connections: not between 0 and 1: %v", c.Connections)
	}
	if !(c.CheapRate >= 1) || math.IsInf(c.CheapRate, 1) {
		return fmt.Errorf("reserve.cheap_per_s: not a finite number of 1 or more: %v", c.CheapRate)
	}
	if !(c.CheapRatePerPeer >= 1) || math.IsInf(c.CheapRatePerPeer, 1) {
		return fmt.Errorf("reserve.cheap_each_per_s: not a finite number of 1 or more: %v", c.CheapRatePerPeer)
	}
	return nil
}

// tokenBucket is a token bucket with a variable rate. It may be overdrawn and computes how long it stays overdrawn.
type tokenBucket struct {
	tokens float64
	at     time.Duration // time of the last refill
}

// refill adds the tokens since the last refill at the given rate, in tokens a second.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	capacity := max(1, rate*burstWindow.Seconds())
	b.tokens = min(capacity, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
}

// delay returns the time until the bucket is no longer overdrawn.
func (b *tokenBucket) delay(rate float64) time.Duration {
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / rate * float64(time.Second))
}

// peer is the state of one connection in a reserve.
type peer struct {
	id           uint64
	carriesWork  bool
	callBucket   tokenBucket
	lastCall     time.Duration // time of the last cheap call
	isBusy       bool
	delayedUntil time.Duration // time until which an answer is delayed
}

// NewReserve returns the reserve of a listener with up to maxConnections connections.
func NewReserve(c ReserveConfig, maxConnections int) *Reserve {
	return &Reserve{cfg: c.withDefaults(), maxConnections: maxConnections, conns: map[uint64]*peer{}}
}

// Reserved returns the number of connections that carry no work.
func (r *Reserve) Reserved() int {
	return min(max(1, int(r.cfg.Connections*float64(r.maxConnections))), max(0, r.maxConnections-1))
}

// Opened records a new connection, which does not carry work yet.
func (r *Reserve) Opened(now time.Duration, id uint64) {
	p := &peer{id: id}
	p.callBucket = tokenBucket{tokens: 1, at: now} // a single token, so that reconnecting gains nothing
	r.conns[id] = p
}

// Closed records the end of a connection. It ignores unknown connections.
func (r *Reserve) Closed(id uint64) {
	p := r.conns[id]
	if p == nil {
		return
	}
	if p.carriesWork {
		r.workConnections--
	}
	if p.isBusy {
		r.busyPeers--
	}
	delete(r.conns, id)
}

// AdmitWork reports whether a connection may carry work. Work is limited to the connections that are not reserved.
func (r *Reserve) AdmitWork(id uint64) bool {
	p := r.conns[id]
	if p == nil || p.carriesWork {
		return p != nil
	}
	if r.workConnections >= r.maxConnections-r.Reserved() {
		r.stats.WorkRejected++
		return false
	}
	p.carriesWork = true
	r.workConnections++
	return true
}

// CheapCall records a cheap call and returns how long its answer must be delayed: 0 for a peer within its share. The share of a peer is
// CheapRatePerPeer. While the total rate is exhausted, it is at most an equal part of the total rate for each busy peer.
func (r *Reserve) CheapCall(now time.Duration, id uint64) time.Duration {
	r.sweep(now)
	p := r.conns[id]
	if p == nil {
		return 0
	}
	if !p.isBusy {
		p.isBusy = true
		r.busyPeers++
	}
	p.lastCall = now
	r.totalBucket.refill(now, r.cfg.CheapRate)
	rate := r.cfg.CheapRatePerPeer
	if r.totalBucket.tokens < 1 { // the total rate is exhausted: all busy peers get the same rate
		rate = max(1, min(rate, r.cfg.CheapRate/float64(r.busyPeers)))
	}
	p.callBucket.refill(now, rate)
	p.callBucket.tokens--
	delay := min(maxDelay, p.callBucket.delay(rate))
	if delay <= 0 {
		r.totalBucket.tokens--
		r.stats.Cheap++
		return 0
	}
	r.totalBucket.tokens = max(-1, r.totalBucket.tokens-1)
	p.delayedUntil = now + delay
	r.stats.Cheap++
	r.stats.Delayed++
	return delay
}

// sweep marks peers without a cheap call within busyWindow as not busy.
func (r *Reserve) sweep(now time.Duration) {
	if now-r.lastSweep < busyWindow/4 {
		return
	}
	r.lastSweep = now
	for _, p := range r.conns {
		if p.isBusy && now-p.lastCall >= busyWindow {
			p.isBusy = false
			r.busyPeers--
		}
	}
}

// Evict selects the connection to close for a new one when the listener is full: the one that exceeds its share of cheap calls the most.
// It selects a connection only once, and returns false if no connection exceeds its share.
func (r *Reserve) Evict(now time.Duration) (uint64, bool) {
	var worst *peer
	for _, p := range r.conns {
		if p.carriesWork || p.delayedUntil <= now {
			continue
		}
		if worst == nil || p.delayedUntil > worst.delayedUntil || p.delayedUntil == worst.delayedUntil && p.id < worst.id {
			worst = p
		}
	}
	if worst == nil {
		return 0, false
	}
	worst.delayedUntil = 0 // not selected again
	r.stats.Evicted++
	return worst.id, true
}

// ReserveSnapshot is the state of a reserve for status output: the current connections, and the calls and evictions since the start.
type ReserveSnapshot struct {
	Connections, Working, Reserved, Busy  int
	Cheap, Delayed, WorkRejected, Evicted uint64
}

// Snapshot returns the current state of the reserve.
func (r *Reserve) Snapshot() ReserveSnapshot {
	s := r.stats
	s.Connections, s.Working, s.Reserved, s.Busy = len(r.conns), r.workConnections, r.Reserved(), r.busyPeers
	return s
}
