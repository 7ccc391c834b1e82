package controller

import (
	"fmt"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// rolloutInput is what one decision of a rollout goes by.
type rolloutInput struct {
	item      *Item
	spec      RolloutSpec
	progress  RolloutProgress
	servers   []RolloutServer // of the map
	readiness map[string]Readiness
	now       time.Duration
}

// decide returns the first thing to do, what was begun before what is new.
func (c *Rollout) decide(in rolloutInput) Action {
	if in.progress.Stopped == "" {
		if reason := c.stopReason(in); reason != "" {
			in.progress.Stopped = reason
			return writeProgress(in.item, in.progress, reason)
		}
	}
	servers := in.progress.Servers
	if i := slices.IndexFunc(servers, func(s RolloutServer) bool { return s.Stage.commandIntended() }); i >= 0 {
		return c.settleCommand(in, i)
	}
	for i := range servers {
		if action, ok := c.bringBack(in, i); ok {
			return action
		}
	}
	if in.progress.Stopped != "" {
		return in.finishStopped()
	}
	if !slices.ContainsFunc(servers, func(s RolloutServer) bool { return s.Stage == NotStarted }) {
		return in.finish()
	}
	return in.evacuateNext()
}

// stopReason is why a rollout that goes on has to stop now; empty: it has not.
func (c *Rollout) stopReason(in rolloutInput) string {
	switch {
	case in.item.Directive == DirectAbort:
		return "aborted by an operator"
	case c.lowInARow >= maxLowInARow:
		return fmt.Sprintf("%.0f%% of the worth was served, at least %.0f%% has to be",
			100*c.lastLoad.Served/c.lastLoad.Requested, 100*in.spec.MinServedShare)
	}
	return ""
}

// settleCommand goes on with the command of a server for which one is intended: it is written by the present epoch, sent until the
// server has carried it out, and given up after maxCommandFailures.
func (c *Rollout) settleCommand(in rolloutInput, i int) Action {
	s := in.progress.Servers[i]
	evacuating := s.Stage == Evacuating
	ownIntent := in.item.Epoch == lease.Epoch(c.epoch)
	unreachable := c.failures[s.Name] >= maxCommandFailures && c.sinceStage(in, s) >= in.spec.returnWithin()
	switch {
	case c.acknowledged[s.Name] && evacuating:
		return in.moveTo(i, Evacuated, "")
	case c.acknowledged[s.Name]:
		return in.moveTo(i, Returning, "")
	case evacuating && (!ownIntent || in.item.Step == 0):
		return writeProgress(in.item, in.progress, "") // intended by an earlier holder: by this one too, before it is sent again
	case evacuating && unreachable:
		in.progress.Stopped = s.Name + " can't be told to go out"
		return in.moveTo(i, Rejoining, in.progress.Stopped) // it may have got the command all the same
	case unreachable:
		in.progress.Stopped = s.Name + " can't be told to come back"
		return in.moveTo(i, Lost, in.progress.Stopped)
	case !evacuating && !ownIntent:
		return writeProgress(in.item, in.progress, "")
	}
	return Action{Kind: SendCommand, Command: ServerCommand{Server: s.Name, Admin: s.Admin, Evacuate: evacuating}}
}

// bringBack goes on with a server that is out, or on its way back; ok is false where there is nothing to do but wait.
func (c *Rollout) bringBack(in rolloutInput, i int) (action Action, ok bool) {
	s := in.progress.Servers[i]
	elapsed := c.sinceStage(in, s)
	dwell, within := in.spec.dwell(), in.spec.returnWithin()
	observed := in.readiness[s.Name]
	reachable := observed.Reachable && observed.ProbedAt > c.stageSince[s.Name]
	switch {
	case s.Stage == Evacuated:
		due := elapsed >= dwell || in.progress.Stopped != ""
		// One that is restarted meanwhile is waited for, as long as one that returns is.
		if due && (reachable || elapsed >= dwell+within) {
			return in.moveTo(i, Rejoining, ""), true
		}
	case s.Stage == Returning && reachable && observed.Ready:
		return in.moveTo(i, Returned, ""), true
	case s.Stage == Returning && elapsed >= within:
		if in.progress.Stopped == "" {
			in.progress.Stopped = fmt.Sprintf("%s did not come back within %v", s.Name, within)
		}
		return in.moveTo(i, Lost, in.progress.Stopped), true
	}
	return Action{}, false
}

func (c *Rollout) sinceStage(in rolloutInput, s RolloutServer) time.Duration {
	return in.now - c.stageSince[s.Name]
}

// finishStopped fails a rollout that has stopped, once nobody is out any more but servers that are lost.
func (in rolloutInput) finishStopped() Action {
	if slices.ContainsFunc(in.progress.Servers, func(s RolloutServer) bool { return s.Stage.maybeOut() && s.Stage != Lost }) {
		return Action{}
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: in.item.ID, State: Failed, Note: in.progress.Stopped}}
}

// finish ends a rollout all of whose servers have returned.
func (in rolloutInput) finish() Action {
	if slices.ContainsFunc(in.progress.Servers, func(s RolloutServer) bool { return s.Stage != Returned }) {
		return Action{}
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: in.item.ID, State: Done, Note: fmt.Sprintf("%d servers", len(in.progress.Servers))}}
}

// evacuateNext evacuates the first server that may be, unless an operator has paused the rollout.
func (in rolloutInput) evacuateNext() Action {
	if in.item.Directive == DirectPause {
		return Action{}
	}
	for i, s := range in.progress.Servers {
		if s.Stage == NotStarted && in.mayEvacuate(s) {
			return in.moveTo(i, Evacuating, "")
		}
	}
	return Action{}
}

// moveTo writes a server's next stage. The progress that was read is left as it is.
func (in rolloutInput) moveTo(i int, stage Stage, note string) Action {
	p := in.progress
	p.Servers = slices.Clone(p.Servers)
	p.Servers[i].Stage = stage
	return writeProgress(in.item, p, note)
}

// maxReadinessAge is how long an observation says that a server is there: probes go out several times a second, and one is given up
// after a second, so it takes more than one lost probe and less than a restart.
const maxReadinessAge = 3 * time.Second

// mayEvacuate reports whether one more server may be out. Its inputs are the spec's bounds, the stages of the rollout's servers, and
// what was observed of all servers of the map.
//
// A server that was not observed ready within maxReadinessAge counts as out: one that this rollout evacuated, one of the map that is no
// part of it, and all of them as a holder begins or wakes up. So the bounds hold for the capacity that is really there.
func (in rolloutInput) mayEvacuate(next RolloutServer) bool {
	if !in.observedReady(next.Name) {
		return false // it is not there to be evacuated
	}
	out, outInCell := 0, 0
	count := func(s RolloutServer, maybeOut bool) {
		if s.Name != next.Name && (maybeOut || !in.observedReady(s.Name)) {
			out++
			if s.Cell == next.Cell {
				outInCell++
			}
		}
	}
	for _, s := range in.progress.Servers {
		count(s, s.Stage.maybeOut())
	}
	for _, s := range in.servers {
		if s.Admin != "" && !slices.ContainsFunc(in.progress.Servers, func(o RolloutServer) bool { return o.Name == s.Name }) {
			count(s, false)
		}
	}
	return out < in.spec.MaxOut && outInCell < in.spec.MaxOutPerCell
}

// observedReady reports whether a server was ready when it was probed, and that was of late.
func (in rolloutInput) observedReady(name string) bool {
	o := in.readiness[name]
	return o.ProbedAt > 0 && in.now-o.ProbedAt <= maxReadinessAge && o.Reachable && o.Ready
}
