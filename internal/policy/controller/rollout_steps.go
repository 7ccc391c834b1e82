package controller

import (
	"fmt"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// rolloutInput is the input of one decision of a rollout.
type rolloutInput struct {
	item      *Item
	spec      RolloutSpec
	progress  RolloutProgress
	servers   []RolloutServer // of the map
	readiness map[string]Readiness
	now       time.Duration
}

// decide returns the next action. Work that was started comes before new work.
func (r *Rollout) decide(in rolloutInput) Action {
	if in.progress.Stopped == "" {
		if reason := r.stopReason(in); reason != "" {
			in.progress.Stopped = reason
			return writeProgress(in.item, in.progress, reason)
		}
	}
	servers := in.progress.Servers
	if i := slices.IndexFunc(servers, func(s RolloutServer) bool { return s.Stage.commandIntended() }); i >= 0 {
		return r.completeCommand(in, i)
	}
	for i := range servers {
		if action, ok := r.returnServer(in, i); ok {
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

// stopReason returns why an unstopped rollout has to stop now, or an empty string if it continues.
func (r *Rollout) stopReason(in rolloutInput) string {
	switch {
	case in.item.Directive == DirectiveAbort:
		return "aborted by an operator"
	case r.lowShareCount >= maxLowShareCount:
		return fmt.Sprintf("%.0f%% of the worth was served, at least %.0f%% has to be",
			100*r.lastLoad.Served/r.lastLoad.Requested, 100*in.spec.MinServedShare)
	}
	return ""
}

// completeCommand returns the next action for server i, whose command is intended. The intent is written in the present epoch, then the
// command is sent until the server accepts it. The command is given up after maxCommandFailures
// and ReturnMS.
func (r *Rollout) completeCommand(in rolloutInput, i int) Action {
	s := in.progress.Servers[i]
	evacuating := s.Stage == Evacuating
	ownIntent := in.item.Epoch == lease.Epoch(r.epoch)
	unreachable := r.failures[s.Name] >= maxCommandFailures && r.timeAtStage(in, s) >= in.spec.returnTimeout()
	switch {
	case r.acknowledged[s.Name] && evacuating:
		return in.setStage(i, Evacuated, "")
	case r.acknowledged[s.Name]:
		return in.setStage(i, Returning, "")
	case evacuating && (!ownIntent || in.item.Step == 0):
		return writeProgress(in.item, in.progress, "") // an earlier holder's intent: written again before the command is sent
	case evacuating && unreachable:
		in.progress.Stopped = s.Name + " can't be told to go out"
		return in.setStage(i, Rejoining, in.progress.Stopped) // the server may have received the command nevertheless
	case unreachable:
		in.progress.Stopped = s.Name + " can't be told to come back"
		return in.setStage(i, Lost, in.progress.Stopped)
	case !evacuating && !ownIntent:
		return writeProgress(in.item, in.progress, "")
	}
	return Action{Kind: SendCommand, Command: ServerCommand{Server: s.Name, Admin: s.Admin, Evacuate: evacuating}}
}

// returnServer returns the next action for server i if it is evacuated or returning; ok is false if there is nothing to do yet.
func (r *Rollout) returnServer(in rolloutInput, i int) (action Action, ok bool) {
	s := in.progress.Servers[i]
	elapsed := r.timeAtStage(in, s)
	dwell, returnTimeout := in.spec.dwell(), in.spec.returnTimeout()
	observed := in.readiness[s.Name]
	reachable := observed.Reachable && observed.ProbedAt > r.stageSince[s.Name]
	switch {
	case s.Stage == Evacuated:
		due := elapsed >= dwell || in.progress.Stopped != ""
		// A server that is restarting gets ReturnMS after its dwell time to become reachable.
		if due && (reachable || elapsed >= dwell+returnTimeout) {
			return in.setStage(i, Rejoining, ""), true
		}
	case s.Stage == Returning && reachable && observed.Ready:
		return in.setStage(i, Returned, ""), true
	case s.Stage == Returning && elapsed >= returnTimeout:
		if in.progress.Stopped == "" {
			in.progress.Stopped = fmt.Sprintf("%s did not come back within %v", s.Name, returnTimeout)
		}
		return in.setStage(i, Lost, in.progress.Stopped), true
	}
	return Action{}, false
}

func (r *Rollout) timeAtStage(in rolloutInput, s RolloutServer) time.Duration {
	return in.now - r.stageSince[s.Name]
}

// finishStopped fails a stopped rollout once no server is out except lost ones.
func (in rolloutInput) finishStopped() Action {
	if slices.ContainsFunc(in.progress.Servers, func(s RolloutServer) bool { return s.Stage.mayBeOut() && s.Stage != Lost }) {
		return Action{}
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: in.item.ID, State: Failed, Note: in.progress.Stopped}}
}

// finish completes a rollout once all of its servers have returned.
func (in rolloutInput) finish() Action {
	if slices.ContainsFunc(in.progress.Servers, func(s RolloutServer) bool { return s.Stage != Returned }) {
		return Action{}
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: in.item.ID, State: Done, Note: fmt.Sprintf("%d servers", len(in.progress.Servers))}}
}

// evacuateNext evacuates the first server that mayEvacuate allows, unless an operator has paused the rollout.
func (in rolloutInput) evacuateNext() Action {
	if in.item.Directive == DirectivePause {
		return Action{}
	}
	for i, s := range in.progress.Servers {
		if s.Stage == NotStarted && in.mayEvacuate(s) {
			return in.setStage(i, Evacuating, "")
		}
	}
	return Action{}
}

// setStage returns the write of server i's next stage. It leaves in.progress unchanged.
func (in rolloutInput) setStage(i int, stage Stage, note string) Action {
	p := in.progress
	p.Servers = slices.Clone(p.Servers)
	p.Servers[i].Stage = stage
	return writeProgress(in.item, p, note)
}

// maxReadinessAge is how long an observation of readiness is valid. Probes are sent several times a second and time out after a second,
// so a single lost probe does not make a server count as out, and a restart does.
const maxReadinessAge = 3 * time.Second

// mayEvacuate reports whether the server next may be evacuated within the bounds of the spec. It uses the stages of the rollout's
// servers and the observations of all servers of the map.
//
// A server that was not observed ready within maxReadinessAge counts as out. This applies to the servers of the rollout, to
// other servers of the map, and to all servers right after a holder starts or resumes. So the bounds hold for the capacity that is actually in service.
func (in rolloutInput) mayEvacuate(next RolloutServer) bool {
	if !in.observedReady(next.Name) {
		return false // not ready: it counts as out already
	}
	out, outInCell := 0, 0
	count := func(s RolloutServer, mayBeOut bool) {
		if s.Name != next.Name && (mayBeOut || !in.observedReady(s.Name)) {
			out++
			if s.Cell == next.Cell {
				outInCell++
			}
		}
	}
	for _, s := range in.progress.Servers {
		count(s, s.Stage.mayBeOut())
	}
	for _, s := range in.servers {
		if s.Admin != "" && !slices.ContainsFunc(in.progress.Servers, func(o RolloutServer) bool { return o.Name == s.Name }) {
			count(s, false)
		}
	}
	return out < in.spec.MaxOut && outInCell < in.spec.MaxOutPerCell
}

// observedReady reports whether a server was ready at its last probe and the probe is at most maxReadinessAge old.
func (in rolloutInput) observedReady(name string) bool {
	observed := in.readiness[name]
	return observed.ProbedAt > 0 && in.now-observed.ProbedAt <= maxReadinessAge && observed.Reachable && observed.Ready
}
