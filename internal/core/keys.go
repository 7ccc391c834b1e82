package core

import (
	"hash/maphash"
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
)

// flight is the one run of a request that may come again: held, under way, or over with its result.
type flight struct {
	id      string
	sum     uint64 // of the request that every try of it must be
	entry   *entry
	reached time.Time
	before  *flight // what had run under the key before this one
	done    bool
	ok      bool
	result  []byte
	ended   time.Time
	joined  []*task
	theirs  bool   // of the other process of a pair
	unrun   bool   // theirs, and only taken there
	seq     uint64 // of its record, where runs are kept; 0: it has none
	saving  []byte // its result, while that is being kept
}

// entry is what is known under one key.
type entry struct {
	key   string
	held  *flight // in the hold, not run
	last  *flight // the latest that was run
	until time.Time
	// window is how far apart tries of one request may be.
	window time.Duration
	// moved: until then no try of it is run here, as a router asked for it, it was not known, and it runs elsewhere.
	moved time.Time
	mark  uint64 // of the record that says so, where that is kept
	fresh bool   // of a read: it serves others while it is under way and a little longer
	size  int
}

// keyTable links the tries of a request. Keys are kept from a try's arrival; what has run stays for its whole
// window, whatever is forgotten meanwhile. Its memory is bounded: at the bound new keys are turned away, since
// to drop one would let its request run twice.
type keyTable struct {
	entries map[string]*entry
	size    int
	limit   int
	sum     func(t *task) uint64 // of what every try of a request is
	// begins is what becomes of the first try of a key, where runs are kept; nil: nothing is against it.
	begins func(t *task) idempotency.Verdict
}

func newKeyTable(limit int) keyTable {
	seed := maphash.MakeSeed()
	return keyTable{entries: map[string]*entry{}, limit: max(limit, 64<<10), sum: func(t *task) uint64 {
		return maphash.Bytes(seed, t.Body) ^ maphash.String(seed, t.Tenant)
	}}
}

// keyOf is the key under which a keyed request is known, empty for others. Its class is no part of it: where operators
// retune, one try may come under the class's old name and the next under the new one.
func keyOf(k silverpath.Class, r *Request) string {
	if k.Effect != silverpath.Idempotent || r.Key == "" {
		return ""
	}
	return "\x00" + r.Key
}

// enter looks up which run a request repeats, and enters it where it is the first of its key. It reports
// whether there was room. A request with the key of another one is marked as a stranger: to hand it the other's
// result would answer a question that it did not ask.
func (k *keyTable) enter(t *task, freshFor time.Duration, now time.Time) bool {
	var key string
	switch {
	case t.sheet():
		key = keyOf(t.class, &t.Request)
	case t.class.Effect == silverpath.Safe && freshFor > 0 && t.Object != "":
		key = t.Class + "\x01" + t.Object
	default:
		return true
	}
	sum := k.sum(t)
	e := k.entries[key]
	if e != nil {
		f := e.held
		if f == nil && e.last != nil && within(t.Reached, e.last.reached, t.class.IdempotencyWindow) {
			f = e.last
		}
		if f != nil && !e.fresh && f.sum != sum {
			t.stranger = true
			return true
		}
		switch {
		case e.fresh:
			if f := e.last; f != nil && (!f.done || f.ok && now.Sub(f.ended) <= freshFor) {
				t.repeats = f
				return true
			}
		case f != nil:
			t.repeats = f
			return true
		}
	}
	if t.barred != "" { // what is known here was answered above
		t.elsewhere = t.barred
		return true
	}
	if e != nil && now.Before(e.moved) && !t.Known {
		t.elsewhere = WhyMoved
		return true
	}
	if k.begins != nil && t.sheet() {
		if t.turned = k.begins(t); t.turned.Do != idempotency.Begin {
			return true
		}
	}
	if k.size >= k.limit {
		return false
	}
	if e == nil {
		e = &entry{key: key, fresh: t.class.Effect == silverpath.Safe, size: entryBytes + len(key)}
		k.entries[key] = e
		k.size += e.size
	}
	if t.Known {
		t.elsewhere = WhyUnknown
		e.moved = later(e.moved, now.Add(t.class.IdempotencyWindow+t.class.Deadline+keyLinger))
		e.until = later(e.until, e.moved)
		return true
	}
	e.until, e.window = later(e.until, t.Due.Add(keyLinger)), max(e.window, t.class.IdempotencyWindow)
	t.flight = &flight{id: t.ID, sum: sum, entry: e, reached: t.Reached}
	if !e.fresh {
		e.held = t.flight
	}
	return true
}

// within reports whether a try that reached the machine at one time falls into the window of one that ran.
// It looks both ways, as a try may be read before one that reached the machine earlier.
func within(reached, ran time.Time, window time.Duration) bool {
	return reached.Sub(ran).Abs() <= window+ruleSlack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keep lets a read serve others from now on; keyed requests are kept from their arrival.
func (k *keyTable) keep(t *task, d time.Duration) {
	if f := t.flight; f != nil && f.entry.fresh && f.entry.held == nil {
		k.supersede(f.entry)
		f.entry.last = f
		f.entry.until = later(f.entry.until, time.Now().Add(d))
	}
}

// start notes that a request is run. It reports false where another try of it has run within the window.
func (k *keyTable) start(t *task) bool {
	if t.class.Effect != silverpath.Idempotent || t.Key == "" {
		return true
	}
	f := t.flight
	if f == nil || f.entry.held != f {
		return f != nil && f.entry.last == f
	}
	e := f.entry
	if e.last != nil && within(f.reached, e.last.reached, t.class.IdempotencyWindow) {
		return false
	}
	k.supersede(e)
	f.before = e.last
	e.held, e.last = nil, f
	// Until the last try written inside the window is past its due time, however late it is read.
	e.until = later(e.until, f.reached.Add(t.class.IdempotencyWindow+t.class.Deadline+keyLinger))
	return true
}

// done notes how a run ended.
func (k *keyTable) done(f *flight, o silverpath.Outcome, result []byte, now time.Time) {
	if f == nil || f.done {
		return
	}
	f.done, f.ok, f.ended = true, o == silverpath.OK, now
	if o == silverpath.NotStarted && f.entry.last == f && !f.entry.fresh {
		f.entry.last = f.before // proof that it never ran: its next try may
		return
	}
	if f.ok && f.entry.last == f {
		f.result = result
		f.entry.size += len(result)
		k.size += len(result)
	}
}

// supersede lets go of the result of what ran before.
func (k *keyTable) supersede(e *entry) {
	if e.last == nil {
		return
	}
	e.size -= len(e.last.result)
	k.size -= len(e.last.result)
	e.last.result, e.last.ok, e.last.before = nil, false, nil
}

// drop forgets a flight that never ran; what has run under its key stays.
func (k *keyTable) drop(f *flight) {
	e := f.entry
	if e.held == f {
		e.held = nil
	}
	if e.fresh && e.last == f {
		e.last = nil
	}
	if e.held == nil && e.last == nil && e.moved.IsZero() && k.entries[e.key] == e {
		k.remove(e)
	}
}

func (k *keyTable) remove(e *entry) {
	delete(k.entries, e.key)
	k.size -= e.size
}

// sweep drops what is past its time and not in use.
func (k *keyTable) sweep(now time.Time) {
	for _, e := range k.entries {
		if e.held == nil && (e.last == nil || e.last.done || e.last.theirs) && now.After(e.until) {
			k.remove(e)
		}
	}
}

// ---- Runs of the other process of a pair ----

// put notes how far a run of the other process has come, and returns it.
func (k *keyTable) put(m hotrestart.Flight, now time.Time) *flight {
	e := k.entries[m.Key]
	if e == nil {
		e = &entry{key: m.Key, size: entryBytes + len(m.Key)}
		k.entries[m.Key] = e
		k.size += e.size
	}
	e.until, e.window = later(e.until, time.Unix(0, m.Until)), max(e.window, m.Window)
	f := e.last
	switch {
	case e.held != nil || f != nil && !f.theirs && !f.done:
		return nil // its own run: the other can't have one
	case f != nil && f.theirs && !f.done: // the same, further on
	case f != nil && f.id == m.ID:
		return nil // known, with its end
	case f != nil && !f.theirs && within(time.Unix(0, m.Reached), f.reached, e.window):
		return nil
	default:
		k.supersede(e)
		f = &flight{entry: e, theirs: true}
		e.last = f
	}
	f.id, f.sum, f.reached, f.unrun = m.ID, m.Sum, time.Unix(0, m.Reached), m.Stage == hotrestart.Held
	if m.Stage >= hotrestart.Passed {
		f.done, f.ok, f.ended = true, m.Stage == hotrestart.Passed, now
	}
	if f.ok {
		f.result = m.Result
		e.size += len(m.Result)
		k.size += len(m.Result)
	}
	return f
}

// dropTheirs forgets a run of the other process that never began, and returns it.
func (k *keyTable) dropTheirs(key string) *flight {
	e := k.entries[key]
	if e == nil || e.last == nil || !e.last.theirs || e.last.done {
		return nil
	}
	f := e.last
	f.done, e.last = true, nil
	if e.held == nil && e.moved.IsZero() {
		k.remove(e)
	}
	return f
}

// own are the runs of this process that further tries may repeat.
func (k *keyTable) own(now time.Time) []hotrestart.Flight {
	var list []hotrestart.Flight
	for _, e := range k.entries {
		if e.fresh || now.After(e.until) {
			continue
		}
		if e.held != nil {
			list = append(list, e.held.tell())
		} else if e.last != nil && !e.last.theirs {
			list = append(list, e.last.tell())
		}
	}
	return list
}
