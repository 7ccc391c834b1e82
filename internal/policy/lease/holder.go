package lease

import "time"

// HolderState is what a process is to a duty.
type HolderState int

// States of a process towards a duty.
const (
	Waiting   HolderState = iota // it asks to hold the duty
	Holding                      // it holds it, and may begin actions
	Releasing                    // it asks to be let go, and begins nothing more
	Stopped                      // it neither holds the duty nor asks for it
)

// How often a process asks, as parts of the TTL.
const (
	renewalsPerTTL = 3 // two renewals in a row may be lost before a lease is
	acquiresPerTTL = 6 // a process that waits is known to be there, and learns soon that it has come to hold
)

// Holder is the side of a process that wants to hold a duty. Its times are those of the process's own monotonic clock.
//
// Rules. The process holds the duty for HolderTTL from before the request that was granted or renewed, whatever else it knows; then it
// stops by itself. Once it has asked to be let go, or was refused, no answer gives that epoch back to it: one may have been on its way.
type Holder struct {
	Duty, Process string

	terms             Terms
	state             HolderState
	epoch             Epoch
	expiresAt         time.Duration // it holds the duty until then
	requestedAt       time.Duration // of its last request; under 0: it is to ask at once
	wantsDuty         bool          // it is to hold the duty where it can
	transferRequested bool          // an operator has named a successor
	lostAt            time.Duration // when it last ceased to hold
	endedEpoch        Epoch         // answers about this epoch, or a lower one, are from before it ended
}

// NewHolder returns the side of a process that waits. Process names one start of it: what comes back under the process's name is
// another one.
func NewHolder(duty, process string, t Terms) *Holder {
	return &Holder{Duty: duty, Process: process, terms: t, requestedAt: -1, wantsDuty: true}
}

// State returns what the process is to the duty now, after ending a lease that is over.
func (h *Holder) State(now time.Duration) HolderState {
	if (h.state == Holding || h.state == Releasing) && now >= h.expiresAt {
		h.endLease(h.expiresAt)
	}
	return h.state
}

func (h *Holder) endLease(at time.Duration) {
	h.lostAt = at
	h.epoch, h.expiresAt, h.transferRequested = 0, 0, false
	if h.state = Waiting; !h.wantsDuty {
		h.state = Stopped
	}
}

// Holds returns the epoch by which the process holds the duty, and whether it does and may begin an action. It is asked before each
// action. As a process can be stopped between that and the action, whoever takes the action's effect checks the epoch again: see
// package fence.
func (h *Holder) Holds(now time.Duration) (Epoch, bool) {
	return h.epoch, h.State(now) == Holding
}

// LostAt is when the process last ceased to hold the duty, which may be noticed later.
func (h *Holder) LostAt() time.Duration { return h.lostAt }

// TransferRequested reports whether the holder is to release the duty to a successor, which it does between two actions.
func (h *Holder) TransferRequested() bool { return h.transferRequested }

// Release lets the duty go, or ends waiting for it. With requeue the process waits for it again.
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

// NextRequest returns what to ask of the group now, and whether there is anything to ask.
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
		h.endedEpoch = max(h.endedEpoch, h.epoch) // from here on it may be somebody else's, whether or not an answer comes
		return Request{Op: Release, Duty: h.Duty, Process: h.Process, Epoch: h.epoch}, true
	}
	return Request{Op: Acquire, Duty: h.Duty, Process: h.Process}, true
}

// HandleAnswer takes the group's answer to a request: the duty as the group has it, or that the request was refused. RequestedAt is
// when the request was made, as the lease counts from there. It returns whether the process has come to hold the duty, or has lost it.
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
	case d.Epoch < h.epoch || d.Epoch <= h.endedEpoch: // delayed on its way: it says nothing of now
	case h.state == Waiting || h.state == Holding:
		h.extend(requestedAt, d, now)
	}
	isHolding := h.State(now) == Holding
	return isHolding && !wasHolding, wasHolding && !isHolding
}

// extend has the process hold the duty by the lease of an answer, unless that is over already.
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
