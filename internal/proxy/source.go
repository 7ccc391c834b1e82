package proxy

import (
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
)

// Source provides a router's cell map.
type Source interface {
	// Load returns the map and the time at which it was last known to be the newest. Old is the map in force, nil at the
	// start. Load returns an error if the map can't be read or can't follow old.
	Load(old *cells.Map) (*cells.Map, time.Time, error)
}

// OutdatedSource is implemented by sources that can load a map for a router whose map in force was outdated for longer than its lease.
// Other routers act on the newer map already, so LoadOutdated accepts it even if it was announced too late for this router.
type OutdatedSource interface {
	LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error)
}

// NewestSource is implemented by sources that can name a newer map than old that Load rejects, as it can't follow old in time. Ok is false
// if there is none.
type NewestSource interface {
	Newest(old *cells.Map) (id configstore.ID, ok bool)
}

// DigestSource is implemented by sources that have the digest by which other processes identify a map. If the source has no
// digest for a map, ok is false, and the map is identified by the digest of its text.
type DigestSource interface {
	DigestOf(m *cells.Map) (digest uint64, ok bool)
}
