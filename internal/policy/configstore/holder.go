package configstore

import (
	"time"

	"silverpath/internal/policy/lease"
)

// View is a document as a process is told of it. The texts are left out that it has said to have.
type View struct {
	Force *Entry `json:"force,omitempty"`
	Next  *Entry `json:"next,omitempty"`
	Stage Stage  `json:"stage,omitempty"`
	Since int    `json:"since,omitempty"` // of a document in parts: Force has those that changed after this version; 0: all, or none
}

// Holder is the side of a process that acts on documents. Its times are those of the process's own monotonic clock.
type Holder struct {
	Who string
	// CheckParts tells why this process can't act on parts of a document that differ from what it was handed last, or on all of them.
	CheckParts func(name string, changed map[string]string, whole bool) error
	Out        Guards

	reads map[string]int
	terms lease.Terms
	until time.Duration // it is confirmed until then
	asked time.Duration // the latest asking that was answered
	index uint64        // how far the group's log had come in what it was last told
	docs  map[string]*held

	intake intake
}

// held is what a process has of a document.
type held struct {
	force, next *Entry
	stage       Stage
	refuses     Refusal
	acts        int // the version that it acts on
	stopped     int // the version for which it has stopped; 0: none

	// Of a document in parts:
	given     *piece // what the process was handed last, whole; nil: nothing
	now, then *piece // what is in force, and under way, as far as it is here
	checked   ID     // of the one under way
	checkedAt time.Duration
	offs      Off

	// What stops while it turns, as it was last worked out: who lives in a cell is a matter of the whole map.
	touched     *Touched
	touchedBy   ID
	touchedHere bool
}

// Took is what a process has to do now: act on a version of a document.
type Took struct {
	Doc   string
	Entry *Entry
	Parts map[string]string // of one in parts: those that differ from what was handed last
	Whole bool              // they are all that there are
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
	if !h.Current() {
		return h.terms.TTL / 12 // it confirms nothing until it has what is in force
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
		} else if d.here() {
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
			if e != nil && (!e.Split || d.named(e.ID)) {
				has[name] = append(has[name], e.ID.Version)
			}
		}
	}
	return has
}

// named reports whether the parts of a version are known by names and digests, so that it needn't be told of them again.
func (d *held) named(id ID) bool {
	for _, p := range []*piece{d.now, d.then} {
		if p != nil && p.id == id && p.parts != nil {
			return true
		}
	}
	return false
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
	if index < h.index && !h.Out.NoIndex {
		return nil
	}
	h.index, h.terms = index, terms
	for name, d := range h.docs {
		v := docs[name]
		d.force, d.next, d.stage = d.fill(v.Force), d.fill(v.Next), v.Stage
		d.now, d.then = d.pieces(v, h.Out)
		switch {
		case d.next != nil && d.stage == Turning:
			d.stopped = d.next.ID.Version
		default: // it has come into force, or was withdrawn
			d.stopped = 0
		}
	}
	take = h.settle(asked, check)
	// What it lacks a part of it doesn't act on, and so confirms nothing by this answer.
	if h.Current() {
		h.asked = max(h.asked, asked)
		h.until = max(h.until, asked+terms.HolderTTL())
	}
	return take
}

// pieces are what is in force and under way of a document in parts, by what it was told.
func (d *held) pieces(v View, out Guards) (now, then *piece) {
	if v.Force != nil && v.Force.Split {
		var base *piece
		if v.Force.Parts != nil {
			base = d.onto(v.Since, out)
		}
		now = d.aim(v.Force, base, out)
	}
	if v.Next != nil && v.Next.Split {
		base := now
		if base == nil {
			base = &piece{parts: map[string]Part{}} // the first in parts
		}
		then = d.aim(v.Next, base, out)
	}
	return now, then
}

// fill puts in a text that it was known to have.
func (d *held) fill(e *Entry) *Entry {
	if e == nil || e.Text != "" || e.Split {
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
