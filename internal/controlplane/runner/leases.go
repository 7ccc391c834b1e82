package runner

import (
	"context"
	"strings"
	"time"

	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

const (
	// leaseInterval is the interval of lease checks. It is short compared to a sixth of a lease, the interval of renewals.
	leaseInterval = 20 * time.Millisecond
	// releaseGrace is how long a stopping runner waits for the release of its duties. If the release is lost, the duty stays
	// without a holder until the lease expires.
	releaseGrace = requestTimeout / 2
	// answerQueueLength bounds the queue of the group's answers. It exceeds the number of requests in requestTimeout.
	answerQueueLength = 16
)

// leaseAnswer is the group's answer to a lease request.
type leaseAnswer struct {
	requestedAt time.Duration
	request     lease.Request
	duty        lease.Duty
	refused     bool
}

// holds returns the epoch of the lease and whether this process holds the duty now.
func (d *duty) holds() (lease.Epoch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Holds(d.clock())
}

// beginAction reports whether this process still holds the duty. If so, the duty is not released to a successor before
// endAction is called.
func (d *duty) beginAction() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, d.actionInProgress = d.holder.Holds(d.clock())
	return d.actionInProgress
}

// endAction allows the release of the duty to a successor again.
func (d *duty) endAction() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.actionInProgress = false
}

// release releases the duty. With requeue the process applies for it again.
func (d *duty) release(requeue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Release(d.clock(), requeue)
}

// leaseStep is the state of a lease after a check, and the request that is due.
type leaseStep struct {
	now       time.Duration
	state     lease.HolderState
	epoch     lease.Epoch
	holds     bool
	request   lease.Request // valid if due
	due       bool
	sinceLost time.Duration // time since the lease was lost
}

// checkLease returns the state of the lease and the request that is due. It first releases the duty if a transfer to a
// successor was requested and no action is in progress.
func (d *duty) checkLease() (s leaseStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.now = d.clock()
	s.state = d.holder.State(s.now)
	if s.state == lease.Holding && d.holder.TransferRequested() && !d.actionInProgress {
		d.holder.Release(s.now, true)
	}
	s.epoch, s.holds = d.holder.Holds(s.now)
	s.request, s.due = d.holder.NextRequest(s.now)
	s.sinceLost = s.now - d.holder.LostAt()
	return s
}

// maintainLease acquires and renews the lease independently of the duty's work. When the context ends it releases the duty,
// waiting at most releaseGrace.
func (d *duty) maintainLease(ctx context.Context) {
	answers := make(chan leaseAnswer, answerQueueLength)
	tick := time.NewTicker(leaseInterval)
	defer tick.Stop()
	previouslyHeld, stopRequested := false, ctx.Done()
	graceExpired := make(<-chan time.Time)
	for {
		select {
		case <-stopRequested:
			stopRequested = nil
			d.release(false)
			graceExpired = time.After(releaseGrace)
		case <-graceExpired:
			return
		case a := <-answers:
			d.mu.Lock()
			d.holder.HandleAnswer(a.requestedAt, a.request, a.duty, a.refused, d.clock())
			d.mu.Unlock()
		case <-tick.C:
		}
		s := d.checkLease()
		if s.holds != previouslyHeld {
			previouslyHeld = s.holds
			d.logOwnership(s)
		}
		if s.state == lease.Stopped && stopRequested == nil {
			return
		}
		if s.due {
			go d.requestLease(s.now, s.request, answers)
		}
	}
}

// logOwnership logs and counts that this process has acquired or lost the duty.
func (d *duty) logOwnership(s leaseStep) {
	event, entry := "duty.owned", d.log.Info()
	if !s.holds { // a loaded machine or a suspended process notices the loss late
		event, entry = "duty.lost", entry.Dur("ago", s.sinceLost)
	}
	entry.Str("event", event).Stringer("epoch", s.epoch).Send()
	d.cfg.Stats.Inc(strings.ReplaceAll(event, ".", "_"), d.name)
}

// requestLease sends a lease request to the group and queues the answer. Without an answer within requestTimeout the lease
// expires by itself. The request does not use the runner's context, because the release is sent after that context ends.
func (d *duty) requestLease(requestedAt time.Duration, request lease.Request, answers chan<- leaseAnswer) {
	requestCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := d.cfg.Group.Do(requestCtx, statemachine.Command{Lease: &request})
	if err != nil || r.Duty == nil {
		return
	}
	select {
	case answers <- leaseAnswer{requestedAt, request, *r.Duty, r.Error != ""}:
	default: // the queue is full: treated like a lost answer
	}
}
