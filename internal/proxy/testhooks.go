package proxy

import "time"

// Boundary is a hook for test programs, which suspend the process in it. At is "routed" when the home of a request with a key was found by
// the map in force, and the request is not sent yet.
var Boundary = func(at string) {}

// Wall is the wall clock against which the times in maps are compared. Rate is the speed of the clock by which leases of grants expire,
// relative to the monotonic clock. Only test programs change them.
var (
	Wall = time.Now
	Rate = 1.0
)
