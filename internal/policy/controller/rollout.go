package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// KindRollout is the kind of requests to Rollout in the journal; args are a RolloutSpec.
const KindRollout = "roll"

// RolloutSpec is an operator's request for a rollout: every server is evacuated, stays out for the dwell time, and rejoins. The spec
// bounds how many servers are out at once.
type RolloutSpec struct {
	Servers        []string `json:"servers,omitempty"` // names; empty: all servers of the map
	MaxOutPerCell  int      `json:"cell_most"`         // maximum number of servers of one cell that are out at once
	MaxOut         int      `json:"all_most"`          // maximum number of servers that are out at once in total
	DwellMS        int64    `json:"dwell_ms"`          // minimum time that each server is out, in milliseconds
	ReturnMS       int64    `json:"back_ms"`           // milliseconds from the rejoin command until the server must be ready
	MinServedShare float64  `json:"worth_least"`       // minimum served share of the requested weight, else the rollout stops; 0: not checked
}

// Check returns an error that names the first invalid field by its name in the journal.
func (r RolloutSpec) Check() error {
	switch {
	case r.MaxOutPerCell < 1:
		return fmt.Errorf("cell_most: under 1: %d", r.MaxOutPerCell)
	case r.MaxOut < 1:
		return fmt.Errorf("all_most: under 1: %d", r.MaxOut)
	case r.DwellMS < 0:
		return fmt.Errorf("dwell_ms: under 0: %d", r.DwellMS)
	case r.ReturnMS <= 0:
		return fmt.Errorf("back_ms: not above 0: %d", r.ReturnMS)
	case !(r.MinServedShare >= 0 && r.MinServedShare <= 1):
		return fmt.Errorf("worth_least: not from 0 to 1: %v", r.MinServedShare)
	}
	return nil
}

func (r RolloutSpec) dwell() time.Duration { return time.Duration(r.DwellMS) * time.Millisecond }

func (r RolloutSpec) returnTimeout() time.Duration {
	return time.Duration(r.ReturnMS) * time.Millisecond
}

// Stage is the progress of a server in a rollout, by its name in the journal.
type Stage string

// Stages of a server, in their order.
const (
	NotStarted Stage = "in"
	Evacuating Stage = "going_out" // the evacuate command is intended, and may have been sent
	Evacuated  Stage = "out"
	Rejoining  Stage = "going_back" // the rejoin command is intended, and may have been sent
	Returning  Stage = "returning"  // the server accepted the rejoin command, and was not observed ready yet
	Returned   Stage = "back"
	Lost       Stage = "lost" // the server did not accept the rejoin command, or was not ready in time
)

// mayBeOut reports whether a server at this stage may be out of service.
func (s Stage) mayBeOut() bool { return s != NotStarted && s != Returned }

// commandIntended reports whether the journal has the intent to send a command to a server at this stage, so that the command may have
// been sent already.
func (s Stage) commandIntended() bool { return s == Evacuating || s == Rejoining }

// RolloutServer is a server of a rollout.
type RolloutServer struct {
	Name  string `json:"name"`
	Cell  string `json:"cell"`
	Admin string `json:"mgmt"` // address of its admin API
	Stage Stage  `json:"stage"`
}

// RolloutProgress is the progress of a rollout. Its JSON is the plan of the rollout's item.
type RolloutProgress struct {
	Servers []RolloutServer `json:"members"`
	Stopped string          `json:"stopped,omitempty"` // reason why no more servers are evacuated; empty: not stopped
}

// OutCount returns the number of servers that may be out of service, by their stages.
func (p RolloutProgress) OutCount() int {
	n := 0
	for _, s := range p.Servers {
		if s.Stage.mayBeOut() {
			n++
		}
	}
	return n
}

// ServerCommand is a command to a server. The caller sends it with the holder's epoch and the journal step of its intent.
type ServerCommand struct {
	Server, Admin string
	Evacuate      bool // false: rejoin
}

// Readiness is the last observation of a server.
type Readiness struct {
	ProbedAt  time.Duration // when the probe was sent, by the holder's clock; 0: never
	Reachable bool
	Ready     bool
}

// WeightedLoad is the sum of the priority weights of the requests that routers received, and of those that were served, since the last
// observation.
type WeightedLoad struct{ Requested, Served float64 }

// Rollout is the controller of rollouts. Its state belongs to the present holder and its times count on the holder's clock, so a new
// holder restarts the waiting times.
//
// Rules, in the order of their evaluation:
//
//   - A rollout stops when an operator aborts it, when too small a share of the requested weight is served, when a server does not
//     accept a command, or when a server does not return in time. After a stop no more servers are evacuated, and those out return.
//   - An intended command comes before all other work, as an earlier holder may have sent it. The present holder writes the intent again
//     with its own epoch and sends its own command; a server that has received it rejects the older one (package fence).
//   - Evacuated servers rejoin after their dwell time, or at once if the rollout has stopped.
//   - A server is evacuated only if the bounds of the spec hold afterwards: see mayEvacuate.
type Rollout struct {
	epoch         uint64                   // epoch of the holder that the state below belongs to
	item          string                   // ID of the rollout's item
	stages        map[string]Stage         // by server
	stageSince    map[string]time.Duration // by server
	acknowledged  map[string]bool          // by server: it carried out the command of its stage
	failures      map[string]int           // by server: failed attempts to send the command of its stage
	lastLoad      WeightedLoad
	lowShareCount int // number of successive observations with too low a served share
}

const (
	// maxCommandFailures is the number of failed attempts after which a command is given up, if the server has been at its stage for at
	// least ReturnMS. A higher value delays a rollout with a dead server while other servers stay out.
	maxCommandFailures = 5
	// maxLowShareCount is the number of successive observations with too low a served share that stop a rollout. They are one second
	// apart; a single one can come from a burst of requests.
	maxLowShareCount = 3
	// minRequestedWeight is the minimum weight of requests in an observation. Below it, a few requests would decide the served share.
	minRequestedWeight = 50
)

// ObserveLoad adds an observation of the last second's load. The parameter minShare is RolloutSpec.MinServedShare.
func (r *Rollout) ObserveLoad(load WeightedLoad, minShare float64) {
	if load.Requested < minRequestedWeight || minShare == 0 {
		return
	}
	r.lastLoad = load
	if r.lowShareCount++; load.Served >= minShare*load.Requested {
		r.lowShareCount = 0
	}
}

// RecordCommand records whether a server accepted its last command. A server that can't be reached has not accepted it.
func (r *Rollout) RecordCommand(server string, accepted bool) {
	if accepted {
		r.acknowledged[server] = true
	} else {
		r.failures[server]++
	}
}

// Next returns the next action of the holder. The parameter servers has all servers of the map. The parameter readiness has the
// observations of all of them, also of those outside the rollout, as a server that is not ready counts as out.
func (r *Rollout) Next(j *Journal, epoch uint64, servers []RolloutServer, readiness map[string]Readiness, now time.Duration) Action {
	item := j.Current()
	if item == nil {
		return Action{}
	}
	fail := func(reason string) Action {
		return Action{Kind: WriteJournal, Write: JournalWrite{Item: item.ID, State: Failed, Note: reason}}
	}
	var spec RolloutSpec
	if err := json.Unmarshal(item.Args, &spec); err != nil {
		return fail("invalid arguments: " + err.Error())
	}
	if err := spec.Check(); err != nil {
		return fail(err.Error())
	}
	if item.State == Queued {
		p, err := newProgress(spec, servers)
		if err != nil {
			return fail(err.Error())
		}
		return writeProgress(item, p, "")
	}
	var p RolloutProgress
	if err := json.Unmarshal([]byte(item.Plan), &p); err != nil {
		return fail("failed to parse the progress: " + err.Error())
	}
	r.trackStages(item.ID, epoch, p, now)
	return r.decide(rolloutInput{item, spec, p, servers, readiness, now})
}

// newProgress returns the progress of a new rollout, with all of its servers at NotStarted. It returns an error if the spec names an
// unknown server, if a server has no admin address, or if there are no servers.
func newProgress(spec RolloutSpec, servers []RolloutServer) (RolloutProgress, error) {
	var p RolloutProgress
	for _, s := range servers {
		if len(spec.Servers) > 0 && !slices.Contains(spec.Servers, s.Name) {
			continue
		}
		if s.Admin == "" {
			return p, fmt.Errorf("server %s: no mgmt in the map", s.Name)
		}
		s.Stage = NotStarted
		p.Servers = append(p.Servers, s)
	}
	for _, name := range spec.Servers {
		if !slices.ContainsFunc(servers, func(s RolloutServer) bool { return s.Name == name }) {
			return p, fmt.Errorf("no such server: %q", name)
		}
	}
	if len(p.Servers) == 0 {
		return p, fmt.Errorf("the rollout has no servers")
	}
	return p, nil
}

// trackStages records when this holder first observed each server at its present stage. It resets the state after a change of the
// rollout or of the epoch.
func (r *Rollout) trackStages(item string, epoch uint64, p RolloutProgress, now time.Duration) {
	if r.item != item || r.epoch != epoch {
		*r = Rollout{item: item, epoch: epoch, stageSince: map[string]time.Duration{}, stages: map[string]Stage{},
			acknowledged: map[string]bool{}, failures: map[string]int{}}
	}
	for _, s := range p.Servers {
		if r.stages[s.Name] != s.Stage {
			r.stages[s.Name], r.stageSince[s.Name] = s.Stage, now
			delete(r.acknowledged, s.Name)
			delete(r.failures, s.Name)
		}
	}
}

// writeProgress returns the write of a rollout's progress as an intent. A stage with a command is written before its command is sent.
func writeProgress(item *Item, p RolloutProgress, note string) Action {
	raw, err := json.Marshal(p)
	if err != nil {
		note = err.Error()
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: item.ID, State: Intended, Plan: string(raw), Note: note}}
}
