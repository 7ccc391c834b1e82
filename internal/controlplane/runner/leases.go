package runner

import (
	"context"
	"strings"
	"time"

	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

const (
	// leaseInterval is the pause between two looks at a lease: short beside a sixth of a lease, by which requests are made.
	leaseInterval = 20 * time.Millisecond
	// releaseGrace is how long a runner that ends waits for its duties to be released. A release that is lost costs a lease.
	releaseGrace = requestTimeout / 2
	// answerQueueLength bounds answers of the group that wait: more than can be asked for in requestTimeout.
	answerQueueLength = 16
)

// leaseAnswer is the group's answer to a request.
type leaseAnswer struct {
	requestedAt time.Duration
	request     lease.Request
	duty        lease.Duty
	refused     bool
}

// holds reports whether the duty is held now, and by which epoch.
func (d *duty) holds() (lease.Epoch, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder.Holds(d.clock())
}

// beginAction reports whether the duty is still held; then it is not released to a successor before endAction.
func (d *duty) beginAction() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, d.acting = d.holder.Holds(d.clock())
	return d.acting
}

func (d *duty) endAction() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acting = false
}

// release lets the duty go; with requeue the process waits for it again.
func (d *duty) release(requeue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holder.Release(d.clock(), requeue)
}

// leaseStep is what a look at a lease came to.
type leaseStep struct {
	now     time.Duration
	state   lease.HolderState
	epoch   lease.Epoch
	holds   bool
	request lease.Request // to be made now, if due
	due     bool
	lostAgo time.Duration // since when the duty is not held
}

// lookAtLease releases a duty that is to go to a successor, between two actions, and returns what to ask of the group.
func (d *duty) lookAtLease() (s leaseStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.now = d.clock()
	s.state = d.holder.State(s.now)
	if s.state == lease.Holding && d.holder.TransferRequested() && !d.acting {
		d.holder.Release(s.now, true)
	}
	s.epoch, s.holds = d.holder.Holds(s.now)
	s.request, s.due = d.holder.NextRequest(s.now)
	s.lostAgo = s.now - d.holder.LostAt()
	return s
}

// keepLease keeps the lease, whatever the duty's work waits for. When the context ends the duty is released, within releaseGrace.
func (d *duty) keepLease(ctx context.Context) {
	answers := make(chan leaseAnswer, answerQueueLength)
	tick := time.NewTicker(leaseInterval)
	defer tick.Stop()
	wasHeld, ending := false, ctx.Done()
	graceOver := make(<-chan time.Time)
	for {
		select {
		case <-ending:
			ending = nil
			d.release(false)
			graceOver = time.After(releaseGrace)
		case <-graceOver:
			return
		case a := <-answers:
			d.mu.Lock()
			d.holder.HandleAnswer(a.requestedAt, a.request, a.duty, a.refused, d.clock())
			d.mu.Unlock()
		case <-tick.C:
		}
		s := d.lookAtLease()
		if s.holds != wasHeld {
			wasHeld = s.holds
			d.logHolding(s)
		}
		if s.state == lease.Stopped && ending == nil {
			return
		}
		if s.due {
			go d.requestLease(s.now, s.request, answers)
		}
	}
}

// logHolding logs that the duty has come to be held, or is not held any more.
func (d *duty) logHolding(s leaseStep) {
	event, line := "duty.owned", d.log.Info()
	if !s.holds { // on a loaded machine, or after a stop, it may be noticed late
		event, line = "duty.lost", line.Dur("ago", s.lostAgo)
	}
	line.Str("event", event).Stringer("epoch", s.epoch).Send()
	d.cfg.Stats.Inc(strings.ReplaceAll(event, ".", "_"), d.name)
}

// requestLease makes a request about the lease. It ends with the answer, or requestTimeout: then the lease runs out by itself. It does not
// end with the runner's context, as the release is asked for after that.
func (d *duty) requestLease(now time.Duration, request lease.Request, answers chan<- leaseAnswer) {
	asking, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := d.cfg.Group.Do(asking, statemachine.Command{Lease: &request})
	if err != nil || r.Duty == nil {
		return
	}
	select {
	case answers <- leaseAnswer{now, request, *r.Duty, r.Error != ""}:
	default: // as if it were lost
	}
}
