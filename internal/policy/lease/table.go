package lease

import (
	"errors"
	"fmt"
	"slices"
)

// Duty is the state of one duty: its holder, and the queue of processes that wait for it.
type Duty struct {
	Name        string   `json:"name"`
	Epoch       Epoch    `json:"epoch"`            // of the latest holding, which may have ended
	Holder      string   `json:"holder,omitempty"` // the process that holds the duty; empty: none
	Queue       []string `json:"queue,omitempty"`  // waiting processes, in the order of their first requests
	Successor   string   `json:"next,omitempty"`   // the waiting process that gets the duty next; empty: the first in the queue
	PauseReason string   `json:"paused,omitempty"` // why no action may begin; empty: not paused
	HeldSince   int64    `json:"since,omitempty"`  // Unix milliseconds on the granting leader's clock; only displayed
}

// Table is the state of all duties. Only Apply changes it, in the order of the group's log, so that every member computes the same
// table.
type Table struct {
	Generation uint32           `json:"generation"`
	Duties     map[string]*Duty `json:"duties"`
}

// NewTable returns an empty table for a generation of the group.
func NewTable(generation uint32) *Table { return &Table{generation, map[string]*Duty{}} }

// Op is the name of an operation on a duty, as it is written in the log.
type Op string

// Operations, and the senders of each.
const (
	Acquire    Op = "acquire" // by a process: hold the duty, or wait for it; idempotent
	Release    Op = "release" // by the holder
	Dequeue    Op = "forget"  // by a waiting process, or by the leader for one that stopped sending requests
	Expire     Op = "expire"  // by the leader: end a holding that was not renewed
	Transfer   Op = "hand"    // by an operator: name the waiting process that gets the duty once the holder releases it
	Pause      Op = "pause"   // by an operator
	Resume     Op = "resume"  // by an operator
	RaiseEpoch Op = "raise"   // by a holder that learned of a higher epoch, as after a snapshot was restored; ends its holding
	Renew      Op = "renew"   // by the holder: handled by the leader only, never in the log
)

// Request is one operation on a duty.
type Request struct {
	Op         Op     `json:"op"`
	Duty       string `json:"duty"`
	Process    string `json:"who,omitempty"`   // one start of a process, for example "name#1a2b3c4d"
	Epoch      Epoch  `json:"epoch,omitempty"` // for Release, Expire, Renew and RaiseEpoch
	Reason     string `json:"why,omitempty"`   // for Pause, and for a Dequeue by an operator
	ProposedAt int64  `json:"at,omitempty"`    // Unix milliseconds on the proposing member's clock; only displayed
}

// maxQueueLength bounds the number of processes that wait for a duty, because the queue is part of every snapshot and answer. An
// installation has a few candidates for each duty; a full queue means that processes restart in a loop.
const maxQueueLength = 32

// defaultPauseReason is the reason of a Pause that has none. An empty PauseReason means that the duty is not paused.
const defaultPauseReason = "by an operator"

// Apply executes a request and returns the resulting state of the duty. On an error the duty is unchanged. The error wraps
// ErrUnknownDuty, ErrStaleEpoch or ErrUnknownOp, or is a refusal to show to the operator.
func (t *Table) Apply(r Request) (Duty, error) {
	d := t.Duties[r.Duty]
	if d == nil {
		if !r.Op.mayCreateDuty() || r.Duty == "" {
			return Duty{Name: r.Duty}, fmt.Errorf("%w: %q", ErrUnknownDuty, r.Duty)
		}
		d = &Duty{Name: r.Duty, Epoch: BaseEpoch(t.Generation)}
		t.Duties[r.Duty] = d
	}
	err := d.apply(r)
	return *d, err
}

// mayCreateDuty reports whether an operation creates a duty that does not exist yet.
func (op Op) mayCreateDuty() bool { return op == Acquire || op == RaiseEpoch || op == Pause }

// apply executes a request on an existing duty.
func (d *Duty) apply(r Request) error {
	switch r.Op {
	case Acquire:
		return d.acquire(r)
	case Release, Expire:
		return d.endHolding(r)
	case Dequeue:
		d.Queue = slices.DeleteFunc(slices.Clone(d.Queue), func(p string) bool { return p == r.Process })
	case Transfer:
		return d.transfer(r.Process)
	case Pause:
		if d.PauseReason = r.Reason; r.Reason == "" {
			d.PauseReason = defaultPauseReason
		}
	case Resume:
		d.PauseReason = ""
	case RaiseEpoch:
		if r.Epoch > d.Epoch { // servers that saw the higher epoch refuse the current holder's lower one
			d.Epoch = r.Epoch
			d.grantNext(r.ProposedAt)
		}
	default:
		return fmt.Errorf("%w: %q", ErrUnknownOp, r.Op)
	}
	return nil
}

// acquire grants the duty if no process holds it, and otherwise adds the process to the queue.
func (d *Duty) acquire(r Request) error {
	switch {
	case r.Process == "":
		return errors.New("who: missing")
	case d.Holder == r.Process || slices.Contains(d.Queue, r.Process):
	case d.Holder == "":
		d.grant(r.Process, r.ProposedAt)
	case len(d.Queue) >= maxQueueLength:
		return fmt.Errorf("%d wait already", len(d.Queue))
	default:
		d.Queue = append(d.Queue, r.Process)
	}
	return nil
}

// endHolding ends the holding of an epoch for Release and Expire, and grants the duty to the next process. A request with another epoch
// is stale: it was delayed, and another process may hold the duty by now.
func (d *Duty) endHolding(r Request) error {
	if r.Epoch != d.Epoch || d.Holder == "" || r.Op == Release && d.Holder != r.Process {
		return d.StaleError(r.Epoch)
	}
	d.grantNext(r.ProposedAt)
	return nil
}

// transfer names the waiting process that gets the duty next. The answer to the holder's next renewal names that process, and the
// holder then releases the duty between two actions.
func (d *Duty) transfer(process string) error {
	if d.Holder == process {
		return nil
	}
	if !slices.Contains(d.Queue, process) {
		return fmt.Errorf("%q does not wait for it", process)
	}
	d.Successor = process
	return nil
}

// StaleError returns the error for an epoch that does not hold the duty. It wraps ErrStaleEpoch and names the duty's latest epoch.
func (d *Duty) StaleError(e Epoch) error {
	return fmt.Errorf("%w %v of %s: it has had %v", ErrStaleEpoch, e, d.Name, d.Epoch)
}

// CheckHolder returns nil if a process holds a duty with an epoch, else an error that wraps ErrUnknownDuty or ErrStaleEpoch.
func (t *Table) CheckHolder(duty, process string, e Epoch) error {
	d := t.Duties[duty]
	if d == nil {
		return fmt.Errorf("%w: %q", ErrUnknownDuty, duty)
	}
	if d.Epoch != e || d.Holder != process {
		return d.StaleError(e)
	}
	return nil
}

// grant gives the duty to a process with the next epoch, at a time in Unix milliseconds.
func (d *Duty) grant(process string, at int64) {
	d.Epoch++
	d.HeldSince = at
	d.Holder = process
	if d.Successor == process {
		d.Successor = ""
	}
}

// grantNext ends the current holding and grants the duty to the named successor, else to the first process in the queue.
func (d *Duty) grantNext(at int64) {
	d.Holder = ""
	if len(d.Queue) == 0 {
		return
	}
	i := max(0, slices.Index(d.Queue, d.Successor))
	process := d.Queue[i]
	d.Queue = slices.Delete(slices.Clone(d.Queue), i, i+1) // clones, because copies of the duty that Apply returned share the queue
	d.grant(process, at)
}
