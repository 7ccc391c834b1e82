// Package lifecycle defines the states of a service from its start to its exit, and the transitions between them. There are two kinds of
// drain: an evacuation, which operators begin and end and during which all requests are served, and the shutdown, which SIGTERM begins and
// which is final. It has no clock, no lock and no goroutine.
package lifecycle

// State is the state of a service. Its number is that of the MIB minus one.
type State int32

// The states of a service.
const (
	Starting          State = iota // the interpreter is not up yet
	Serving                        // the service is ready
	Draining                       // a signal began the shutdown, which is final
	Stopped                        // all requests are answered
	EvacuatedStarting              // evacuated before the interpreter is up
	Evacuated                      // evacuated while up: health checks fail, and all requests are served
	states
)

// String returns the state's name in the log and the status.
func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "stopped", "held", "evacuated"}[s]
}

// Event is an event that may change the state of a service.
type Event int

// The events.
const (
	WorkerUp Event = iota // the interpreter is up
	Evacuate              // an operator begins an evacuation
	Rejoin                // an operator ends the evacuation
	Shutdown              // a signal requests the shutdown
	Drained               // all requests are answered, or the process is about to be stopped
	events
)

// String returns the event's name.
func (e Event) String() string { return [...]string{"up", "evacuate", "rejoin", "leave", "end"}[e] }

// Outcome is the result of an event.
type Outcome struct {
	To     State
	OK     bool   // the requested state is in effect
	Reason string // one line for the operator
}

// transitions holds the outcome of every event in every state. Requesting a state that is already in effect succeeds, so that an operator
// can repeat a call whose answer was lost.
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
		Evacuate: {Draining, true, "leaving for good"}, // its health checks fail already
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

// On returns the outcome of an event in the state.
func (s State) On(e Event) Outcome { return transitions[s][e] }

// Healthy reports whether health checks succeed.
func (s State) Healthy() bool { return s == Starting || s == Serving }

// ShuttingDown reports whether the shutdown has begun, which is final.
func (s State) ShuttingDown() bool { return s == Draining || s == Stopped }

// Ready returns the readiness that operators are shown, and its reason.
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
