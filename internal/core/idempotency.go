package core

import (
	"hash/maphash"
	"strings"
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
)

// Attempts of one idempotent request share one execution. A request of an idempotent class has a key that all its attempts carry.
// The first attempt runs, and the others get its result. An attempt belongs to an execution if the two reached the machine within
// the class's window of each other (withinWindow); retention.go handles a window that changes between the two. Reads of the same
// class and object may share an execution too, while it runs and as long as its result is fresh.
//
// The inputs are the request's key, body, tenant and time of arrival, and the window and the deadline of its class. The store, the
// routing rules and the other servers of a cell may forbid a new key to start here.

// execution is the one run that attempts of a request share: queued, running, or ended with its result.
type execution struct {
	requestID   string // id of the attempt that runs
	fingerprint uint64 // of the request; all its attempts have the same
	entry       *keyEntry
	receivedAt  time.Time  // when the attempt that runs reached the machine
	previous    *execution // the run before this one under the same key
	done        bool
	succeeded   bool
	result      []byte
	endedAt     time.Time
	waiters     []*task // attempts that wait for the result

	peerOwned  bool // the run belongs to the other process of a pair
	peerQueued bool // peerOwned, and not started there

	recordSeq        uint64 // number of its stored record; 0 if it has none
	persistingResult []byte // the result, while it is being written to the disk
}

// keyEntry holds the executions of one key.
type keyEntry struct {
	key         string
	class       string     // of its attempts; empty if it is unknown or they have several
	queued      *execution // not started yet
	latest      *execution // the latest that was started
	expiresAt   time.Time
	terms       idempotency.Terms // the longest in force since its first attempt arrived; see retention.go
	movedAt     time.Time         // when a router last asked for the key while it was not known here; zero if none has
	movedUntil  time.Time         // until then the key runs elsewhere
	movedRecord uint64            // number of the stored record of the move; 0 if there is none
	isRead      bool              // the key is of a shared read
	isID        bool              // the key is the id of a request with an effect that has no idempotency key
	isLimited   bool              // its memory counts as limitedBytes
	bytes       int               // memory of the entry, results included
}

// keyTable links the attempts of requests. A key is kept from its first attempt's arrival on, and for its whole window once it has
// run. The table's memory is limited. When it is full, requests with new keys are rejected: evicting a key could let its request
// run twice. The table is guarded by the core's lock.
type keyTable struct {
	entries map[string]*keyEntry
	bytes   int
	// limitedBytes is the part of bytes of the entries that are no runs of idempotency keys: keys that a router asked for and that are not known
	// here, and ids.
	limitedBytes int
	maxBytes     int
	terms        idempotency.ClassTerms // of the classes in force
	fingerprint  func(t *task) uint64   // hash of what all attempts of a request have in common
	// admitFirst decides on the first attempt of a key by the checks that UseStore and AddGate have added. If it is nil, all first
	// attempts may run.
	admitFirst func(t *task) idempotency.Decision
}

// limitedMemoryDivisor limits limitedBytes to 1/limitedMemoryDivisor of the table. A question about a key costs no run, so a peer can ask at any
// rate; without the limit its marks would fill the table, and every new key would be rejected.
const limitedMemoryDivisor = 2

// minKeyBytes is the minimum memory limit of the table, about a hundred keys with their results.
const minKeyBytes = 64 << 10

func newKeyTable(maxBytes int) keyTable {
	seed := maphash.MakeSeed()
	return keyTable{entries: map[string]*keyEntry{}, maxBytes: max(maxBytes, minKeyBytes), fingerprint: func(t *task) uint64 {
		return maphash.Bytes(seed, t.Body) ^ maphash.String(seed, t.Tenant)
	}}
}

// keyOf returns the table key of an idempotent request, or an empty string for other requests. It does not contain the class:
// while operators rename a class, attempts of one request may arrive under the old and the new name.
func keyOf(class silverpath.Class, r *Request) string {
	if class.Effect != silverpath.Idempotent || r.Key == "" {
		return ""
	}
	return "\x00" + r.Key
}

// idKeyPrefix begins the table keys of ids.
const idKeyPrefix = "\x02"

// isIDKey reports whether a table key is the id of a request with an effect that has no idempotency key. Every attempt has an id of its own,
// so such a request is not repeated, but a client may send it again under the same id after its connection broke: it must not run twice.
func isIDKey(key string) bool { return strings.HasPrefix(key, idKeyPrefix) }

// sharingKey returns the table key under which the request shares an execution with its attempts or with equal reads, or an empty
// string.
func (t *task) sharingKey(freshFor time.Duration) string {
	switch {
	case t.idempotent():
		return keyOf(t.class, &t.Request)
	case t.class.Effect != silverpath.Safe:
		return idKeyPrefix + t.ID
	case freshFor > 0 && t.Object != "":
		return t.Class + "\x01" + t.Object
	}
	return ""
}

// resolve finds the execution that a request duplicates, or adds the request's own execution if it is the first attempt of its
// key. It returns false if the table, or its limited part, is full. If the request may not run, resolve sets its keyConflict, repeatedID, movedReason or decision.
// Known executions are looked up before the rules for new keys, so a duplicate gets its result whatever has changed in the
// meantime.
func (k *keyTable) resolve(t *task, freshFor time.Duration, now time.Time) bool {
	key := t.sharingKey(freshFor)
	if key == "" {
		return true
	}
	fingerprint := uint64(0)
	if !isIDKey(key) {
		fingerprint = k.fingerprint(t)
	}
	e := k.entries[key]
	if e != nil && e.duplicates(t, fingerprint, freshFor, now) {
		if t.duplicateOf != nil && !e.isRead {
			e.noteClass(t.class)
			e.retain()
		}
		return true
	}
	if k.blocksFirstAttempt(t, e, now) {
		return true
	}
	if !k.hasRoom(t, key, e == nil) {
		return isIDKey(key) // a request without a key runs without being remembered
	}
	if e == nil {
		e = k.addFor(t, key)
	}
	e.noteAttempt(t)
	if t.OnlyIfKnown {
		e.markMoved(t, now)
	} else {
		e.addExecution(t, fingerprint)
	}
	return true
}

// duplicates reports whether a known execution settles the request. It sets duplicateOf, or keyConflict if the key belongs to
// another request: returning that request's result would be a wrong answer.
func (e *keyEntry) duplicates(t *task, fingerprint uint64, freshFor time.Duration, now time.Time) bool {
	if e.isRead {
		x := e.latest
		if x == nil || x.done && (!x.succeeded || now.Sub(x.endedAt) > freshFor) {
			return false
		}
		t.duplicateOf = x
		return true
	}
	x := e.queued
	if x == nil && e.repeatsLatest(t.ReceivedAt, t.class.IdempotencyWindow) {
		x = e.latest
	}
	switch {
	case x == nil:
		return false
	case e.isID:
		t.repeatedID = true
	case x.fingerprint != fingerprint:
		t.keyConflict = true
	default:
		t.duplicateOf = x
	}
	return true
}

// blocksFirstAttempt reports whether a first attempt may not run here because of the routing rules, because its key runs elsewhere, or
// because of the store. It sets the movedReason or the decision of the task.
func (k *keyTable) blocksFirstAttempt(t *task, e *keyEntry, now time.Time) bool {
	switch {
	case t.blockedBy != "":
		t.movedReason = t.blockedBy
	case e != nil && now.Before(e.movedUntil) && !t.OnlyIfKnown:
		t.movedReason = ReasonMoved
	case k.admitFirst != nil && t.idempotent():
		t.decision = k.admitFirst(t)
		return t.decision.Action != idempotency.Execute
	default:
		return false
	}
	return true
}

// hasRoom reports whether the table has room for a request, whose key is new to it or not.
func (k *keyTable) hasRoom(t *task, key string, isNew bool) bool {
	if k.bytes >= k.maxBytes {
		return false
	}
	return !isNew || !isLimited(t, key) || k.limitedBytes < k.maxBytes/limitedMemoryDivisor
}

// isLimited reports whether the entry of a request counts as limitedBytes.
func isLimited(t *task, key string) bool { return t.OnlyIfKnown || isIDKey(key) }

// addFor adds an empty entry for the key of a request.
func (k *keyTable) addFor(t *task, key string) *keyEntry {
	e := k.add(key)
	e.class, e.isRead = t.class.Name, t.class.Effect == silverpath.Safe
	if e.isLimited = isLimited(t, key); e.isLimited {
		k.limitedBytes += e.bytes
	}
	return e
}

// noteAttempt extends the terms of an entry to those of an attempt. An id is remembered for the deadline of its class, or for as long as its
// client waits.
func (e *keyEntry) noteAttempt(t *task) {
	switch {
	case e.isID:
		e.terms.Window = max(e.terms.Window, t.class.Deadline, t.Deadline.Sub(t.ReceivedAt))
	case !e.isRead:
		e.noteClass(t.class)
	}
}

// add adds an empty entry for a key.
func (k *keyTable) add(key string) *keyEntry {
	e := &keyEntry{key: key, bytes: entryBytes + len(key), isID: isIDKey(key)}
	k.entries[key] = e
	k.bytes += e.bytes
	return e
}

// markMoved records that a router has asked for a key that is not known here. The router runs it elsewhere from then on.
func (e *keyEntry) markMoved(t *task, now time.Time) {
	t.movedReason = ReasonUnknown
	e.movedAt = now
	e.retain()
}

// addExecution adds the execution of the first attempt of a key.
func (e *keyEntry) addExecution(t *task, fingerprint uint64) {
	e.expiresAt = maxTime(e.expiresAt, t.Deadline.Add(idempotency.ReadDelay))
	t.execution = &execution{requestID: t.ID, fingerprint: fingerprint, entry: e, receivedAt: t.ReceivedAt}
	if !e.isRead {
		e.queued = t.execution
	}
}

// repeatsLatest reports whether an attempt, whose class has the given window, repeats the latest run of the key.
func (e *keyEntry) repeatsLatest(receivedAt time.Time, window time.Duration) bool {
	return e.latest != nil && withinWindow(receivedAt, e.latest.receivedAt, max(window, e.terms.Window))
}

// withinWindow reports whether an attempt and a run reached the machine within a window of each other. The order does not matter,
// because an attempt may be read before one that reached the machine earlier.
func withinWindow(receivedAt, ranAt time.Time, window time.Duration) bool {
	return receivedAt.Sub(ranAt).Abs() <= window+windowSlack
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shareRead lets later reads of the same object use the result of this read for d. It does nothing for an idempotent request, whose key
// is in the table since the request arrived.
func (k *keyTable) shareRead(t *task, d time.Duration) {
	if x := t.execution; x != nil && x.entry.isRead && x.entry.queued == nil {
		k.dropResult(x.entry)
		x.entry.latest = x
		x.entry.expiresAt = maxTime(x.entry.expiresAt, time.Now().Add(d))
	}
}

// markStarted records that a request starts to run. It returns false if another attempt of the request has run within the window.
func (k *keyTable) markStarted(t *task) bool {
	x := t.execution
	if !t.idempotent() && (x == nil || x.entry.isRead) {
		return true
	}
	if x == nil || x.entry.queued != x {
		return x != nil && x.entry.latest == x
	}
	e := x.entry
	if e.repeatsLatest(x.receivedAt, t.class.IdempotencyWindow) {
		return false
	}
	k.dropResult(e)
	x.previous = e.latest
	e.queued, e.latest = nil, x
	e.retain()
	return true
}

// markEnded records the end of a run. The result is kept for duplicates. If the outcome proves that the request never ran, a retry
// may run.
func (k *keyTable) markEnded(x *execution, o silverpath.Outcome, result []byte, now time.Time) {
	if x == nil || x.done {
		return
	}
	x.done, x.succeeded, x.endedAt = true, o == silverpath.OK, now
	if o == silverpath.NotStarted && x.entry.latest == x && !x.entry.isRead {
		x.entry.latest = x.previous
		return
	}
	if x.succeeded && x.entry.latest == x && !x.entry.isID {
		x.result = result
		x.entry.bytes += len(result)
		k.bytes += len(result)
	}
}

// dropResult drops the result of the previous run.
func (k *keyTable) dropResult(e *keyEntry) {
	if e.latest == nil {
		return
	}
	e.bytes -= len(e.latest.result)
	k.bytes -= len(e.latest.result)
	e.latest.result, e.latest.succeeded, e.latest.previous = nil, false, nil
}

// removeUnstarted removes an execution that never ran. An earlier run under the key is kept.
func (k *keyTable) removeUnstarted(x *execution) {
	e := x.entry
	if e.queued == x {
		e.queued = nil
	}
	if e.isRead && e.latest == x {
		e.latest = nil
	}
	if e.queued == nil && e.latest == nil && e.movedUntil.IsZero() && k.entries[e.key] == e {
		k.remove(e)
	}
}

func (k *keyTable) remove(e *keyEntry) {
	delete(k.entries, e.key)
	k.bytes -= e.bytes
	if e.isLimited {
		k.limitedBytes -= entryBytes + len(e.key)
	}
}

// evictExpired removes entries that have expired and are not in use.
func (k *keyTable) evictExpired(now time.Time) {
	for _, e := range k.entries {
		inUse := e.queued != nil || e.latest != nil && !e.latest.done && !e.latest.peerOwned
		if !inUse && now.After(e.expiresAt) {
			k.remove(e)
		}
	}
}
