package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"silverpath/internal/policy/lease"
)

// ItemState is what became of an item.
type ItemState string

// States of an item.
const (
	Queued   ItemState = "queued"
	Intended ItemState = "intent" // its action may have been made, in part or whole
	Done     ItemState = "done"
	Failed   ItemState = "failed" // given up; Note says why
)

// Finished reports whether nothing more becomes of an item.
func (s ItemState) Finished() bool { return s == Done || s == Failed }

// Directives of an operator for an item that is under way.
const (
	DirectPause  = "pause"
	DirectResume = "resume" // ends a pause; it is not stored
	DirectAbort  = "abort"  // for good
)

// Item is one request to a duty and what became of it.
type Item struct {
	ID        string          `json:"id"`
	Kind      string          `json:"kind"`
	Args      json.RawMessage `json:"args,omitempty"`
	State     ItemState       `json:"state"`
	Epoch     lease.Epoch     `json:"epoch,omitempty"` // with Step: of its last write
	Step      uint64          `json:"step,omitempty"`
	Attempts  int             `json:"tries,omitempty"`
	Plan      string          `json:"plan,omitempty"` // what is to be done, or how far it is; text, as it is compared to the byte
	Note      string          `json:"note,omitempty"` // for people
	Directive string          `json:"wish,omitempty"` // DirectPause, DirectAbort or empty
}

// Journal is the work of one duty. It changes only by Submit, Direct and Apply, in the order of the group's log.
type Journal struct {
	Duty      string        `json:"duty"`
	Step      uint64        `json:"step"` // of the last write
	LastWrite *JournalWrite `json:"last,omitempty"`
	Items     []Item        `json:"items"`
	Document  string        `json:"doc,omitempty"` // what the duty keeps: the map that is in force
}

// JournalWrite is what the holder writes of an item: an intent, how far it is, or its outcome.
type JournalWrite struct {
	Duty     string      `json:"duty"`
	Process  string      `json:"who"`
	Epoch    lease.Epoch `json:"epoch"`
	Step     uint64      `json:"step"`
	Item     string      `json:"item,omitempty"` // its ID; empty: only Document is written
	State    ItemState   `json:"state,omitempty"`
	Attempts int         `json:"tries,omitempty"`
	Plan     string      `json:"plan,omitempty"` // empty: as it was
	Note     string      `json:"note,omitempty"`
	Document string      `json:"doc,omitempty"` // empty: as it was
}

// Bounds of a journal, which is in every snapshot of the group and in every answer about its duty.
const (
	maxOpenItems     = 256 // items that are queued or under way. Found by trial; raising it lets a script in a loop queue more
	maxFinishedItems = 64  // items that are kept for people to look at: a screen or two
)

// Errors of a journal that callers decide by.
var (
	ErrOutOfStep = errors.New("out of step")        // not the journal's next step, or of an item that is finished
	ErrPaused    = errors.New("the duty is paused") // by an operator: nothing new is begun
	ErrFull      = errors.New("too much is queued") // maxOpenItems are
	ErrNoItem    = errors.New("no such item")       // never submitted, or finished long ago
)

// Item returns an item by its ID, nil for none.
func (j *Journal) Item(id string) *Item {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return &j.Items[i]
		}
	}
	return nil
}

// Current is the item to work on: the one under way, else the first that is queued; nil for none.
func (j *Journal) Current() *Item {
	var firstQueued *Item
	for i := range j.Items {
		switch it := &j.Items[i]; {
		case it.State == Intended:
			return it
		case it.State == Queued && firstQueued == nil:
			firstQueued = it
		}
	}
	return firstQueued
}

// Submit queues a request. One whose ID is known is not queued again: who asks may do so twice. It returns ErrFull, or that an ID or
// kind is missing.
func (j *Journal) Submit(id, kind string, args json.RawMessage) (Item, error) {
	if id == "" || kind == "" {
		return Item{}, errors.New("an item without id or kind")
	}
	if it := j.Item(id); it != nil {
		return *it, nil
	}
	open := 0
	for _, it := range j.Items {
		if !it.State.Finished() {
			open++
		}
	}
	if open >= maxOpenItems {
		return Item{}, fmt.Errorf("%w: %d", ErrFull, open)
	}
	it := Item{ID: id, Kind: kind, Args: args, State: Queued}
	j.Items = append(j.Items, it)
	return it, nil
}

// Direct notes what an operator wants of an item that is not finished: a directive. An abort is not taken back.
func (j *Journal) Direct(id, directive string) (Item, error) {
	it := j.Item(id)
	switch {
	case it == nil:
		return Item{}, fmt.Errorf("%w: %q", ErrNoItem, id)
	case it.State.Finished():
		return *it, fmt.Errorf("it is %s", it.State)
	case directive == DirectResume && it.Directive == DirectAbort:
		return *it, errors.New("it is being aborted")
	case directive == DirectResume:
		it.Directive = ""
	default:
		it.Directive = directive
	}
	return *it, nil
}

// Apply takes a write of the holder.
//
// It is the fence of the journal: a process that does not hold the duty by the write's epoch is refused with lease.ErrStaleEpoch, so
// that a holder that was replaced while it was stopped changes nothing when it wakes. A step that is not the next one is refused with
// ErrOutOfStep, but for the last one sent again, whose answer was lost: that changes nothing. An item of a paused duty is not begun
// (ErrPaused).
func (j *Journal) Apply(w JournalWrite, t *lease.Table) error {
	if err := t.CheckHolder(w.Duty, w.Process, w.Epoch); err != nil {
		return err
	}
	if w.Step == j.Step && j.LastWrite != nil && j.LastWrite.sameAs(w) {
		return nil
	}
	if w.Step != j.Step+1 {
		return fmt.Errorf("%w: step %d, the journal is at %d", ErrOutOfStep, w.Step, j.Step)
	}
	if w.Item != "" {
		if err := j.applyToItem(w, t.Duties[w.Duty].PauseReason != ""); err != nil {
			return err
		}
	}
	if w.Document != "" {
		j.Document = w.Document
	}
	j.Step = w.Step
	w.Document = "" // the journal has it once
	j.LastWrite = &w
	j.prune()
	return nil
}

func (j *Journal) applyToItem(w JournalWrite, paused bool) error {
	it := j.Item(w.Item)
	switch {
	case it == nil:
		return fmt.Errorf("%w: %q", ErrNoItem, w.Item)
	case it.State.Finished():
		return fmt.Errorf("%w: %q is %s", ErrOutOfStep, w.Item, it.State)
	case it.State == Queued && w.State == Intended && paused:
		return ErrPaused
	}
	it.State, it.Epoch, it.Step, it.Attempts, it.Note = w.State, w.Epoch, w.Step, w.Attempts, w.Note
	if w.Plan != "" {
		it.Plan = w.Plan
	}
	return nil
}

func (w *JournalWrite) sameAs(o JournalWrite) bool {
	return w.Process == o.Process && w.Epoch == o.Epoch && w.Item == o.Item && w.State == o.State && w.Plan == o.Plan
}

// prune drops the oldest finished items beyond maxFinishedItems, and the plans of all finished ones but the latest: a plan may be a
// whole map.
func (j *Journal) prune() {
	finished := 0
	for i := range j.Items {
		it := &j.Items[i]
		if !it.State.Finished() {
			continue
		}
		finished++
		if it.Step != j.Step {
			it.Plan = ""
		}
	}
	j.Items = slices.DeleteFunc(j.Items, func(it Item) bool {
		if !it.State.Finished() || finished <= maxFinishedItems {
			return false
		}
		finished--
		return true
	})
}
