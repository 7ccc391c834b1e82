package quota

import (
	"maps"
	"math"
	"time"

	"silverpath/internal/policy/lease"
)

// Holder is the side of a router: what it was given, what it is asked for, and whether one more request is within its part. Its
// times are those of the router's own monotonic clock.
type Holder struct {
	most   int
	good   bool // it has the part for good: no second one of its name can be there
	seq    uint64
	until  time.Duration
	parts  map[Key]float64
	kept   map[Key]float64    // for good
	keeps  map[string]float64 // the same, of each cell together
	uses   map[Key]*use
	counts Counts
}

// Counts are what a holder has decided since the start.
type Counts struct{ Within, Beyond uint64 }

// use is what a key is asked for, and a bucket of what it may use.
type use struct {
	rate   float64 // requests a second, of late
	at     time.Duration
	tokens float64
	filled time.Duration
}

const (
	lately = 1.0 // seconds over which demand is taken
	burst  = 1.0 // seconds of a part that may be used at once
	atOnce = 6.0 // requests, at least
)

// NewHolder returns the side of one of so many routers.
func NewHolder(most int, good bool) *Holder {
	return &Holder{most: most, good: good, parts: map[Key]float64{}, uses: map[Key]*use{}}
}

// Set sets what there is.
func (h *Holder) Set(cells map[string]Whole) {
	h.kept, h.keeps = map[Key]float64{}, map[string]float64{}
	if !h.good {
		return
	}
	for cell, w := range cells {
		for tenant, part := range w.split(ForGood/float64(h.most), nil) {
			h.kept[Key{cell, tenant}] = part
			h.keeps[cell] += part
		}
	}
}

// Told takes a grant that was asked for at a time, by a word that said which one was acted on then. One that was overtaken says
// nothing: the leader counts it until a later one is acted on. Nor does one for a word from before what is acted on now: another
// leader may have given away since what that word said was held.
func (h *Holder) Told(asked time.Duration, said uint64, g Grant, terms lease.Terms) {
	if g.Seq <= h.seq || said != h.seq {
		return
	}
	h.seq, h.until, h.parts = g.Seq, asked+terms.Hold(), map[Key]float64{}
	for _, p := range g.Parts {
		h.parts[Key{p.Cell, p.Tenant}] = p.Rate
	}
}

// Part is what may be used of a key now, in requests a second: the part that is lent while its lease holds, and the part for good.
func (h *Holder) Part(now time.Duration, k Key) float64 {
	part := 0.0
	if now < h.until {
		part = h.parts[k]
	}
	return part + h.kept[k]
}

// mostListed is how many keys Parts lists whatever they are.
const mostListed = 256

// Parts are what may be used now, by key: of many keys those that a part is lent of, or that were asked for lately. Rest is what there
// is of all others in each cell, for good. It runs over the former alone, as a map has thousands of tenants.
func (h *Holder) Parts(now time.Duration) (list map[Key]float64, rest map[string]float64) {
	list, rest = map[Key]float64{}, maps.Clone(h.keeps)
	add := func(k Key) {
		if _, ok := list[k]; !ok {
			list[k] = h.Part(now, k)
			rest[k.Cell] = max(0, rest[k.Cell]-h.kept[k])
		}
	}
	for k := range h.uses {
		add(k)
	}
	if now < h.until {
		for k := range h.parts {
			add(k)
		}
	}
	if len(h.kept) <= mostListed {
		for k := range h.kept {
			add(k)
		}
	}
	return list, rest
}

// Says is the router's word to the group's leader.
func (h *Holder) Says(now time.Duration) Word {
	w := Word{Most: h.most, Applied: h.seq}
	if now < h.until {
		for k, r := range h.parts {
			w.Parts = append(w.Parts, Part{k.Cell, k.Tenant, r})
		}
	}
	for k, u := range h.uses {
		u.fade(now)
		if u.rate > 0.01 {
			w.Demand = append(w.Demand, Part{k.Cell, k.Tenant, u.rate})
		} else if now-u.filled > time.Minute {
			delete(h.uses, k)
		}
	}
	return w
}

func (u *use) fade(now time.Duration) {
	u.rate *= math.Exp(-(now - u.at).Seconds() / lately)
	u.at = now
}

// Admit counts a request of a key as asked for, and tells whether it is within its part.
func (h *Holder) Admit(now time.Duration, k Key) bool {
	u := h.uses[k]
	if u == nil {
		u = &use{at: now, filled: now, tokens: atOnce}
		h.uses[k] = u
	}
	u.fade(now)
	u.rate += 1 / lately
	part := h.Part(now, k)
	u.tokens = min(u.tokens+part*(now-u.filled).Seconds(), max(atOnce, part*burst))
	u.filled = now
	if u.tokens < 1 {
		h.counts.Beyond++
		return false
	}
	u.tokens--
	h.counts.Within++
	return true
}

// Counts returns what was decided since the start.
func (h *Holder) Counts() Counts { return h.counts }

// Granted reports whether there are parts whose lease holds.
func (h *Holder) Granted(now time.Duration) bool { return now < h.until }
