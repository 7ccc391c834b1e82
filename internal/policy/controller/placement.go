package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/cells"
)

// Kinds of requests to Placement, by their names in the journal.
const (
	KindMove  = "move"  // of a tenant to another cell: args are a MoveRequest
	KindAbort = "abort" // of a move that is under way: a MoveRequest without To
	KindGone  = "gone"  // a server is gone: a ServerGone
)

// MoveRequest is a tenant's move to a cell, or, without To, the abort of one.
type MoveRequest struct {
	Tenant string `json:"tenant"`
	To     string `json:"to,omitempty"`
	Shard  int    `json:"shard,omitempty"` // servers of the cell that the tenant is to be served by; 0: all
}

// ServerGone is the verdict that a server is gone.
type ServerGone struct {
	Server string `json:"server"`
	Reason string `json:"why"`
}

// PublishedMap is what routers can read: the latest version of the map, and what stands in the place of a planned one.
type PublishedMap struct {
	Map            *cells.Map // nil: none yet
	Raw            []byte     // its text as it stands there
	HighestVersion int        // the highest version whose place is taken, by a map or withdrawn
	Occupant       []byte     // what stands in the place of the plan's version; nil: nothing
}

// maxPlanAttempts is how often a change whose version came too late is planned anew before it is given up. A version comes too late
// when its holder was stopped, or the place could not be written, for longer than a lease; an operator has to look at what recurs.
const maxPlanAttempts = 3

// Codec writes and reads a map as its text in the journal and in its place.
type Codec struct {
	Format func(*cells.Map) []byte
	Parse  func([]byte) (*cells.Map, error)
}

// Placement decides what becomes of requests to change the cell map.
//
// A change is planned as the next version and written into the journal as an intent; then its text is put into the place of its
// version, which can be written only once. What stands there is the outcome, whoever put it there. A plan that routers can't follow in
// time any more has its place withdrawn before another one is planned, so that a holder that wakes up late can't publish it.
type Placement struct{ Codec Codec }

// Next returns what the holder does now, by the journal, by what routers can read, and by the wall clock that maps are made for. The
// epoch is the holder's; it stands in every map that it plans.
func (k Placement) Next(j *Journal, published PublishedMap, epoch uint64, now time.Time) Action {
	if published.Map == nil {
		return Action{} // nothing was ever published: an operator puts the first map there
	}
	it := j.Current()
	if it != nil && it.State == Intended {
		return k.settleIntent(it, published, now)
	}
	if string(published.Raw) != j.Document {
		// The first map, one put there by hand, or one known before the group lost its own.
		return Action{Kind: WriteJournal, Write: JournalWrite{Document: string(published.Raw)}}
	}
	if it == nil {
		return Action{}
	}
	next, err := k.plan(it, published, epoch, now)
	if err != nil {
		return itemOutcome(it, Failed, err.Error())
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: it.ID, State: Intended, Attempts: it.Attempts, Plan: string(k.Codec.Format(next))}}
}

// settleIntent brings a planned version to its end, whoever planned it: it is published, or its place is taken from it.
func (k Placement) settleIntent(it *Item, published PublishedMap, now time.Time) Action {
	plan, err := k.Codec.Parse([]byte(it.Plan))
	switch {
	case err != nil:
		return itemOutcome(it, Failed, "the plan can't be read: "+err.Error())
	case published.Occupant != nil && string(published.Occupant) == it.Plan:
		done := itemOutcome(it, Done, fmt.Sprintf("version %d", plan.Version))
		done.Write.Document = it.Plan
		return done
	case published.Occupant != nil: // withdrawn, or somebody's
		return replan(it, plan.Version)
	case plan.Version <= published.Map.Version || plan.Follows(published.Map, now) != nil:
		return Action{Kind: Withdraw, Version: plan.Version}
	}
	return Action{Kind: Publish, Version: plan.Version, Raw: []byte(it.Plan)}
}

// replan queues an item again whose version came too late, or gives it up after maxPlanAttempts.
func replan(it *Item, version int) Action {
	w := JournalWrite{Item: it.ID, State: Queued, Attempts: it.Attempts + 1, Note: fmt.Sprintf("version %d came too late", version)}
	if w.Attempts >= maxPlanAttempts {
		w.State, w.Note = Failed, fmt.Sprintf("given up after %d tries: %s", w.Attempts, w.Note)
	}
	return Action{Kind: WriteJournal, Write: w}
}

func itemOutcome(it *Item, state ItemState, note string) Action {
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: it.ID, State: state, Attempts: it.Attempts, Note: note}}
}

// plan returns the next version of the map by a request, or why there is none.
func (k Placement) plan(it *Item, published PublishedMap, epoch uint64, now time.Time) (*cells.Map, error) {
	next, err := k.change(it, published.Map, now)
	if err != nil {
		return nil, err
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	next.Version, next.Epoch = max(published.Map.Version, published.HighestVersion)+1, epoch
	return next, next.Follows(published.Map, now)
}

// change is the map with the change of a request, its version not yet set.
func (k Placement) change(it *Item, m *cells.Map, now time.Time) (*cells.Map, error) {
	if it.Directive == DirectAbort {
		return nil, errors.New("taken back before it was planned")
	}
	switch it.Kind {
	case KindMove, KindAbort:
		var move MoveRequest
		if err := json.Unmarshal(it.Args, &move); err != nil {
			return nil, fmt.Errorf("its arguments: %w", err)
		}
		if it.Kind == KindAbort {
			return m.PlanAbort(now, move.Tenant)
		}
		plan, err := m.PlanMove(now, move.Tenant, move.To, move.Shard)
		return plan.Next, err
	case KindGone:
		var gone ServerGone
		if err := json.Unmarshal(it.Args, &gone); err != nil {
			return nil, fmt.Errorf("its arguments: %w", err)
		}
		return m.PlanRemoval(now, gone.Server)
	}
	return nil, fmt.Errorf("no such request: %q", it.Kind)
}
