package admission

import "time"

// Door decides at the first bytes of a request whether the rest of it is worth reading. The decision module turns
// requests of a class away on arrival; where it has done so for a row of them without taking one, the next few of that
// class are told the same without being read in full, until the module is asked again.
type Door struct {
	row   int // refused on arrival, one after the other
	until time.Duration
	last  time.Duration
}

const (
	doorRow   = 16                     // refusals in a row that shut a door
	doorKnock = 4                      // refusals in a row that shut it again
	doorShut  = 20 * time.Millisecond  // it opens again after: less than a tick of the module
	doorSpan  = 100 * time.Millisecond // a row that took longer tells of no flood
)

// Refused is told that the module has refused an arrival at once.
func (d *Door) Refused(now time.Duration) {
	if now-d.last > doorSpan {
		d.row = 0
	}
	d.last = now
	if d.row++; d.row >= doorRow {
		d.until = now + doorShut
		d.row = doorRow - doorKnock
	}
}

// Taken is told that the module has taken an arrival.
func (d *Door) Taken() { d.row, d.until = 0, 0 }

// Shut reports whether a request is turned away unread.
func (d *Door) Shut(now time.Duration) bool { return now < d.until }

// Until is when the door opens again.
func (d *Door) Until() time.Duration { return d.until }
