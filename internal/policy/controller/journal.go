// Package controller decides the work that belongs to the fleet and not to one process: what the map's keeper, the conductor
// of a roll and the watcher do next, over a journal that the group keeps. It has no I/O, no clock and no goroutine. Every
// act has its intent in the journal before it and its outcome after it, each by the owner's epoch and the next step, so
// that the next owner goes on where the last one stopped.
package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"silverpath/internal/policy/lease"
)

// The duties by name.
const (
	MapKeeper = "keeper"
	Conducts  = "conductor"
	Watches   = "watcher"
)

// Names are the duties that there are.
var Names = []string{MapKeeper, Conducts, Watches}

// State is what became of an item.
type State string

const (
	Queued State = "queued"
	Intent State = "intent" // its act may have been made, in part or whole
	Done   State = "done"
	Failed State = "failed" // given up; Note says why
)

// Over reports whether nothing more becomes of an item.
func (s State) Over() bool { return s == Done || s == Failed }

// Item is one request to a duty and what became of it.
type Item struct {
	ID    string          `json:"id"`
	Kind  string          `json:"kind"`
	Args  json.RawMessage `json:"args,omitempty"`
	State State           `json:"state"`
	Epoch lease.Epoch     `json:"epoch,omitempty"` // and step: of what was last written of it
	Step  uint64          `json:"step,omitempty"`
	Tries int             `json:"tries,omitempty"`
	Plan  string          `json:"plan,omitempty"` // what is to be done, or how far it is: to the byte, so no JSON in JSON
	Note  string          `json:"note,omitempty"`
	Wish  string          `json:"wish,omitempty"` // of an operator, while it is under way: pause or abort
}

// Journal is the work of one duty. It changes only by Submit, Wish and Write, in the order of the group's log.
type Journal struct {
	Duty  string `json:"duty"`
	Step  uint64 `json:"step"` // of the last write
	Last  *Write `json:"last,omitempty"`
	Items []Item `json:"items"`
	Doc   string `json:"doc,omitempty"` // what the duty keeps: the map in force
}

// Write is what an owner writes of an item: an intent, how far it is, or its outcome.
type Write struct {
	Duty  string      `json:"duty"`
	Who   string      `json:"who"`
	Epoch lease.Epoch `json:"epoch"`
	Step  uint64      `json:"step"`
	Item  string      `json:"item,omitempty"` // empty: only Doc is written
	State State       `json:"state,omitempty"`
	Tries int         `json:"tries,omitempty"`
	Plan  string      `json:"plan,omitempty"` // empty: as it was
	Note  string      `json:"note,omitempty"`
	Doc   string      `json:"doc,omitempty"` // empty: as it was
}

const (
	mostOpen = 256 // items that are not over
	keptOver = 64  // items that are
)

// What a journal says no for.
var (
	ErrStep   = errors.New("out of step")
	ErrPaused = errors.New("the duty is paused")
	ErrFull   = errors.New("too much is queued")
	ErrNoItem = errors.New("no such item")
)

// Item returns an item by its id, nil for none.
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
	var first *Item
	for i := range j.Items {
		switch it := &j.Items[i]; {
		case it.State == Intent:
			return it
		case it.State == Queued && first == nil:
			first = it
		}
	}
	return first
}

// Submit queues a request. One that is known is not queued again.
func (j *Journal) Submit(id, kind string, args json.RawMessage) (Item, error) {
	if id == "" || kind == "" {
		return Item{}, errors.New("an item without id or kind")
	}
	if it := j.Item(id); it != nil {
		return *it, nil
	}
	open := 0
	for _, it := range j.Items {
		if !it.State.Over() {
			open++
		}
	}
	if open >= mostOpen {
		return Item{}, fmt.Errorf("%w: %d", ErrFull, open)
	}
	it := Item{ID: id, Kind: kind, Args: args, State: Queued}
	j.Items = append(j.Items, it)
	return it, nil
}

// Wish notes what an operator wants of an item that is not over: pause, resume or abort.
func (j *Journal) Wish(id, wish string) (Item, error) {
	it := j.Item(id)
	switch {
	case it == nil:
		return Item{}, fmt.Errorf("%w: %q", ErrNoItem, id)
	case it.State.Over():
		return *it, fmt.Errorf("it is %s", it.State)
	case wish == "resume" && it.Wish == "abort":
		return *it, errors.New("it is being aborted")
	case wish == "resume":
		it.Wish = ""
	default:
		it.Wish = wish
	}
	return *it, nil
}

// Write takes what an owner writes. Whoever does not own the duty by that epoch is refused by name; so is a step that is
// not the next one, but for the last one said again, which changes nothing.
func (j *Journal) Write(w Write, t *lease.Table) error {
	if err := t.CheckHolder(w.Duty, w.Who, w.Epoch); err != nil {
		return err
	}
	if w.Step == j.Step && j.Last != nil && j.Last.same(w) {
		return nil
	}
	if w.Step != j.Step+1 {
		return fmt.Errorf("%w: step %d, the journal is at %d", ErrStep, w.Step, j.Step)
	}
	it := j.Item(w.Item)
	if w.Item != "" {
		switch {
		case it == nil:
			return fmt.Errorf("%w: %q", ErrNoItem, w.Item)
		case it.State.Over():
			return fmt.Errorf("%w: %q is %s", ErrStep, w.Item, it.State)
		case it.State == Queued && w.State == Intent && t.Duties[w.Duty].PauseReason != "":
			return ErrPaused
		}
		it.State, it.Epoch, it.Step, it.Tries, it.Note = w.State, w.Epoch, w.Step, w.Tries, w.Note
		if w.Plan != "" {
			it.Plan = w.Plan
		}
	}
	if w.Doc != "" {
		j.Doc = w.Doc
	}
	j.Step = w.Step
	w.Doc = "" // the journal has it once
	j.Last = &w
	j.forget()
	return nil
}

func (w *Write) same(o Write) bool {
	return w.Who == o.Who && w.Epoch == o.Epoch && w.Item == o.Item && w.State == o.State && w.Plan == o.Plan
}

// forget lets go of the oldest items that are over, and of the plans of all that are but the latest.
func (j *Journal) forget() {
	over := 0
	for i := range j.Items {
		if it := &j.Items[i]; it.State.Over() && it.Step != j.Step {
			it.Plan = ""
		}
	}
	for _, it := range j.Items {
		if it.State.Over() {
			over++
		}
	}
	j.Items = slices.DeleteFunc(j.Items, func(it Item) bool {
		if !it.State.Over() || over <= keptOver {
			return false
		}
		over--
		return true
	})
}
