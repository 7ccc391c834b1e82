// Package statemachine is the state that the members of a group agree on: who holds each duty, the duties' journals, and the fleet's
// configuration documents. It is the same on every member after the same log: it has no I/O, no clock, no goroutine and no chance.
//
// Commands and snapshots outlive the build that wrote them, and members of several builds run one group while it is upgraded. The JSON
// names in this package, and in lease, controller and configstore below it, are that format: testdata holds what earlier builds wrote.
package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
)

// Command is one entry of the log. Exactly one of its fields is set.
type Command struct {
	Lease     *lease.Request           `json:"ask,omitempty"`
	Submit    *SubmitItem              `json:"submit,omitempty"`
	Directive *Directive               `json:"wish,omitempty"`
	Journal   *controller.JournalWrite `json:"write,omitempty"`
	Config    *configstore.Change      `json:"rule,omitempty"`
	// ConfigBatch is what processes said of themselves that came together: a thousand that say one thing each are one entry. Each is
	// applied by itself; a process that could not be registered finds out by not being there.
	ConfigBatch []configstore.Change `json:"words,omitempty"`
}

// SubmitItem queues a request to a duty.
type SubmitItem struct {
	Duty string          `json:"duty"`
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Args json.RawMessage `json:"args,omitempty"`
}

// Directive is what an operator wants of an item that is under way.
type Directive struct {
	Duty      string `json:"duty"`
	ID        string `json:"id"`
	Directive string `json:"wish"` // controller.DirectPause, DirectResume or DirectAbort
}

// Result is what a command came to.
type Result struct {
	Error     string           `json:"error,omitempty"` // for people; empty: it was done
	ErrorKind string           `json:"kind,omitempty"`  // for programs: a Kind, or empty for any other error
	Duty      *lease.Duty      `json:"duty,omitempty"`
	Item      *controller.Item `json:"item,omitempty"`
	Step      uint64           `json:"step,omitempty"`    // of the journal
	Version   int              `json:"version,omitempty"` // of the change of a document
}

// Kinds of errors in a Result.
const (
	KindStaleEpoch = "stale"  // lease.ErrStaleEpoch
	KindOutOfStep  = "step"   // controller.ErrOutOfStep
	KindPaused     = "paused" // controller.ErrPaused
)

// Member is a member of the group.
type Member struct {
	ID   uint64 `json:"id"` // of its disk
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// State is what the members agree on.
type State struct {
	Terms    lease.Terms                    `json:"terms"` // of all leases, from the founding on
	Members  map[uint64]Member              `json:"members"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals"`
	Config   *configstore.Store             `json:"rules"`
}

// New returns the empty state of a group of a generation.
func New(generation uint32) *State {
	return &State{lease.Terms{}, map[uint64]Member{}, lease.NewTable(generation), map[string]*controller.Journal{}, configstore.NewStore()}
}

// Journal returns a duty's journal to read, an empty one for none.
func (s *State) Journal(duty string) *controller.Journal {
	if j := s.Journals[duty]; j != nil {
		return j
	}
	return &controller.Journal{Duty: duty}
}

// ensureJournal returns a duty's journal to write, which is kept from now on.
func (s *State) ensureJournal(duty string) *controller.Journal {
	if s.Journals[duty] == nil {
		s.Journals[duty] = &controller.Journal{Duty: duty}
	}
	return s.Journals[duty]
}

func checkDuty(duty string) error {
	if slices.Contains(controller.Duties, duty) {
		return nil
	}
	return fmt.Errorf("%w: %q", lease.ErrUnknownDuty, duty)
}

// Apply carries out a command. Members call it with every committed entry, in the order of the log. It does not fail but by its
// result, as an entry that was agreed on can't be refused by one member.
func (s *State) Apply(c Command) (r Result) {
	if err := s.apply(c, &r); err != nil {
		r.Error, r.ErrorKind = err.Error(), errorKind(err)
	}
	return r
}

func (s *State) apply(c Command, r *Result) error {
	switch {
	case c.Lease != nil:
		return s.applyLease(*c.Lease, r)
	case c.Submit != nil:
		return s.applySubmit(*c.Submit, r)
	case c.Directive != nil:
		it, err := s.Journal(c.Directive.Duty).Direct(c.Directive.ID, c.Directive.Directive)
		r.Item = &it
		return err
	case c.Journal != nil:
		return s.applyJournal(*c.Journal, r)
	case c.Config != nil:
		return s.applyConfig(*c.Config, r)
	case c.ConfigBatch != nil:
		for _, change := range c.ConfigBatch {
			if change.Op == configstore.OpRegister || change.Op == configstore.OpReport {
				_, _ = s.Config.Apply(change) // a refusal is noticed by the process: what it is told lacks what it said
			}
		}
		return nil
	}
	return errors.New("an empty command")
}

func (s *State) applyLease(request lease.Request, r *Result) error {
	if err := checkDuty(request.Duty); err != nil {
		return err
	}
	d, err := s.Table.Apply(request)
	r.Duty = &d
	return err
}

func (s *State) applySubmit(submit SubmitItem, r *Result) error {
	if err := checkDuty(submit.Duty); err != nil {
		return err
	}
	it, err := s.ensureJournal(submit.Duty).Submit(submit.ID, submit.Kind, submit.Args)
	r.Item = &it
	return err
}

func (s *State) applyJournal(w controller.JournalWrite, r *Result) error {
	if err := checkDuty(w.Duty); err != nil {
		return err
	}
	j := s.ensureJournal(w.Duty)
	err := j.Apply(w, s.Table)
	r.Step = j.Step
	return err
}

func (s *State) applyConfig(change configstore.Change, r *Result) error {
	d, err := s.Config.Apply(change)
	if d != nil && d.Proposed != nil {
		r.Version = d.Proposed.ID.Version
	} else if d != nil && d.Active != nil {
		r.Version = d.Active.ID.Version
	}
	return err
}

func errorKind(err error) string {
	switch {
	case errors.Is(err, lease.ErrStaleEpoch):
		return KindStaleEpoch
	case errors.Is(err, controller.ErrOutOfStep):
		return KindOutOfStep
	case errors.Is(err, controller.ErrPaused):
		return KindPaused
	}
	return ""
}
