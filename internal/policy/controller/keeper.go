package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/cells"
)

// What the keeper is asked for.
const (
	KindMove  = "move"
	KindAbort = "abort"
	KindGone  = "gone"
)

// Move is a tenant's move, or, without To, its abort.
type Move struct {
	Tenant string `json:"tenant"`
	To     string `json:"to,omitempty"`
	Shard  int    `json:"shard,omitempty"`
}

// Gone is the verdict that a server is gone.
type Gone struct {
	Server string `json:"server"`
	Why    string `json:"why"`
}

// Head is the latest version of the map that routers can read, and what stands in the place of a planned one.
type Head struct {
	Map   *cells.Map // nil: none yet
	Raw   []byte     // as it stands there
	Top   int        // the highest version whose place is taken, by a map or withdrawn
	Place []byte     // what stands in the place of the plan's version; nil: nothing
}

// Act is what an owner does next, one thing at a time.
type Act struct {
	Kind    ActKind
	Write   Write  // of WriteDown: what the journal gets; epoch, step and owner are the caller's to add
	Version int    // of Publish and Withdraw
	Raw     []byte // of Publish
	Order   Order  // of Send
}

// ActKind is a kind of act.
type ActKind int

const (
	Rest      ActKind = iota // there is nothing to do now
	WriteDown                // into the journal
	Publish                  // a version of the map, in a place that is written once
	Withdraw                 // take that place, so that nothing else can be written there
	Send                     // an order to a server
)

func (k ActKind) String() string {
	return [...]string{"rest", "write", "publish", "withdraw", "send"}[k]
}

// mostTries is how often a plan that came too late is made anew before its item is given up.
const mostTries = 3

// Codec is how a map stands in journal and place.
type Codec struct {
	Format func(*cells.Map) []byte
	Parse  func([]byte) (*cells.Map, error)
}

// Keeper decides what becomes of requests to change the map.
type Keeper struct{ Codec Codec }

// Next is what the keeper does now, by the journal, what routers can read, and the wall clock that maps are made for. The
// epoch is its own; it stands in every map that it plans.
func (k Keeper) Next(j *Journal, h Head, epoch uint64, now time.Time) Act {
	if h.Map == nil {
		return Act{} // nothing was ever published: an operator puts the first map there
	}
	it := j.Current()
	if it != nil && it.State == Intent {
		return k.settle(j, it, h, now)
	}
	if string(h.Raw) != j.Doc {
		// The first map, one put there by hand, or one known before the group lost its own.
		return Act{Kind: WriteDown, Write: Write{Doc: string(h.Raw)}}
	}
	if it == nil {
		return Act{}
	}
	next, err := k.plan(it, h.Map, now)
	if err == nil {
		err = next.Check()
	}
	if err == nil {
		next.Version, next.Epoch = max(h.Map.Version, h.Top)+1, epoch
		err = next.Follows(h.Map, now)
	}
	if err != nil {
		return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Failed, Tries: it.Tries, Note: err.Error()}}
	}
	return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Intent, Tries: it.Tries, Plan: string(k.Codec.Format(next))}}
}

// settle brings a planned version to its end, whoever planned it: it is published, or its place is taken from it.
func (k Keeper) settle(j *Journal, it *Item, h Head, now time.Time) Act {
	plan, err := k.Codec.Parse([]byte(it.Plan))
	if err != nil {
		return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Failed, Tries: it.Tries, Note: "the plan can't be read: " + err.Error()}}
	}
	if h.Place != nil && string(h.Place) == it.Plan {
		return Act{Kind: WriteDown, Write: Write{Item: it.ID, State: Done, Tries: it.Tries, Doc: it.Plan,
			Note: fmt.Sprintf("version %d", plan.Version)}}
	}
	if h.Place != nil { // withdrawn, or somebody's
		w := Write{Item: it.ID, State: Queued, Tries: it.Tries + 1, Note: fmt.Sprintf("version %d came too late", plan.Version)}
		if w.Tries >= mostTries {
			w.State, w.Note = Failed, fmt.Sprintf("given up after %d tries: %s", w.Tries, w.Note)
		}
		return Act{Kind: WriteDown, Write: w}
	}
	if plan.Version <= h.Map.Version || plan.Follows(h.Map, now) != nil {
		return Act{Kind: Withdraw, Version: plan.Version}
	}
	return Act{Kind: Publish, Version: plan.Version, Raw: []byte(it.Plan)}
}

// plan is the next map of a request.
func (k Keeper) plan(it *Item, m *cells.Map, now time.Time) (*cells.Map, error) {
	if it.Wish == "abort" {
		return nil, errors.New("taken back before it was planned")
	}
	switch it.Kind {
	case KindMove, KindAbort:
		var a Move
		if err := json.Unmarshal(it.Args, &a); err != nil {
			return nil, fmt.Errorf("its arguments: %w", err)
		}
		if it.Kind == KindAbort {
			return m.PlanAbort(now, a.Tenant)
		}
		p, err := m.PlanMove(now, a.Tenant, a.To, a.Shard)
		return p.Next, err
	case KindGone:
		var a Gone
		if err := json.Unmarshal(it.Args, &a); err != nil {
			return nil, fmt.Errorf("its arguments: %w", err)
		}
		return m.PlanGone(now, a.Server)
	}
	return nil, fmt.Errorf("no such request: %q", it.Kind)
}
