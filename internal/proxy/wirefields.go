package proxy

// The names of fields between routers and servers, of the platform's balancer protocol and of the fleet's own. They are read and
// written here alone; transport/msgpackrpc carries them.
const (
	// Of a server's answer to an attempt.
	errorFull       = "Full" // the error of a rejection; any other is a failure
	fieldRetryAfter = "w"    // milliseconds
	fieldFinal      = "l"    // "1": no other attempt is of use
	fieldReason     = "x"    // why a request with a key is rejected
	fieldCredit     = "v"    // requests that the server wants in flight at most

	// Of a server's answer to an attempt or to a health check.
	fieldBoot     = "b"  // Unix milliseconds of its start
	fieldRanUntil = "l"  // of a health check: Unix milliseconds until when an earlier process may have run anything
	fieldWarming  = "cs" // not empty: the server is in its slow start
	fieldGranted  = "c"  // of a health check: requests that this router may have in flight in the slow start

	// Of a health check, and of the answer to it: which map the sender goes by.
	fieldMapID    = "g"
	fieldMapFrom  = "gn" // who told of it first
	fieldConflict = "gc" // in an answer: a version of which two maps differ, a blank, and the description of both
	fieldSuspend  = "gq" // in an answer: milliseconds that nothing exclusive begins

	// Of a health check: the terms of the sender's map, in milliseconds, and what it has in flight.
	fieldLease         = "gl"
	fieldClockSkew     = "gs"
	fieldProbeInterval = "gp"
	fieldProbeTimeout  = "gw"
	fieldOverlapWindow = "gd"
	fieldInFlight      = "fl"
)
