package core

import (
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// Store keeps the runs of idempotent requests where they outlive the process: the package idempotencystore. No method blocks.
// What was asked for is reported to done once it lasts, or with an error where that is not known, and never under the core's
// lock.
type Store interface {
	// CompleteSince is from when on, in Unix milliseconds, every run is known.
	CompleteSince() int64
	// CanExecute is what becomes of a new idempotent request that has so much time left.
	CanExecute(left time.Duration) idempotency.Decision
	// LogIntent writes that an idempotent request will run, and gives the record its number.
	LogIntent(r *idempotency.Record, receivedAt, expiresAt time.Time, left time.Duration, done func(error)) idempotency.Decision
	// LogMoved writes that a key runs elsewhere.
	LogMoved(r *idempotency.Record, expiresAt time.Time, done func(error)) idempotency.Decision
	// LogResult writes the result of a run whose intent was written.
	LogResult(r *idempotency.Record, receivedAt, expiresAt time.Time, done func(error))
	NoteFailed(seq uint64) // the run has ended without a result
	Withdraw(seq uint64)   // it never began
}

// UseStore keeps runs from now on. It is called before the first request.
func (c *Core) UseStore(k Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store = k
	c.keys.fingerprint = stableFingerprint
	c.addGate(k.CanExecute)
}

// AddGate has one more decide what becomes of a new idempotent request that has so much time left. It is called before the
// first request.
func (c *Core) AddGate(begins func(left time.Duration) idempotency.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addGate(begins)
}

func (c *Core) addGate(begins func(left time.Duration) idempotency.Decision) {
	before := c.keys.admitFirst
	c.keys.admitFirst = func(t *task) idempotency.Decision {
		v := begins(time.Until(t.Deadline))
		if t.OnlyIfKnown && v.Action == idempotency.Reject { // it is not to run here: only whether it is known is asked
			v = idempotency.Decision{}
		}
		if v.Action == idempotency.Execute && before != nil {
			return before(t)
		}
		return v
	}
}

// SetUnknownRunsUntil has routers told until when, in Unix milliseconds and at the latest, an earlier process of this service may
// have run requests that are not known here. It is called before the first request.
func (c *Core) SetUnknownRunsUntil(wall int64) { c.unknownRunsUntil = wall }

// UnknownRunsUntil is what SetUnknownRunsUntil was told, 0 for nothing.
func (c *Core) UnknownRunsUntil() int64 { return c.unknownRunsUntil }

// verdictAnswer is the answer to a new idempotent request that may not begin.
func (c *Core) verdictAnswer(v idempotency.Decision) Answer {
	if v.Action != idempotency.Reject {
		return Answer{Outcome: Failed}
	}
	return Answer{Outcome: Rejected, RetryAfter: min(v.RetryAfter, c.settings.Load().MaxRetryAfter)}
}

// storeRecord is an execution as it is kept, without its result.
func (x *execution) storeRecord() idempotency.Record {
	return idempotency.Record{Seq: x.recordSeq, Key: x.entry.key, ID: x.requestID, Fingerprint: x.fingerprint, Window: x.entry.window}
}

// persistStart writes that an idempotent request is about to run. It reports false where nothing is kept; else startPersisted
// follows, or the end of a run that never began.
//
// It guards against a process that is killed between the start of a run and its record: the request would run again when its
// retry comes after the restart. The guard holds since the runner hears of the run only once the record lasts.
func (c *Core) persistStart(t *task) bool {
	if c.store == nil || !t.idempotent() {
		return false
	}
	c.mu.Lock()
	x := t.execution
	r := x.storeRecord()
	// Under the lock, so that nobody lists the records without this one.
	v := c.store.LogIntent(&r, x.receivedAt, x.entry.expiresAt, time.Until(t.Deadline), func(err error) {
		c.deliver(t.ID, event{kind: startPersisted, err: err})
	})
	x.recordSeq = r.Seq
	c.mu.Unlock()
	if v.Action != idempotency.Execute {
		c.stats.Inc("turned_away", t.Front, v.Reason)
		c.abandonRun(t, event{hasAnswer: true, answer: c.verdictAnswer(v)})
	}
	return true
}

// mayStartPersisted reports whether a request whose start was to be written may run. It may not where the record is not known to
// last, and need not where nobody waits any more.
func (c *Core) mayStartPersisted(t *task, e event) bool {
	c.mu.Lock()
	pending := t.response == responsePending
	c.mu.Unlock()
	switch {
	case e.err != nil:
		c.stats.Inc("turned_away", t.Front, idempotency.ReasonFailing)
		c.abandonRun(t, event{hasAnswer: true, answer: c.verdictAnswer(idempotency.Decision{Action: idempotency.Reject, Reason: idempotency.ReasonFailing, RetryAfter: c.RetryAfter()})})
	case !pending:
		c.abandonRun(t, event{})
	default:
		return true
	}
	return false
}

// persistResult writes the result of an idempotent request before its answer leaves. It reports false where there is none to
// write, or it was written; else runEnded follows once more.
func (c *Core) persistResult(t *task, e event) bool {
	if c.store == nil || e.persisted || e.outcome != silverpath.OK {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	x := t.execution
	if !t.running || x == nil || x.recordSeq == 0 || x.done {
		return false
	}
	x.persistingResult = e.data
	r := x.storeRecord()
	r.Result = e.data
	c.store.LogResult(&r, x.receivedAt, x.entry.expiresAt, func(err error) {
		e.persisted = true
		if err != nil { // a result that does not last is not told: after a restart nobody could tell it again
			events.Log(c.log, "store.result_lost", t.Class, t.ID, err)
			c.stats.Inc("store", "result_lost")
			e.outcome, e.data = silverpath.Failed, nil
			c.mu.Lock()
			x.persistingResult = nil // before all is written anew
			c.mu.Unlock()
		}
		c.deliver(t.ID, e)
	})
	return true
}

// recordEnd notes how a run that is kept ended. It is called under the lock.
func (c *Core) recordEnd(x *execution, o silverpath.Outcome) {
	if c.store == nil || x == nil || x.recordSeq == 0 {
		return
	}
	x.persistingResult = nil
	switch o {
	case silverpath.OK: // written already, by persistResult
	case silverpath.NotStarted:
		c.store.Withdraw(x.recordSeq)
	default:
		c.store.NoteFailed(x.recordSeq)
	}
}

// persistMoved writes that a key that was asked for runs elsewhere, before whoever asked is told. It is called under the lock.
func (c *Core) persistMoved(t *task, a *Answer) {
	if c.store == nil {
		return
	}
	e := c.keys.entries[keyOf(t.class, &t.Request)]
	r := idempotency.Record{Key: e.key, Window: t.class.IdempotencyWindow}
	persisted := make(chan error, 1)
	if v := c.store.LogMoved(&r, e.movedUntil, func(err error) { persisted <- err }); v.Action != idempotency.Execute {
		*a = Answer{Outcome: Failed}
		return
	}
	e.movedRecord, a.persisted = r.Seq, persisted
	c.pendingAnswers++
}

// awaitPersisted waits until what an answer says is on the disk, where it has to.
func (c *Core) awaitPersisted(r Request, a Answer) Answer {
	if a.persisted == nil {
		return a
	}
	defer c.answerSent()
	due := time.NewTimer(max(0, time.Until(r.Deadline)-answerMargin))
	defer due.Stop()
	select {
	case err := <-a.persisted:
		if err != nil {
			return Answer{Outcome: Failed}
		}
	case <-due.C:
		return Answer{Outcome: Expired}
	}
	return a
}

// LongestWindow is how long after a run an attempt of it may be read, for all classes: the window in which one reaches the machine, its
// longest wait there, and what reading may take.
func (c *Core) LongestWindow() (longest time.Duration) {
	for _, k := range c.settings.Load().Classes {
		if k.Effect == silverpath.Idempotent {
			longest = max(longest, k.IdempotencyWindow+k.Deadline+readDelay+windowSlack)
		}
	}
	return longest
}

// Restore takes up runs of an earlier start of this service, in the order of their intents.
func (c *Core) Restore(list []idempotency.Record, at func(time.Duration) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range list {
		c.keys.restore(&list[i], at, now)
	}
}

// restore takes up one record.
func (k *keyTable) restore(r *idempotency.Record, at func(time.Duration) time.Time, now time.Time) {
	e := k.entries[r.Key]
	if e == nil {
		e = k.add(r.Key)
	}
	e.expiresAt, e.window = later(e.expiresAt, at(r.ExpiresAt)), max(e.window, r.Window)
	if r.State == idempotency.Moved {
		e.movedUntil, e.movedRecord = later(e.movedUntil, at(r.ExpiresAt)), r.Seq
		return
	}
	k.supersede(e)
	e.latest = &execution{requestID: r.ID, fingerprint: r.Fingerprint, entry: e, receivedAt: at(r.ReceivedAt), done: true, succeeded: r.State == idempotency.Completed,
		result: r.Result, endedAt: now, recordSeq: r.Seq}
	e.bytes += len(r.Result)
	k.bytes += len(r.Result)
}

// Records are the records of all runs that are kept, as they stand.
func (c *Core) Records(since func(time.Time) time.Duration) []idempotency.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := make([]idempotency.Record, 0, len(c.keys.entries))
	for _, e := range c.keys.entries {
		if now.After(e.expiresAt) {
			continue
		}
		if x := e.latest; x != nil && x.recordSeq != 0 {
			list = append(list, x.currentRecord(now, since))
		}
		if e.movedRecord != 0 && now.Before(e.movedUntil) {
			list = append(list, idempotency.Record{Seq: e.movedRecord, State: idempotency.Moved, Key: e.key, Window: e.window,
				RecordedAt: since(now), ExpiresAt: since(e.movedUntil)})
		}
	}
	return list
}

// currentRecord is an execution as it is kept, as far as it has come.
func (x *execution) currentRecord(now time.Time, since func(time.Time) time.Duration) idempotency.Record {
	r := x.storeRecord()
	r.State, r.RecordedAt, r.ReceivedAt, r.ExpiresAt = idempotency.Running, since(now), since(x.receivedAt), since(x.entry.expiresAt)
	switch {
	case x.done && x.succeeded:
		r.State, r.Result = idempotency.Completed, x.result
	case x.done:
		r.State = idempotency.Failed
	case x.persistingResult != nil:
		r.State, r.Result = idempotency.Completed, x.persistingResult
	}
	return r
}
