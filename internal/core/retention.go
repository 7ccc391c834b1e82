package core

import (
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
)

// Keys are retained by the longest terms of their class that were in force since their first attempt arrived. So a reload that changes a
// class's window or deadline neither forgets a run that a client may still repeat, nor judges it by a window that is shorter than the
// one it ran under.

// classTerms returns the terms of the idempotent classes.
func classTerms(classes []silverpath.Class) idempotency.ClassTerms {
	terms := idempotency.ClassTerms{}
	for _, class := range classes {
		if class.Effect == silverpath.Idempotent {
			terms[class.Name] = termsOf(class)
		}
	}
	return terms
}

func termsOf(class silverpath.Class) idempotency.Terms {
	return idempotency.Terms{Window: class.IdempotencyWindow, Deadline: class.Deadline}
}

// retentionOf returns how long after the arrival of a run a further attempt of its request may still be read: the last attempt within the
// window is past its deadline then, even if it is read late.
func retentionOf(terms idempotency.Terms) time.Duration {
	return terms.Window + terms.Deadline + readDelay
}

// noteClass records the class of an attempt of the key.
func (e *keyEntry) noteClass(class silverpath.Class) {
	if e.class != class.Name {
		e.class = ""
	}
	e.terms = e.terms.Max(termsOf(class))
}

// retain keeps the entry for as long as its latest run may be repeated, and while the key runs elsewhere.
func (e *keyEntry) retain() {
	retention := retentionOf(e.terms)
	if !e.movedAt.IsZero() {
		e.movedUntil = maxTime(e.movedUntil, e.movedAt.Add(retention))
		e.expiresAt = maxTime(e.expiresAt, e.movedUntil)
	}
	if e.latest != nil && !e.isRead {
		e.expiresAt = maxTime(e.expiresAt, e.latest.receivedAt.Add(retention))
	}
}

// extend applies the terms of the classes in force to the entry. It does nothing if they are not longer than those that the entry is
// retained by.
func (k *keyTable) extend(e *keyEntry) {
	e.terms = e.terms.Max(k.terms.Of(e.class))
	e.retain()
}

// setTerms sets the terms of the classes in force and applies them to the keys of all idempotent requests.
func (k *keyTable) setTerms(terms idempotency.ClassTerms) {
	k.terms = terms
	for _, e := range k.entries {
		if !e.isRead {
			k.extend(e)
		}
	}
}
