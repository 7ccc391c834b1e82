// Package statemachine is the state that a group agrees on: who owns each duty, the duties' journals, and the rules. It is the same on every
// member after the same log; it has no I/O, no clock and no goroutine.
package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
)

// Command is one entry of the log: one of its parts is set.
type Command struct {
	Ask    *lease.Request      `json:"ask,omitempty"`
	Submit *Submit             `json:"submit,omitempty"`
	Wish   *Wish               `json:"wish,omitempty"`
	Write  *controller.JournalWrite   `json:"write,omitempty"`
	Rule   *configstore.Change `json:"rule,omitempty"`

	// Words are what processes said of themselves that came together: a thousand that say one thing each are one entry of the log. Each
	// is taken by itself; who could not be registered finds out by not being there.
	Words []configstore.Change `json:"words,omitempty"`
}

// Submit queues a request to a duty.
type Submit struct {
	Duty string          `json:"duty"`
	ID   string          `json:"id"`
	Kind string          `json:"kind"`
	Args json.RawMessage `json:"args,omitempty"`
}

// Wish is what an operator wants of a request that is under way.
type Wish struct {
	Duty string `json:"duty"`
	ID   string `json:"id"`
	Wish string `json:"wish"`
}

// Result is what a command came to.
type Result struct {
	Error   string           `json:"error,omitempty"`
	Kind    string           `json:"kind,omitempty"` // of the error, for programs: stale, step, paused
	Duty    *lease.Duty      `json:"duty,omitempty"`
	Item    *controller.Item `json:"item,omitempty"`
	Step    uint64           `json:"step,omitempty"`    // of the journal
	Version int              `json:"version,omitempty"` // of the change of a document
}

// Kinds of errors.
const (
	Stale  = "stale"
	Step   = "step"
	Paused = "paused"
)

// Peer is a member of the group.
type Peer struct {
	ID   uint64 `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// State is the state.
type State struct {
	Terms    lease.Terms                    `json:"terms"` // of all leases, from the founding on
	Members  map[uint64]Peer                `json:"members"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals"`
	Rules    *configstore.Book              `json:"rules"`
}

// New returns the state of a group of a generation.
func New(generation uint32) *State {
	return &State{lease.Terms{}, map[uint64]Peer{}, lease.NewTable(generation), map[string]*controller.Journal{}, configstore.NewBook()}
}

// Journal returns a duty's journal, an empty one for none.
func (s *State) Journal(duty string) *controller.Journal {
	if j := s.Journals[duty]; j != nil {
		return j
	}
	return &controller.Journal{Duty: duty}
}

func known(duty string) error {
	for _, n := range controller.Duties {
		if n == duty {
			return nil
		}
	}
	return fmt.Errorf("%w: %q", lease.ErrUnknownDuty, duty)
}

// Apply does what a command says. It never fails but by its result.
func (s *State) Apply(c Command) (r Result) {
	err := func() error {
		switch {
		case c.Ask != nil:
			if err := known(c.Ask.Duty); err != nil {
				return err
			}
			d, err := s.Table.Apply(*c.Ask)
			r.Duty = &d
			return err
		case c.Submit != nil:
			if err := known(c.Submit.Duty); err != nil {
				return err
			}
			it, err := s.keep(c.Submit.Duty).Submit(c.Submit.ID, c.Submit.Kind, c.Submit.Args)
			r.Item = &it
			return err
		case c.Wish != nil:
			it, err := s.Journal(c.Wish.Duty).Direct(c.Wish.ID, c.Wish.Wish)
			r.Item = &it
			return err
		case c.Write != nil:
			if err := known(c.Write.Duty); err != nil {
				return err
			}
			j := s.keep(c.Write.Duty)
			err := j.Apply(*c.Write, s.Table)
			r.Step = j.Step
			return err
		case c.Rule != nil:
			d, err := s.Rules.Apply(*c.Rule)
			if d != nil && d.Next != nil {
				r.Version = d.Next.ID.Version
			} else if d != nil && d.Force != nil {
				r.Version = d.Force.ID.Version
			}
			return err
		case c.Words != nil:
			for _, w := range c.Words {
				if w.Op == configstore.Join || w.Op == configstore.Say {
					s.Rules.Apply(w)
				}
			}
			return nil
		}
		return errors.New("an empty command")
	}()
	if err != nil {
		r.Error = err.Error()
		switch {
		case errors.Is(err, lease.ErrStaleEpoch):
			r.Kind = Stale
		case errors.Is(err, controller.ErrOutOfStep):
			r.Kind = Step
		case errors.Is(err, controller.ErrPaused):
			r.Kind = Paused
		}
	}
	return r
}

func (s *State) keep(duty string) *controller.Journal {
	if s.Journals[duty] == nil {
		s.Journals[duty] = &controller.Journal{Duty: duty}
	}
	return s.Journals[duty]
}

// Snapshot is the state with its checksum before it.
func (s *State) Snapshot() ([]byte, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return append(fmt.Appendf(nil, "%08x", crc32.ChecksumIEEE(b)), b...), nil
}

// Restore reads a snapshot.
func Restore(b []byte) (*State, error) {
	if len(b) < 8 || string(b[:8]) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(b[8:])) {
		return nil, errors.New("snapshot: its checksum is wrong")
	}
	s := New(0)
	if err := json.Unmarshal(b[8:], s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}
