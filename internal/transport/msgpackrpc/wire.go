// Package msgpackrpc implements both ends of the platform's MessagePack-RPC over TCP: the front that serves balancers and routers
// (Front), their end of a connection (Conn), and calls between processes of the program with the same messages (CallServer). It decodes
// and encodes messages; package core decides how a request is handled.
//
// A message is an array: [0, ID, METHOD, [PARAMETER...]] is a request, [1, ID, ERROR, RESULT] its answer, [2, METHOD,
// [PARAMETER...]] a notification. A request for work has its class as METHOD and two parameters: a map of fields and the body.
package msgpackrpc

import "time"

// Name is the front's name in counters and log lines.
const Name = "msgpack"

// kind is the first element of a message.
type kind uint64

const (
	request kind = iota
	response
	notification
)

// Methods that are not classes. The platform defines their names.
const (
	// StatusMethod requests the state of the service as JSON. It is available only if the edge file enables it.
	StatusMethod = "status"

	methodProbe  = "probe"    // health check: the result is true or false, with fields
	methodCancel = "giveUp"   // notification: the caller no longer waits for the request with this id, which gets no answer
	methodDrain  = "lastCall" // notification to a balancer: send no more requests on this connection
	// methodLastTaken is a notification to a router before the server closes an idle connection. It has the id of the last request
	// that the server took on the connection. A request with a higher id that crosses the close will not be taken, so the router may
	// send it again, even if it is an idempotent request without a recorded key.
	methodLastTaken = "lastTaken"
)

// Errors of an answer, see Reply.Error.
const (
	// ErrorFull rejects a request, for any reason: this attempt never ran. Fields say why and when to retry.
	ErrorFull   = "Full"
	errorFailed = "Error" // the request failed; it may have run
)

// Fields of a request. The exported ones are also read or written by package proxy.
const (
	fieldID          = "i" // id of the attempt, 16 hexadecimal digits
	fieldReceivedAt  = "s" // when the balancer received the request, in milliseconds since 1970
	fieldTimeout     = "d" // how long the caller waits from then on, in milliseconds
	fieldMemory      = "m" // memory to reserve while the request is in the service, in kilobytes
	fieldTenant      = "t" // tenant
	fieldKey         = "k" // idempotency key
	fieldObject      = "o" // object that a read refers to
	fieldRank        = "p" // rank among requests of its class, at least 0 and below 1
	fieldCaller      = "f" // number of the caller
	fieldKnownOnly   = "n" // FlagSet: answer only from a recorded result, run nothing
	FieldIncarnation = "b" // incarnation of the target server: start of its process, in milliseconds since 1970
	FieldConfigID    = "g" // configuration document that the router routed by: VERSION.DIGEST
)

// Further fields of a router's probe. FieldConfigID and FieldConfigSource are also in the answer, where they identify the newest document
// that the server has observed.
const (
	FieldConfigSource  = "gn" // source of the document; in a probe, the name of the router
	FieldLease         = "gl" // lease of the document, in milliseconds
	FieldClockSkew     = "gs" // allowed clock skew, in milliseconds
	FieldProbeInterval = "gp" // in milliseconds
	FieldProbeTimeout  = "gw" // in milliseconds
	FieldOverlapWindow = "gd" // in milliseconds
	FieldInFlight      = "fl" // number of the router's requests in flight at this server
)

// isServedField reports whether the front reads a field of a request or a probe.
func isServedField(name string) bool {
	switch name {
	case fieldID, fieldReceivedAt, fieldTimeout, fieldMemory, fieldTenant, fieldKey, fieldObject, fieldRank, fieldCaller, fieldKnownOnly,
		FieldIncarnation, FieldConfigID, FieldConfigSource, FieldLease, FieldClockSkew, FieldProbeInterval, FieldProbeTimeout,
		FieldOverlapWindow, FieldInFlight:
		return true
	}
	return false
}

// Fields of an answer. Answers also have FieldIncarnation.
const (
	FieldSignal         = "v"  // value set by the module: a load level, a credit of requests in flight, or a weight
	FieldSlowStart      = "cs" // FlagSet: the server is in its slow start
	FieldUnknownRuns    = "l"  // served answer or probe: until when an earlier process may have run requests that this one has no record of
	FieldRetryAfter     = "w"  // rejection: delay before a retry, in milliseconds
	FieldFinal          = "l"  // rejection, FlagSet: the request should not be tried at another server
	FieldReason         = "x"  // rejection: reason, for a request with an idempotency key
	FieldSlowStartQuota = "c"  // probe: number of requests that the router may have in flight here during the slow start
	FieldConflict       = "gc" // probe: a version with two different documents, a space, and a description of both
	FieldSuspended      = "gq" // probe: for how many milliseconds nothing exclusive starts, see configstore.KindExclusive
)

// FlagSet is the value of a flag field. An unset flag is left out.
const FlagSet = "1"

// MaxBodyBytes is the largest body of a request, as the platform defines it.
const MaxBodyBytes = 2 << 10

// Bounds on the content of a message. A message that exceeds one is malformed and closes its connection. Lengths are checked before
// memory is allocated.
const (
	maxResultBytes = 64 << 10         // bytes of a result
	maxStringBytes = 512              // bytes of a method, a field name or a field value
	maxElements    = 64               // elements of an array, or pairs of a map
	maxDepth       = 4                // nesting depth of a skipped value
	maxTimeout     = time.Hour        // largest fieldTimeout; the platform's deadlines are a few seconds
	maxProbeTime   = time.Hour        // largest time in a router's probe; a longer one is reduced to it
	maxIDBytes     = 128              // bytes of fieldID; a router appends to it when it hedges a request
	maxMemoryKB    = 2000             // fieldMemory must be below it
	maxClockSkew   = 10 * time.Second // how far a balancer's clock may be ahead
)

const (
	// MaxInFlight is the largest number of requests that a balancer or router has in flight on a connection.
	MaxInFlight = 32
	// maxInFlightServed is the largest number of requests in flight that a server accepts on a connection. It is twice MaxInFlight, to
	// allow for answers that have not reached the peer yet.
	maxInFlightServed = 64
	// writeTimeout is how long a write may take before the connection is closed. A blocked write occupies a buffer.
	writeTimeout = 2 * time.Second
	// lastTakenTimeout is the write timeout for methodLastTaken. It is short because a new connection may be waiting for the slot. A
	// peer that does not read in time does not get the notification.
	lastTakenTimeout = 10 * time.Millisecond
	// SlowStartProbeIntervals is the number of probe intervals for which a router applies FieldSlowStartQuota of an answer.
	SlowStartProbeIntervals = 3
)
