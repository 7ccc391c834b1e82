package proxy

import "time"

// Boundary is called in test programs only, which stop the process there: routed (a request with a key has been found its home, by the
// map that was in force then, and was not sent).
var Boundary = func(at string) {}

// Wall is the clock by which times in maps come, and Rate has the one by which leases end run fast or slow, in test programs only.
var (
	Wall = time.Now
	Rate = 1.0
)
