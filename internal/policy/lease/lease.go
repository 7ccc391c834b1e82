// Package lease decides which process holds a duty of the fleet, one at a time. It has no I/O, no clock and no goroutine: times are
// handed in, and what is to be done comes back. Table is the state that the group agrees on and knows no time; Lessor is the time of
// the group's leader, which ends a lease that was not renewed; Holder is the side of the process that waits or holds.
//
// Two processes never hold one duty at once while every monotonic clock runs at between 1-drift and 1+drift of true time: the holder
// counts a lease short and from before it asked, the leader counts it long and from after it heard. docs/design/owner.md has the
// proof.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Terms are the length of a lease and the clocks it allows for. The group has them from its founding on; members and clients use the
// same.
type Terms struct {
	TTL   time.Duration `json:"ttl"`   // length of a lease in true time; nanoseconds in JSON
	Drift float64       `json:"drift"` // greatest difference of a clock's rate from true time, as a share of it: 0.05 is 5 percent
}

// maxDrift bounds Terms.Drift, exclusively: at half, a holder on its own clock would have no more than half of its lease left.
const maxDrift = 0.5

// HolderTTL is how long a holder counts its lease on its own clock, from before it asked. A slow clock still ends it within TTL of
// true time.
func (t Terms) HolderTTL() time.Duration { return time.Duration(float64(t.TTL) * (1 - t.Drift)) }

// LeaderTTL is how long the leader counts a lease on its own clock, from when it last heard of the holder. On a fast clock it is
// still TTL of true time at least.
func (t Terms) LeaderTTL() time.Duration { return time.Duration(float64(t.TTL) * (1 + t.Drift)) }

// Check returns an error that names the first term that can't be, by its name in commands and settings.
func (t Terms) Check() error {
	switch {
	case t.TTL <= 0:
		return fmt.Errorf("lease_ms: not above 0: %d", t.TTL.Milliseconds())
	case !(t.Drift >= 0 && t.Drift < maxDrift):
		return fmt.Errorf("drift: not from 0 to 0.5: %v", t.Drift)
	}
	return nil
}

// Epoch is the fencing token of one holding of a duty. It rises with each; its upper 32 bits are the group's generation, which rises
// each time that the group is founded anew.
type Epoch uint64

// generationShift is the place of the generation in an Epoch, in bits.
const generationShift = 32

// BaseEpoch is the epoch before the first holding of a generation.
func BaseEpoch(generation uint32) Epoch { return Epoch(generation) << generationShift }

// String writes an epoch as generation and number, as "1.4". Refusals carry this text between processes: the form is a wire.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", uint64(e)>>generationShift, uint32(e)) }

// Errors that callers of Table decide by.
var (
	ErrStaleEpoch  = errors.New("stale epoch")  // the process holds the duty no longer, or never did by this epoch
	ErrUnknownDuty = errors.New("no such duty") // nobody has asked for the duty yet, or there is none by this name
	ErrUnknownOp   = errors.New("unknown op")   // from a build that knows more operations
)
