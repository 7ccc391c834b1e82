package silverpath

// Idempotency keys. A request of an Idempotent class is remembered from its arrival for the
// IdempotencyWindow of its class. A duplicate names it and joins its run or its result, so a request with
// an effect runs only once. A Safe read with a key is remembered while its answer is fresh, if memory
// allows, so that other reads use its answer instead of running. The ID of a NonIdempotent request is
// remembered for the deadline of its class, so that it cannot be used again.
//
// The host stores the keys and links duplicates to them; the module decides which keys are kept and
// accounts for their memory. Inputs: Effect, window and freshness from the settings, KeyKB for each key.

import "time"

// freshMemoryRatio is the share of memory up to which reads are remembered. It is below the limitMargin of
// the guards, so that keys of reads never displace requests.
const freshMemoryRatio = limitMargin * limitMargin

// isJoinableDuplicate reports whether a request is a duplicate that takes the result of the request that it
// names.
func (s *Shedder) isJoinableDuplicate(r *request) bool {
	return r.DuplicateOf != "" &&
		(r.class.Effect == Idempotent || r.class.Effect == Safe && s.settings.FreshFor > 0)
}

// join answers a request with the result of the request that it duplicates, which is open or has ended. The
// request counts as started from then on and is never rejected, because a rejection would guarantee that it
// never ran.
func (s *Shedder) join(r *request) {
	r.started = true
	s.setState(r, joined)
	s.host.Join(r.ID)
}

// keyMemoryKB returns the memory that must be free for the key of a request before it is queued.
func (s *Shedder) keyMemoryKB(r *request) float64 {
	if r.class.Effect == Idempotent {
		return s.settings.KeyKB
	}
	return 0
}

// rememberKey remembers a request when it is queued. The memory of a key is counted for one tick longer
// than the host keeps the key.
func (s *Shedder) rememberKey(r *request) {
	c := r.class
	switch {
	case c.Effect == Idempotent:
		s.host.RememberKey(r.ID, c.IdempotencyWindow)
		s.remembered.add(keyEntry{r.ID, s.now + c.IdempotencyWindow + tickInterval, s.settings.KeyKB, c})
	case c.Effect == Safe && s.settings.FreshFor > 0 && r.Key != "" && r.DuplicateOf == "" &&
		s.memoryKB+s.remembered.memoryKB+s.settings.KeyKB <= freshMemoryRatio*s.settings.MemoryKB:
		s.host.RememberKey(r.ID, c.Objective+s.settings.FreshFor)
		s.remembered.add(keyEntry{id: r.ID, memoryKB: s.settings.KeyKB,
			expiresAt: s.now + c.Objective + s.settings.FreshFor + tickInterval})
	}
}

// extendKeys counts the memory of remembered requests for longer if new settings lengthen the window of
// their class, because the host keeps their keys for longer then. Requests of a class that is gone may
// return under any other class.
func (s *Shedder) extendKeys() {
	var longest *class
	for _, c := range s.classes {
		if c.Effect == Idempotent && (longest == nil || c.IdempotencyWindow > longest.IdempotencyWindow) {
			longest = c
		}
	}
	for i := range s.remembered.entries {
		e := &s.remembered.entries[i]
		if e.class == nil {
			continue
		}
		next := s.classByName[e.class.Name]
		if next == nil || next.Effect != Idempotent {
			next = longest
		}
		if next != nil && next.IdempotencyWindow > e.class.IdempotencyWindow {
			e.expiresAt += next.IdempotencyWindow - e.class.IdempotencyWindow
			e.class = next
		}
	}
}

// forgetKey forgets a request that has not run, so that a retry of it can run.
func (s *Shedder) forgetKey(r *request) {
	if s.remembered.contains(r.ID) {
		s.remembered.remove(r.ID)
		s.host.ForgetKey(r.ID)
	}
}

// keyTable is the set of remembered requests, each with its expiry time.
type keyTable struct {
	entries  []keyEntry // in the order of addition
	ids      map[string]bool
	memoryKB float64 // of all entries
}

// keyEntry is one remembered request.
type keyEntry struct {
	id        string
	expiresAt time.Duration
	memoryKB  float64
	class     *class // with the window that expiresAt follows from; nil unless the class is Idempotent
}

func newKeyTable() keyTable { return keyTable{ids: map[string]bool{}} }

func (t *keyTable) contains(id string) bool { return t.ids[id] }

// add remembers a request, unless its ID is remembered already.
func (t *keyTable) add(e keyEntry) {
	if !t.ids[e.id] {
		t.ids[e.id] = true
		t.entries = append(t.entries, e)
		t.memoryKB += e.memoryKB
	}
}

func (t *keyTable) remove(id string) {
	t.removeIf(func(e keyEntry) bool { return e.id == id })
}

// expire removes the entries that expired before now.
func (t *keyTable) expire(now time.Duration) {
	t.removeIf(func(e keyEntry) bool { return e.expiresAt < now })
}

// removeIf removes the entries for which matches returns true.
func (t *keyTable) removeIf(matches func(keyEntry) bool) {
	remaining := t.entries[:0]
	for _, e := range t.entries {
		if matches(e) {
			delete(t.ids, e.id)
			t.memoryKB -= e.memoryKB
		} else {
			remaining = append(remaining, e)
		}
	}
	t.entries = remaining
}
