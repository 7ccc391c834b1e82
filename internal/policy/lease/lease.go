// Package lease decides who owns a duty of the fleet. It has no I/O, no clock and no goroutine. Table is what the group
// agrees on and knows no time; Watch is the time of the group's leader, which ends what was not renewed; Holder is the
// side of the process that owns or waits. docs/design/owner.md has the proof that two never own at once, and the clocks
// under which it holds.
package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Terms are what a group and all its clients have agreed on.
type Terms struct {
	TTL   time.Duration `json:"ttl"`   // how long a lease is, in nanoseconds
	Drift float64       `json:"drift"` // by which a clock may run fast or slow, as a share
}

// Hold is how long a holder counts, on its own clock, from before it asked: on a slow clock it still ends within TTL.
func (t Terms) Hold() time.Duration { return time.Duration(float64(t.TTL) * (1 - t.Drift)) }

// Wait is how long the leader counts, on its own clock, from when it last heard: on a fast clock it is TTL at least.
func (t Terms) Wait() time.Duration { return time.Duration(float64(t.TTL) * (1 + t.Drift)) }

// Check names what can't be.
func (t Terms) Check() error {
	switch {
	case t.TTL <= 0:
		return fmt.Errorf("lease_ms: not above 0: %d", t.TTL.Milliseconds())
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("drift: not from 0 to 0.5: %v", t.Drift)
	}
	return nil
}

// Epoch numbers the ownerships of a duty. It rises with each, and its upper half, the group's generation, with each time
// that the group was started anew.
type Epoch uint64

// First is the epoch before any of a generation.
func First(generation uint32) Epoch { return Epoch(generation) << 32 }

func (e Epoch) String() string { return fmt.Sprintf("%d.%d", uint64(e)>>32, uint32(e)) }

// Duty is the state of one duty.
type Duty struct {
	Name   string   `json:"name"`
	Epoch  Epoch    `json:"epoch"`            // of the latest ownership
	Holder string   `json:"holder,omitempty"` // the process that owns it; empty: nobody
	Queue  []string `json:"queue,omitempty"`  // who waits, the first first
	Next   string   `json:"next,omitempty"`   // who is to have it by consent
	Paused string   `json:"paused,omitempty"` // why no act is begun; empty: it is not paused
	Since  int64    `json:"since,omitempty"`  // when it came to its holder, in Unix milliseconds by the leader's clock then: for people
}

// Table has all duties. It is never changed but by Apply, in the order of the group's log.
type Table struct {
	Generation uint32           `json:"generation"`
	Duties     map[string]*Duty `json:"duties"`
}

// NewTable returns the table of a group's generation.
func NewTable(generation uint32) *Table { return &Table{generation, map[string]*Duty{}} }

// Op is what is asked of a table.
type Op string

const (
	Acquire Op = "acquire" // to own it, or to wait; asked again it changes nothing
	Release Op = "release" // by its owner
	Forget  Op = "forget"  // by one that waits, or of one that is not heard of
	Expire  Op = "expire"  // by the group's leader, of an epoch that was not renewed
	Hand    Op = "hand"    // to somebody by the owner's consent
	Pause   Op = "pause"
	Resume  Op = "resume"
	Raise   Op = "raise" // somebody knows of a higher epoch, as after a restored snapshot
)

// Ask is one thing asked of a table.
type Ask struct {
	Op    Op     `json:"op"`
	Duty  string `json:"duty"`
	Who   string `json:"who,omitempty"`
	Epoch Epoch  `json:"epoch,omitempty"`
	Why   string `json:"why,omitempty"`
	At    int64  `json:"at,omitempty"` // Unix milliseconds, by the clock of the member that proposes it: for people
}

// What a table says no for.
var (
	ErrStale   = errors.New("stale epoch")
	ErrNobody  = errors.New("no such duty")
	ErrUnknown = errors.New("unknown op")
)

// mostWaiting bounds those that wait for a duty.
const mostWaiting = 32

// Apply does what is asked. An error changes nothing.
func (t *Table) Apply(a Ask) (Duty, error) {
	d := t.Duties[a.Duty]
	if d == nil {
		if a.Op != Acquire && a.Op != Raise && a.Op != Pause || a.Duty == "" {
			return Duty{Name: a.Duty}, fmt.Errorf("%w: %q", ErrNobody, a.Duty)
		}
		d = &Duty{Name: a.Duty, Epoch: First(t.Generation)}
		t.Duties[a.Duty] = d
	}
	switch a.Op {
	case Acquire:
		switch {
		case a.Who == "":
			return *d, errors.New("who: missing")
		case d.Holder == a.Who || slices.Contains(d.Queue, a.Who):
		case d.Holder == "":
			d.grant(a.Who, a.At)
		case len(d.Queue) >= mostWaiting:
			return *d, fmt.Errorf("%d wait already", len(d.Queue))
		default:
			d.Queue = append(d.Queue, a.Who)
		}
	case Release, Expire:
		if a.Epoch != d.Epoch || d.Holder == "" || a.Op == Release && d.Holder != a.Who {
			return *d, d.Stale(a.Epoch)
		}
		d.next(a.At)
	case Forget:
		d.Queue = slices.DeleteFunc(slices.Clone(d.Queue), func(w string) bool { return w == a.Who })
	case Hand:
		if d.Holder == a.Who {
			break
		}
		if !slices.Contains(d.Queue, a.Who) {
			return *d, fmt.Errorf("%q does not wait for it", a.Who)
		}
		d.Next = a.Who
	case Pause:
		if d.Paused = a.Why; a.Why == "" {
			d.Paused = "by an operator"
		}
	case Resume:
		d.Paused = ""
	case Raise:
		if a.Epoch > d.Epoch { // whoever owns it by a lower one is refused where that was seen
			d.Epoch = a.Epoch
			d.next(a.At)
		}
	default:
		return *d, fmt.Errorf("%w: %q", ErrUnknown, a.Op)
	}
	return *d, nil
}

// Stale is the refusal of an epoch, which names the one that holds.
func (d *Duty) Stale(e Epoch) error {
	return fmt.Errorf("%w %v of %s: it has had %v", ErrStale, e, d.Name, d.Epoch)
}

// Owns reports, naming why not, whether a process owns a duty by an epoch.
func (t *Table) Owns(duty, who string, e Epoch) error {
	d := t.Duties[duty]
	if d == nil {
		return fmt.Errorf("%w: %q", ErrNobody, duty)
	}
	if d.Epoch != e || d.Holder != who {
		return d.Stale(e)
	}
	return nil
}

func (d *Duty) grant(who string, at int64) {
	d.Epoch++
	d.Since = at
	d.Holder = who
	if d.Next == who {
		d.Next = ""
	}
}

// next passes the duty on: to whom it is handed, else to who has waited longest.
func (d *Duty) next(at int64) {
	d.Holder = ""
	if len(d.Queue) == 0 {
		return
	}
	i := max(0, slices.Index(d.Queue, d.Next))
	who := d.Queue[i]
	d.Queue = slices.Delete(slices.Clone(d.Queue), i, i+1)
	d.grant(who, at)
}

// ---- The leader's time ----

// Watch is what the group's leader has heard and when, on its own monotonic clock. A new leader has heard everybody
// just now, as it can't know what the one before it promised.
type Watch struct {
	terms    Terms
	since    time.Duration // it has led since; under 0: it does not lead
	heard    map[string]heard
	waiters  map[[2]string]time.Duration
	expiring map[string]Epoch
}

type heard struct {
	epoch   Epoch
	at      time.Duration
	granted time.Duration
}

// NewWatch returns the watch of a member that does not lead.
func NewWatch(t Terms) *Watch {
	w := &Watch{terms: t}
	w.Follow()
	return w
}

// Lead is told when the member has begun to lead.
func (w *Watch) Lead(now time.Duration) {
	w.since, w.heard, w.waiters, w.expiring = now, map[string]heard{}, map[[2]string]time.Duration{}, map[string]Epoch{}
}

// Follow is told when it has ceased to.
func (w *Watch) Follow() { w.since, w.heard, w.waiters, w.expiring = -1, nil, nil, nil }

// Leads reports whether it leads.
func (w *Watch) Leads() bool { return w.since >= 0 }

// Waits is told of one that waits and asked again.
func (w *Watch) Waits(duty, who string, now time.Duration) {
	if w.Leads() {
		w.waiters[[2]string{duty, who}] = now
	}
}

// Renewed is told that an owner asks to go on, as it asks. It reports whether it may: no once its end is on its way. One that
// asks as if it did not own it has not heard that it does; that holds for one lease only, else one whose answers are all
// lost would keep everybody else out.
func (w *Watch) Renewed(duty string, e Epoch, anew bool, now time.Duration) bool {
	if !w.Leads() || w.expiring[duty] == e {
		return false
	}
	h := w.heard[duty]
	if h.epoch != e {
		h = heard{e, w.since, w.since} // granted before this one led
	}
	if anew && now-h.granted >= w.terms.TTL {
		return false
	}
	h.at = now
	w.heard[duty] = h
	return true
}

// Granted is told of an ownership as it is applied.
func (w *Watch) Granted(duty string, e Epoch, now time.Duration) {
	if w.Leads() && w.heard[duty].epoch < e {
		w.heard[duty] = heard{e, now, now}
	}
}

// Due is what is to be proposed: the end of ownerships that were not renewed, and of waiting that was not heard of.
func (w *Watch) Due(t *Table, now time.Duration) (asks []Ask) {
	if !w.Leads() {
		return nil
	}
	for _, name := range sorted(t.Duties) {
		d := t.Duties[name]
		for _, who := range d.Queue {
			key := [2]string{name, who}
			if now-max(w.waiters[key], w.since) >= w.terms.Wait() {
				w.waiters[key] = now // not proposed with every look
				asks = append(asks, Ask{Op: Forget, Duty: name, Who: who})
			}
		}
		if d.Holder == "" || w.expiring[name] == d.Epoch {
			continue
		}
		at := w.since
		if h := w.heard[name]; h.epoch == d.Epoch {
			at = max(at, h.at)
		}
		if now-at >= w.terms.Wait() {
			w.expiring[name] = d.Epoch
			asks = append(asks, Ask{Op: Expire, Duty: name, Epoch: d.Epoch})
		}
	}
	return asks
}

// Dropped is told that an end was not proposed after all.
func (w *Watch) Dropped(a Ask) {
	if w.Leads() && a.Op == Expire {
		delete(w.expiring, a.Duty)
	}
}

func sorted(duties map[string]*Duty) []string {
	names := make([]string, 0, len(duties))
	for name := range duties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
