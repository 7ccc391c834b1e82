package settings

// Edge sets up what goes beyond the platform: see docs/pools.md.
type Edge struct {
	Status bool // fronts answer status requests
}
