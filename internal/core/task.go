package core

import (
	"context"
	"time"

	"silverpath"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
)

// responseState is the state of a request's answer. It leaves responsePending exactly once, under the lock. This guarantees one
// answer even if the module, the end of the run, the deadline and a disconnecting caller race.
type responseState int

const (
	responsePending responseState = iota
	responseSettled
	responseCancelled // the caller disconnected
)

// task is the record of a request that still has work to do.
type task struct {
	Request
	class       silverpath.Class
	readAt      time.Time
	response    responseState
	started     bool                 // dispatched to the runner at least once
	running     bool                 // dispatched to the runner, and its end not processed yet
	joining     bool                 // waits for the result of another attempt
	calling     bool                 // a dependency call of its run is in flight
	callBody    []byte               // the body of the call that the run waits for
	execution   *execution           // the run of this attempt, queued or started; nil unless the request is idempotent or a shared read
	duplicateOf *execution           // the run of another attempt that this one duplicates
	keyConflict bool                 // another request with a different body or tenant has the same key
	repeatedID  bool                 // a request with an effect, without an idempotency key, has run under the same id
	movedReason string               // why its key may not start a run here, a Reason or blockedBy, for the router; empty if it may
	decision    idempotency.Decision // the decision of keyTable.admitFirst
	blockedBy   string               // why the routing rules forbid a new run, empty if they do not

	cancelCall    context.CancelFunc // cancels the call in flight
	deadlineTimer *time.Timer

	events []event       // what its goroutine has to process, in order
	wake   chan struct{} // holds one signal while there may be events
}

// idempotent reports whether the request has an idempotency key, so that it may have further attempts.
func (t *task) idempotent() bool { return t.class.Effect == silverpath.Idempotent && t.Key != "" }

// event is one step for a request's goroutine to process.
type event struct {
	kind     eventKind
	outcome  silverpath.Outcome // of runEnded and callEnded
	data     []byte             // of callNeeded: the body of the call; of callEnded and runEnded: the result
	duration time.Duration      // of callEnded and runEnded
	err      error              // of startPersisted: why the record may not be durable

	answer    Answer // of answerSettled, and of runEnded if hasAnswer is set
	hasAnswer bool   // of runEnded: answer replaces the one derived from the outcome
	persisted bool   // of runEnded: the result is durable, or its write has failed

	timeout time.Duration     // of callRequested
	notice  hotrestart.Notice // of runRequested: how the other process must be notified first
	linkID  int               // of runRequested: the link for the notification
}

type eventKind int

const (
	runRequested       eventKind = iota // the module asked to run the request
	callRequested                       // the module asked to make the call
	answerSettled                       // the request's one answer is settled
	callNeeded                          // the run waits for a call
	callEnded                           // the call has ended
	startPersisted                      // the write of the run's intent has ended
	runEnded                            // the run, or the wait for another attempt's run, has ended
	callerDisconnected                  // the caller disconnected
	deadlineReached                     // the deadline, less answerMargin, has passed
	requestOver                         // the request has no work left
)

// enqueue appends an event for the request's goroutine. It is called under the core's lock.
func (t *task) enqueue(e event) {
	t.events = append(t.events, e)
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// finished reports whether the request has no work left, except for queued events.
func (t *task) finished() bool {
	return t.response != responsePending && !t.running && !t.joining && !t.calling
}
