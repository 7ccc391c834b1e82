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

// sync asks the group once, and does what the answer says. It reports whether the group has answered.
func (w *Watcher) sync(ctx context.Context) bool {
	w.mu.Lock()
	s := quorum.ConfigSync{
		Process: w.replica.Report(), HasVersions: w.replica.KnownVersions(), BaseVersions: w.replica.CompleteVersions(),
		ActiveVersions: w.replica.ActiveVersions(), StopReason: w.StopReason(),
	}
	asked := request{clock: w.clock(), wall: Wall(), at: time.Now()}
	w.mu.Unlock()
	if w.cfg.Goodput != nil {
		s.Load = w.cfg.Goodput()
	}
	granted := func(quota.Grant, lease.Terms) {}
	if w.cfg.Quota != nil {
		var r quota.Request
		r, granted = w.cfg.Quota.QuotaRequest()
		s.Quota = &r
	}
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	a, err := w.cfg.Group.Sync(asking, s)
	cancel()
	if err != nil {
		w.cfg.Stats.Inc("rules", "unanswered")
		w.logError(err)
		return false
	}
	w.logStopReason() // a confirmation that ended while this was asked
	w.takeAnswer(asked, a, granted)
	return true
}

// request is when the group was asked, by three clocks.
type request struct {
	clock time.Duration // by which leases count
	wall  time.Time     // which is compared with the leader's
	at    time.Time     // for OnConfirmed
}

// takeAnswer acts on what the group has answered. The order guards against two processes that act on versions that exclude each other:
// what a quiescing change touches pauses before anything else, the new version is acted on, and only then do the pauses end and does the
// confirmation hold. Else a request could begin by the old version between them, at a process that has said that it has stopped, or at
// one that comes back unconfirmed.
func (w *Watcher) takeAnswer(asked request, a quorum.ConfigSyncReply, granted func(quota.Grant, lease.Terms)) {
	w.mu.Lock()
	updates := w.replica.Receive(asked.clock, a.Index, a.Terms, a.Docs, w.check)
	w.conflictBound = configstore.Terms{Lease: a.Terms.TTL, ClockDrift: a.Terms.Drift}.ConflictBound()
	w.cfg.Stats.Set(uint64(w.conflictBound.Milliseconds()), "rules", "bound_ms")
	w.cfg.Stats.Set(uint64(w.longestUnconfirmed.Milliseconds()), "rules", "longest_unconfirmed_ms")
	confirmed := w.replica.LastConfirmed() == asked.clock
	quiescing := w.replica.PauseScopes()
	both := append(slices.Clone(*w.paused.Load()), quiescing...)
	w.paused.Store(&both)
	until := w.replica.ConfirmedUntil()
	// The leader answered between the request and now, so the clocks differ by this at least.
	skew := max(0, time.UnixMilli(a.Wall).Sub(Wall()), asked.wall.Sub(time.UnixMilli(a.Wall))-time.Millisecond)
	w.observedSkew = max(w.observedSkew, skew)
	w.mu.Unlock()
	w.logError(nil)
	if a.Grant != nil {
		granted(*a.Grant, a.Terms)
	}
	w.logMismatches()
	actsOnAll := w.apply(updates)
	if w.cfg.MaxClockSkew != nil {
		// Two that are each within half of it of the leader's clock are within it of each other.
		w.clockApart.Store(skew > w.cfg.MaxClockSkew()/2)
	}
	if w.cfg.OnConfirmed != nil && confirmed { // a process that lacks a part of what is active goes by an older version
		w.cfg.OnConfirmed(asked.at)
	}
	w.paused.Store(&quiescing)
	if actsOnAll {
		w.confirmedUntil.Store(int64(until))
	}
}

// apply has the process act on updates, and reports whether it acts on all of them. One that it can't act on after all is logged; in parts
// it is delivered once more, with all of them.
func (w *Watcher) apply(updates []configstore.Update) (all bool) {
	all = true
	for _, u := range updates {
		d, err := w.cfg.Documents[u.Doc], error(nil)
		switch {
		case !u.Revision.InParts:
			err = d.Apply(u.Revision.Text)
		case d.ApplyParts != nil:
			err = d.ApplyParts(u.Revision.ID, u.Parts, u.Complete)
		}
		if err != nil { // it was checked: something has changed since
			w.cfg.Stats.Inc("rules", "bad")
			events.Log(w.cfg.Log, "config.rejected", u.Doc, u.Revision.ID, err)
			all = false
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
	return all
}

// check is an error that tells why this process can't act on a document's text.
func (w *Watcher) check(name, text string) error { return w.cfg.Documents[name].Check(text) }

// logError logs what went wrong, once while it stays the same.
func (w *Watcher) logError(err error) {
	text := ""
	if err != nil {
		text = "can't ask the group"
	}
	w.mu.Lock()
	changed := text != w.loggedError
	w.loggedError = text
	w.mu.Unlock()
	if changed && err != nil {
		events.Log(w.cfg.Log, "config.poll_failed", err)
	}
}
