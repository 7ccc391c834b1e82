// Package recovery decides how a process comes back after it, or its machine, was dark: what its own sign of life proves of how long
// ago it last ran anything, what it may begin while it can't leave such signs, and on what the return of its service waits. It
// decides only: no I/O, no clock, no goroutine.
package recovery

import "time"

// Sign is a sign of life: that a process was running at a time. Times are those of the machine since it was switched on, which no
// setting of the wall clock moves.
type Sign struct {
	Name    string        // of the service
	Machine string        // on which it ran; empty: not known
	Boot    string        // which time the machine was switched on
	Up      time.Duration // since then
	Valid   time.Duration // for so long after it the process may have begun what has an effect
}

// Evidence is by what it is known how long ago a process last ran.
type Evidence uint8

const (
	Nothing   Evidence = iota // no sign, or one of another machine: it may have run until just now
	ByProcess                 // the machine was on all the time, and its clock counted
	ByMachine                 // the machine was switched on since: it ran before that
)

func (e Evidence) String() string { return [...]string{"nothing", "process", "machine"}[e] }

// Dark is for how long, at the least, nothing has been begun, by the sign that was found and the present moment as another one. The
// wall clock has no part in it: it may have been set back, ahead, or have stood still in the dark.
func (s Sign) Dark(now Sign) (least time.Duration, by Evidence) {
	switch {
	case s.Machine == "" || s.Machine != now.Machine || s.Name != now.Name || s.Boot == "" || now.Boot == "":
		return 0, Nothing
	case s.Boot != now.Boot:
		return now.Up, ByMachine
	case now.Up < s.Up: // no clock of one switching-on runs back: it is not what it says
		return 0, Nothing
	}
	return max(0, now.Up-s.Up-s.Valid), ByProcess
}

// Terms are how signs are left.
type Terms struct {
	Every time.Duration // a sign is due
	Valid time.Duration // after the latest that lasts, what has an effect may begin
}

// Life is one process's signs: when one is due, and whether what has an effect may begin.
type Life struct {
	terms   Terms
	asked   time.Duration // when the latest write was begun
	begun   bool
	writing bool
	lasting time.Duration // of the latest sign that lasts
	lasts   bool
	since   time.Duration // it may not begin anything
	quiet   bool
}

// NewLife returns the life of a process that has left no sign yet.
func NewLife(t Terms) *Life { return &Life{terms: t, quiet: true} }

// Due reports whether a sign is to be written now, and notes that it is.
func (l *Life) Due(now time.Duration) bool {
	if l.writing || l.begun && now-l.asked < l.terms.Every {
		return false
	}
	l.asked, l.begun, l.writing = now, true, true
	return true
}

// Written is told how the write ended that was due. What it says is of the moment at which it was begun.
func (l *Life) Written(ok bool) {
	l.writing = false
	if ok {
		l.lasting, l.lasts = l.asked, true
	}
}

// May reports whether what has an effect may begin: a restart will take nothing to have begun later than this allows.
func (l *Life) May(now time.Duration) bool {
	may := l.lasts && now-l.lasting < l.terms.Valid
	if !may && !l.quiet {
		l.since = now
	}
	l.quiet = !may
	return may
}

// Quiet is for how long nothing may begin; 0 while it may.
func (l *Life) Quiet(now time.Duration) time.Duration {
	if l.May(now) {
		return 0
	}
	return max(1, now-l.since)
}
