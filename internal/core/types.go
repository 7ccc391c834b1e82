package core

import (
	"context"
	"time"

	"silverpath"
)

// Outcome is what a request's one answer says.
type Outcome int

// Outcomes.
const (
	Served   Outcome = iota
	Rejected         // this attempt never ran
	Failed           // no assurance
	Expired          // failed, since its time was up
	Invalid          // failed, since it is no request that can be: nothing of it ran
)

// String is the outcome's name in counters, where refused stands for Rejected; turned_away counts what the core or a front rejects without
// asking the module.
func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "expired", "invalid"}[o]
}

// Request is one attempt of a request as a front read it.
type Request struct {
	Front, ID  string // the id is new with every attempt
	Class      string
	Tenant     string
	Key        string // of idempotent classes: the same for all attempts of one request
	Object     string // what a read is about, where told
	Caller     int
	MemoryKB   float64   // booked for it while it is queued
	Rank       float64   // its priority among all, from 0 to under 1
	ReceivedAt time.Time // when it reached the machine
	Deadline   time.Time // until when its caller waits
	Body       []byte
	// OnlyIfKnown asks for an idempotent request only where its key is known here: see Answer.Reason.
	OnlyIfKnown bool
	// RulesID names the document by which a router has sent an idempotent request here, and RulesSource where the router has
	// it from. Both may be empty.
	RulesID, RulesSource string
}

// Answer is a final answer.
type Answer struct {
	Outcome    Outcome
	Body       []byte        // served: the result, unchanged
	RetryAfter time.Duration // rejected: stay away for so long
	Final      bool          // rejected: don't try elsewhere
	Reason     string        // rejected: what a router has to know of it; empty where that is nothing

	persisted <-chan error // it may go once this is told; nil: at once
}

// Reasons that a router is given beside a rejection. What the function of SetBlockRule returns is one too: configstore.StopUnconfirmed,
// StopClockSkew or StopQuiescing.
const (
	ReasonUnknown = "unknown" // it was asked for only if known, is not, and will not be run here within its window
	ReasonMoved   = "moved"   // it belongs elsewhere: its key was asked for, and was not known
	ReasonBoot    = "boot"    // it is meant for an earlier start of this service
	// The router's rules can't be acted on: the names of verdicts in the package configstore.
	ReasonBehind       = "behind"
	ReasonContradicted = "contradicted"
	ReasonQuiet        = "quiet"
)

// Runner does the work of requests. Its methods never block. What becomes of a run it reports by Core.RunEnded and, when
// the run waits for a call, by Core.RunNeedsCall.
type Runner interface {
	Run(id, class string, body []byte)
	Resume(id string, reply []byte) // the reply to the call that the run waits for
	Probe()                         // asks for the gauges, which it reports by Core.Gauges
}

// Forwarder is a Runner that hands a request on as it is; Run is not called then.
type Forwarder interface {
	Forward(r Request)
}

// Caller makes one call below for the run of a request and returns how it ended. It gives the call up when the timeout is
// over or the context ends. Where the call may be made only once, Call sends it only once, and the outcome tells truly
// whether it may have run.
type Caller interface {
	Call(ctx context.Context, id string, timeout time.Duration, body []byte, once bool) (silverpath.Outcome, []byte)
}
