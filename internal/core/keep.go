package core

import (
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// Keeper keeps the runs of keyed requests where they outlive the process: the package store. No method blocks. What was asked
// for is told to done once it lasts, or with an error where that is not known, and never under the core's lock.
type Keeper interface {
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
func (c *Core) Keep(k Keeper) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keeper = k
	c.keys.sum = lastingSum
	c.gate(k.Begins)
}

// Gate has one more say what becomes of a new sheet that has so much time. It is called before the first request.
func (c *Core) Gate(begins func(left time.Duration) idempotency.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate(begins)
}

func (c *Core) gate(begins func(left time.Duration) idempotency.Verdict) {
	before := c.keys.begins
	c.keys.begins = func(t *task) idempotency.Verdict {
		v := begins(time.Until(t.Due))
		if t.Known && v.Do == idempotency.Refuse { // it is not to run here: only whether it is known is asked
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
func (c *Core) RanUntil(wall int64) { c.ranUntil = wall }

// Ran is what RanUntil was told, 0 for nothing.
func (c *Core) Ran() int64 { return c.ranUntil }

// turnedAway is the answer to a new sheet that may not begin.
func (c *Core) turnedAway(v idempotency.Verdict) Answer {
	if v.Do != idempotency.Refuse {
		return Answer{Outcome: Failed}
	}
	return Answer{Outcome: Refused, Wait: min(v.Wait, c.set.Load().MaxRetryAfter)}
}

// record is a run as it is kept, without its result.
func (f *flight) record() idempotency.Record {
	return idempotency.Record{Seq: f.seq, Key: f.entry.key, ID: f.id, Sum: f.sum, Window: f.entry.window}
}

// promises has it kept that a sheet is about to run. It reports false where nothing is kept; else promised follows.
func (c *Core) promises(t *task) bool {
	if c.keeper == nil || !t.sheet() {
		return false
	}
	c.mu.Lock()
	f := t.flight
	r := f.record()
	// Under the lock, so that nobody lists the runs that are kept without this one.
	v := c.keeper.Promise(&r, f.reached, f.entry.until, time.Until(t.Due), func(err error) {
		c.tell(t.ID, step{kind: promised, err: err})
	})
	f.seq = r.Seq
	c.mu.Unlock()
	if v.Do != idempotency.Begin {
		c.stats.Inc("turned_away", t.Front, v.Why)
		c.unrun(t, step{given: true, answer: c.turnedAway(v)})
	}
	return true
}

// begun reports whether a promised sheet may run. It may not where the promise is not known to last, and need not where nobody
// waits any more.
func (c *Core) begun(t *task, s step) bool {
	c.mu.Lock()
	owes := t.word == owed
	c.mu.Unlock()
	switch {
	case s.err != nil:
		c.stats.Inc("turned_away", t.Front, idempotency.WhyFailing)
		c.unrun(t, step{given: true, answer: c.turnedAway(idempotency.Verdict{Do: idempotency.Refuse, Why: idempotency.WhyFailing, Wait: c.Advice()})})
	case !owes:
		c.unrun(t, step{})
	default:
		return true
	}
	return false
}

// saves has the result of a sheet kept before its answer leaves. It reports false where there is none to keep, or it was.
func (c *Core) saves(t *task, s step) bool {
	if c.keeper == nil || s.kept || s.outcome != silverpath.OK {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	f := t.flight
	if !t.running || f == nil || f.seq == 0 || f.done {
		return false
	}
	f.saving = s.data
	r := f.record()
	r.Result = s.data
	c.keeper.Result(&r, f.reached, f.entry.until, func(err error) {
		s.kept = true
		if err != nil { // what does not last is not told: after a restart nobody could tell it again
			events.Log(c.log, "store.result_lost", t.Class, t.ID, err)
			c.stats.Inc("store", "result_lost")
			s.outcome, s.data = silverpath.Failed, nil
			c.mu.Lock()
			f.saving = nil // before all is written anew
			c.mu.Unlock()
		}
		c.tell(t.ID, s)
	})
	return true
}

// keptEnd notes how a run that is kept ended. It is called under the lock.
func (c *Core) keptEnd(f *flight, o silverpath.Outcome) {
	if c.keeper == nil || f == nil || f.seq == 0 {
		return
	}
	f.saving = nil
	switch o {
	case silverpath.OK: // kept already
	case silverpath.NotStarted:
		c.keeper.Withdraw(f.seq)
	default:
		c.keeper.Failed(f.seq)
	}
}

// markMoved has it kept that a key that was asked for runs elsewhere, before whoever asked is told. It is called under the lock.
func (c *Core) markMoved(t *task, a *Answer) {
	if c.keeper == nil {
		return
	}
	e := c.keys.entries[keyOf(t.class, &t.Request)]
	r := idempotency.Record{Key: e.key, Window: t.class.IdempotencyWindow}
	lasts := make(chan error, 1)
	if v := c.keeper.Mark(&r, e.moved, func(err error) { lasts <- err }); v.Do != idempotency.Begin {
		*a = Answer{Outcome: Failed}
		return
	}
	e.mark, a.lasts = r.Seq, lasts
	c.owed++
}

// lasting waits until what an answer says lasts, where it has to.
func (c *Core) lasting(r Request, a Answer) Answer {
	if a.lasts == nil {
		return a
	}
	defer c.paid()
	due := time.NewTimer(max(0, time.Until(r.Due)-backstop))
	defer due.Stop()
	select {
	case err := <-a.lasts:
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
	for _, k := range c.set.Load().Classes {
		if k.Effect == silverpath.Idempotent {
			longest = max(longest, k.IdempotencyWindow+k.Deadline+keyLinger+ruleSlack)
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
		e = &entry{key: r.Key, size: entryBytes + len(r.Key)}
		k.entries[r.Key] = e
		k.size += e.size
	}
	e.until, e.window = later(e.until, at(r.Until)), max(e.window, r.Window)
	if r.State == idempotency.Moved {
		e.moved, e.mark = later(e.moved, at(r.Until)), r.Seq
		return
	}
	k.supersede(e)
	e.last = &flight{id: r.ID, sum: r.Sum, entry: e, reached: at(r.Reached), done: true, ok: r.State == idempotency.Done,
		result: r.Result, ended: now, seq: r.Seq}
	e.size += len(r.Result)
	k.size += len(r.Result)
}

// Kept are the runs that are kept, as they stand.
func (c *Core) Kept(since func(time.Time) time.Duration) []idempotency.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := make([]idempotency.Record, 0, len(c.keys.entries))
	for _, e := range c.keys.entries {
		if now.After(e.until) {
			continue
		}
		if f := e.last; f != nil && f.seq != 0 {
			r := f.record()
			r.State, r.At, r.Reached, r.Until = idempotency.Running, since(now), since(f.reached), since(e.until)
			switch {
			case f.done && f.ok:
				r.State, r.Result = idempotency.Done, f.result
			case f.done:
				r.State = idempotency.Failed
			case f.saving != nil:
				r.State, r.Result = idempotency.Done, f.saving
			}
			list = append(list, r)
		}
		if e.mark != 0 && now.Before(e.moved) {
			list = append(list, idempotency.Record{Seq: e.mark, State: idempotency.Moved, Key: e.key, Window: e.window, At: since(now), Until: since(e.moved)})
		}
	}
	return list
}
