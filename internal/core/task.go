package core

import (
	"context"
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
)

// responseState is the state of a request's answer. It leaves responsePending once, under the lock, so that there is exactly
// one answer whoever comes first: the module, the run, the deadline or the caller's leaving.
type responseState int

const (
	responsePending responseState = iota
	responseSettled
	responseCancelled // its caller left
)

// task is a request in hand.
type task struct {
	Request
	class       silverpath.Class
	readAt      time.Time
	response    responseState
	started     bool                 // handed to the runner at least once
	running     bool                 // handed to the runner, and its end not seen yet
	joining     bool                 // waits for the result of another attempt
	calling     bool                 // a call of its run is out
	callBody    []byte               // the body of the call that the run waits for
	execution   *execution           // the run that this attempt is, or may become; idempotent requests and shared reads
	duplicateOf *execution           // the run of another attempt that this one duplicates
	keyConflict bool                 // it has the key of another request, which is not the same
	movedReason string               // why its key may not begin here, a Reason or blockedBy, for the router; empty: it may
	verdict     idempotency.Decision // what the store says of it, where runs are kept
	blockedBy   string               // why nothing new begins by the rules that it was sent by; empty: nothing is against it

	cancelCall    context.CancelFunc // gives up the call that is out
	deadlineTimer *time.Timer

	events []event       // what its goroutine has to do, in order
	wake   chan struct{} // holds one signal while there may be events
}

// idempotent reports whether further attempts of the request may come that are one request with it.
func (t *task) idempotent() bool { return t.class.Effect == silverpath.Idempotent && t.Key != "" }

// event is what a request's goroutine does next.
type event struct {
	kind    eventKind
	outcome silverpath.Outcome // runEnded, callEnded
	data    []byte             // callNeeded: the call's body; callEnded, runEnded: the result
	spent   time.Duration      // callEnded, runEnded
	err     error              // startPersisted: why the record is not known to last

	answer    Answer // answerSettled, and runEnded where the run brought one
	hasAnswer bool   // runEnded: the answer is that one
	persisted bool   // runEnded: the result lasts, or never will

	timeout      time.Duration     // callChosen
	notification hotrestart.Notice // runChosen: how the other process hears of it first
	link         int               // runChosen: on which link
}

type eventKind int

const (
	runChosen       eventKind = iota // by the module
	callChosen                       // by the module
	answerSettled                    // its one answer is settled
	callNeeded                       // its run waits for a call
	callEnded                        // that call has ended
	startPersisted                   // that it runs is on the disk, where runs are kept
	runEnded                         // its run, or its join, has ended
	callerGone                       // its caller has left
	deadlineReached                  // its answer is due now
	requestOver                      // nothing of it is left to do
)

// enqueue leaves an event for the request's goroutine. It is called under the core's lock.
func (t *task) enqueue(e event) {
	t.events = append(t.events, e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// over reports whether nothing of the request is left to do.
func (t *task) over() bool {
	return t.response != responsePending && !t.running && !t.joining && !t.calling
}
