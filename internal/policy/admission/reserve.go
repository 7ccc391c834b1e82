package admission

import (
	"fmt"
	"math"
	"time"
)

// Reserve keeps a part of a front's connections and of the process's time for what is cheap: what needs no run, such
// as health checks, status requests and refusals. It decides which connections may carry work, which one gives way
// when there is no room for a new one, and when a peer that asks cheap things at full speed gets its next answer.
type Reserve struct {
	cfg   ReserveConfig
	most  int
	conns map[uint64]*peer
	work  int    // connections that carry work
	total bucket // of cheap calls of all
	busy  int    // peers that asked something cheap of late
	swept time.Duration
	stats ReserveState
}

// ReserveConfig sets up a reserve. 0 is the default.
type ReserveConfig struct {
	Connections float64 // share of the connections that carry no work
	Cheap       float64 // cheap calls a second of all peers together
	Each        float64 // and of one peer, while the others leave it so much
}

// The defaults.
const (
	keptConnections = 0.125
	cheapRate       = 4000
	cheapEach       = 100
	burstSpan       = 200 * time.Millisecond // worth of calls that may come at once
	peerBusy        = time.Second            // a peer counts as one of the busy for so long after a call
	longestDelay    = time.Second            // of a cheap answer: who is due for more is let go first
)

func (c ReserveConfig) complete() ReserveConfig {
	for _, f := range []struct {
		to *float64
		by float64
	}{{&c.Connections, keptConnections}, {&c.Cheap, cheapRate}, {&c.Each, cheapEach}} {
		if *f.to == 0 {
			*f.to = f.by
		}
	}
	return c
}

// String says what the reserve keeps.
func (c ReserveConfig) String() string {
	c = c.complete()
	return fmt.Sprintf("%.0f%% of a front's connections carry no work, %g cheap calls a second in all and %g a peer",
		100*c.Connections, c.Cheap, c.Each)
}

// Check names the first field that no reserve can have.
func (c ReserveConfig) Check() error {
	c = c.complete()
	if !(c.Connections > 0 && c.Connections < 1) {
		return fmt.Errorf("reserve.connections: not between 0 and 1: %v", c.Connections)
	}
	if !(c.Cheap >= 1) || math.IsInf(c.Cheap, 1) {
		return fmt.Errorf("reserve.cheap_per_s: under 1: %v", c.Cheap)
	}
	if !(c.Each >= 1) || math.IsInf(c.Each, 1) {
		return fmt.Errorf("reserve.cheap_each_per_s: under 1: %v", c.Each)
	}
	return nil
}

// bucket is a token bucket whose rate may change: it may be overdrawn, and tells how long until it is not.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) pass(now time.Duration, rate float64) {
	most := max(1, rate*burstSpan.Seconds())
	b.tokens = min(most, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
}

// wait is how long until the bucket holds a token again.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / rate * float64(time.Second))
}

// peer is a connection as the reserve knows it.
type peer struct {
	id      uint64
	work    bool
	calls   bucket
	last    time.Duration // of its cheap calls
	busy    bool
	waiting time.Duration // until when its answer is held back
}

// NewReserve returns the reserve of a front with at most so many connections.
func NewReserve(c ReserveConfig, most int) *Reserve {
	return &Reserve{cfg: c.complete(), most: most, conns: map[uint64]*peer{}}
}

// Kept is the number of connections that carry no work.
func (r *Reserve) Kept() int {
	return min(max(1, int(r.cfg.Connections*float64(r.most))), max(0, r.most-1))
}

// Opened is told of a new connection. It carries nothing yet.
func (r *Reserve) Opened(now time.Duration, id uint64) {
	p := &peer{id: id}
	p.calls = bucket{tokens: 1, at: now} // one at once: who comes anew gains nothing by it
	r.conns[id] = p
}

// Closed is told of a connection's end.
func (r *Reserve) Closed(id uint64) {
	p := r.conns[id]
	if p == nil {
		return
	}
	if p.work {
		r.work--
	}
	if p.busy {
		r.busy--
	}
	delete(r.conns, id)
}

// Work reports whether a connection may carry work: those that may leave room for those that never do.
func (r *Reserve) Work(id uint64) bool {
	p := r.conns[id]
	if p == nil || p.work {
		return p != nil
	}
	if r.work >= r.most-r.Kept() {
		r.stats.NoWork++
		return false
	}
	p.work = true
	r.work++
	return true
}

// Cheap is told of a cheap call and returns how long its answer is held back: not at all for a peer that keeps within
// its part. The part of each is what there is for all, shared out among those that ask, and no more than one may have.
func (r *Reserve) Cheap(now time.Duration, id uint64) time.Duration {
	r.sweep(now)
	p := r.conns[id]
	if p == nil {
		return 0
	}
	if !p.busy {
		p.busy = true
		r.busy++
	}
	p.last = now
	r.total.pass(now, r.cfg.Cheap)
	rate := r.cfg.Each
	if r.total.tokens < 1 { // more is asked than there is for all: everybody gets the same
		rate = max(1, min(rate, r.cfg.Cheap/float64(r.busy)))
	}
	p.calls.pass(now, rate)
	p.calls.tokens--
	wait := min(longestDelay, p.calls.wait(rate))
	if wait <= 0 {
		r.total.tokens--
		r.stats.Cheap++
		return 0
	}
	r.total.tokens = max(-1, r.total.tokens-1)
	p.waiting = now + wait
	r.stats.Cheap++
	r.stats.Paced++
	return wait
}

// sweep forgets who asks no more.
func (r *Reserve) sweep(now time.Duration) {
	if now-r.swept < peerBusy/4 {
		return
	}
	r.swept = now
	for _, p := range r.conns {
		if p.busy && now-p.last >= peerBusy {
			p.busy = false
			r.busy--
		}
	}
}

// Victim is the connection that gives way to a new one when the front is full: the one that is furthest beyond its
// part of the cheap calls. False where nobody is beyond it.
func (r *Reserve) Victim(now time.Duration) (uint64, bool) {
	var worst *peer
	for _, p := range r.conns {
		if p.work || p.waiting <= now {
			continue
		}
		if worst == nil || p.waiting > worst.waiting || p.waiting == worst.waiting && p.id < worst.id {
			worst = p
		}
	}
	if worst == nil {
		return 0, false
	}
	worst.waiting = 0 // chosen once
	r.stats.Victims++
	return worst.id, true
}

// ReserveState is what a reserve has done.
type ReserveState struct {
	Connections, Work, Kept, Busy int
	Cheap, Paced, NoWork, Victims uint64
}

// State returns the present state.
func (r *Reserve) State() ReserveState {
	s := r.stats
	s.Connections, s.Work, s.Kept, s.Busy = len(r.conns), r.work, r.Kept(), r.busy
	return s
}
