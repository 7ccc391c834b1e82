package core

import (
	"context"
	"time"

	"silverpath"
)

// Outcome is the kind of a request's one answer.
type Outcome int

// The outcomes.
const (
	Served   Outcome = iota
	Rejected         // this attempt never ran
	Failed           // the request may or may not have run
	Expired          // failed because its deadline passed
	Invalid          // failed because it is invalid: no part of it ran
)

// String returns the outcome's name in counters. Rejected is written "refused"; the counter turned_away is separate and counts the
// requests that the core or a front answers without asking the module, with any outcome.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "expired", "invalid"}[o]
}

// Request is one attempt of a request as a front read it.
type Request struct {
	Front, ID  string // the id differs between attempts
	Class      string
	Tenant     string
	Key        string // idempotency key, the same for all attempts of a request of an idempotent class
	Object     string // the object that a read asks for, if the caller names it
	Caller     int
	MemoryKB   float64   // the memory that is reserved for it while it is queued
	Rank       float64   // its priority among all requests, from 0 to under 1
	ReceivedAt time.Time // when it reached the machine
	Deadline   time.Time // when its caller stops waiting
	Body       []byte
	// OnlyIfKnown asks for an idempotent request only if its key is known here. If it is not, the request is rejected with
	// ReasonUnknown.
	OnlyIfKnown bool
	// RulesID names the routing document by which a router sent an idempotent request here, and RulesSource names where the router
	// got that document. Both may be empty.
	RulesID, RulesSource string
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome    Outcome
	Body       []byte        // of Served: the result, unchanged
	RetryAfter time.Duration // of Rejected: how long the caller must wait before it retries
	Final      bool          // of Rejected: the caller must not retry at another server
	Reason     string        // of Rejected: one of the Reason constants, for a router; empty if there is none

	persisted <-chan error // if not nil, the answer leaves only after this channel delivers
}

// Reasons that accompany a rejection on its way to a router. The function given to SetBlockRule returns reasons too:
// configstore.StopUnconfirmed, StopClockSkew or StopQuiescing.
const (
	ReasonUnknown = "unknown" // OnlyIfKnown was set and the key is not known here; it will not run here within its window
	ReasonMoved   = "moved"   // the key runs elsewhere: a router asked for it earlier, when it was not known here
	ReasonBoot    = "boot"    // the request is addressed to an earlier start of this service
	// No new run may start by the routing document that the request names. The texts are the names of the verdicts in package
	// configstore.
	ReasonBehind       = "behind"
	ReasonContradicted = "contradicted"
	ReasonQuiet        = "quiet"
)

// Runner executes requests. Its methods never block. It reports the end of a run through Core.RunEnded and a run that waits for a
// dependency call through Core.RunNeedsCall.
type Runner interface {
	Run(id, class string, body []byte)
	Resume(id string, reply []byte) // delivers the reply to the call that the run waits for
	Probe()                         // asks for the gauges, which the runner reports through Core.Gauges
}

// Forwarder is a Runner that forwards requests unchanged. The core calls Forward instead of Run.
type Forwarder interface {
	Forward(r Request)
}

// Caller makes one dependency call for the run of a request and returns its outcome and the reply. It cancels the call when the
// timeout expires or the context ends. If once is set, Call sends the call at most once, and the outcome is exact about whether
// the call may have run.
type Caller interface {
	Call(ctx context.Context, id string, timeout time.Duration, body []byte, once bool) (silverpath.Outcome, []byte)
}
