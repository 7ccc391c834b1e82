// Package lifecycle decides through which states a service goes from its start to its exit. There are two drains: one
// that operators begin and end, during which all that comes is served, and the one that SIGTERM begins, which is final.
// It decides only: no clock, no lock, no goroutine.
package lifecycle

// State is a stretch of a service's life. The numbers are those of the MIB, less one.
type State int32

const (
	Starting  State = iota // the interpreter is not up yet
	Serving                // ready
	Draining               // told to leave by a signal: final
	Stopped                // everything is answered
	Held                   // not up yet, and told to evacuate
	Evacuated              // up, told to evacuate: health is bad, and all that comes is served
	states
)

func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "stopped", "held", "evacuated"}[s]
}

// Event is what moves a service on.
type Event int

const (
	Up       Event = iota // that which does the work is there
	Evacuate              // an operator begins a drain
	Rejoin                // an operator ends it
	Leave                 // the notice to leave
	End                   // everything is answered, or the process is about to be stopped
	events
)

func (e Event) String() string { return [...]string{"up", "evacuate", "rejoin", "leave", "end"}[e] }

// Answer is what becomes of an event.
type Answer struct {
	To  State
	Yes bool   // what was asked for holds now
	Why string // one line for the operator
}

// table has what every event does in every state. An operator who asks for what holds already is told yes, so that a
// call whose answer was lost can be made again.
var table = [states][events]Answer{
	Starting: {
		Up:       {Serving, true, "serving"},
		Evacuate: {Held, true, "evacuated before it is up"},
		Rejoin:   {Starting, true, "was not evacuated"},
		Leave:    {Draining, true, "leaving"},
		End:      {Stopped, true, "stopped"},
	},
	Held: {
		Up:       {Evacuated, true, "up, and evacuated"},
		Evacuate: {Held, true, "was evacuated before"},
		Rejoin:   {Starting, true, "rejoined, and not up yet"},
		Leave:    {Draining, true, "leaving"},
		End:      {Stopped, true, "stopped"},
	},
	Serving: {
		Up:       {Serving, true, "was up before"},
		Evacuate: {Evacuated, true, "evacuated"},
		Rejoin:   {Serving, true, "was not evacuated"},
		Leave:    {Draining, true, "leaving"},
		End:      {Stopped, true, "stopped"},
	},
	Evacuated: {
		Up:       {Evacuated, true, "was up before"},
		Evacuate: {Evacuated, true, "was evacuated before"},
		Rejoin:   {Serving, true, "rejoined"},
		Leave:    {Draining, true, "leaving"},
		End:      {Stopped, true, "stopped"},
	},
	Draining: {
		Up:       {Draining, false, "leaving for good"},
		Evacuate: {Draining, true, "leaving for good"}, // its health is bad already
		Rejoin:   {Draining, false, "leaving for good: start it again"},
		Leave:    {Draining, true, "was leaving before"},
		End:      {Stopped, true, "stopped"},
	},
	Stopped: {
		Up:       {Stopped, false, "stopped"},
		Evacuate: {Stopped, true, "stopped"},
		Rejoin:   {Stopped, false, "stopped: start it again"},
		Leave:    {Stopped, true, "stopped"},
		End:      {Stopped, true, "was stopped before"},
	},
}

// Next is what an event does in a state.
func (s State) Next(e Event) Answer { return table[s][e] }

// Healthy reports whether health checks may be answered as good.
func (s State) Healthy() bool { return s == Starting || s == Serving }

// Leaving reports whether the service was told to leave, for good.
func (s State) Leaving() bool { return s == Draining || s == Stopped }

// Ready reports whether operators are told that the process is ready to serve, and why not.
func (s State) Ready() (bool, string) {
	switch s {
	case Serving:
		return true, "serving"
	case Starting, Held:
		return false, "starting: the interpreter is not up"
	case Evacuated:
		return false, "evacuated: rejoin ends it"
	}
	return false, "leaving for good"
}
