// Package msgpackrpc speaks the platform's MessagePack-RPC over TCP, at both ends: the front that serves balancers and routers
// (Front), their end of a connection (Conn), and calls between processes of the program over the same messages (CallServer). It
// parses, maps and writes; what becomes of a request is decided in core.
//
// A message is an array: [0, ID, METHOD, [PARAMETER...]] is a request, [1, ID, ERROR, RESULT] its answer, [2, METHOD,
// [PARAMETER...]] a notification. A request for work has the class as its method and two parameters, a map of fields and the body.
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

// Methods that are no class. The words are the platform's.
const (
	// StatusMethod asks for the state of the service as JSON, where the edge file switches that on.
	StatusMethod = "status"

	methodProbe  = "probe"    // health check: the result is true or false, with fields
	methodCancel = "giveUp"   // notification: nobody waits for the request of this id any more, and it gets no answer
	methodDrain  = "lastCall" // notification to a balancer: send no more requests on this connection
	// methodLastTaken is a notification to a router, before a connection at rest is closed: the id of the last request on it that
	// was taken. One that crosses the close with a higher id was not taken and never will be, so that it may be sent again, also
	// when it is an idempotent request without a key on record.
	methodLastTaken = "lastTaken"
)

// Errors of an answer: see Reply.Error.
const (
	// ErrorFull is of a rejection: nothing ran, and another server or a later attempt may serve the request.
	ErrorFull   = "Full"
	errorFailed = "Error" // failed: it may have run
)

// Fields of a request. Those that start with a capital are read or written by package proxy too.
const (
	fieldID          = "i" // of the attempt, 16 hexadecimal digits
	fieldReceivedAt  = "s" // when the balancer received it: milliseconds since 1970
	fieldTimeout     = "d" // milliseconds from then in which the caller waits for the answer
	fieldMemory      = "m" // kilobytes that it books while it is held
	fieldTenant      = "t" //
	fieldKey         = "k" // idempotency key
	fieldObject      = "o" // that a read is about
	fieldRank        = "p" // among requests of its class, from 0 to under 1
	fieldCaller      = "f" // number of the caller
	fieldKnownOnly   = "n" // "1": answer only from a result on record, run nothing
	FieldIncarnation = "b" // of the server that is meant: start of its process, milliseconds since 1970
	FieldConfigID    = "g" // the document by which a router sends it here: VERSION.DIGEST
)

// Further fields of a router's probe. FieldConfigID and FieldConfigSource are in the answer too, of the newest document that the server
// has heard of.
const (
	FieldConfigSource  = "gn" // who told of the document: in a probe the router's own name
	FieldLease         = "gl" // times of its document, in milliseconds
	FieldClockSkew     = "gs"
	FieldProbeInterval = "gp"
	FieldProbeTimeout  = "gw"
	FieldOverlapWindow = "gd"
	FieldInFlight      = "fl" // the router's requests in flight at this server
)

// Fields of an answer, beside FieldIncarnation.
const (
	FieldSignal         = "v"  // the module's free value: a load level, a credit of requests in flight, or a weight
	FieldWarmingUp      = "cs" // FlagSet: the server is in its slow start
	FieldUnknownRuns    = "l"  // of a served answer or a probe's: until when an earlier process may have run what is unknown here
	FieldRetryAfter     = "w"  // of a rejected one: milliseconds
	FieldFinal          = "l"  // FlagSet: of a rejected one: no other server should be tried
	FieldReason         = "x"  // of a rejected one: why, where it has an idempotency key
	FieldSlowStartShare = "c"  // of a probe's: how many requests the router may have in flight at a server that warms up
	FieldConflict       = "gc" // of a probe's: a version of which two documents differ, a blank, and the description of both
	FieldSuspended      = "gq" // of a probe's: milliseconds for which nothing exclusive begins
)

// FlagSet is the value of a field that is either there or not.
const FlagSet = "1"

// Bounds on what a message may hold. Anything beyond them is malformed and closes its connection: a length is checked before memory
// is taken for it.
const (
	defaultMaxBody = 2 << 10          // bytes of a request's body: the platform's
	maxResult      = 64 << 10         // bytes of a result
	maxText        = 512              // bytes of a method, a field's name or its value
	maxElements    = 64               // of an array, or pairs of a map
	maxDepth       = 4                // of values in one that is skipped
	maxTimeout     = time.Hour        // fieldTimeout; the platform's deadlines are seconds
	maxTerm        = time.Hour        // any of a router's times; longer ones count as an hour
	maxMemoryKB    = 2000             // fieldMemory
	maxClockSkew   = 10 * time.Second // by which a balancer's clock may be ahead
)

const (
	// MaxInFlight is the number of requests that a balancer or router has in flight on a connection.
	MaxInFlight = 32
	// maxInFlightServed is the number that a server takes: twice as many, for answers that are on their way.
	maxInFlightServed = 64
	// writeTimeout is how long a peer may take nothing before it loses its connection: it holds a buffer meanwhile.
	writeTimeout = 2 * time.Second
	// lastTakenTimeout is the same for methodLastTaken, which is written while a place is needed: who takes nothing goes without.
	lastTakenTimeout = 10 * time.Millisecond
	// SlowStartProbeIntervals is for how many of its probe intervals a router goes by its share of a server that warms up.
	SlowStartProbeIntervals = 3
)
