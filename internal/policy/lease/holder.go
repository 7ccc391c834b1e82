package lease

import "time"

// HolderState is the state of a process with respect to a duty.
type HolderState int

// States of a process with respect to a duty.
const (
	Waiting   HolderState = iota // requests the duty and does not hold it
	Holding                      // holds the duty and may begin actions
	Releasing                    // requests its release and begins no more actions
	Stopped                      // neither holds the duty nor requests it
)

// Requests that a process sends per TTL.
const (
	renewalsPerTTL = 3 // a lease survives two lost renewals in a row
	acquiresPerTTL = 6 // keeps a waiting process in the queue, and tells it soon that it was granted the duty
)

// Holder tracks one process's claim on a duty. All its times are on the process's own monotonic clock.
//
// Rules: the process holds the duty for HolderTTL, counted from before it sent the request that granted or renewed the lease, and then
// stops on its own. After it has requested a release, or was refused, no answer restores the same epoch: a delayed answer from before
// the release may still arrive.
type Holder struct {
	Duty, Process string

	terms             Terms
	state             HolderState
	epoch             Epoch
	expiresAt         time.Duration // end of the current lease
	requestedAt       time.Duration // when the last request was sent; negative: the next one is due at once
	wantsDuty         bool          // false: the process stops requesting the duty once it no longer holds it
	transferRequested bool          // an operator has named a successor
	lostAt            time.Duration // when the last holding ended
	endedEpoch        Epoch         // answers with this epoch or a lower one are stale
}

// NewHolder returns a Holder in the state Waiting. Process identifies one start of the process: after a restart it has a different
// identifier.
func NewHolder(duty, process string, t Terms) *Holder {
	return &Holder{Duty: duty, Process: process, terms: t, requestedAt: -1, wantsDuty: true}
}

// State returns the process's state now. It first ends a lease that has expired.
func (h *Holder) State(now time.Duration) HolderState {
	if (h.state == Holding || h.state == Releasing) && now >= h.expiresAt {
		h.endLease(h.expiresAt)
	}
	return h.state
}

// endLease ends the holding as of the time at. The process waits for the duty again if wantsDuty is set and stops otherwise.
func (h *Holder) endLease(at time.Duration) {
	h.lostAt = at
	h.epoch, h.expiresAt, h.transferRequested = 0, 0, false
	if h.state = Waiting; !h.wantsDuty {
		h.state = Stopped
	}
}

// Holds returns the epoch of the current holding, and whether the process holds the duty and may begin an action. It is called before
// each action. Because a process can be paused between this call and the action, the receiver of the action checks the epoch again:
// see package fence.
func (h *Holder) Holds(now time.Duration) (Epoch, bool) {
	return h.epoch, h.State(now) == Holding
}

// LostAt returns when the last holding ended, which can be earlier than the call that detected it.
func (h *Holder) LostAt() time.Duration { return h.lostAt }

// TransferRequested reports whether an operator has named a successor. The holder then releases the duty between two actions.
func (h *Holder) TransferRequested() bool { return h.transferRequested }

// Release begins to release a held duty, or stops waiting for one. If requeue is set, the process waits for the duty again afterwards.
func (h *Holder) Release(now time.Duration, requeue bool) {
	h.wantsDuty = requeue
	switch h.State(now) {
	case Holding:
		h.state, h.requestedAt, h.lostAt = Releasing, -1, now
	case Waiting:
		if !requeue {
			h.state = Stopped
		}
	}
}

// NextRequest returns the request to send to the group now. It reports false if no request is due.
func (h *Holder) NextRequest(now time.Duration) (Request, bool) {
	state := h.State(now)
	interval := h.terms.TTL / renewalsPerTTL
	if state == Waiting {
		interval = h.terms.TTL / acquiresPerTTL
	}
	if state == Stopped || h.requestedAt >= 0 && now-h.requestedAt < interval {
		return Request{}, false
	}
	h.requestedAt = now
	switch state {
	case Holding:
		return Request{Op: Renew, Duty: h.Duty, Process: h.Process, Epoch: h.epoch}, true
	case Releasing:
		h.endedEpoch = max(h.endedEpoch, h.epoch) // once this is sent, another process may hold the duty, even if no answer arrives
		return Request{Op: Release, Duty: h.Duty, Process: h.Process, Epoch: h.epoch}, true
	}
	return Request{Op: Acquire, Duty: h.Duty, Process: h.Process}, true
}

// HandleAnswer processes the group's answer to request r: the duty's state d in the group, and whether the request was refused.
// RequestedAt is when NextRequest returned the request; the lease counts from then. HandleAnswer reports whether the process gained or
// lost the duty.
func (h *Holder) HandleAnswer(requestedAt time.Duration, r Request, d Duty, refused bool, now time.Duration) (gained, lost bool) {
	wasHolding := h.State(now) == Holding
	switch {
	case r.Op == Release:
		h.endedEpoch = max(h.endedEpoch, r.Epoch)
		if h.epoch == r.Epoch {
			h.endLease(now)
		}
	case d.Holder != h.Process || refused:
		if d.Epoch >= h.epoch && (h.state == Holding || h.state == Releasing) {
			h.endedEpoch = max(h.endedEpoch, h.epoch)
			h.endLease(now)
		}
	case d.Epoch < h.epoch || d.Epoch <= h.endedEpoch: // a delayed answer, which does not describe the current state
	case h.state == Waiting || h.state == Holding:
		h.extend(requestedAt, d, now)
	}
	isHolding := h.State(now) == Holding
	return isHolding && !wasHolding, wasHolding && !isHolding
}

// extend applies the lease that an answer granted or renewed, unless it has already expired.
func (h *Holder) extend(requestedAt time.Duration, d Duty, now time.Duration) {
	expiresAt := requestedAt + h.terms.HolderTTL()
	if now >= expiresAt {
		return
	}
	h.state, h.expiresAt = Holding, max(h.expiresAt, expiresAt)
	if h.epoch != d.Epoch {
		h.epoch, h.expiresAt = d.Epoch, expiresAt
	}
	h.transferRequested = d.Successor != "" && d.Successor != h.Process
}
