package lease

import (
	"maps"
	"slices"
	"time"
)

// Lessor times the leases on the group's leader: it records renewals and proposes the end of holdings that were not renewed. All its
// times are on the leader's own monotonic clock.
//
// Rules: a holding ends LeaderTTL after its last renewal. A new leader treats every holder as renewed at its own election, because it
// does not know what the previous leader granted. A holding whose end was proposed is not renewed any more: its successor may hold the
// duty by the time the answer arrives. A waiting process is removed from the queue LeaderTTL after its last request.
type Lessor struct {
	terms        Terms
	leadingSince time.Duration // negative: this member does not lead
	renewals     map[string]renewal
	waiters      map[waiter]time.Duration // when each last sent a request
	expiring     map[string]Epoch         // by duty, the epoch of the holding whose end was proposed
}

// renewal records when the current holding of a duty was granted and last renewed.
type renewal struct {
	epoch     Epoch
	renewedAt time.Duration
	grantedAt time.Duration
}

// waiter is a process that waits for a duty.
type waiter struct{ duty, process string }

// NewLessor returns the Lessor of a member that does not lead.
func NewLessor(t Terms) *Lessor {
	l := &Lessor{terms: t}
	l.Demote()
	return l
}

// Promote is called when the member becomes the leader.
func (l *Lessor) Promote(now time.Duration) {
	l.leadingSince, l.renewals, l.waiters, l.expiring = now, map[string]renewal{}, map[waiter]time.Duration{}, map[string]Epoch{}
}

// Demote is called when the member stops being the leader.
func (l *Lessor) Demote() { l.leadingSince, l.renewals, l.waiters, l.expiring = -1, nil, nil, nil }

// Leading reports whether the member leads.
func (l *Lessor) Leading() bool { return l.leadingSince >= 0 }

// RecordWaiter is called for each request of a process for a duty that another process holds.
func (l *Lessor) RecordWaiter(duty, process string, now time.Duration) {
	if l.Leading() {
		l.waiters[waiter{duty, process}] = now
	}
}

// Renew is called when a holder requests a renewal. It records the renewal and reports true, or reports false if the
// holding may not be renewed.
//
// Reacquire is set if the holder sent Acquire instead of Renew, because the answer that granted the duty was lost. Such a request
// renews the holding only within one TTL after the grant. Otherwise a holder that receives no answers, on a link that works in one
// direction only, would block the duty for every other process without ever acting on it.
func (l *Lessor) Renew(duty string, e Epoch, reacquire bool, now time.Duration) bool {
	if !l.Leading() || l.expiring[duty] == e {
		return false
	}
	r := l.renewals[duty]
	if r.epoch != e {
		r = renewal{e, l.leadingSince, l.leadingSince} // granted before this member became the leader
	}
	if reacquire && now-r.grantedAt >= l.terms.TTL {
		return false
	}
	r.renewedAt = now
	l.renewals[duty] = r
	return true
}

// RecordGrant is called when a command that may have granted a duty has been applied, with the duty's epoch after it.
func (l *Lessor) RecordGrant(duty string, e Epoch, now time.Duration) {
	if l.Leading() && l.renewals[duty].epoch < e {
		l.renewals[duty] = renewal{e, now, now}
	}
}

// Overdue returns the requests that the leader must propose now: an Expire for each holding that was not renewed, and a Dequeue for each
// waiting process that sent no further request. It is called at every tick. The Expire of a holding is returned once, and again after
// ProposalDropped.
func (l *Lessor) Overdue(t *Table, now time.Duration) (requests []Request) {
	if !l.Leading() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(t.Duties)) {
		d := t.Duties[name]
		for _, process := range d.Queue {
			key := waiter{name, process}
			if now-max(l.waiters[key], l.leadingSince) >= l.terms.LeaderTTL() {
				l.waiters[key] = now // not proposed again until another LeaderTTL has passed
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

// isOverdue reports whether the current holding of a duty must end and its end was not proposed yet.
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

// ProposalDropped is called with a request from Overdue that could not be proposed. Overdue then returns an Expire again.
func (l *Lessor) ProposalDropped(r Request) {
	if l.Leading() && r.Op == Expire {
		delete(l.expiring, r.Duty)
	}
}
