package rulebook

import (
	"slices"
	"time"

	"silverpath/internal/lease"
)

// View is a document as a process is told of it. The texts are left out that it has said to have.
type View struct {
	Force *Entry `json:"force,omitempty"`
	Next  *Entry `json:"next,omitempty"`
	Stage Stage  `json:"stage,omitempty"`
}

// Holder is the side of a process that acts on documents. Its times are those of the process's own monotonic clock.
type Holder struct {
	Who   string
	reads map[string]int
	terms lease.Terms
	until time.Duration // it is confirmed until then
	asked time.Duration // the latest asking that was answered
	index uint64        // how far the group's log had come in what it was last told
	docs  map[string]*held
}

// held is what a process has of a document.
type held struct {
	force, next *Entry
	stage       Stage
	refuses     Refusal
	acts        int // the version that it acts on
	stopped     int // the version for which it has stopped; 0: none
}

// Took is what a process has to do now: act on a version of a document.
type Took struct {
	Doc   string
	Entry *Entry
}

// NewHolder returns the side of a process that has confirmed nothing. Who names one start of it, and reads has the highest format
// that it reads of each document that it uses.
func NewHolder(who string, reads map[string]int) *Holder {
	h := &Holder{Who: who, reads: reads, docs: map[string]*held{}}
	for name := range reads {
		h.docs[name] = &held{}
	}
	return h
}

// Asked is when it asked for what it was last told, and so what it acts on was the newest.
func (h *Holder) Asked() time.Duration { return h.asked }

// Every is how long it waits before it asks again: a third of the lease, and less while a change is under way.
func (h *Holder) Every() time.Duration {
	for _, d := range h.docs {
		if d.next != nil {
			return h.terms.TTL / 12
		}
	}
	return h.terms.TTL / 3
}

// Says is what it has to say of itself.
func (h *Holder) Says() User {
	u := User{Name: h.Who, Reads: h.reads, Holds: map[string]int{}, Stopped: map[string]int{}, Refuses: map[string]Refusal{}}
	for name, d := range h.docs {
		if d.next == nil {
			continue
		}
		n := d.next.ID.Version
		if d.refuses.Version == n {
			u.Refuses[name] = d.refuses
		} else {
			u.Holds[name] = n
		}
		if d.stopped == n {
			u.Stopped[name] = n
		}
	}
	return u
}

// Has are the texts that it has, by document.
func (h *Holder) Has() map[string][]int {
	has := map[string][]int{}
	for name, d := range h.docs {
		for _, e := range []*Entry{d.force, d.next} {
			if e != nil {
				has[name] = append(has[name], e.ID.Version)
			}
		}
	}
	return has
}

// Acts are the versions that it acts on.
func (h *Holder) Acts() map[string]int {
	acts := map[string]int{}
	for name, d := range h.docs {
		acts[name] = d.acts
	}
	return acts
}

// Why nothing that is exclusive begins.
const (
	Unconfirmed = "unconfirmed" // it could not be told within the lease what is in force
	ClocksApart = "clock"       // its wall clock is not within the skew, so times in documents come to it at another moment
	StopsToTurn = "turning"     // everybody stops the old before anybody begins the new
)

// Until is when its confirmation ends.
func (h *Holder) Until() time.Duration { return h.until }

// Turning reports whether it has stopped what a change excludes. It has to be so before it says so.
func (h *Holder) Turning() bool {
	for _, d := range h.docs {
		if d.stopped != 0 {
			return true
		}
	}
	return false
}

// Stops is why nothing that is exclusive begins, empty where it may.
func (h *Holder) Stops(now time.Duration) string {
	switch {
	case now >= h.until:
		return Unconfirmed
	case h.Turning():
		return StopsToTurn
	}
	return ""
}

// Told takes what the group has answered to what was asked at a time, by its terms, as its log had it up to an index. Check tells why this process can't act on
// a document's text; it is asked once of each. It returns what to act on now.
func (h *Holder) Told(asked time.Duration, index uint64, terms lease.Terms, docs map[string]View, check func(name, text string) error) (take []Took) {
	// An answer that was held on the way: more was heard since. It may have been asked for later and yet know less, and what was
	// stopped by the other must not begin again.
	if index < h.index {
		return nil
	}
	h.index, h.terms = index, terms
	h.asked = max(h.asked, asked)
	h.until = max(h.until, asked+terms.Hold())
	for name, d := range h.docs {
		v := docs[name]
		d.force, d.next, d.stage = d.fill(v.Force), d.fill(v.Next), v.Stage
		if d.next != nil && d.refuses.Version != d.next.ID.Version {
			d.refuses = Refusal{}
			if err := check(name, d.next.Text); err != nil {
				d.refuses = Refusal{d.next.ID.Version, err.Error()}
			}
		}
		switch {
		case d.next != nil && d.stage == Turning:
			d.stopped = d.next.ID.Version
		default: // it has come into force, or was withdrawn
			d.stopped = 0
		}
		to := d.force
		if d.next != nil && d.stage == Trial && slices.Contains(d.next.Parts, h.Who) {
			to = d.next
		}
		if to != nil && d.acts != to.ID.Version {
			d.acts = to.ID.Version
			take = append(take, Took{name, to})
		}
	}
	return take
}

// fill puts in a text that it was known to have.
func (d *held) fill(e *Entry) *Entry {
	if e == nil || e.Text != "" {
		return e
	}
	for _, was := range []*Entry{d.force, d.next} {
		if was != nil && was.ID == e.ID {
			full := *e
			full.Text = was.Text
			return &full
		}
	}
	return e
}
