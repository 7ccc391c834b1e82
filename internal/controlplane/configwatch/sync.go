package configwatch

import (
	"context"
	"slices"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// sync polls the group once and applies the answer. It reports whether the group answered.
func (w *Watcher) sync(ctx context.Context) bool {
	w.mu.Lock()
	request := quorum.ConfigSync{
		Process: w.replica.Report(), HasVersions: w.replica.KnownVersions(), BaseVersions: w.replica.CompleteVersions(),
		ActiveVersions: w.replica.ActiveVersions(), StopReason: w.StopReason(),
	}
	sentAt := requestTime{clock: w.clock(), wall: WallClock(), at: time.Now()}
	w.mu.Unlock()
	if w.cfg.Goodput != nil {
		request.Load = w.cfg.Goodput()
	}
	applyGrant := func(quota.Grant, lease.Terms) {}
	if w.cfg.Quota != nil {
		var quotaRequest quota.Request
		quotaRequest, applyGrant = w.cfg.Quota.QuotaRequest()
		request.Quota = &quotaRequest
	}
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	reply, err := w.cfg.Group.Sync(requestCtx, request)
	cancel()
	if err != nil {
		w.cfg.Stats.Inc("rules", "unanswered")
		w.logError(err)
		return false
	}
	w.logStopReason() // the confirmation may have ended during the request
	w.applyReply(sentAt, reply, applyGrant)
	return true
}

// requestTime is the time of a request to the group by three clocks.
type requestTime struct {
	clock time.Duration // of Watcher.clock, for leases
	wall  time.Time     // of Wall, compared with the leader's wall clock
	at    time.Time     // of time.Now, for OnConfirmed
}

// applyReply applies the group's answer. The order of the steps prevents two processes from acting on conflicting versions:
// first the scopes of a quiescing change are paused, then the new version is applied, and only then the pauses end and the
// confirmation takes effect. In another order a request could begin under the old version on a process that has reported
// that it has stopped, or on one that was unconfirmed before this answer.
func (w *Watcher) applyReply(sentAt requestTime, reply quorum.ConfigSyncReply, applyGrant func(quota.Grant, lease.Terms)) {
	w.mu.Lock()
	updates := w.replica.Receive(sentAt.clock, reply.Index, reply.Terms, reply.Docs, w.check)
	w.conflictBound = configstore.Terms{Lease: reply.Terms.TTL, ClockDrift: reply.Terms.Drift}.ConflictBound()
	w.cfg.Stats.Set(uint64(w.conflictBound.Milliseconds()), "rules", "bound_ms")
	w.cfg.Stats.Set(uint64(w.longestUnconfirmed.Milliseconds()), "rules", "longest_unconfirmed_ms")
	confirmed := w.replica.LastConfirmed() == sentAt.clock
	quiescing := w.replica.PauseScopes()
	pausedScopes := append(slices.Clone(*w.paused.Load()), quiescing...)
	w.paused.Store(&pausedScopes)
	confirmedUntil := w.replica.ConfirmedUntil()
	// The leader read its clock between the request and now, so this is a lower bound of the difference.
	skew := max(0, time.UnixMilli(reply.Wall).Sub(WallClock()), sentAt.wall.Sub(time.UnixMilli(reply.Wall))-time.Millisecond)
	w.observedSkew = max(w.observedSkew, skew)
	w.mu.Unlock()
	w.logError(nil)
	if reply.Grant != nil {
		applyGrant(*reply.Grant, reply.Terms)
	}
	w.logMismatches()
	appliedAll := w.apply(updates)
	if w.cfg.MaxClockSkew != nil {
		// Two processes that each differ from the leader by at most half the limit differ from each other by at most the limit.
		w.clockSkewed.Store(skew > w.cfg.MaxClockSkew()/2)
	}
	if w.cfg.OnConfirmed != nil && confirmed { // not confirmed if parts are missing: the process still acts on an older version
		w.cfg.OnConfirmed(sentAt.at)
	}
	w.paused.Store(&quiescing)
	if appliedAll {
		w.confirmedUntil.Store(int64(confirmedUntil))
	}
}

// apply applies updates and reports whether all of them succeeded. It logs each failure. A document in parts that failed is
// delivered again, with all its parts.
func (w *Watcher) apply(updates []configstore.Update) (appliedAll bool) {
	appliedAll = true
	for _, u := range updates {
		doc, err := w.cfg.Documents[u.Doc], error(nil)
		switch {
		case !u.Revision.InParts:
			err = doc.Apply(u.Revision.Text)
		case doc.ApplyParts != nil:
			err = doc.ApplyParts(u.Revision.ID, u.Parts, u.Complete)
		}
		if err != nil { // the check succeeded before: something has changed since
			w.cfg.Stats.Inc("rules", "bad")
			events.Log(w.cfg.Log, "config.rejected", u.Doc, u.Revision.ID, err)
			appliedAll = false
			if u.Revision.InParts {
				w.mu.Lock()
				w.replica.Redeliver(u.Doc)
				w.mu.Unlock()
			}
			continue
		}
		w.cfg.Stats.Inc("rules", "taken", u.Doc)
		events.Log(w.cfg.Log, "config.active", u.Doc, u.Revision.ID)
	}
	return appliedAll
}

// check returns why this process can't act on a document's text, nil if it can.
func (w *Watcher) check(name, text string) error { return w.cfg.Documents[name].Check(text) }

// logError logs that a request to the group failed, once until a request succeeds. A nil error is a success.
func (w *Watcher) logError(err error) {
	text := ""
	if err != nil {
		text = "request to the group failed"
	}
	w.mu.Lock()
	changed := text != w.loggedError
	w.loggedError = text
	w.mu.Unlock()
	if changed && err != nil {
		events.Log(w.cfg.Log, "config.poll_failed", err)
	}
}
