package core

import (
	"hash/maphash"
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
)

// Idempotency: attempts of one request share one execution. A request of an idempotent class has a key, the same for all its
// attempts; the first attempt's run is the one that counts, and the others take its result. An attempt belongs to an execution
// if it reached the machine within the class's window of it (withinWindow). A read may be shared likewise, under its class and
// subject, while it is under way and as long as its answer is fresh.
//
// Inputs: key, body and tenant of the request, when it reached the machine, window and deadline of its class; whether the store,
// the routers' rules and the other servers of a cell let a new key begin here.

// execution is the one run of a request that may come again: queued, under way, or over with its result.
type execution struct {
	requestID   string // of the attempt that runs
	fingerprint uint64 // of the request, which every attempt of it must have
	entry       *keyEntry
	receivedAt  time.Time  // when the attempt that runs reached the machine
	previous    *execution // what had run under the key before this one
	done        bool
	succeeded   bool
	result      []byte
	endedAt     time.Time
	waiters     []*task // attempts that wait for its result

	peerOwned  bool // of the other process of a pair
	peerQueued bool // peerOwned, and not begun there

	recordSeq        uint64 // of its record, where runs are kept; 0: it has none
	persistingResult []byte // its result, while that is on its way to the disk
}

// keyEntry is what is known under one key.
type keyEntry struct {
	key         string
	queued      *execution // not run yet
	latest      *execution // the latest that was run
	expiresAt   time.Time
	window      time.Duration // how far apart attempts of one request may be
	movedUntil  time.Time     // until then the key runs elsewhere: a router asked for it when it was not known here
	movedRecord uint64        // of the record that says so, where that is kept
	read        bool          // of a read
	bytes       int           // of memory
}

// keyTable links the attempts of a request. Keys are kept from an attempt's arrival; what has run stays for its whole window,
// whatever is forgotten meanwhile. Its memory is bounded: at the bound new keys are turned away, since to drop one would let its
// request run twice. It is under the core's lock.
type keyTable struct {
	entries     map[string]*keyEntry
	bytes       int
	maxBytes    int
	fingerprint func(t *task) uint64 // of what every attempt of a request has in common
	// admitFirst is what becomes of the first attempt of a key, where runs are kept; nil: nothing is against it.
	admitFirst func(t *task) idempotency.Decision
}

// minKeyBytes bounds the table from below, also in the smallest process: a hundred keys with their results.
const minKeyBytes = 64 << 10

func newKeyTable(maxBytes int) keyTable {
	seed := maphash.MakeSeed()
	return keyTable{entries: map[string]*keyEntry{}, maxBytes: max(maxBytes, minKeyBytes), fingerprint: func(t *task) uint64 {
		return maphash.Bytes(seed, t.Body) ^ maphash.String(seed, t.Tenant)
	}}
}

// keyOf is the key under which an idempotent request is known, empty for others. Its class is no part of it: where operators
// change the settings, one attempt may come under the class's old name and the next under the new one.
func keyOf(class silverpath.Class, r *Request) string {
	if class.Effect != silverpath.Idempotent || r.Key == "" {
		return ""
	}
	return "\x00" + r.Key
}

// sharingKey is the key under which attempts of the request, or reads like it, share one execution; empty: under none.
func (t *task) sharingKey(freshFor time.Duration) string {
	switch {
	case t.idempotent():
		return keyOf(t.class, &t.Request)
	case t.class.Effect == silverpath.Safe && freshFor > 0 && t.Object != "":
		return t.Class + "\x01" + t.Object
	}
	return ""
}

// resolve finds which execution a request duplicates, and enters it where it is the first of its key. It reports whether there
// was memory for that. What stands against the request it notes there: keyConflict, movedReason or verdict. What is known of a
// key comes before all that keeps a new one from beginning, so that a duplicate has its result whatever changed meanwhile.
func (k *keyTable) resolve(t *task, freshFor time.Duration, now time.Time) bool {
	key := t.sharingKey(freshFor)
	if key == "" {
		return true
	}
	fingerprint := k.fingerprint(t)
	e := k.entries[key]
	if e != nil && e.duplicates(t, fingerprint, freshFor, now) {
		return true
	}
	if k.mayNotBegin(t, e, now) {
		return true
	}
	if k.bytes >= k.maxBytes {
		return false
	}
	if e == nil {
		e = k.add(key)
		e.read = t.class.Effect == silverpath.Safe
	}
	if t.OnlyIfKnown {
		e.moveAway(t, now)
	} else {
		e.enter(t, fingerprint)
	}
	return true
}

// duplicates reports whether the request is a duplicate of an execution under its key, which it notes, or has the key of
// another request. To hand it the other's result would answer a question that it did not ask.
func (e *keyEntry) duplicates(t *task, fingerprint uint64, freshFor time.Duration, now time.Time) bool {
	if e.read {
		x := e.latest
		if x == nil || x.done && (!x.succeeded || now.Sub(x.endedAt) > freshFor) {
			return false
		}
		t.duplicateOf = x
		return true
	}
	x := e.queued
	if x == nil && e.latest != nil && withinWindow(t.ReceivedAt, e.latest.receivedAt, t.class.IdempotencyWindow) {
		x = e.latest
	}
	switch {
	case x == nil:
		return false
	case x.fingerprint != fingerprint:
		t.keyConflict = true
	default:
		t.duplicateOf = x
	}
	return true
}

// mayNotBegin reports whether something is against a first attempt here: the routers' rules, that its key runs elsewhere, or the
// store. It notes which.
func (k *keyTable) mayNotBegin(t *task, e *keyEntry, now time.Time) bool {
	switch {
	case t.blockedBy != "":
		t.movedReason = t.blockedBy
	case e != nil && now.Before(e.movedUntil) && !t.OnlyIfKnown:
		t.movedReason = ReasonMoved
	case k.admitFirst != nil && t.idempotent():
		t.verdict = k.admitFirst(t)
		return t.verdict.Action != idempotency.Execute
	default:
		return false
	}
	return true
}

// add makes the entry of a key.
func (k *keyTable) add(key string) *keyEntry {
	e := &keyEntry{key: key, bytes: entryBytes + len(key)}
	k.entries[key] = e
	k.bytes += e.bytes
	return e
}

// moveAway notes that a router asked for a key that is not known, and runs it elsewhere from then on.
func (e *keyEntry) moveAway(t *task, now time.Time) {
	t.movedReason = ReasonUnknown
	e.movedUntil = later(e.movedUntil, now.Add(t.class.IdempotencyWindow+t.class.Deadline+readDelay))
	e.expiresAt = later(e.expiresAt, e.movedUntil)
}

// enter makes the execution that the first attempt of a key may become.
func (e *keyEntry) enter(t *task, fingerprint uint64) {
	e.expiresAt, e.window = later(e.expiresAt, t.Deadline.Add(readDelay)), max(e.window, t.class.IdempotencyWindow)
	t.execution = &execution{requestID: t.ID, fingerprint: fingerprint, entry: e, receivedAt: t.ReceivedAt}
	if !e.read {
		e.queued = t.execution
	}
}

// withinWindow reports whether an attempt that reached the machine at one time falls into the window of one that ran. It looks
// both ways, as an attempt may be read before one that reached the machine earlier.
func withinWindow(receivedAt, ranAt time.Time, window time.Duration) bool {
	return receivedAt.Sub(ranAt).Abs() <= window+windowSlack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shareRead lets a read serve others from now on, for d. Idempotent requests are kept from their arrival.
func (k *keyTable) shareRead(t *task, d time.Duration) {
	if x := t.execution; x != nil && x.entry.read && x.entry.queued == nil {
		k.supersede(x.entry)
		x.entry.latest = x
		x.entry.expiresAt = later(x.entry.expiresAt, time.Now().Add(d))
	}
}

// begin notes that a request is run. It reports false where another attempt of it has run within the window.
func (k *keyTable) begin(t *task) bool {
	if !t.idempotent() {
		return true
	}
	x := t.execution
	if x == nil || x.entry.queued != x {
		return x != nil && x.entry.latest == x
	}
	e := x.entry
	if e.latest != nil && withinWindow(x.receivedAt, e.latest.receivedAt, t.class.IdempotencyWindow) {
		return false
	}
	k.supersede(e)
	x.previous = e.latest
	e.queued, e.latest = nil, x
	// Until the last attempt written inside the window is past its deadline, however late it is read.
	e.expiresAt = later(e.expiresAt, x.receivedAt.Add(t.class.IdempotencyWindow+t.class.Deadline+readDelay))
	return true
}

// finish notes how a run ended. The result is kept for duplicates. Proof that it never ran lets a retry run.
func (k *keyTable) finish(x *execution, o silverpath.Outcome, result []byte, now time.Time) {
	if x == nil || x.done {
		return
	}
	x.done, x.succeeded, x.endedAt = true, o == silverpath.OK, now
	if o == silverpath.NotStarted && x.entry.latest == x && !x.entry.read {
		x.entry.latest = x.previous
		return
	}
	if x.succeeded && x.entry.latest == x {
		x.result = result
		x.entry.bytes += len(result)
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

// forget drops an execution that never ran; what has run under its key stays.
func (k *keyTable) forget(x *execution) {
	e := x.entry
	if e.queued == x {
		e.queued = nil
	}
	if e.read && e.latest == x {
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

// evictExpired drops what is past its time and not in use.
func (k *keyTable) evictExpired(now time.Time) {
	for _, e := range k.entries {
		inUse := e.queued != nil || e.latest != nil && !e.latest.done && !e.latest.peerOwned
		if !inUse && now.After(e.expiresAt) {
			k.remove(e)
		}
	}
}
