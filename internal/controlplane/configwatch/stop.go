package configwatch

import (
	"context"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
)

// This file decides whether exclusive work may begin. Exclusive work is the execution of a request whose idempotency key is
// not known to this process yet. Requests with a known key are answered and requests without a key run in any case. The
// inputs are the end of the process's confirmation, the difference between its wall clock and the leader's, and the scopes
// that a quiescing change pauses. They are read without a lock, because a request that begins may hold locks that the check
// of a document waits for.

// StopReason returns why some or all exclusive work may not begin, empty if all of it may.
func (w *Watcher) StopReason() string {
	if reason := w.stopReasonForAll(); reason != "" || len(*w.paused.Load()) == 0 {
		return reason
	}
	return configstore.StopQuiescing
}

// StopReasonFor returns why requests with a key of this class and tenant may not begin, empty if they may: a quiescing
// change pauses only the classes and tenants that it affects. It is called for each such request.
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

// stopReasonForAll returns why no exclusive work may begin, empty if some may.
func (w *Watcher) stopReasonForAll() string {
	switch {
	case int64(w.clock()) >= w.confirmedUntil.Load():
		return configstore.StopUnconfirmed
	case w.clockSkewed.Load():
		return configstore.StopClockSkew
	}
	return ""
}

// watchConfirmation logs the stop as soon as the last confirmation by the group has expired, even while a request to the group is
// pending. It returns when the context ends.
func (w *Watcher) watchConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		remaining := time.Duration(w.confirmedUntil.Load()) - w.clock()
		if remaining <= 0 {
			remaining = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(remaining + time.Millisecond):
			w.logStopReason()
		}
	}
}

// logStopReason logs and counts that exclusive work stops, and logs that it may begin again.
func (w *Watcher) logStopReason() {
	w.mu.Lock()
	now := w.clock()
	reason, logged, since := w.StopReason(), w.loggedReason, w.reasonChangedAt
	changed := reason != logged
	if changed {
		w.loggedReason, w.reasonChangedAt = reason, now
	}
	if logged == configstore.StopUnconfirmed {
		w.longestUnconfirmed = max(w.longestUnconfirmed, now-since)
	}
	w.mu.Unlock()
	switch {
	case !changed:
	case reason != "":
		w.cfg.Stats.Inc("rules", "stopped", reason)
		sinceStop := time.Duration(0)
		if reason == configstore.StopUnconfirmed {
			sinceStop = now - time.Duration(w.confirmedUntil.Load()) // a suspended process notices the end late
		}
		events.Log(w.cfg.Log, "config.exclusive_stopped", reason, sinceStop)
	default:
		events.Log(w.cfg.Log, "config.exclusive_resumed", logged, now-since)
	}
}
