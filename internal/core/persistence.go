package core

import (
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// Keeper keeps the runs of keyed requests where they outlive the process: the package store. No method blocks. What was asked
// for is told to done once it lasts, or with an error where that is not known, and never under the core's lock.
type Store interface {
	// Since is from when on, in Unix milliseconds, every run is known.
	Since() int64
	// Begins is what becomes of a new sheet that has so much time.
	Begins(left time.Duration) idempotency.Verdict
	// Promise has it kept that a sheet will run, and gives the record its number.
	Promise(r *idempotency.Record, reached, until time.Time, left time.Duration, done func(error)) idempotency.Verdict
	// Mark has it kept that a key runs elsewhere.
	Mark(r *idempotency.Record, until time.Time, done func(error)) idempotency.Verdict
	// Result has the result of a promised run kept.
	Result(r *idempotency.Record, reached, until time.Time, done func(error))
	Failed(seq uint64)   // the run has ended without a result
	Withdraw(seq uint64) // it never began
}

// Keep has runs kept from now on. It is called before the first request.
func (c *Core) UseStore(k Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store = k
	c.keys.fingerprint = stableFingerprint
	c.addGate(k.Begins)
}

// Gate has one more say what becomes of a new sheet that has so much time. It is called before the first request.
func (c *Core) AddGate(begins func(left time.Duration) idempotency.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addGate(begins)
}

func (c *Core) addGate(begins func(left time.Duration) idempotency.Verdict) {
	before := c.keys.admitFirst
	c.keys.admitFirst = func(t *task) idempotency.Verdict {
		v := begins(time.Until(t.Deadline))
		if t.OnlyIfKnown && v.Do == idempotency.Refuse { // it is not to run here: only whether it is known is asked
			v = idempotency.Verdict{}
		}
		if v.Do == idempotency.Begin && before != nil {
			return before(t)
		}
		return v
	}
}

// RanUntil has routers told until when, in Unix milliseconds and at the latest, an earlier process of this service may have run
// sheets that are not known here. It is called before the first request.
func (c *Core) SetUnknownRunsUntil(wall int64) { c.unknownRunsUntil = wall }

// Ran is what RanUntil was told, 0 for nothing.
func (c *Core) UnknownRunsUntil() int64 { return c.unknownRunsUntil }

// turnedAway is the answer to a new sheet that may not begin.
func (c *Core) verdictAnswer(v idempotency.Verdict) Answer {
	if v.Do != idempotency.Refuse {
		return Answer{Outcome: Failed}
	}
	return Answer{Outcome: Rejected, RetryAfter: min(v.Wait, c.settings.Load().MaxRetryAfter)}
}

// record is a run as it is kept, without its result.
func (f *execution) storeRecord() idempotency.Record {
	return idempotency.Record{Seq: f.recordSeq, Key: f.entry.key, ID: f.requestID, Sum: f.fingerprint, Window: f.entry.window}
}

// promises has it kept that a sheet is about to run. It reports false where nothing is kept; else promised follows.
func (c *Core) persistStart(t *task) bool {
	if c.store == nil || !t.idempotent() {
		return false
	}
	c.mu.Lock()
	f := t.execution
	r := f.storeRecord()
	// Under the lock, so that nobody lists the runs that are kept without this one.
	v := c.store.Promise(&r, f.receivedAt, f.entry.expiresAt, time.Until(t.Deadline), func(err error) {
		c.deliver(t.ID, event{kind: startPersisted, err: err})
	})
	f.recordSeq = r.Seq
	c.mu.Unlock()
	if v.Do != idempotency.Begin {
		c.stats.Inc("turned_away", t.Front, v.Why)
		c.abandonRun(t, event{hasAnswer: true, answer: c.verdictAnswer(v)})
	}
	return true
}

// begun reports whether a promised sheet may run. It may not where the promise is not known to last, and need not where nobody
// waits any more.
func (c *Core) mayStartPersisted(t *task, s event) bool {
	c.mu.Lock()
	owes := t.response == responsePending
	c.mu.Unlock()
	switch {
	case s.err != nil:
		c.stats.Inc("turned_away", t.Front, idempotency.WhyFailing)
		c.abandonRun(t, event{hasAnswer: true, answer: c.verdictAnswer(idempotency.Verdict{Do: idempotency.Refuse, Why: idempotency.WhyFailing, Wait: c.RetryAfter()})})
	case !owes:
		c.abandonRun(t, event{})
	default:
		return true
	}
	return false
}

// saves has the result of a sheet kept before its answer leaves. It reports false where there is none to keep, or it was.
func (c *Core) persistResult(t *task, s event) bool {
	if c.store == nil || s.persisted || s.outcome != silverpath.OK {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f := t.execution
	if !t.running || f == nil || f.recordSeq == 0 || f.done {
		return false
	}
	f.persistingResult = s.data
	r := f.storeRecord()
	r.Result = s.data
	c.store.Result(&r, f.receivedAt, f.entry.expiresAt, func(err error) {
		s.persisted = true
		if err != nil { // what does not last is not told: after a restart nobody could tell it again
			events.Log(c.log, "store.result_lost", t.Class, t.ID, err)
			c.stats.Inc("store", "result_lost")
			s.outcome, s.data = silverpath.Failed, nil
			c.mu.Lock()
			f.persistingResult = nil // before all is written anew
			c.mu.Unlock()
		}
		c.deliver(t.ID, s)
	})
	return true
}

// keptEnd notes how a run that is kept ended. It is called under the lock.
func (c *Core) recordEnd(f *execution, o silverpath.Outcome) {
	if c.store == nil || f == nil || f.recordSeq == 0 {
		return
	}
	f.persistingResult = nil
	switch o {
	case silverpath.OK: // kept already
	case silverpath.NotStarted:
		c.store.Withdraw(f.recordSeq)
	default:
		c.store.Failed(f.recordSeq)
	}
}

// markMoved has it kept that a key that was asked for runs elsewhere, before whoever asked is told. It is called under the lock.
func (c *Core) persistMoved(t *task, a *Answer) {
	if c.store == nil {
		return
	}
	e := c.keys.entries[keyOf(t.class, &t.Request)]
	r := idempotency.Record{Key: e.key, Window: t.class.IdempotencyWindow}
	lasts := make(chan error, 1)
	if v := c.store.Mark(&r, e.movedUntil, func(err error) { lasts <- err }); v.Do != idempotency.Begin {
		*a = Answer{Outcome: Failed}
		return
	}
	e.movedRecord, a.persisted = r.Seq, lasts
	c.pendingAnswers++
}

// lasting waits until what an answer says lasts, where it has to.
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

// ---- What the store asks ----

// LongestWindow is how long after a run a try of it may come, for all classes.
func (c *Core) LongestWindow() (longest time.Duration) {
	for _, k := range c.settings.Load().Classes {
		if k.Effect == silverpath.Idempotent {
			longest = max(longest, k.IdempotencyWindow+k.Deadline+readDelay+windowSlack)
		}
	}
	return longest
}

// Restore takes up runs of an earlier start of this service.
func (c *Core) Restore(list []idempotency.Record, at func(time.Duration) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for i := range list {
		c.keys.restore(&list[i], at, now)
	}
}

// restore takes up one run.
func (k *keyTable) restore(r *idempotency.Record, at func(time.Duration) time.Time, now time.Time) {
	e := k.entries[r.Key]
	if e == nil {
		e = &keyEntry{key: r.Key, bytes: entryBytes + len(r.Key)}
		k.entries[r.Key] = e
		k.bytes += e.bytes
	}
	e.expiresAt, e.window = later(e.expiresAt, at(r.Until)), max(e.window, r.Window)
	if r.State == idempotency.Moved {
		e.movedUntil, e.movedRecord = later(e.movedUntil, at(r.Until)), r.Seq
		return
	}
	k.supersede(e)
	e.latest = &execution{requestID: r.ID, fingerprint: r.Sum, entry: e, receivedAt: at(r.Reached), done: true, succeeded: r.State == idempotency.Done,
		result: r.Result, endedAt: now, recordSeq: r.Seq}
	e.bytes += len(r.Result)
	k.bytes += len(r.Result)
}

// Kept are the runs that are kept, as they stand.
func (c *Core) Kept(since func(time.Time) time.Duration) []idempotency.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := make([]idempotency.Record, 0, len(c.keys.entries))
	for _, e := range c.keys.entries {
		if now.After(e.expiresAt) {
			continue
		}
		if f := e.latest; f != nil && f.recordSeq != 0 {
			r := f.storeRecord()
			r.State, r.At, r.Reached, r.Until = idempotency.Running, since(now), since(f.receivedAt), since(e.expiresAt)
			switch {
			case f.done && f.succeeded:
				r.State, r.Result = idempotency.Done, f.result
			case f.done:
				r.State = idempotency.Failed
			case f.persistingResult != nil:
				r.State, r.Result = idempotency.Done, f.persistingResult
			}
			list = append(list, r)
		}
		if e.movedRecord != 0 && now.Before(e.movedUntil) {
			list = append(list, idempotency.Record{Seq: e.movedRecord, State: idempotency.Moved, Key: e.key, Window: e.window, At: since(now), Until: since(e.movedUntil)})
		}
	}
	return list
}
