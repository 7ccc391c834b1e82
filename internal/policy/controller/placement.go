package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/cells"
)

// Kinds of requests to Placement in the journal.
const (
	KindMove          = "move"  // move a tenant to another cell; args are a MoveRequest
	KindAbort         = "abort" // abort a move in progress; args are a MoveRequest without To
	KindServerRemoval = "gone"  // remove a dead server; args are a ServerGone
)

// MoveRequest is a tenant's move to a cell, or, without To, the abort of a move.
type MoveRequest struct {
	Tenant string `json:"tenant"`
	To     string `json:"to,omitempty"`    // name of the cell
	Shard  int    `json:"shard,omitempty"` // number of servers of the cell that serve the tenant; 0: all
}

// ServerRemoval is the request to remove a dead server.
type ServerRemoval struct {
	Server string `json:"server"`
	Reason string `json:"why"`
}

// PublishedMap is the published state of the map as the holder reads it. Each version has an entry that is written once, with a map or
// with a withdrawal.
type PublishedMap struct {
	Map            *cells.Map // latest version; nil: none yet
	Raw            []byte     // published text of Map
	HighestVersion int        // highest version with an entry, withdrawn ones included
	VersionEntry   []byte     // entry of the version that the current plan has; nil: not written yet
}

// maxPlanAttempts is the number of plans after which a change fails whose versions expired before they were published. A version
// expires if its holder was suspended, or its entry could not be written, for longer than a lease. Repeated expiry needs an operator.
const maxPlanAttempts = 3

// Codec converts a map to and from its text in the journal and in its published entry.
type Codec struct {
	Format func(*cells.Map) []byte
	Parse  func([]byte) (*cells.Map, error)
}

// Placement is the controller of the cell map. It carries out requests to change the map.
//
// It plans a change as the next version, writes the plan to the journal as an intent, and then publishes the plan's text to the entry
// of that version. An entry can be written only once, so its content decides the outcome, whichever holder wrote it. A plan that
// routers can no longer switch to in time gets its entry withdrawn before the next plan, so that a holder that resumes late can't
// publish it.
type Placement struct{ Codec Codec }

// Next returns the next action of the holder. It depends on the journal, the published map and the wall clock, which the start times in
// maps refer to. The epoch of the holder is written into every map that it plans.
func (p Placement) Next(j *Journal, published PublishedMap, epoch uint64, now time.Time) Action {
	if published.Map == nil {
		return Action{} // nothing was ever published: an operator publishes the first map
	}
	item := j.Current()
	if item != nil && item.State == Intended {
		return p.completeIntent(item, published, now)
	}
	if string(published.Raw) != j.Document {
		// The first map, one that an operator published by hand, or one from before the group lost its state.
		return Action{Kind: WriteJournal, Write: JournalWrite{Document: string(published.Raw)}}
	}
	if item == nil {
		return Action{}
	}
	next, err := p.plan(item, published, epoch, now)
	if err != nil {
		return itemOutcome(item, Failed, err.Error())
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: item.ID, State: Intended, Attempts: item.Attempts, Plan: string(p.Codec.Format(next))}}
}

// completeIntent completes a planned version, also one of an earlier holder: it publishes the version or withdraws its entry, and writes
// the outcome once the entry exists.
func (p Placement) completeIntent(item *Item, published PublishedMap, now time.Time) Action {
	plan, err := p.Codec.Parse([]byte(item.Plan))
	switch {
	case err != nil:
		return itemOutcome(item, Failed, "failed to parse the plan: "+err.Error())
	case published.VersionEntry != nil && string(published.VersionEntry) == item.Plan:
		outcome := itemOutcome(item, Done, fmt.Sprintf("version %d", plan.Version))
		outcome.Write.Document = item.Plan
		return outcome
	case published.VersionEntry != nil: // withdrawn, or written with another map
		return replan(item, plan.Version)
	case plan.Version <= published.Map.Version || plan.Follows(published.Map, now) != nil:
		return Action{Kind: Withdraw, Version: plan.Version}
	}
	return Action{Kind: Publish, Version: plan.Version, Raw: []byte(item.Plan)}
}

// replan queues an item again after its planned version could not be published, or fails it after maxPlanAttempts.
func replan(item *Item, version int) Action {
	w := JournalWrite{Item: item.ID, State: Queued, Attempts: item.Attempts + 1, Note: fmt.Sprintf("version %d came too late", version)}
	if w.Attempts >= maxPlanAttempts {
		w.State, w.Note = Failed, fmt.Sprintf("given up after %d tries: %s", w.Attempts, w.Note)
	}
	return Action{Kind: WriteJournal, Write: w}
}

func itemOutcome(item *Item, state ItemState, note string) Action {
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: item.ID, State: state, Attempts: item.Attempts, Note: note}}
}

// plan returns the next version of the map with the change of a request, or an error if the change is not possible.
func (p Placement) plan(item *Item, published PublishedMap, epoch uint64, now time.Time) (*cells.Map, error) {
	next, err := p.applyRequest(item, published.Map, now)
	if err != nil {
		return nil, err
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	next.Version, next.Epoch = max(published.Map.Version, published.HighestVersion)+1, epoch
	return next, next.Follows(published.Map, now)
}

// applyRequest returns the map with the change of a request; plan sets its version.
func (p Placement) applyRequest(item *Item, m *cells.Map, now time.Time) (*cells.Map, error) {
	if item.Directive == DirectiveAbort {
		return nil, errors.New("aborted before it was planned")
	}
	switch item.Kind {
	case KindMove, KindAbort:
		var move MoveRequest
		if err := json.Unmarshal(item.Args, &move); err != nil {
			return nil, fmt.Errorf("invalid arguments: %w", err)
		}
		if item.Kind == KindAbort {
			return m.PlanAbort(now, move.Tenant)
		}
		plan, err := m.PlanMove(now, move.Tenant, move.To, move.Shard)
		return plan.Next, err
	case KindServerRemoval:
		var removal ServerRemoval
		if err := json.Unmarshal(item.Args, &removal); err != nil {
			return nil, fmt.Errorf("invalid arguments: %w", err)
		}
		return m.PlanRemoval(now, removal.Server)
	}
	return nil, fmt.Errorf("no such request: %q", item.Kind)
}
