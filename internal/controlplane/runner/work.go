package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
)

const (
	idleInterval = 250 * time.Millisecond // between two looks at a journal without work: a request is begun soon after it is queued
	busyInterval = 20 * time.Millisecond  // between two looks at a rollout under way, which goes by what servers show meanwhile
	// clockTolerance is the part of a difference of clocks that says nothing: the group tells its time in whole milliseconds.
	clockTolerance = time.Millisecond
)

// errClock says that this process's clock and that of the group's leader differ by more than the map allows. What is planned by such a
// clock is for another time than the routers'.
var errClock = errors.New("the clock differs from the group's")

// work does what is to be done while the duty is held.
func (d *duty) work(ctx context.Context) {
	for ctx.Err() == nil {
		epoch, holds := d.holds()
		if !holds {
			pause(ctx, leaseInterval)
			continue
		}
		wait := idleInterval
		acted, err := d.actOnce(ctx, epoch)
		switch {
		case errors.Is(err, errClock): // another process may have a better one
			d.logError(err)
			d.release(true)
			wait = requestTimeout
		case err != nil:
			d.logError(err)
		case acted:
			wait = 0
		case d.name == controller.RolloutDuty && d.isRolloutActive():
			wait = busyInterval
		}
		pause(ctx, wait)
	}
}

// logError logs what holds the duty's work up, once until it is held up by something else: a success between is not logged, and the same
// error after it is not logged again.
func (d *duty) logError(err error) {
	if text := err.Error(); text != d.lastError {
		d.lastError = text
		d.log.Warn().Str("event", "duty.held_up").Err(err).Send()
	}
}

// actOnce reads the duty's journal, asks its controller for the next action and carries it out. It reports whether there was one.
func (d *duty) actOnce(ctx context.Context, epoch lease.Epoch) (acted bool, err error) {
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	requestedAt := time.Now()
	view, err := d.cfg.Group.Read(asking, d.name)
	cancel()
	if err != nil {
		return false, err
	}
	clockOffset := Wall().Sub(time.UnixMilli(view.Wall)).Abs() - time.Since(requestedAt) - clockTolerance
	if err := view.Table.CheckHolder(d.name, d.process, epoch); err != nil {
		return false, err
	}
	j := view.Journals[d.name]
	if j == nil {
		return false, errors.New("no journal")
	}
	paused := view.Table.Duties[d.name].PauseReason != ""
	action, err := d.decide(j, epoch, paused, clockOffset)
	if err != nil || action.Kind == controller.Idle {
		return false, err
	}
	Boundary(d.name, "check", j.Step)
	if !d.beginAction() {
		return false, nil // it was stopped for so long that it holds nothing any more
	}
	defer d.endAction()
	return d.carryOut(ctx, j, epoch, action)
}

// decide asks the duty's controller what is next. The map that is published is looked at for all of them.
func (d *duty) decide(j *controller.Journal, epoch lease.Epoch, paused bool, clockOffset time.Duration) (controller.Action, error) {
	published, err := d.readPublished()
	if err != nil {
		return controller.Action{}, err
	}
	switch d.name {
	case controller.PlacementDuty:
		return d.decidePlacement(j, published, epoch, paused, clockOffset)
	case controller.RolloutDuty:
		return d.decideRollout(j, epoch, paused), nil
	case controller.MonitorDuty:
		return controller.Action{}, d.reportDeadServers(paused)
	}
	return controller.Action{}, nil
}

// carryOut makes an action. It reports whether it was made.
func (d *duty) carryOut(ctx context.Context, j *controller.Journal, epoch lease.Epoch, action controller.Action) (bool, error) {
	switch action.Kind {
	case controller.WriteJournal:
		Boundary(d.name, "write", j.Step)
		return true, d.writeJournal(ctx, j, epoch, action.Write)
	case controller.Publish, controller.Withdraw:
		Boundary(d.name, "intent", j.Step)
		if err := d.putVersion(j, epoch, action); err != nil {
			return false, err
		}
		Boundary(d.name, "act", j.Step)
		return true, nil
	case controller.SendCommand:
		it := j.Current()
		Boundary(d.name, "intent", it.Step)
		accepted := d.sendCommand(ctx, epoch, it.Step, action.Command)
		Boundary(d.name, "act", it.Step)
		return accepted, nil
	}
	return false, nil
}

// writeJournal writes into the journal, by this holder's epoch and as the next step.
func (d *duty) writeJournal(ctx context.Context, j *controller.Journal, epoch lease.Epoch, w controller.JournalWrite) error {
	w.Duty, w.Process, w.Epoch, w.Step = d.name, d.process, epoch, j.Step+1
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := d.cfg.Group.Do(asking, statemachine.Command{Journal: &w})
	if err != nil {
		return err // whether it is written is noticed with the next look
	}
	if r.Error != "" {
		d.cfg.Stats.Inc("duty_refused", d.name, r.ErrorKind)
		d.log.Warn().Str("event", "duty.refused").Stringer("epoch", epoch).Uint64("step", w.Step).Str("why", r.Error).Send()
		return errors.New(r.Error)
	}
	d.log.Info().Str("event", "duty.step").Stringer("epoch", epoch).Uint64("step", w.Step).Str("item", w.Item).
		Str("state", string(w.State)).Str("note", w.Note).Send()
	return nil
}

// putVersion takes the place of a version of the map, with its text or, to withdraw it, without. A place that is taken is no error:
// what stands there is noticed with the next look.
func (d *duty) putVersion(j *controller.Journal, epoch lease.Epoch, action controller.Action) error {
	err := d.maps.Put(action.Version, action.Raw)
	if err != nil && !errors.Is(err, proxy.ErrVersionTaken) {
		d.putFailures++
		d.cfg.Stats.Inc("duty_failed", d.name)
		return fmt.Errorf("%v: %w", action.Kind, err)
	}
	d.putFailures = 0
	// placement.publish or placement.withdraw
	d.log.Info().Str("event", "placement."+action.Kind.String()).Stringer("epoch", epoch).Uint64("step", j.Step).Int("version", action.Version).Send()
	return nil
}
