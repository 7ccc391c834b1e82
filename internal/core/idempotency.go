package core

import (
	"hash/maphash"
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
)

// flight is the one run of a request that may come again: held, under way, or over with its result.
type execution struct {
	requestID        string
	fingerprint      uint64 // of the request that every try of it must be
	entry            *keyEntry
	receivedAt       time.Time
	previous         *execution // what had run under the key before this one
	done             bool
	succeeded        bool
	result           []byte
	endedAt          time.Time
	waiters          []*task
	peerOwned        bool   // of the other process of a pair
	peerQueued       bool   // theirs, and only taken there
	recordSeq        uint64 // of its record, where runs are kept; 0: it has none
	persistingResult []byte // its result, while that is being kept
}

// entry is what is known under one key.
type keyEntry struct {
	key       string
	queued    *execution // in the hold, not run
	latest    *execution // the latest that was run
	expiresAt time.Time
	// window is how far apart tries of one request may be.
	window time.Duration
	// moved: until then no try of it is run here, as a router asked for it, it was not known, and it runs elsewhere.
	movedUntil  time.Time
	movedRecord uint64 // of the record that says so, where that is kept
	read        bool   // of a read: it serves others while it is under way and a little longer
	bytes       int
}

// keyTable links the tries of a request. Keys are kept from a try's arrival; what has run stays for its whole
// window, whatever is forgotten meanwhile. Its memory is bounded: at the bound new keys are turned away, since
// to drop one would let its request run twice.
type keyTable struct {
	entries     map[string]*keyEntry
	bytes       int
	maxBytes    int
	fingerprint func(t *task) uint64 // of what every try of a request is
	// begins is what becomes of the first try of a key, where runs are kept; nil: nothing is against it.
	admitFirst func(t *task) idempotency.Verdict
}

func newKeyTable(limit int) keyTable {
	seed := maphash.MakeSeed()
	return keyTable{entries: map[string]*keyEntry{}, maxBytes: max(limit, 64<<10), fingerprint: func(t *task) uint64 {
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
func (k *keyTable) resolve(t *task, freshFor time.Duration, now time.Time) bool {
	var key string
	switch {
	case t.idempotent():
		key = keyOf(t.class, &t.Request)
	case t.class.Effect == silverpath.Safe && freshFor > 0 && t.Object != "":
		key = t.Class + "\x01" + t.Object
	default:
		return true
	}
	sum := k.fingerprint(t)
	e := k.entries[key]
	if e != nil {
		f := e.queued
		if f == nil && e.latest != nil && withinWindow(t.ReceivedAt, e.latest.receivedAt, t.class.IdempotencyWindow) {
			f = e.latest
		}
		if f != nil && !e.read && f.fingerprint != sum {
			t.keyConflict = true
			return true
		}
		switch {
		case e.read:
			if f := e.latest; f != nil && (!f.done || f.succeeded && now.Sub(f.endedAt) <= freshFor) {
				t.duplicateOf = f
				return true
			}
		case f != nil:
			t.duplicateOf = f
			return true
		}
	}
	if t.blockedBy != "" { // what is known here was answered above
		t.movedReason = t.blockedBy
		return true
	}
	if e != nil && now.Before(e.movedUntil) && !t.OnlyIfKnown {
		t.movedReason = ReasonMoved
		return true
	}
	if k.admitFirst != nil && t.idempotent() {
		if t.verdict = k.admitFirst(t); t.verdict.Do != idempotency.Begin {
			return true
		}
	}
	if k.bytes >= k.maxBytes {
		return false
	}
	if e == nil {
		e = &keyEntry{key: key, read: t.class.Effect == silverpath.Safe, bytes: entryBytes + len(key)}
		k.entries[key] = e
		k.bytes += e.bytes
	}
	if t.OnlyIfKnown {
		t.movedReason = ReasonUnknown
		e.movedUntil = later(e.movedUntil, now.Add(t.class.IdempotencyWindow+t.class.Deadline+readDelay))
		e.expiresAt = later(e.expiresAt, e.movedUntil)
		return true
	}
	e.expiresAt, e.window = later(e.expiresAt, t.Deadline.Add(readDelay)), max(e.window, t.class.IdempotencyWindow)
	t.execution = &execution{requestID: t.ID, fingerprint: sum, entry: e, receivedAt: t.ReceivedAt}
	if !e.read {
		e.queued = t.execution
	}
	return true
}

// within reports whether a try that reached the machine at one time falls into the window of one that ran.
// It looks both ways, as a try may be read before one that reached the machine earlier.
func withinWindow(reached, ran time.Time, window time.Duration) bool {
	return reached.Sub(ran).Abs() <= window+windowSlack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keep lets a read serve others from now on; keyed requests are kept from their arrival.
func (k *keyTable) shareRead(t *task, d time.Duration) {
	if f := t.execution; f != nil && f.entry.read && f.entry.queued == nil {
		k.supersede(f.entry)
		f.entry.latest = f
		f.entry.expiresAt = later(f.entry.expiresAt, time.Now().Add(d))
	}
}

// start notes that a request is run. It reports false where another try of it has run within the window.
func (k *keyTable) begin(t *task) bool {
	if t.class.Effect != silverpath.Idempotent || t.Key == "" {
		return true
	}
	f := t.execution
	if f == nil || f.entry.queued != f {
		return f != nil && f.entry.latest == f
	}
	e := f.entry
	if e.latest != nil && withinWindow(f.receivedAt, e.latest.receivedAt, t.class.IdempotencyWindow) {
		return false
	}
	k.supersede(e)
	f.previous = e.latest
	e.queued, e.latest = nil, f
	// Until the last try written inside the window is past its due time, however late it is read.
	e.expiresAt = later(e.expiresAt, f.receivedAt.Add(t.class.IdempotencyWindow+t.class.Deadline+readDelay))
	return true
}

// done notes how a run ended.
func (k *keyTable) finish(f *execution, o silverpath.Outcome, result []byte, now time.Time) {
	if f == nil || f.done {
		return
	}
	f.done, f.succeeded, f.endedAt = true, o == silverpath.OK, now
	if o == silverpath.NotStarted && f.entry.latest == f && !f.entry.read {
		f.entry.latest = f.previous // proof that it never ran: its next try may
		return
	}
	if f.succeeded && f.entry.latest == f {
		f.result = result
		f.entry.bytes += len(result)
		k.bytes += len(result)
	}
}

// supersede lets go of the result of what ran before.
func (k *keyTable) supersede(e *keyEntry) {
	if e.latest == nil {
		return
	}
	e.bytes -= len(e.latest.result)
	k.bytes -= len(e.latest.result)
	e.latest.result, e.latest.succeeded, e.latest.previous = nil, false, nil
}

// drop forgets a flight that never ran; what has run under its key stays.
func (k *keyTable) forget(f *execution) {
	e := f.entry
	if e.queued == f {
		e.queued = nil
	}
	if e.read && e.latest == f {
		e.latest = nil
	}
	if e.queued == nil && e.latest == nil && e.movedUntil.IsZero() && k.entries[e.key] == e {
		k.remove(e)
	}
}

func (k *keyTable) remove(e *keyEntry) {
	delete(k.entries, e.key)
	k.bytes -= e.bytes
}

// sweep drops what is past its time and not in use.
func (k *keyTable) evictExpired(now time.Time) {
	for _, e := range k.entries {
		if e.queued == nil && (e.latest == nil || e.latest.done || e.latest.peerOwned) && now.After(e.expiresAt) {
			k.remove(e)
		}
	}
}

// ---- Runs of the other process of a pair ----

// put notes how far a run of the other process has come, and returns it.
func (k *keyTable) putPeer(m hotrestart.Flight, now time.Time) *execution {
	e := k.entries[m.Key]
	if e == nil {
		e = &keyEntry{key: m.Key, bytes: entryBytes + len(m.Key)}
		k.entries[m.Key] = e
		k.bytes += e.bytes
	}
	e.expiresAt, e.window = later(e.expiresAt, time.Unix(0, m.Until)), max(e.window, m.Window)
	f := e.latest
	switch {
	case e.queued != nil || f != nil && !f.peerOwned && !f.done:
		return nil // its own run: the other can't have one
	case f != nil && f.peerOwned && !f.done: // the same, further on
	case f != nil && f.requestID == m.ID:
		return nil // known, with its end
	case f != nil && !f.peerOwned && withinWindow(time.Unix(0, m.Reached), f.receivedAt, e.window):
		return nil
	default:
		k.supersede(e)
		f = &execution{entry: e, peerOwned: true}
		e.latest = f
	}
	f.requestID, f.fingerprint, f.receivedAt, f.peerQueued = m.ID, m.Sum, time.Unix(0, m.Reached), m.Stage == hotrestart.Held
	if m.Stage >= hotrestart.Passed {
		f.done, f.succeeded, f.endedAt = true, m.Stage == hotrestart.Passed, now
	}
	if f.succeeded {
		f.result = m.Result
		e.bytes += len(m.Result)
		k.bytes += len(m.Result)
	}
	return f
}

// dropTheirs forgets a run of the other process that never began, and returns it.
func (k *keyTable) forgetPeer(key string) *execution {
	e := k.entries[key]
	if e == nil || e.latest == nil || !e.latest.peerOwned || e.latest.done {
		return nil
	}
	f := e.latest
	f.done, e.latest = true, nil
	if e.queued == nil && e.movedUntil.IsZero() {
		k.remove(e)
	}
	return f
}

// own are the runs of this process that further tries may repeat.
func (k *keyTable) ownExecutions(now time.Time) []hotrestart.Flight {
	var list []hotrestart.Flight
	for _, e := range k.entries {
		if e.read || now.After(e.expiresAt) {
			continue
		}
		if e.queued != nil {
			list = append(list, e.queued.forPeer())
		} else if e.latest != nil && !e.latest.peerOwned {
			list = append(list, e.latest.forPeer())
		}
	}
	return list
}
