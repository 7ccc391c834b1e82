package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// KindRollout is the kind of the requests to Rollout, by its name in the journal; args are a RolloutSpec.
const KindRollout = "roll"

// RolloutSpec is what an operator asks of a rollout: every server is evacuated, is out for a while, and returns, never more than so
// many at once.
type RolloutSpec struct {
	Servers        []string `json:"servers,omitempty"` // by name; empty: all of the map
	MaxOutPerCell  int      `json:"cell_most"`         // servers of a cell that may be out at once
	MaxOut         int      `json:"all_most"`          // servers that may be out at once in all
	DwellMS        int64    `json:"dwell_ms"`          // milliseconds that each is out at least
	ReturnMS       int64    `json:"back_ms"`           // milliseconds from being told to return until it has to be ready, or the rollout stops
	MinServedShare float64  `json:"worth_least"`       // share of the requested weight that has to be served, or the rollout stops; 0: not looked at
}

// Check returns an error that names the first field that can't be, by its name in the journal.
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

func (r RolloutSpec) returnWithin() time.Duration {
	return time.Duration(r.ReturnMS) * time.Millisecond
}

// Stage is how far a server is in a rollout, by its name in the journal.
type Stage string

// Stages of a server, in their order.
const (
	NotStarted Stage = "in"
	Evacuating Stage = "going_out" // its command is intended, and may have been sent
	Evacuated  Stage = "out"
	Rejoining  Stage = "going_back" // its command is intended, and may have been sent
	Returning  Stage = "returning"  // it was told to return, and was not seen ready yet
	Returned   Stage = "back"
	Lost       Stage = "lost" // it can't be told, or did not return in time
)

// maybeOut reports whether a server at a stage may be out of service.
func (s Stage) maybeOut() bool { return s != NotStarted && s != Returned }

// commandIntended reports whether a command to the server may be on its way.
func (s Stage) commandIntended() bool { return s == Evacuating || s == Rejoining }

// RolloutServer is a server of a rollout.
type RolloutServer struct {
	Name  string `json:"name"`
	Cell  string `json:"cell"`
	Admin string `json:"mgmt"` // its address for commands
	Stage Stage  `json:"stage"`
}

// RolloutProgress is how far a rollout is: the plan of its item.
type RolloutProgress struct {
	Servers []RolloutServer `json:"members"`
	Stopped string          `json:"stopped,omitempty"` // why no other server is evacuated; empty: it goes on
}

// OutCount is how many servers may be out, by the journal.
func (p RolloutProgress) OutCount() int {
	n := 0
	for _, s := range p.Servers {
		if s.Stage.maybeOut() {
			n++
		}
	}
	return n
}

// ServerCommand is what a server is told, for the rollout's duty and by its holder's epoch and the step of its intent.
type ServerCommand struct {
	Server, Admin string
	Evacuate      bool // else rejoin
}

// Readiness is what was last observed of a server.
type Readiness struct {
	ProbedAt  time.Duration // when it was asked, by the holder's clock; 0: never
	Reachable bool
	Ready     bool
}

// WeightedLoad is the requests that routers were asked for and those that they served, each counted by its priority weight, since the
// rollout last looked.
type WeightedLoad struct{ Requested, Served float64 }

// Rollout decides what a rollout does next. It is the present holder's: times are its own clock's, so what an earlier holder had waited
// for is waited for anew.
//
// Rules, in the order in which they are looked at:
//
//   - It stops (no other server is evacuated, those that are out return) when an operator aborts it, when too little of the requested
//     weight is served, when a server can't be told to go or to return, and when one does not return in time.
//   - A command that is intended is settled before all else: an earlier holder may have sent it. The present holder writes the intent
//     anew by its own epoch and sends its own command; once a server has that, it refuses the older one (package fence).
//   - Servers that are out return after their dwell, or at once where the rollout has stopped.
//   - A server is evacuated only where no more than the spec allows are out then: see mayEvacuate.
type Rollout struct {
	epoch        uint64 // of the holder whose commands the maps below are about
	item         string
	stages       map[string]Stage // by server
	stageSince   map[string]time.Duration
	acknowledged map[string]bool // its command was carried out
	failures     map[string]int  // of its command, in a row
	lastLoad     WeightedLoad
	lowInARow    int // observations in which too little was served
}

const (
	// A server counts as one that can't be told after maxCommandFailures failures of its command in a row, and ReturnMS at its stage. Found by trial; raising it
	// makes a rollout wait longer for a server whose machine is gone, while others stay out.
	maxCommandFailures = 5
	// maxLowInARow observations, a second apart, in which too little is served stop a rollout: one may be a burst of requests.
	maxLowInARow = 3
	// minRequestedWeight has to be requested between two observations before the share that was served says anything: below it, a
	// few requests decide.
	minRequestedWeight = 50
)

// ObserveLoad takes what was requested and served in the last second. MinShare is RolloutSpec.MinServedShare.
func (c *Rollout) ObserveLoad(w WeightedLoad, minShare float64) {
	if w.Requested < minRequestedWeight || minShare == 0 {
		return
	}
	c.lastLoad = w
	if c.lowInARow++; w.Served >= minShare*w.Requested {
		c.lowInARow = 0
	}
}

// RecordCommand takes what became of a command: it was carried out, or it was not, as the server can't be reached or refuses it.
func (c *Rollout) RecordCommand(server string, accepted bool) {
	if accepted {
		c.acknowledged[server] = true
	} else {
		c.failures[server]++
	}
}

// Next returns what to do now. Servers are those of the map; readiness is what was observed of each, also of those that are not part of
// the rollout, as a server that is not there counts as out.
func (c *Rollout) Next(j *Journal, epoch uint64, servers []RolloutServer, readiness map[string]Readiness, now time.Duration) Action {
	it := j.Current()
	if it == nil {
		return Action{}
	}
	fail := func(why string) Action {
		return Action{Kind: WriteJournal, Write: JournalWrite{Item: it.ID, State: Failed, Note: why}}
	}
	var spec RolloutSpec
	if err := json.Unmarshal(it.Args, &spec); err != nil {
		return fail("its arguments: " + err.Error())
	}
	if err := spec.Check(); err != nil {
		return fail(err.Error())
	}
	if it.State == Queued {
		p, err := newProgress(spec, servers)
		if err != nil {
			return fail(err.Error())
		}
		return writeProgress(it, p, "")
	}
	var p RolloutProgress
	if err := json.Unmarshal([]byte(it.Plan), &p); err != nil {
		return fail("its progress can't be read: " + err.Error())
	}
	c.trackStages(it.ID, epoch, p, now)
	return c.decide(rolloutInput{it, spec, p, servers, readiness, now})
}

// newProgress is the progress of a rollout that begins: none of its servers has started.
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
		return p, fmt.Errorf("no servers")
	}
	return p, nil
}

// trackStages notes since when each server has been at its stage, as this holder knows it. What was known of another rollout, or by
// another epoch, is dropped.
func (c *Rollout) trackStages(item string, epoch uint64, p RolloutProgress, now time.Duration) {
	if c.item != item || c.epoch != epoch {
		*c = Rollout{item: item, epoch: epoch, stageSince: map[string]time.Duration{}, stages: map[string]Stage{},
			acknowledged: map[string]bool{}, failures: map[string]int{}}
	}
	for _, s := range p.Servers {
		if c.stages[s.Name] != s.Stage {
			c.stages[s.Name], c.stageSince[s.Name] = s.Stage, now
			delete(c.acknowledged, s.Name)
			delete(c.failures, s.Name)
		}
	}
}

// writeProgress writes how far a rollout is, as an intent: a stage that begins with a command is written before the command is sent.
func writeProgress(it *Item, p RolloutProgress, note string) Action {
	raw, err := json.Marshal(p)
	if err != nil {
		note = err.Error()
	}
	return Action{Kind: WriteJournal, Write: JournalWrite{Item: it.ID, State: Intended, Plan: string(raw), Note: note}}
}
