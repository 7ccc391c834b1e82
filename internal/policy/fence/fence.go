// Package fence refuses commands of a controller that was replaced. It stands where a command takes effect: a server keeps, for each
// duty, the highest epoch and step that it has carried out, and refuses a lower one by name.
//
// It guards against a holder that is stopped (a paused machine, a full disk, a slow network) between its look at its lease and its
// command, and goes on after a successor has acted. No lease can prevent that, as the stopped process does not know. It shows as a
// server that is taken out of service although the rollout that wanted it is over. The guard holds because epochs rise with each
// holding and steps with each journal entry, so that an old command is always lower than what the successor sent first, and because
// the highest one is on disk before the command takes effect.
//
// Fence decides and has no I/O; File keeps a fence over a restart of its process.
package fence

import (
	"errors"
	"fmt"
	"maps"

	"silverpath/internal/policy/lease"
)

// Command is a fenced command: the duty, the epoch of its holder, the journal step of its intent, and what is to be done.
// Settings, counters and the texts of refusals call it an order.
type Command struct {
	Duty   string      `json:"duty"`
	Epoch  lease.Epoch `json:"epoch"`
	Step   uint64      `json:"step"`
	Action string      `json:"act"`
}

// Errors by which Check refuses a command. Their texts are read by controllers of other builds.
var (
	ErrStaleEpoch   = errors.New("stale epoch")           // a later holder of the duty has sent one
	ErrStaleStep    = errors.New("stale step")            // the same holder has sent a later one, or another one in this step
	ErrUnknownEpoch = errors.New("no epoch is known yet") // the group has to be asked first: see SetFloor
)

// Fence has the latest command of each duty.
type Fence struct {
	latest     map[string]Command
	incomplete bool // there may have been commands of duties that are not in latest
}

// New returns a fence that has carried out the latest commands, by duty. An incomplete one may have carried out others: it takes
// none of a duty before SetFloor was called for it.
func New(latest map[string]Command, incomplete bool) *Fence {
	f := &Fence{latest: map[string]Command{}, incomplete: incomplete}
	maps.Copy(f.latest, latest)
	return f
}

// Knows reports whether a command of a duty can be judged; if not, the group is asked and SetFloor called.
func (f *Fence) Knows(duty string) bool { _, ok := f.latest[duty]; return ok || !f.incomplete }

// SetFloor sets the lowest command to accept of a duty by what the group has: the epoch, and the step of the duty's journal. The
// command of that step may still be to come; those before it are over, whatever became of them.
func (f *Fence) SetFloor(duty string, e lease.Epoch, step uint64) {
	if c, ok := f.latest[duty]; !ok || c.Epoch < e {
		f.latest[duty] = Command{Duty: duty, Epoch: e, Step: max(step, 1) - 1}
	}
}

// Check returns what becomes of a command. A fresh one is to be recorded and then carried out; one that is not fresh was carried out
// before, and is answered with a yes. Else it is refused by ErrStaleEpoch, ErrStaleStep or ErrUnknownEpoch.
func (f *Fence) Check(c Command) (fresh bool, err error) {
	if !f.Knows(c.Duty) {
		return false, fmt.Errorf("%w of %s", ErrUnknownEpoch, c.Duty)
	}
	last, ok := f.latest[c.Duty]
	switch {
	case !ok, c.Epoch > last.Epoch, c.Epoch == last.Epoch && c.Step > last.Step:
		return true, nil
	case c.Epoch < last.Epoch:
		return false, fmt.Errorf("%w %v of %s: %v was seen", ErrStaleEpoch, c.Epoch, c.Duty, last.Epoch)
	case c.Step < last.Step || c.Action != last.Action:
		return false, fmt.Errorf("%w %d of %s in epoch %v: %d was seen", ErrStaleStep, c.Step, c.Duty, c.Epoch, last.Step)
	}
	return false, nil
}

// Record notes a command that is about to be carried out.
func (f *Fence) Record(c Command) { f.latest[c.Duty] = c }

// Latest returns the latest command of each duty.
func (f *Fence) Latest() map[string]Command { return f.latest }
