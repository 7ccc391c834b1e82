package configwatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// fetchUntil fetches missing parts until the time of the next sync. It returns at once when the last missing part has
// arrived.
func (w *Watcher) fetchUntil(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		requested, next := w.fetchParts(ctx)
		wait := time.Until(until)
		if wait <= 0 || requested && next < 0 {
			return
		}
		if requested {
			continue
		}
		if next >= 0 {
			wait = min(wait, max(next, time.Millisecond))
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// fetchParts sends one request for missing parts if the replica has one due, and reports whether it did. It returns how
// long until the next request is due, or a negative value if no part is missing.
func (w *Watcher) fetchParts(ctx context.Context) (requested bool, next time.Duration) {
	w.mu.Lock()
	request, dueAt, due := w.replica.NextRequest(w.clock())
	next = -1
	if !due && dueAt > 0 {
		next = dueAt - w.clock()
	}
	w.mu.Unlock()
	if !due {
		return false, next
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	reply, err := w.cfg.Group.Parts(requestCtx, request)
	cancel()
	w.cfg.Stats.Inc("rules", "parts_asked")
	w.mu.Lock()
	var updates []configstore.Update
	if err != nil {
		w.cfg.Stats.Inc("rules", "parts_unanswered")
		w.replica.RequestFailed()
	} else {
		updates = w.replica.ReceiveParts(w.clock(), request, reply.ID, reply.Parts, w.check)
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

// logMismatches logs and counts answers that do not match the parts that the process has.
func (w *Watcher) logMismatches() {
	w.mu.Lock()
	mismatches, active := w.replica.TakeMismatches(), w.replica.ActiveVersions()
	w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(mismatches)) {
		w.cfg.Stats.Add(uint64(mismatches[name].Count), "rules", "parts_off")
		events.Log(w.cfg.Log, "config.parts_stale", name, active[name], mismatches[name].Reason)
	}
}
