package admission

import (
	"fmt"
	"math"
	"time"
)

// Reserve keeps headroom, a part of a listener's connections and of the process's time, for what is cheap: what needs no run, such as
// health checks, status requests and rejections. It decides which connections may carry work, which one gives way when a new one finds
// the listener full, and when a peer that asks cheap things at full speed gets its next answer. Calls of all peers together and of each
// are paced by token buckets.
type Reserve struct {
	cfg             ReserveConfig
	maxConnections  int
	conns           map[uint64]*peer
	workConnections int         // connections that carry work
	totalBucket     tokenBucket // of cheap calls of all
	busyPeers       int         // peers that made a cheap call of late
	lastSweep       time.Duration
	stats           ReserveSnapshot
}

// ReserveConfig sets up a reserve. 0 is the default.
type ReserveConfig struct {
	Connections      float64 // share of the connections that carry no work
	CheapRate        float64 // cheap calls a second of all peers together
	CheapRatePerPeer float64 // and of one peer, while the others leave it so much
}

const (
	defaultReservedConnections = 0.125 // share: enough that health checks get through while work fills the rest
	defaultCheapRate           = 4000  // calls a second: a part of what one core answers
	defaultCheapRatePerPeer    = 100   // calls a second: far above what a balancer or an operator asks

	burstWindow = 200 * time.Millisecond // worth of calls that may come at once
	busyWindow  = time.Second            // a peer counts as busy for so long after a call
	maxDelay    = time.Second            // of a cheap answer: who is due for more is the first to give way
)

func (c ReserveConfig) withDefaults() ReserveConfig {
	setDefault(&c.Connections, defaultReservedConnections)
	setDefault(&c.CheapRate, defaultCheapRate)
	setDefault(&c.CheapRatePerPeer, defaultCheapRatePerPeer)
	return c
}

// String says what the reserve keeps.
func (c ReserveConfig) String() string {
	c = c.withDefaults()
	return fmt.Sprintf("%.0f%% of a front's connections carry no work, %g cheap calls a second in all and %g a peer",
		100*c.Connections, c.CheapRate, c.CheapRatePerPeer)
}

// Check names the first field that no reserve can have.
func (c ReserveConfig) Check() error {
	c = c.withDefaults()
	if !(c.Connections > 0 && c.Connections < 1) {
		return fmt.Errorf("reserve.connections: not between 0 and 1: %v", c.Connections)
	}
	if !(c.CheapRate >= 1) || math.IsInf(c.CheapRate, 1) {
		return fmt.Errorf("reserve.cheap_per_s: under 1: %v", c.CheapRate)
	}
	if !(c.CheapRatePerPeer >= 1) || math.IsInf(c.CheapRatePerPeer, 1) {
		return fmt.Errorf("reserve.cheap_each_per_s: under 1: %v", c.CheapRatePerPeer)
	}
	return nil
}

// tokenBucket is a token bucket whose rate may change: it may be overdrawn, and tells how long until it is not.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill adds what has come at a rate, in tokens a second, since the last time.
func (b *tokenBucket) refill(now time.Duration, rate float64) {
	capacity := max(1, rate*burstWindow.Seconds())
	b.tokens = min(capacity, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
}

// delay is how long until the bucket holds a token again.
func (b *tokenBucket) delay(rate float64) time.Duration {
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / rate * float64(time.Second))
}

// peer is a connection as the reserve knows it.
type peer struct {
	id           uint64
	carriesWork  bool
	callBucket   tokenBucket
	lastCall     time.Duration // of its cheap calls
	isBusy       bool
	delayedUntil time.Duration // its answer is held back
}

// NewReserve returns the reserve of a listener with at most so many connections.
func NewReserve(c ReserveConfig, maxConnections int) *Reserve {
	return &Reserve{cfg: c.withDefaults(), maxConnections: maxConnections, conns: map[uint64]*peer{}}
}

// Reserved is the number of connections that carry no work.
func (r *Reserve) Reserved() int {
	return min(max(1, int(r.cfg.Connections*float64(r.maxConnections))), max(0, r.maxConnections-1))
}

// Opened is told of a new connection. It carries nothing yet.
func (r *Reserve) Opened(now time.Duration, id uint64) {
	p := &peer{id: id}
	p.callBucket = tokenBucket{tokens: 1, at: now} // one at once: who comes anew gains nothing by it
	r.conns[id] = p
}

// Closed is told of a connection's end.
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

// AdmitWork reports whether a connection may carry work: those that may leave room for those that never do.
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

// CheapCall is told of a cheap call and returns how long its answer is held back: not at all for a peer that keeps within its part.
// The part of each is what there is for all, shared out among the busy peers, and no more than one may have.
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
	if r.totalBucket.tokens < 1 { // more is asked than there is for all: everybody gets the same
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

// sweep takes peers off the busy ones that have asked nothing for a while.
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

// Evict chooses, once, the connection that gives way to a new one when the listener is full: the one that is furthest beyond its part
// of the cheap calls. False where none is beyond it.
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
	worst.delayedUntil = 0 // chosen once
	r.stats.Evicted++
	return worst.id, true
}

// ReserveSnapshot is what a reserve has done: connections as they are now, and calls and connections since the start.
type ReserveSnapshot struct {
	Connections, Working, Reserved, Busy  int
	Cheap, Delayed, WorkRejected, Evicted uint64
}

// Snapshot returns the present one.
func (r *Reserve) Snapshot() ReserveSnapshot {
	s := r.stats
	s.Connections, s.Working, s.Reserved, s.Busy = len(r.conns), r.workConnections, r.Reserved(), r.busyPeers
	return s
}
