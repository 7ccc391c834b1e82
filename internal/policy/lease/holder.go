package lease

import "time"

// State is what a process is to a duty.
type State int

const (
	Waiting State = iota // it asks to own it
	Holding              // it owns it
	Leaving              // it asks to be let go, and begins nothing
	Out                  // it neither owns nor asks
)

func (s State) String() string { return [...]string{"waiting", "holding", "leaving", "out"}[s] }

// Holder is the side of a process that wants to own a duty. Its times are those of the process's own monotonic clock.
type Holder struct {
	Duty, Who string
	terms     Terms
	state     State
	epoch     Epoch
	until     time.Duration // it owns until then
	asked     time.Duration // when it last asked; under 0: never
	told      time.Duration // when it was last answered
	wish      bool          // it is to own it where it can
	hand      bool          // it was asked to hand it on
	ended     time.Duration // when it last ceased to own
	over      Epoch         // it has let go of this one, or was refused by it: an answer from before says nothing
}

// NewHolder returns the side of a process that waits. Who names one start of a process: what comes back under a name is
// another one.
func NewHolder(duty, who string, t Terms) *Holder {
	return &Holder{Duty: duty, Who: who, terms: t, asked: -1, wish: true}
}

// State is what it is now. Who was not heard of in time owns nothing, whatever else it knows.
func (h *Holder) State(now time.Duration) State {
	if (h.state == Holding || h.state == Leaving) && now >= h.until {
		h.lose(h.until)
	}
	return h.state
}

func (h *Holder) lose(at time.Duration) {
	h.ended = at
	h.epoch, h.until, h.hand = 0, 0, false
	if h.state = Waiting; !h.wish {
		h.state = Out
	}
}

// Owns is the epoch by which it owns the duty, and whether it does and may begin an act. It says so before an act, and
// whoever takes the act's effect asks again: a process can be stopped in between.
func (h *Holder) Owns(now time.Duration) (Epoch, bool) {
	return h.epoch, h.State(now) == Holding
}

// Ended is when it last ceased to own the duty, which may be seen later.
func (h *Holder) Ended() time.Duration { return h.ended }

// Handing reports whether it was asked to hand the duty on, which it does between two acts by Leave.
func (h *Holder) Handing() bool { return h.hand }

// Leave ends its wish, or, with stay, hands on and waits again.
func (h *Holder) Leave(now time.Duration, stay bool) {
	h.wish = stay
	switch h.State(now) {
	case Holding:
		h.state, h.asked, h.ended = Leaving, -1, now
	case Waiting:
		if !stay {
			h.state = Out
		}
	}
}

// Next is what to ask now, and whether anything: a third of the lease after it last asked.
func (h *Holder) Next(now time.Duration) (Ask, bool) {
	st := h.State(now)
	every := h.terms.TTL / 3
	if st == Waiting {
		every = h.terms.TTL / 6
	}
	if st == Out || h.asked >= 0 && now-h.asked < every {
		return Ask{}, false
	}
	h.asked = now
	switch st {
	case Holding:
		return Ask{Op: Renew, Duty: h.Duty, Who: h.Who, Epoch: h.epoch}, true
	case Leaving:
		h.over = max(h.over, h.epoch) // from here on it may be somebody else's, whether or not an answer comes
		return Ask{Op: Release, Duty: h.Duty, Who: h.Who, Epoch: h.epoch}, true
	}
	return Ask{Op: Acquire, Duty: h.Duty, Who: h.Who}, true
}

// Renew is asked of the group's leader, which notes it without a word in the log.
const Renew Op = "renew"

// Told takes the answer to what was asked at a time: the duty as the group has it, or that it was refused. It returns
// whether the process has come to own the duty, or has lost it.
func (h *Holder) Told(asked time.Duration, a Ask, d Duty, refused bool, now time.Duration) (gained, lost bool) {
	had := h.State(now) == Holding
	h.told = now
	switch {
	case a.Op == Release:
		h.over = max(h.over, a.Epoch)
		if h.epoch == a.Epoch {
			h.lose(now)
		}
	case d.Holder != h.Who || refused:
		if d.Epoch >= h.epoch && (h.state == Holding || h.state == Leaving) {
			h.over = max(h.over, h.epoch)
			h.lose(now)
		}
	case d.Epoch < h.epoch || d.Epoch <= h.over: // an answer that was held on the way
	case h.state == Waiting || h.state == Holding:
		if until := asked + h.terms.Hold(); now < until {
			h.state, h.until = Holding, max(h.until, until)
			if h.epoch != d.Epoch {
				h.epoch, h.until = d.Epoch, until
			}
			h.hand = d.Next != "" && d.Next != h.Who
		}
	}
	has := h.State(now) == Holding
	return has && !had, had && !has
}
