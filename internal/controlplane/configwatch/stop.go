package configwatch

import (
	"context"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// When nothing exclusive begins. Exclusive is the start of a request with an idempotency key that is not known here yet; what is known is
// answered, and requests without a key run on. Inputs: until when the process is confirmed, whether its wall clock is too far from the leader's, and what
// pauses for a change that quiesces. The reads take no lock: a request that begins may hold locks that a check of a document waits for.

// StopReason is why some or all that is exclusive does not begin, empty where all of it may.
func (w *Watcher) StopReason() string {
	if why := w.stopReasonForAll(); why != "" || len(*w.paused.Load()) == 0 {
		return why
	}
	return configstore.StopQuiescing
}

// StopReasonFor is why requests with a key of a class and a tenant do not begin, empty where they may: a change that quiesces pauses only
// what it touches. It is called with each such request.
func (w *Watcher) StopReasonFor(class, tenant string) string {
	if why := w.stopReasonForAll(); why != "" {
		return why
	}
	for _, scope := range *w.paused.Load() {
		if scope.Pauses(class, tenant) {
			return configstore.StopQuiescing
		}
	}
	return ""
}

// stopReasonForAll is why nothing exclusive begins.
func (w *Watcher) stopReasonForAll() string {
	switch {
	case int64(w.clock()) >= w.confirmedUntil.Load():
		return configstore.StopUnconfirmed
	case w.clockApart.Load():
		return configstore.StopClockSkew
	}
	return ""
}

// watchConfirmation logs at once when a confirmation ends, whatever a request to the group waits for, until the context ends.
func (w *Watcher) watchConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		left := time.Duration(w.confirmedUntil.Load()) - w.clock()
		if left <= 0 {
			left = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(left + time.Millisecond):
			w.logStopReason()
		}
	}
}

// logStopReason logs and counts when something exclusive stops, and logs when it may begin again.
func (w *Watcher) logStopReason() {
	w.mu.Lock()
	now := w.clock()
	reason, logged, since := w.StopReason(), w.loggedReason, w.loggedAt
	changed := reason != logged
	if changed {
		w.loggedReason, w.loggedAt = reason, now
	}
	if logged == configstore.StopUnconfirmed {
		w.longestUnconfirmed = max(w.longestUnconfirmed, now-since)
	}
	w.mu.Unlock()
	switch {
	case !changed:
	case reason != "":
		w.cfg.Stats.Inc("rules", "stopped", reason)
		ago := time.Duration(0)
		if reason == configstore.StopUnconfirmed {
			ago = now - time.Duration(w.confirmedUntil.Load()) // a process that was suspended sees it late
		}
		events.Log(w.cfg.Log, "config.exclusive_stopped", reason, ago)
	default:
		events.Log(w.cfg.Log, "config.exclusive_resumed", logged, now-since)
	}
}
