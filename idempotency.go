package silverpath

// Idempotency keys. A request of an Idempotent class is remembered from its arrival for the IdempotencyWindow
// of its class: a duplicate names it, joins its run or result, and so nothing with an effect runs twice. A
// Safe read with a key is remembered while its answer is fresh, if memory allows, so that others take its
// answer instead of running. The id of a NonIdempotent request is remembered for its deadline, so that it
// can't be given again.
//
// The host keeps the keys and links duplicates to them; the module decides which are kept and counts their
// memory. Inputs: Effect, window and freshness from the settings, KeyKB for each key.

import "time"

// freshMemoryRatio is the part of memory up to which reads are remembered: a margin below the guards' own, so
// that keys of reads never take the place of requests.
const freshMemoryRatio = limitMargin * limitMargin

// isJoinableDuplicate reports whether a request is a duplicate that takes the result of the one it names.
func (s *Shedder) isJoinableDuplicate(r *request) bool {
	return r.DuplicateOf != "" &&
		(r.class.Effect == Idempotent || r.class.Effect == Safe && s.settings.FreshFor > 0)
}

// join answers a request with the result of the one it duplicates, which is in hand or has been run. It
// counts as started from then on, so that it is never rejected: a rejection would promise that the request
// never ran.
func (s *Shedder) join(r *request) {
	r.started = true
	s.setState(r, joined)
	s.host.Join(r.ID)
}

// keyMemoryKB is the memory that must be free for a request's key before it is queued.
func (s *Shedder) keyMemoryKB(r *request) float64 {
	if r.class.Effect == Idempotent {
		return s.settings.KeyKB
	}
	return 0
}

// rememberKey remembers a request that is queued now. A key is counted for a tick longer than the host keeps
// it.
func (s *Shedder) rememberKey(r *request) {
	c := r.class
	switch {
	case c.Effect == Idempotent:
		s.host.RememberKey(r.ID, c.IdempotencyWindow)
		s.remembered.add(r.ID, s.now+c.IdempotencyWindow+tickInterval, s.settings.KeyKB)
	case c.Effect == Safe && s.settings.FreshFor > 0 && r.Key != "" && r.DuplicateOf == "" &&
		s.memoryKB+s.remembered.memoryKB+s.settings.KeyKB <= freshMemoryRatio*s.settings.MemoryKB:
		s.host.RememberKey(r.ID, c.Objective+s.settings.FreshFor)
		s.remembered.add(r.ID, s.now+c.Objective+s.settings.FreshFor+tickInterval, s.settings.KeyKB)
	}
}

// forgetKey forgets a request that has not run, so that a retry of it may.
func (s *Shedder) forgetKey(r *request) {
	if s.remembered.contains(r.ID) {
		s.remembered.remove(r.ID)
		s.host.ForgetKey(r.ID)
	}
}

// keyTable is the set of remembered requests, each until a time.
type keyTable struct {
	entries  []keyEntry // in the order in which they were added
	ids      map[string]bool
	memoryKB float64 // of all entries
}

type keyEntry struct {
	id        string
	expiresAt time.Duration
	memoryKB  float64
}

func newKeyTable() keyTable { return keyTable{ids: map[string]bool{}} }

func (t *keyTable) contains(id string) bool { return t.ids[id] }

// add remembers an id, unless it is remembered already.
func (t *keyTable) add(id string, expiresAt time.Duration, memoryKB float64) {
	if !t.ids[id] {
		t.ids[id] = true
		t.entries = append(t.entries, keyEntry{id, expiresAt, memoryKB})
		t.memoryKB += memoryKB
	}
}

func (t *keyTable) remove(id string) {
	t.removeIf(func(e keyEntry) bool { return e.id == id })
}

func (t *keyTable) expire(now time.Duration) {
	t.removeIf(func(e keyEntry) bool { return e.expiresAt < now })
}

func (t *keyTable) removeIf(matches func(keyEntry) bool) {
	kept := t.entries[:0]
	for _, e := range t.entries {
		if matches(e) {
			delete(t.ids, e.id)
			t.memoryKB -= e.memoryKB
		} else {
			kept = append(kept, e)
		}
	}
	t.entries = kept
}
