// Package statemachine is the replicated state of a group: the holder of each duty, the journals of the duties, and the configuration
// documents of the fleet. It is deterministic, so that every member has the same state after the same log: it has no I/O, no clock, no
// goroutine and no randomness.
//
// Commands and snapshots outlive the build that wrote them, and during an upgrade members of several builds run one group. Their format
// is the JSON of the types in this package and in the packages lease, controller and configstore. The files in testdata were written by
// earlier builds.
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
	// ConfigBatch has the registrations and reports of many processes, so that a thousand changes at once are one entry of the log. Each
	// change is applied separately. A process whose registration failed notices that the state does not list it.
	ConfigBatch []configstore.Change `json:"words,omitempty"`
}

// SubmitItem is the command to queue a request to a duty.
type SubmitItem struct {
	Duty string          `json:"duty"`
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Args json.RawMessage `json:"args,omitempty"`
}

// Directive is the command to set an operator's directive for an unfinished item.
type Directive struct {
	Duty      string `json:"duty"`
	ID        string `json:"id"`
	Directive string `json:"wish"` // controller.DirectPause, DirectResume or DirectAbort
}

// Result is the result of a command.
type Result struct {
	Error     string           `json:"error,omitempty"` // for people; empty: the command succeeded
	ErrorKind string           `json:"kind,omitempty"`  // for programs: one of the kinds below, or empty for any other error
	Duty      *lease.Duty      `json:"duty,omitempty"`
	Item      *controller.Item `json:"item,omitempty"`
	Step      uint64           `json:"step,omitempty"`    // last step of the duty's journal
	Version   int              `json:"version,omitempty"` // proposed version of the changed document, or its active one
}

// Kinds of errors in a Result.
const (
	KindStaleEpoch = "stale"  // lease.ErrStaleEpoch
	KindOutOfStep  = "step"   // controller.ErrOutOfStep
	KindPaused     = "paused" // controller.ErrPaused
)

// Member is a member of the group.
type Member struct {
	ID   uint64 `json:"id"` // identifies the member's disk
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// State is the replicated state of a group.
type State struct {
	Terms    lease.Terms                    `json:"terms"` // terms of all leases, fixed when the group is founded
	Members  map[uint64]Member              `json:"members"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals"`
	Config   *configstore.Store             `json:"rules"`
}

// New returns the empty state of a group with the given generation.
func New(generation uint32) *State {
	return &State{lease.Terms{}, map[uint64]Member{}, lease.NewTable(generation), map[string]*controller.Journal{}, configstore.NewStore()}
}

// Journal returns the journal of a duty for reading. For a duty without a journal it returns an empty one that is not stored.
func (s *State) Journal(duty string) *controller.Journal {
	if j := s.Journals[duty]; j != nil {
		return j
	}
	return &controller.Journal{Duty: duty}
}

// ensureJournal returns the journal of a duty for writing. It creates the journal if there is none.
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

// Apply applies a command and returns its result. Every member calls it with each committed entry in the order of the log. Errors are
// part of the result, as a single member can't reject a committed entry.
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
		item, err := s.Journal(c.Directive.Duty).SetDirective(c.Directive.ID, c.Directive.Directive)
		r.Item = &item
		return err
	case c.Journal != nil:
		return s.applyJournal(*c.Journal, r)
	case c.Config != nil:
		return s.applyConfig(*c.Config, r)
	case c.ConfigBatch != nil:
		for _, change := range c.ConfigBatch {
			if change.Op == configstore.OpRegister || change.Op == configstore.OpReport {
				_, _ = s.Config.Apply(change) // a process whose change was rejected notices that the state lacks it
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
	duty, err := s.Table.Apply(request)
	r.Duty = &duty
	return err
}

func (s *State) applySubmit(submit SubmitItem, r *Result) error {
	if err := checkDuty(submit.Duty); err != nil {
		return err
	}
	item, err := s.ensureJournal(submit.Duty).Submit(submit.ID, submit.Kind, submit.Args)
	r.Item = &item
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
	document, err := s.Config.Apply(change)
	if document != nil && document.Proposed != nil {
		r.Version = document.Proposed.ID.Version
	} else if document != nil && document.Active != nil {
		r.Version = document.Active.ID.Version
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
