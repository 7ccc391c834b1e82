package routing

import "flag"

// The property tests take the same course every time.
func init() {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
}
