package core

import (
	"maps"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// Store persists the runs of idempotent requests, so that they survive the process. Without a store a restart forgets all runs, and a
// retry runs again unless a heartbeat or the routers prevent that. Package idempotencystore implements it. No
// method blocks. Methods with a done callback call it once the record is durable, or with an error if that is not certain, and
// never under the core's lock.
type Store interface {
	// CompleteSince returns the time, in Unix milliseconds, since which all runs are known.
	CompleteSince() int64
	// CanExecute decides on a new idempotent request that has the given time left until its deadline.
	CanExecute(left time.Duration) idempotency.Decision
	// LogIntent writes that an idempotent request will run, and sets the record's number.
	LogIntent(r *idempotency.Record, receivedAt, expiresAt time.Time, left time.Duration, done func(error)) idempotency.Decision
	// LogMoved writes that a key runs elsewhere, and sets the record's number.
	LogMoved(r *idempotency.Record, expiresAt time.Time, done func(error)) idempotency.Decision
	// LogResult writes the result of a run whose intent is durable.
	LogResult(r *idempotency.Record, receivedAt, expiresAt time.Time, done func(error))
	NoteFailed(seq uint64) // the run has ended without a result
	Withdraw(seq uint64)   // the run never started
	// Extend keeps a record until a later time than it was written with.
	Extend(seq uint64, expiresAt time.Time)
	// TermsChanged is called after the terms of the classes have changed, and Extend for each record that they prolong.
	TermsChanged()
}

// UseStore enables persistence of runs. It is called before the first request.
func (c *Core) UseStore(k Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store = k
	c.keys.fingerprint = stableFingerprint
	c.addAdmissionCheck(k.CanExecute)
}

// AddGate adds a function that decides on new idempotent requests by the time that is left until their deadline. The request runs
// only if all added functions allow it. AddGate is called before the first request.
func (c *Core) AddGate(check func(left time.Duration) idempotency.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addAdmissionCheck(check)
}

func (c *Core) addAdmissionCheck(check func(left time.Duration) idempotency.Decision) {
	previous := c.keys.admitFirst
	c.keys.admitFirst = func(t *task) idempotency.Decision {
		v := check(time.Until(t.Deadline))
		if t.OnlyIfKnown && v.Action == idempotency.Reject { // the request only asks whether its key is known; it will not run here
			v = idempotency.Decision{}
		}
		if v.Action == idempotency.Execute && previous != nil {
			return previous(t)
		}
		return v
	}
}

// SetUnknownRunsUntil sets the time, in Unix milliseconds, until which requests may repeat a run of an earlier process of this
// service that is not known here. Routers receive it. SetUnknownRunsUntil is called before the first request.
func (c *Core) SetUnknownRunsUntil(wall int64) { c.unknownRunsUntil = wall }

// UnknownRunsUntil returns the time set by SetUnknownRunsUntil, or 0.
func (c *Core) UnknownRunsUntil() int64 { return c.unknownRunsUntil }

// decisionAnswer returns the answer to a new idempotent request that may not run.
func (c *Core) decisionAnswer(v idempotency.Decision) Answer {
	if v.Action != idempotency.Reject {
		return Answer{Outcome: Failed}
	}
	return Answer{Outcome: Rejected, RetryAfter: min(v.RetryAfter, c.settings.Load().MaxRetryAfter)}
}

// storeRecord returns the stored form of an execution, without its result.
func (x *execution) storeRecord() idempotency.Record {
	return idempotency.Record{Seq: x.recordSeq, Key: x.entry.key, ID: x.requestID, Fingerprint: x.fingerprint, Window: x.entry.terms.Window}
}

// persistStart writes the intent to run an idempotent request. It returns false if runs are not persisted. Otherwise
// startPersisted follows, or runEnded if the run cannot start.
//
// It guards against a process that is killed after a run has started and before its record is written: the request would run again
// when its retry arrives after the restart. The runner gets the run only once the record is durable, so this cannot happen.
func (c *Core) persistStart(t *task) bool {
	if c.store == nil || !t.idempotent() {
		return false
	}
	c.mu.Lock()
	x := t.execution
	r := x.storeRecord()
	// Under the lock, so that Records cannot miss this record.
	v := c.store.LogIntent(&r, x.receivedAt, x.entry.expiresAt, time.Until(t.Deadline), func(err error) {
		c.deliver(t.ID, event{kind: startPersisted, err: err})
	})
	x.recordSeq = r.Seq
	c.mu.Unlock()
	if v.Action != idempotency.Execute {
		c.stats.Inc("turned_away", t.Front, v.Reason)
		c.abandonRun(t, event{hasAnswer: true, answer: c.decisionAnswer(v)})
	}
	return true
}

// mayStartPersisted reports whether a request may run after its intent was written. It may not if the record may not be durable,
// or if the request no longer waits for an answer.
func (c *Core) mayStartPersisted(t *task, e event) bool {
	c.mu.Lock()
	pending := t.response == responsePending
	c.mu.Unlock()
	switch {
	case e.err != nil:
		c.stats.Inc("turned_away", t.Front, idempotency.ReasonFailing)
		c.abandonRun(t, event{hasAnswer: true, answer: c.decisionAnswer(idempotency.Decision{Action: idempotency.Reject, Reason: idempotency.ReasonFailing, RetryAfter: c.RetryAfter()})})
	case !pending:
		c.abandonRun(t, event{})
	default:
		return true
	}
	return false
}

// persistResult writes the result of an idempotent request before its answer is sent, and runEnded follows again. It returns false
// if there is no result to write, or if it is written already.
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
		if err != nil { // without a durable result the request fails: after a restart, a retry could not get this result
			events.Log(c.log, "store.result_lost", t.Class, t.ID, err)
			c.stats.Inc("store", "result_lost")
			e.outcome, e.data = silverpath.Failed, nil
			c.mu.Lock()
			x.persistingResult = nil // before the next rewrite of the store could include it
			c.mu.Unlock()
		}
		c.deliver(t.ID, e)
	})
	return true
}

// recordEnd records the end of a persisted run. It is called under the lock.
func (c *Core) recordEnd(x *execution, o silverpath.Outcome) {
	if c.store == nil || x == nil || x.recordSeq == 0 {
		return
	}
	x.persistingResult = nil
	switch o {
	case silverpath.OK: // already written by persistResult
	case silverpath.NotStarted:
		c.store.Withdraw(x.recordSeq)
	default:
		c.store.NoteFailed(x.recordSeq)
	}
}

// persistMoved writes that a requested key runs elsewhere, before the router that asked is answered. It is called under the lock.
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

// awaitPersisted waits until the record behind an answer is durable, if the answer depends on one.
func (c *Core) awaitPersisted(r Request, a Answer) Answer {
	if a.persisted == nil {
		return a
	}
	defer c.answerSent()
	deadline := time.NewTimer(max(0, time.Until(r.Deadline)-answerMargin))
	defer deadline.Stop()
	select {
	case err := <-a.persisted:
		if err != nil {
			return Answer{Outcome: Failed}
		}
	case <-deadline.C:
		return Answer{Outcome: Expired}
	}
	return a
}

// LongestWindow returns how long after a run a further attempt may be read, over all idempotent classes: the window in which the
// attempt reaches the machine, its deadline, and the delay of reading.
func (c *Core) LongestWindow() (longest time.Duration) {
	for _, terms := range c.Terms() {
		longest = max(longest, terms.Retention()+windowSlack)
	}
	return longest
}

// Restore adds the runs of an earlier start of this service to the key table. The records must be in the order of their intents, and
// retained by the given terms.
func (c *Core) Restore(list []idempotency.Record, terms idempotency.ClassTerms, timeAt func(time.Duration) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range list {
		e := c.keys.restore(&list[i], timeAt, now)
		if !maps.Equal(terms, c.keys.terms) { // the classes have changed since the store read them
			c.keys.extend(e)
			c.extendRecords(e)
		}
	}
}

// restore adds one record to the table and returns the entry of its key.
func (k *keyTable) restore(r *idempotency.Record, timeAt func(time.Duration) time.Time, now time.Time) *keyEntry {
	e := k.entries[r.Key]
	if e == nil {
		e = k.add(r.Key)
	}
	e.expiresAt, e.terms.Window = maxTime(e.expiresAt, timeAt(r.ExpiresAt)), max(e.terms.Window, r.Window)
	if r.State == idempotency.Moved {
		e.movedAt, e.movedUntil, e.movedRecord = timeAt(r.RecordedAt), maxTime(e.movedUntil, timeAt(r.ExpiresAt)), r.Seq
		return e
	}
	k.dropResult(e)
	e.latest = &execution{requestID: r.ID, fingerprint: r.Fingerprint, entry: e, receivedAt: timeAt(r.ReceivedAt), done: true, succeeded: r.State == idempotency.Completed,
		result: r.Result, endedAt: now, recordSeq: r.Seq}
	e.bytes += len(r.Result)
	k.bytes += len(r.Result)
	return e
}

// Records returns the current records of all persisted runs.
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
			list = append(list, idempotency.Record{Seq: e.movedRecord, State: idempotency.Moved, Key: e.key, Window: e.terms.Window,
				RecordedAt: since(now), ExpiresAt: since(e.movedUntil)})
		}
	}
	return list
}

// currentRecord returns the record of an execution in its current state.
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
