package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"silverpath/internal/policy/lease"
)

// ItemState is the state of an item.
type ItemState string

// States of an item.
const (
	Queued   ItemState = "queued"
	Intended ItemState = "intent" // its action may have been carried out, in part or in full
	Done     ItemState = "done"
	Failed   ItemState = "failed" // given up; Note has the reason
)

// Finished reports whether the state is final.
func (s ItemState) Finished() bool { return s == Done || s == Failed }

// Directives of an operator for an unfinished item.
const (
	DirectivePause  = "pause"
	DirectiveResume = "resume" // ends a pause; it is not stored
	DirectiveAbort  = "abort"  // ends the item; DirectiveResume does not revoke it
)

// Item is one request to a duty, with its state.
type Item struct {
	ID        string          `json:"id"`
	Kind      string          `json:"kind"`
	Args      json.RawMessage `json:"args,omitempty"`
	State     ItemState       `json:"state"`
	Epoch     lease.Epoch     `json:"epoch,omitempty"` // of its last write
	Step      uint64          `json:"step,omitempty"`  // of its last write
	Attempts  int             `json:"tries,omitempty"` // number of plans that could not be published
	Plan      string          `json:"plan,omitempty"`  // what to do, or the progress; a string, as it is compared byte by byte
	Note      string          `json:"note,omitempty"`  // for people
	Directive string          `json:"wish,omitempty"`  // DirectivePause, DirectiveAbort or empty
}

// Journal has the items of one duty. Only Submit, SetDirective and Apply change it, in the order of the group's log.
type Journal struct {
	Duty      string        `json:"duty"`
	Step      uint64        `json:"step"` // of the last write
	LastWrite *JournalWrite `json:"last,omitempty"`
	Items     []Item        `json:"items"`
	Document  string        `json:"doc,omitempty"` // the document of the duty: for PlacementDuty, the text of the active map
}

// JournalWrite is a write by the holder: the intent, progress or outcome of an item, a new document, or both.
type JournalWrite struct {
	Duty     string      `json:"duty"`
	Process  string      `json:"who"`
	Epoch    lease.Epoch `json:"epoch"`
	Step     uint64      `json:"step"`
	Item     string      `json:"item,omitempty"` // ID of the item; empty: only Document is written
	State    ItemState   `json:"state,omitempty"`
	Attempts int         `json:"tries,omitempty"`
	Plan     string      `json:"plan,omitempty"` // empty: unchanged
	Note     string      `json:"note,omitempty"`
	Document string      `json:"doc,omitempty"` // empty: unchanged
}

// Bounds of a journal. Every snapshot of the group and every response about the duty contains the whole journal.
const (
	maxOpenItems     = 256 // queued and intended items; bounds what a script that submits in a loop can queue
	maxFinishedItems = 64  // finished items that are kept for people to read: one or two screens
)

// Errors of a journal that callers distinguish.
var (
	ErrOutOfStep    = errors.New("out of step")        // the step is not the next one, or the item is finished
	ErrPaused       = errors.New("the duty is paused") // an operator paused the duty: no queued item is started
	ErrJournalFull  = errors.New("too much is queued") // the journal has maxOpenItems unfinished items
	ErrItemNotFound = errors.New("no such item")       // the item was never submitted, or was pruned after it finished
)

// Item returns the item with the given ID, or nil if there is none.
func (j *Journal) Item(id string) *Item {
	for i := range j.Items {
		if j.Items[i].ID == id {
			return &j.Items[i]
		}
	}
	return nil
}

// Current returns the item to work on: the first intended one, else the first queued one, or nil if there is none.
func (j *Journal) Current() *Item {
	var firstQueued *Item
	for i := range j.Items {
		switch item := &j.Items[i]; {
		case item.State == Intended:
			return item
		case item.State == Queued && firstQueued == nil:
			firstQueued = item
		}
	}
	return firstQueued
}

// Submit queues a request and returns its item. It is idempotent: for an ID that the journal has, it returns that item. It returns
// ErrJournalFull if maxOpenItems items are unfinished, and an error if the ID or the kind is empty.
func (j *Journal) Submit(id, kind string, args json.RawMessage) (Item, error) {
	if id == "" || kind == "" {
		return Item{}, errors.New("an item without id or kind")
	}
	if existing := j.Item(id); existing != nil {
		return *existing, nil
	}
	open := 0
	for _, item := range j.Items {
		if !item.State.Finished() {
			open++
		}
	}
	if open >= maxOpenItems {
		return Item{}, fmt.Errorf("%w: %d", ErrJournalFull, open)
	}
	item := Item{ID: id, Kind: kind, Args: args, State: Queued}
	j.Items = append(j.Items, item)
	return item, nil
}

// SetDirective sets the directive of an unfinished item, or clears it for DirectiveResume, and returns the item. It returns
// ErrItemNotFound for an unknown item, and an error for a finished one or for a DirectiveResume after an abort.
func (j *Journal) SetDirective(id, directive string) (Item, error) {
	item := j.Item(id)
	switch {
	case item == nil:
		return Item{}, fmt.Errorf("%w: %q", ErrItemNotFound, id)
	case item.State.Finished():
		return *item, fmt.Errorf("it is %s", item.State)
	case directive == DirectiveResume && item.Directive == DirectiveAbort:
		return *item, errors.New("it is being aborted")
	case directive == DirectiveResume:
		item.Directive = ""
	default:
		item.Directive = directive
	}
	return *item, nil
}

// Apply applies a write of the holder. A rejected write changes nothing.
//
// Apply fences the journal: it returns lease.ErrStaleEpoch unless the process holds the duty in the epoch of the write, so that a
// holder that was suspended and replaced can't change the journal when it resumes. It returns ErrOutOfStep unless the step is the next
// one. A repetition of the last write, as after a lost response, succeeds and changes nothing. It returns ErrPaused for the intent of a
// queued item while the duty is paused, and ErrItemNotFound for an unknown item.
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
	w.Document = "" // the journal stores the document only once
	j.LastWrite = &w
	j.prune()
	return nil
}

func (j *Journal) applyToItem(w JournalWrite, paused bool) error {
	item := j.Item(w.Item)
	switch {
	case item == nil:
		return fmt.Errorf("%w: %q", ErrItemNotFound, w.Item)
	case item.State.Finished():
		return fmt.Errorf("%w: %q is %s", ErrOutOfStep, w.Item, item.State)
	case item.State == Queued && w.State == Intended && paused:
		return ErrPaused
	}
	item.State, item.Epoch, item.Step, item.Attempts, item.Note = w.State, w.Epoch, w.Step, w.Attempts, w.Note
	if w.Plan != "" {
		item.Plan = w.Plan
	}
	return nil
}

func (w *JournalWrite) sameAs(other JournalWrite) bool {
	return w.Process == other.Process && w.Epoch == other.Epoch && w.Item == other.Item && w.State == other.State && w.Plan == other.Plan
}

// prune removes the oldest finished items beyond maxFinishedItems. It also clears the plans of all finished items except the one that
// the last write finished, as a plan can be a whole map.
func (j *Journal) prune() {
	finished := 0
	for i := range j.Items {
		item := &j.Items[i]
		if !item.State.Finished() {
			continue
		}
		finished++
		if item.Step != j.Step {
			item.Plan = ""
		}
	}
	j.Items = slices.DeleteFunc(j.Items, func(item Item) bool {
		if !item.State.Finished() || finished <= maxFinishedItems {
			return false
		}
		finished--
		return true
	})
}
