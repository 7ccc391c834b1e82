// Package lease grants each duty of the fleet to at most one process at a time. It has no I/O, no clock and no goroutine: callers pass
// in the time, and the functions return the actions to take. Table is the replicated state that the group agrees on and contains no
// time. Lessor runs on the group's leader and ends leases that were not renewed. Holder runs in a process that waits for a duty or
// holds it.
//
// Two processes never hold the same duty at once as long as every monotonic clock runs at between 1-drift and 1+drift of true time.
// The holder counts a shortened lease from before it sent its request; the leader counts a lengthened one from after it received the
// request. docs/design/owner.md has the proof. A process that is suspended after it checked its lease can still act late: package fence
// rejects such commands.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Terms are the length of a lease and the clock drift that it tolerates. They are fixed when the group is founded. Members and clients
// use the same terms.
type Terms struct {
	TTL   time.Duration `json:"ttl"`   // length of a lease in true time; in JSON, nanoseconds
	Drift float64       `json:"drift"` // largest deviation of a clock's rate from true time, as a ratio: 0.05 is 5 percent
}

// maxDrift is the exclusive upper bound of Terms.Drift. At 0.5, HolderTTL would be only half of TTL.
const maxDrift = 0.5

// HolderTTL returns the length of a lease on the holder's own clock, counted from before the holder sent its request. Even on the
// slowest clock that the terms allow, the lease ends within TTL of true time.
func (t Terms) HolderTTL() time.Duration { return time.Duration(float64(t.TTL) * (1 - t.Drift)) }

// LeaderTTL returns the length of a lease on the leader's own clock, counted from when the leader received the holder's last
// request. Even on the fastest clock that the terms allow, it is at least TTL of true time.
func (t Terms) LeaderTTL() time.Duration { return time.Duration(float64(t.TTL) * (1 + t.Drift)) }

// Check validates the terms. Its error names the first invalid term by its name in commands and settings.
func (t Terms) Check() error {
	switch {
	case t.TTL <= 0:
		return fmt.Errorf("lease_ms: not above 0: %d", t.TTL.Milliseconds())
	case !(t.Drift >= 0 && t.Drift < maxDrift):
		return fmt.Errorf("drift: not from 0 to 0.5: %v", t.Drift)
	}
	return nil
}

// Epoch is the fencing token of one holding of a duty. Each holding of the duty has a higher epoch than the one before. The upper 32
// bits are the group's generation, which increases each time the group is founded again.
type Epoch uint64

// generationShift is the position of the generation within an Epoch, in bits.
const generationShift = 32

// BaseEpoch returns the epoch that precedes the first holding in a generation.
func BaseEpoch(generation uint32) Epoch { return Epoch(generation) << generationShift }

// String formats an epoch as generation and number, for example "1.4". Refusals carry this text between processes, so the format is
// part of the wire protocol.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", uint64(e)>>generationShift, uint32(e)) }

// Errors of Table that callers test for.
var (
	ErrStaleEpoch  = errors.New("stale epoch")  // the process no longer holds the duty, or never held it with this epoch
	ErrUnknownDuty = errors.New("no such duty") // no request has created a duty with this name yet
	ErrUnknownOp   = errors.New("unknown op")   // the request comes from a newer build that has more operations
)
