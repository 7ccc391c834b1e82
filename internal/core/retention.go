package core

import (
	"maps"

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

// noteClass records the class of an attempt of the key.
func (e *keyEntry) noteClass(class silverpath.Class) {
	if e.class != class.Name {
		e.class = ""
	}
	e.terms = e.terms.Max(termsOf(class))
}

// retain keeps the entry for as long as its latest run may be repeated, and while the key runs elsewhere.
func (e *keyEntry) retain() {
	retention := e.terms.Retention()
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

// setTerms sets the terms of the classes in force and applies them to the keys of all idempotent requests. It returns false if the terms
// have not changed.
func (k *keyTable) setTerms(terms idempotency.ClassTerms) bool {
	if maps.Equal(k.terms, terms) {
		return false
	}
	k.terms = terms
	for _, e := range k.entries {
		if !e.isRead {
			k.extend(e)
		}
	}
	return true
}

// applyTerms applies the terms of the current classes to the keys and to their stored records. It is called under the lock.
func (c *Core) applyTerms() {
	longestBefore := c.keys.terms.Longest().Window
	if !c.keys.setTerms(c.Terms()) {
		return
	}
	c.extendPair(longestBefore)
	if c.store == nil {
		return
	}
	for _, e := range c.keys.entries {
		c.extendRecords(e)
	}
	c.store.TermsChanged()
}

// extendRecords keeps the stored records of a key for as long as the key is retained. It is called under the lock.
func (c *Core) extendRecords(e *keyEntry) {
	if c.store == nil {
		return
	}
	if e.latest != nil && e.latest.recordSeq != 0 {
		c.store.Extend(e.latest.recordSeq, e.expiresAt)
	}
	if e.movedRecord != 0 {
		c.store.Extend(e.movedRecord, e.movedUntil)
	}
}

// Terms returns the terms of the idempotent classes in force.
func (c *Core) Terms() idempotency.ClassTerms { return classTerms(c.settings.Load().Classes) }
