package configwatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// fetchUntil fetches missing parts until it is time for the next sync, which is at once where all of them have come.
func (w *Watcher) fetchUntil(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		asked, next := w.fetchParts(ctx)
		left := time.Until(until)
		if left <= 0 || asked && next < 0 {
			return
		}
		if asked {
			continue
		}
		if next >= 0 {
			left = min(left, max(next, time.Millisecond))
		}
		select {
		case <-ctx.Done():
		case <-time.After(left):
		}
	}
}

// fetchParts fetches missing parts once, where the replica says that it is time to. Next is how long until it is, under 0 where nothing is
// missing.
func (w *Watcher) fetchParts(ctx context.Context) (asked bool, next time.Duration) {
	w.mu.Lock()
	request, at, ok := w.replica.NextRequest(w.clock())
	next = -1
	if !ok && at > 0 {
		next = at - w.clock()
	}
	w.mu.Unlock()
	if !ok {
		return false, next
	}
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	p, err := w.cfg.Group.Parts(asking, request)
	cancel()
	w.cfg.Stats.Inc("rules", "parts_asked")
	w.mu.Lock()
	var updates []configstore.Update
	if err != nil {
		w.cfg.Stats.Inc("rules", "parts_unanswered")
		w.replica.RequestFailed()
	} else {
		updates = w.replica.ReceiveParts(w.clock(), request, p.ID, p.Parts, w.check)
	}
	missing := w.replica.IsIncomplete()
	w.mu.Unlock()
	w.logMismatches()
	w.apply(updates)
	if missing {
		next = 0
	}
	return true, next
}

// logMismatches logs and counts answers that did not follow from what is here.
func (w *Watcher) logMismatches() {
	w.mu.Lock()
	mismatches, active := w.replica.TakeMismatches(), w.replica.ActiveVersions()
	w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(mismatches)) {
		w.cfg.Stats.Add(uint64(mismatches[name].Count), "rules", "parts_off")
		events.Log(w.cfg.Log, "config.parts_stale", name, active[name], mismatches[name].Reason)
	}
}
