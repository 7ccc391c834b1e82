// Package fence rejects commands of a controller that was replaced. It runs where a command takes effect: a server stores, for each
// duty, the highest epoch and step that it has carried out, and rejects a lower one.
//
// It guards against a holder that is suspended (a paused machine, a full disk, a slow network) between its lease check and its command,
// and resumes after its successor has acted. A lease can't prevent this, as the suspended process does not notice the time that passes.
// Without the fence, a server could be evacuated for a rollout that is over.
//
// The fence works because epochs rise with each holding of a duty and steps with each journal write. A delayed command is therefore lower
// than the first command of the successor, and a server that has received that one refuses the delayed one. A server that has not
// received it yet still accepts the delayed command; the successor therefore starts by sending the unfinished commands of its
// predecessor again. The highest command is on disk before it takes effect.
//
// Fence has no I/O; File is a fence that persists across restarts of its process.
package fence

import (
	"errors"
	"fmt"
	"maps"

	"silverpath/internal/policy/lease"
)

// Command is a fenced command. Settings, counters and error texts call it an order.
type Command struct {
	Duty   string      `json:"duty"`
	Epoch  lease.Epoch `json:"epoch"` // epoch of the holder that sent it
	Step   uint64      `json:"step"`  // journal step of its intent
	Action string      `json:"act"`
}

// Errors of Check. Controllers, also those of other builds, parse the texts of the errors that Check returns.
var (
	ErrStaleEpoch   = errors.New("stale epoch")           // a later holder of the duty has sent a command
	ErrStaleStep    = errors.New("stale step")            // the same holder has sent a later command, or a different one with this step
	ErrUnknownEpoch = errors.New("no epoch is known yet") // the duty has no floor yet: see SetFloor
)

// Fence has the latest command of each duty.
type Fence struct {
	latest     map[string]Command
	incomplete bool // there may have been commands of duties that latest does not list
}

// New returns a fence with the given latest commands, by duty. An incomplete fence rejects all commands of an unlisted duty until
// SetFloor is called for that duty.
func New(latest map[string]Command, incomplete bool) *Fence {
	f := &Fence{latest: map[string]Command{}, incomplete: incomplete}
	maps.Copy(f.latest, latest)
	return f
}

// CanCheck reports whether Check can decide on commands of a duty. If not, the caller reads the duty's epoch and step from the group and
// calls SetFloor.
func (f *Fence) CanCheck(duty string) bool { _, ok := f.latest[duty]; return ok || !f.incomplete }

// SetFloor sets the lowest command of a duty that Check accepts, from the epoch of the duty and the step of its journal. The command of
// that step may still arrive; commands of earlier steps are obsolete. SetFloor never lowers the epoch of a duty.
func (f *Fence) SetFloor(duty string, e lease.Epoch, step uint64) {
	if c, ok := f.latest[duty]; !ok || c.Epoch < e {
		f.latest[duty] = Command{Duty: duty, Epoch: e, Step: max(step, 1) - 1}
	}
}

// Check decides on a command and changes nothing. The caller records a fresh command and then carries it out. A command that is not
// fresh was carried out before and is answered as accepted. A rejected command returns ErrStaleEpoch, ErrStaleStep or ErrUnknownEpoch.
func (f *Fence) Check(c Command) (fresh bool, err error) {
	if !f.CanCheck(c.Duty) {
		return false, fmt.Errorf("%w of %s", ErrUnknownEpoch, c.Duty)
	}
	last, exists := f.latest[c.Duty]
	switch {
	case !exists, c.Epoch > last.Epoch, c.Epoch == last.Epoch && c.Step > last.Step:
		return true, nil
	case c.Epoch < last.Epoch:
		return false, fmt.Errorf("%w %v of %s: %v was seen", ErrStaleEpoch, c.Epoch, c.Duty, last.Epoch)
	case c.Step < last.Step || c.Action != last.Action:
		return false, fmt.Errorf("%w %d of %s in epoch %v: %d was seen", ErrStaleStep, c.Step, c.Duty, c.Epoch, last.Step)
	}
	return false, nil
}

// Record sets the latest command of a duty. It is called before the command is carried out.
func (f *Fence) Record(c Command) { f.latest[c.Duty] = c }

// Latest returns the latest command of each duty.
func (f *Fence) Latest() map[string]Command { return f.latest }
