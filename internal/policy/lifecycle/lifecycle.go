// Package lifecycle decides through which states a service goes from its start to its exit. There are two drains: one that operators begin
// and end, called an evacuation, during which all that comes is served, and the shutdown that SIGTERM begins, which is final. It decides
// only: no clock, no lock, no goroutine.
package lifecycle

// State is how far a service has come. The numbers are those of the MIB, less one.
type State int32

// The states of a service.
const (
	Starting          State = iota // the interpreter is not up yet
	Serving                        // ready
	Draining                       // told to leave by a signal: final
	Stopped                        // everything is answered
	EvacuatedStarting              // not up yet, and told to evacuate
	Evacuated                      // up, told to evacuate: health is bad, and all that comes is served
	states
)

// String names a state, in the words of the log and the status.
func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "stopped", "held", "evacuated"}[s]
}

// Event is what moves a service on.
type Event int

// The events.
const (
	WorkerUp Event = iota // that which does the work is there
	Evacuate              // an operator begins a drain
	Rejoin                // an operator ends it
	Shutdown              // the notice to leave
	Drained               // everything is answered, or the process is about to be stopped
	events
)

// String names an event.
func (e Event) String() string { return [...]string{"up", "evacuate", "rejoin", "leave", "end"}[e] }

// Outcome is what becomes of an event.
type Outcome struct {
	To     State
	OK     bool   // what was requested holds now
	Reason string // one line for the operator
}

// transitions has what every event does in every state. An operator who requests what holds already is told yes, so that a call whose answer
// was lost can be made again.
var transitions = [states][events]Outcome{
	Starting: {
		WorkerUp: {Serving, true, "serving"},
		Evacuate: {EvacuatedStarting, true, "evacuated before it is up"},
		Rejoin:   {Starting, true, "was not evacuated"},
		Shutdown: {Draining, true, "leaving"},
		Drained:  {Stopped, true, "stopped"},
	},
	EvacuatedStarting: {
		WorkerUp: {Evacuated, true, "up, and evacuated"},
		Evacuate: {EvacuatedStarting, true, "was evacuated before"},
		Rejoin:   {Starting, true, "rejoined, and not up yet"},
		Shutdown: {Draining, true, "leaving"},
		Drained:  {Stopped, true, "stopped"},
	},
	Serving: {
		WorkerUp: {Serving, true, "was up before"},
		Evacuate: {Evacuated, true, "evacuated"},
		Rejoin:   {Serving, true, "was not evacuated"},
		Shutdown: {Draining, true, "leaving"},
		Drained:  {Stopped, true, "stopped"},
	},
	Evacuated: {
		WorkerUp: {Evacuated, true, "was up before"},
		Evacuate: {Evacuated, true, "was evacuated before"},
		Rejoin:   {Serving, true, "rejoined"},
		Shutdown: {Draining, true, "leaving"},
		Drained:  {Stopped, true, "stopped"},
	},
	Draining: {
		WorkerUp: {Draining, false, "leaving for good"},
		Evacuate: {Draining, true, "leaving for good"}, // its health is bad already
		Rejoin:   {Draining, false, "leaving for good: start it again"},
		Shutdown: {Draining, true, "was leaving before"},
		Drained:  {Stopped, true, "stopped"},
	},
	Stopped: {
		WorkerUp: {Stopped, false, "stopped"},
		Evacuate: {Stopped, true, "stopped"},
		Rejoin:   {Stopped, false, "stopped: start it again"},
		Shutdown: {Stopped, true, "stopped"},
		Drained:  {Stopped, true, "was stopped before"},
	},
}

// On is what an event does in a state.
func (s State) On(e Event) Outcome { return transitions[s][e] }

// Healthy reports whether health checks may be answered as good.
func (s State) Healthy() bool { return s == Starting || s == Serving }

// ShuttingDown reports whether the service was told to leave, for good.
func (s State) ShuttingDown() bool { return s == Draining || s == Stopped }

// Ready reports whether operators are told that the process is ready to serve, and why not.
func (s State) Ready() (bool, string) {
	switch s {
	case Serving:
		return true, "serving"
	case Starting, EvacuatedStarting:
		return false, "starting: the interpreter is not up"
	case Evacuated:
		return false, "evacuated: rejoin ends it"
	}
	return false, "leaving for good"
}
