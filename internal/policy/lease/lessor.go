package lease

import (
	"maps"
	"slices"
	"time"
)

// Lessor is the time of the group's leader over the leases: it notes renewals and proposes the end of holdings that were not renewed.
// Its times are those of the leader's own monotonic clock.
//
// Rules. A holding ends LeaderTTL after its last renewal. A new leader takes every holder as renewed at its election, as it can't know
// what the leader before it promised. A holding whose end was proposed is renewed no more: its successor may hold the duty by the time
// the answer arrives. A process that waits is dropped from the queue LeaderTTL after it last asked.
type Lessor struct {
	terms        Terms
	leadingSince time.Duration // under 0: this member does not lead
	renewals     map[string]renewal
	waiters      map[waiter]time.Duration // when each last asked
	expiring     map[string]Epoch         // by duty, the holding whose end was proposed
}

// renewal is what is known of the present holding of a duty.
type renewal struct {
	epoch     Epoch
	renewedAt time.Duration
	grantedAt time.Duration
}

type waiter struct{ duty, process string }

// NewLessor returns the lessor of a member that does not lead.
func NewLessor(t Terms) *Lessor {
	l := &Lessor{terms: t}
	l.Demote()
	return l
}

// Promote is called as the member begins to lead.
func (l *Lessor) Promote(now time.Duration) {
	l.leadingSince, l.renewals, l.waiters, l.expiring = now, map[string]renewal{}, map[waiter]time.Duration{}, map[string]Epoch{}
}

// Demote is called as the member ceases to lead.
func (l *Lessor) Demote() { l.leadingSince, l.renewals, l.waiters, l.expiring = -1, nil, nil, nil }

// Leading reports whether the member leads.
func (l *Lessor) Leading() bool { return l.leadingSince >= 0 }

// RecordWaiter is called as a process asks, or asks again, for a duty that another one holds.
func (l *Lessor) RecordWaiter(duty, process string, now time.Duration) {
	if l.Leading() {
		l.waiters[waiter{duty, process}] = now
	}
}

// Renew is called as a holder asks to go on, and reports whether it may.
//
// Reacquire says that the holder asks as if it did not hold the duty: the answer that granted it was lost. That renews it for one TTL
// after the grant only. Else a holder whose answers are all lost, on a link that works one way, would keep the duty from everybody
// and never act on it.
func (l *Lessor) Renew(duty string, e Epoch, reacquire bool, now time.Duration) bool {
	if !l.Leading() || l.expiring[duty] == e {
		return false
	}
	r := l.renewals[duty]
	if r.epoch != e {
		r = renewal{e, l.leadingSince, l.leadingSince} // granted before this member led
	}
	if reacquire && now-r.grantedAt >= l.terms.TTL {
		return false
	}
	r.renewedAt = now
	l.renewals[duty] = r
	return true
}

// RecordGrant is called with a holding as it is applied.
func (l *Lessor) RecordGrant(duty string, e Epoch, now time.Duration) {
	if l.Leading() && l.renewals[duty].epoch < e {
		l.renewals[duty] = renewal{e, now, now}
	}
}

// Overdue returns what the leader is to propose now: the end of holdings that were not renewed, and of waiting of processes that did
// not ask again. It is called at every tick; each end is returned once, unless ProposalDropped.
func (l *Lessor) Overdue(t *Table, now time.Duration) (requests []Request) {
	if !l.Leading() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.Duties)) {
		d := t.Duties[name]
		for _, process := range d.Queue {
			key := waiter{name, process}
			if now-max(l.waiters[key], l.leadingSince) >= l.terms.LeaderTTL() {
				l.waiters[key] = now // not proposed with every tick
				requests = append(requests, Request{Op: Dequeue, Duty: name, Process: process})
			}
		}
		if l.isOverdue(d, now) {
			l.expiring[name] = d.Epoch
			requests = append(requests, Request{Op: Expire, Duty: name, Epoch: d.Epoch})
		}
	}
	return requests
}

// overdue reports whether the present holding of a duty is to end and that was not proposed yet.
func (l *Lessor) isOverdue(d *Duty, now time.Duration) bool {
	if d.Holder == "" || l.expiring[d.Name] == d.Epoch {
		return false
	}
	lastRenewal := l.leadingSince
	if r := l.renewals[d.Name]; r.epoch == d.Epoch {
		lastRenewal = max(lastRenewal, r.renewedAt)
	}
	return now-lastRenewal >= l.terms.LeaderTTL()
}

// ProposalDropped is called with a request of Overdue that could not be proposed, so that its end is proposed again.
func (l *Lessor) ProposalDropped(r Request) {
	if l.Leading() && r.Op == Expire {
		delete(l.expiring, r.Duty)
	}
}
