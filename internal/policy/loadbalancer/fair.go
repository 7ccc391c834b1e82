package loadbalancer

import (
	"math"
	"time"
)

// Fair shares a cell among its tenants by what this router has out there. The cell's window is found as TCP finds its own:
// it grows with every answer and shrinks when a server turns something away. While the cell has room everybody is let in;
// when it has none, a tenant within its part by agreed rates still is, and one beyond it only into what nobody within theirs
// wants. So who floods fills what is left over, and no more.
type Fair struct {
	cells   map[string]*window
	refused uint64
}

type window struct {
	limit   float64 // requests out there at once
	flying  int
	shrunk  time.Duration // the window shrinks no further before then
	tenants map[string]*part
}

type part struct {
	rate   float64
	flying int
	usual  float64       // of flying, as its requests find it
	seen   time.Duration // the latest request
}

const (
	windowStart = 16.0 // requests out there, for each server
	windowLeast = 2.0
	shrinkTo    = 0.85
	shrinkEvery = 100 * time.Millisecond
	activeFor   = time.Second // a tenant that has sent nothing for so long wants nothing
	overrun     = 1.25        // of the window: as far as those within their parts may go beyond it
	chance      = 2.0         // standard deviations of what a tenant has out there
	usualNew    = 0.05        // weight of a request in what is usual for its tenant
)

// NewFair returns a table without cells.
func NewFair() *Fair { return &Fair{cells: map[string]*window{}} }

// Admit reports whether a request of a tenant with an agreed rate is let into a cell of so many servers. One that is must be
// ended by Done.
func (f *Fair) Admit(now time.Duration, cell, tenant string, rate float64, servers int) bool {
	w := f.cells[cell]
	if w == nil {
		w = &window{limit: windowStart * float64(servers), tenants: map[string]*part{}}
		f.cells[cell] = w
	}
	w.limit = max(windowLeast*float64(servers), w.limit)
	p := w.tenants[tenant]
	if p == nil {
		p = &part{}
		w.tenants[tenant] = p
	}
	p.rate, p.seen = max(rate, 1e-3), now
	total := 0.0
	for name, q := range w.tenants {
		if q.flying == 0 && now-q.seen > activeFor {
			delete(w.tenants, name)
			continue
		}
		total += q.rate
	}
	mine := w.limit * p.rate / total
	room := float64(w.flying) < w.limit
	p.usual += (float64(p.flying) - p.usual) * usualNew
	switch {
	case float64(p.flying) < mine:
		room = float64(w.flying) < w.limit*overrun
	case p.usual < mine && float64(p.flying) < mine+chance*math.Sqrt(mine)+1:
		// It has less out there than its part as a rule, and chance has brought it more just now: of a part of four, one request in
		// six comes upon four. What floods has more than its part all the time.
		room = float64(w.flying) < w.limit*overrun+chance*math.Sqrt(w.limit)
	default:
		kept := 0.0
		for _, q := range w.tenants {
			if q != p {
				kept += max(0, min(w.limit*q.rate/total, float64(q.flying)+q.rate*burstOf)-float64(q.flying))
			}
		}
		room = float64(w.flying)+kept < w.limit
	}
	if !room {
		f.refused++
		return false
	}
	p.flying++
	w.flying++
	return true
}

// burstOf is how many seconds of a tenant's agreed rate are kept free for it beyond what it has out there.
const burstOf = 0.1

// Done is told how a request that was let in has ended.
func (f *Fair) Done(now time.Duration, cell, tenant string, o Outcome) {
	w := f.cells[cell]
	if w == nil {
		return
	}
	w.flying = max(0, w.flying-1)
	if p := w.tenants[tenant]; p != nil {
		p.flying = max(0, p.flying-1)
	}
	switch {
	case o == Served:
		w.limit += 1 / w.limit
	case o == Refused && now >= w.shrunk:
		w.limit = math.Min(w.limit, float64(w.flying+1)) * shrinkTo
		w.shrunk = now + shrinkEvery
	}
}

// Window is the window of a cell and what is out there, 0 for one that has had no request.
func (f *Fair) Window(cell string) (limit float64, flying int) {
	if w := f.cells[cell]; w != nil {
		return w.limit, w.flying
	}
	return 0, 0
}

// Refused is the number of requests that were not let in since the start.
func (f *Fair) Refused() uint64 { return f.refused }
