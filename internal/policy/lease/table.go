package lease

import (
	"errors"
	"fmt"
	"slices"
)

// Duty is the state of one duty: who holds it, and who waits for it in which order.
type Duty struct {
	Name        string   `json:"name"`
	Epoch       Epoch    `json:"epoch"`            // of the latest holding
	Holder      string   `json:"holder,omitempty"` // the process that holds it; empty: nobody
	Queue       []string `json:"queue,omitempty"`  // processes that wait, the one that has waited longest first
	Successor   string   `json:"next,omitempty"`   // who is to have it once the holder lets it go; empty: the first of the queue
	PauseReason string   `json:"paused,omitempty"` // why no action is begun; empty: it is not paused
	HeldSince   int64    `json:"since,omitempty"`  // Unix milliseconds, by the clock of the leader that granted it: for people only
}

// Table has the state of all duties. It changes only by Apply, in the order of the group's log, so that every member comes to the
// same one.
type Table struct {
	Generation uint32           `json:"generation"`
	Duties     map[string]*Duty `json:"duties"`
}

// NewTable returns the table of a group's generation, without duties.
func NewTable(generation uint32) *Table { return &Table{generation, map[string]*Duty{}} }

// Op is an operation on a duty, by its name in the log.
type Op string

// Operations, and who asks for them.
const (
	Acquire    Op = "acquire" // by a process: hold the duty, or wait for it; asked again it changes nothing
	Release    Op = "release" // by the holder
	Dequeue    Op = "forget"  // by a process that waits, or by the leader of one that has not asked again
	Expire     Op = "expire"  // by the leader: end a holding that was not renewed
	Transfer   Op = "hand"    // by an operator: to one that waits, once the holder consents
	Pause      Op = "pause"   // by an operator
	Resume     Op = "resume"  // by an operator
	RaiseEpoch Op = "raise"   // by a holder that was told of a higher epoch, as after a snapshot was put back; ends the present holding
	Renew      Op = "renew"   // by the holder: noted by the leader alone, never in the log
)

// Request is one operation asked of a table.
type Request struct {
	Op         Op     `json:"op"`
	Duty       string `json:"duty"`
	Process    string `json:"who,omitempty"`   // one start of a process, as "name#1a2b3c4d"
	Epoch      Epoch  `json:"epoch,omitempty"` // of Release, Expire, Renew and RaiseEpoch
	Reason     string `json:"why,omitempty"`   // of Pause, and of a Dequeue by an operator
	ProposedAt int64  `json:"at,omitempty"`    // Unix milliseconds, by the clock of the member that proposes it: for people only
}

// maxQueueLength bounds the processes that wait for a duty, as the table is in every snapshot and answer. An installation has a few owners
// of each duty; a bound that is reached means that processes are restarted in a loop.
const maxQueueLength = 32

// defaultPauseReason stands for a pause without a reason: an empty one would mean no pause.
const defaultPauseReason = "by an operator"

// Apply carries out a request and returns the duty after it. With an error the duty is as it was: ErrUnknownDuty, ErrStaleEpoch and
// ErrUnknownOp, or a refusal for people.
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

// creates reports whether an operation may be the first on a duty.
func (op Op) mayCreateDuty() bool { return op == Acquire || op == RaiseEpoch || op == Pause }

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
		if r.Epoch > d.Epoch { // whoever holds it by a lower one is refused where the higher one was seen
			d.Epoch = r.Epoch
			d.grantNext(r.ProposedAt)
		}
	default:
		return fmt.Errorf("%w: %q", ErrUnknownOp, r.Op)
	}
	return nil
}

// acquire grants a duty that nobody holds, and queues the process for one that somebody does.
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

// end ends the holding of an epoch, by the holder itself or by the leader, and passes the duty on. A request about another epoch is
// stale: it was delayed, and the duty may be somebody else's by now.
func (d *Duty) endHolding(r Request) error {
	if r.Epoch != d.Epoch || d.Holder == "" || r.Op == Release && d.Holder != r.Process {
		return d.StaleError(r.Epoch)
	}
	d.grantNext(r.ProposedAt)
	return nil
}

// transfer names who is to have the duty next. The holder learns of it with its next renewal and releases between two actions.
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

// StaleError is the refusal of an epoch that does not hold the duty; it wraps ErrStaleEpoch and names the duty's latest one.
func (d *Duty) StaleError(e Epoch) error {
	return fmt.Errorf("%w %v of %s: it has had %v", ErrStaleEpoch, e, d.Name, d.Epoch)
}

// CheckHolder returns nil if a process holds a duty by an epoch, else an error that wraps ErrUnknownDuty or ErrStaleEpoch.
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

func (d *Duty) grant(process string, at int64) {
	d.Epoch++
	d.HeldSince = at
	d.Holder = process
	if d.Successor == process {
		d.Successor = ""
	}
}

// grantNext ends the present holding and grants the duty to its named successor, else to the process that has waited longest.
func (d *Duty) grantNext(at int64) {
	d.Holder = ""
	if len(d.Queue) == 0 {
		return
	}
	i := max(0, slices.Index(d.Queue, d.Successor))
	process := d.Queue[i]
	d.Queue = slices.Delete(slices.Clone(d.Queue), i, i+1) // copies of the duty that were handed out keep theirs
	d.grant(process, at)
}
