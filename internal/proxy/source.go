package proxy

import (
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
)

// Source is where a router has its cell map from.
type Source interface {
	// Load returns the map and when it was known to be the newest. One that can't follow the old one, which is nil at a
	// start, is an error, as is one that can't be read.
	Load(old *cells.Map) (*cells.Map, time.Time, error)
}

// OutdatedSource is a source that also has maps for a router that has gone by an old one beyond its lease: others act on them already, so
// that they were announced too late for this router is no reason to refuse them.
type OutdatedSource interface {
	LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error)
}

// NewestSource is a source that may know of a newer map than the one that it delivers, where that one can't follow it in time.
type NewestSource interface {
	Newest(old *cells.Map) (id configstore.ID, ok bool)
}

// DigestSource is a source that knows by which digest others name a map of it. All other maps are named by their own text.
type DigestSource interface {
	DigestOf(m *cells.Map) (digest uint64, ok bool)
}
