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
	idleInterval = 250 * time.Millisecond // between reads of an empty journal; bounds the delay before a queued item starts
	busyInterval = 20 * time.Millisecond  // between steps of an active rollout, which depend on the servers' current readiness
	// clockTolerance is the resolution of the group's time, which is reported in whole milliseconds.
	clockTolerance = time.Millisecond
)

// errClock reports that this process's clock differs from the group leader's by more than the map allows. The times in a
// plan made with such a clock would be wrong for the routers.
var errClock = errors.New("the clock differs from the group's")

// work carries out the duty's actions while this process holds its lease, until the context ends.
func (d *duty) work(ctx context.Context) {
	for ctx.Err() == nil {
		epoch, held := d.holds()
		if !held {
			sleep(ctx, leaseInterval)
			continue
		}
		wait := idleInterval
		acted, err := d.actOnce(ctx, epoch)
		switch {
		case errors.Is(err, errClock): // the clock of another process may be within the limit
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
		sleep(ctx, wait)
	}
}

// logError logs an error that blocks the duty's work, unless it is the error that was logged last. A success does not reset
// this: the same error after it is not logged again.
func (d *duty) logError(err error) {
	if text := err.Error(); text != d.loggedError {
		d.loggedError = text
		d.log.Warn().Str("event", "duty.held_up").Err(err).Send()
	}
}

// actOnce reads the duty's journal, asks its controller for the next action and carries it out. It reports whether an
// action was made.
func (d *duty) actOnce(ctx context.Context, epoch lease.Epoch) (acted bool, err error) {
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	requestedAt := time.Now()
	view, err := d.cfg.Group.Read(requestCtx, d.name)
	cancel()
	if err != nil {
		return false, err
	}
	clockOffset := WallClock().Sub(time.UnixMilli(view.Wall)).Abs() - time.Since(requestedAt) - clockTolerance
	if err := view.Table.CheckHolder(d.name, d.process, epoch); err != nil {
		return false, err
	}
	j := view.Journals[d.name]
	if j == nil {
		return false, errors.New("the group has no journal of this duty")
	}
	paused := view.Table.Duties[d.name].PauseReason != ""
	action, err := d.decide(j, epoch, paused, clockOffset)
	if err != nil || action.Kind == controller.Idle {
		return false, err
	}
	BoundaryHook(d.name, "check", j.Step)
	if !d.beginAction() {
		return false, nil // the lease has expired, for example because the process was suspended
	}
	defer d.endAction()
	return d.perform(ctx, j, epoch, action)
}

// decide returns the next action of the duty's controller. It reads the published map for every duty, as probes and health
// verdicts need its servers.
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
		return controller.Action{}, d.reportVerdicts(paused)
	}
	return controller.Action{}, nil
}

// perform performs an action and reports whether it was performed. A command that the server refused was not.
func (d *duty) perform(ctx context.Context, j *controller.Journal, epoch lease.Epoch, action controller.Action) (bool, error) {
	switch action.Kind {
	case controller.WriteJournal:
		BoundaryHook(d.name, "write", j.Step)
		return true, d.writeJournal(ctx, j, epoch, action.Write)
	case controller.Publish, controller.Withdraw:
		BoundaryHook(d.name, "intent", j.Step)
		if err := d.putVersion(j, epoch, action); err != nil {
			return false, err
		}
		BoundaryHook(d.name, "act", j.Step)
		return true, nil
	case controller.SendCommand:
		item := j.Current()
		BoundaryHook(d.name, "intent", item.Step)
		accepted := d.sendCommand(ctx, epoch, item.Step, action.Command)
		BoundaryHook(d.name, "act", item.Step)
		return accepted, nil
	}
	return false, nil
}

// writeJournal writes an entry to the duty's journal with this holder's epoch and the next step number.
func (d *duty) writeJournal(ctx context.Context, j *controller.Journal, epoch lease.Epoch, w controller.JournalWrite) error {
	w.Duty, w.Process, w.Epoch, w.Step = d.name, d.process, epoch, j.Step+1
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := d.cfg.Group.Do(requestCtx, statemachine.Command{Journal: &w})
	if err != nil {
		return err // the next read of the journal shows whether the entry was written
	}
	if reply.Error != "" {
		d.cfg.Stats.Inc("duty_refused", d.name, reply.ErrorKind)
		d.log.Warn().Str("event", "duty.refused").Stringer("epoch", epoch).Uint64("step", w.Step).Str("why", reply.Error).Send()
		return errors.New(reply.Error)
	}
	d.log.Info().Str("event", "duty.step").Stringer("epoch", epoch).Uint64("step", w.Step).Str("item", w.Item).
		Str("state", string(w.State)).Str("note", w.Note).Send()
	return nil
}

// putVersion writes a version of the map: its text to publish it, the withdrawn mark to withdraw it. A version that already
// exists is not an error: the next read shows its content.
func (d *duty) putVersion(j *controller.Journal, epoch lease.Epoch, action controller.Action) error {
	err := d.maps.Put(action.Version, action.Raw)
	if err != nil && !errors.Is(err, proxy.ErrVersionTaken) {
		d.putFailures++
		d.cfg.Stats.Inc("duty_failed", d.name)
		return fmt.Errorf("%v: %w", action.Kind, err)
	}
	d.putFailures = 0
	// The event is placement.publish or placement.withdraw.
	d.log.Info().Str("event", "placement."+action.Kind.String()).Stringer("epoch", epoch).Uint64("step", j.Step).Int("version", action.Version).Send()
	return nil
}
