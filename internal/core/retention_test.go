package core

import (
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
)

// Guards against a second run after the terms of a class became longer: the key expired by the terms under which it was added. It does
// not matter whether the request was queued or had run, and whether its class has another name or several.
func TestKeysFollowLongerTerms(t *testing.T) {
	long := idempotency.Terms{Window: 3 * idempotentClass.IdempotencyWindow, Deadline: 2 * idempotentClass.Deadline}
	lastRead := long.Window + long.Deadline // when the last attempt inside the window may be read
	for name, c := range map[string]struct {
		terms  idempotency.ClassTerms
		queued bool // the request starts after the change
		want   bool // it is still known at lastRead
	}{
		"after its run":       {idempotency.ClassTerms{"oddaja": long}, false, true},
		"queued":              {idempotency.ClassTerms{"oddaja": long}, true, true},
		"renamed class":       {idempotency.ClassTerms{"oddaja-next": long}, false, true},
		"another class":       {idempotency.ClassTerms{"oddaja": termsOf(idempotentClass), "other": long}, false, false},
		"longer, and shorter": {idempotency.ClassTerms{"oddaja": {Window: time.Second, Deadline: time.Second}}, false, false},
	} {
		k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
		k.setTerms(idempotency.ClassTerms{"oddaja": termsOf(idempotentClass)})
		first := attemptAt("a", t0)
		k.resolve(first, 0, t0)
		if !c.queued {
			k.markStarted(first)
			k.markEnded(first.execution, silverpath.OK, nil, t0)
		}
		k.setTerms(c.terms)
		if c.queued {
			k.markStarted(first)
			k.markEnded(first.execution, silverpath.OK, nil, t0)
		}
		k.evictExpired(t0.Add(lastRead))
		late := attemptAt("b", t0.Add(long.Window))
		late.class.IdempotencyWindow = long.Window
		if k.resolve(late, 0, t0.Add(lastRead)); (late.duplicateOf == first.execution) != c.want {
			t.Errorf("%s: the late attempt is a duplicate: %v, want %v", name, late.duplicateOf != nil, c.want)
		}
	}
}

// Guards against a second run after the window of a class became shorter: a run is judged by the window that it ran under.
func TestKeysKeepTheirWindow(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := attemptAt("a", t0)
	k.resolve(first, 0, t0)
	k.markStarted(first)
	k.markEnded(first.execution, silverpath.OK, nil, t0)
	k.setTerms(idempotency.ClassTerms{"oddaja": {Window: time.Second, Deadline: time.Second}})
	receivedAt := t0.Add(idempotentClass.IdempotencyWindow)
	k.evictExpired(receivedAt)
	late := attemptAt("b", receivedAt)
	late.class.IdempotencyWindow = time.Second
	if k.resolve(late, 0, receivedAt); late.duplicateOf != first.execution {
		t.Error("an attempt within the window of the run is not a duplicate")
	}
}

// Guards against a run of a key here while a router has it run elsewhere: the time for which the key is moved follows longer terms too.
func TestMovedKeysFollowLongerTerms(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	question := attemptAt("a", t0)
	question.OnlyIfKnown = true
	k.resolve(question, 0, t0)
	long := idempotency.Terms{Window: 3 * idempotentClass.IdempotencyWindow, Deadline: idempotentClass.Deadline}
	k.setTerms(idempotency.ClassTerms{"oddaja": long})
	late := attemptAt("b", t0.Add(long.Window))
	k.evictExpired(late.ReceivedAt)
	if k.resolve(late, 0, late.ReceivedAt); late.movedReason != ReasonMoved {
		t.Errorf("the key may run here: reason %q, want %q", late.movedReason, ReasonMoved)
	}
}
