package proxy

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/policy/cells"
	"silverpath/internal/settings"
)

// stateFile keeps a router's last map over its restart, and when it was last known to be the newest: a bbolt database. The two stand
// apart, so that a confirmation writes 8 bytes and no page of the map; a map in parts is written part by part. A nil stateFile keeps
// nothing.
type stateFile struct {
	db            *bbolt.DB
	storedWhole   *cells.Map // as it stands there in one piece; nil: unknown
	storedInParts *cells.Map // as it stands there in parts; nil: unknown
}

// storedMap is what a state file has.
type storedMap struct {
	*cells.Map
	digest      uint64 // by which a group names a map in parts
	inParts     bool
	confirmedAt time.Time
}

var (
	bucketWhole = []byte("whole")
	bucketParts = []byte("parts")
	bucketTime  = []byte("time")
	// Where builds that knew no parts kept the map and the time. They are deleted there, as an older build that comes back would else
	// go on with an old map, or a time that is not the map's; without them it starts as one that has kept nothing. Where they stand, an
	// older build has written last.
	bucketLegacy = []byte("cells")

	keyMap    = []byte("map")
	keyRead   = []byte("read")
	keyDigest = []byte("digest") // which is no name of a part
)

// ErrNoMapStored says that a state file has no map.
var ErrNoMapStored = errors.New("nothing is kept")

// openStateFile opens a state file, or makes it. An empty path gives nil.
func openStateFile(path string) (*stateFile, error) {
	if path == "" {
		return nil, nil
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state %s: %w", path, err)
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketLegacy, bucketWhole, bucketParts, bucketTime} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("state %s: %w", path, err), db.Close())
	}
	return &stateFile{db: db}, nil
}

func (s *stateFile) close() error {
	if s == nil {
		return nil
	}
	return s.db.Close()
}

// load is the stored map, with a nil Map for none. One that can't be read is none: the router starts without it.
func (s *stateFile) load() (k storedMap) {
	if s == nil {
		return k
	}
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		k, err = readState(tx)
		return err
	})
	if err != nil {
		return storedMap{}
	}
	if k.inParts {
		s.storedInParts = k.Map
	}
	return k
}

// StoredMap is the map in a state file and when it was last known to be the newest; ErrNoMapStored where there is none. It serves
// recovery, which inspects what a machine has.
func StoredMap(tx *bbolt.Tx) (*cells.Map, time.Time, error) {
	k, err := readState(tx)
	return k.Map, k.confirmedAt, err
}

// readState reads the map in whichever form it stands there.
func readState(tx *bbolt.Tx) (k storedMap, err error) {
	get := func(bucket, key []byte) []byte {
		if b := tx.Bucket(bucket); b != nil {
			return b.Get(key)
		}
		return nil
	}
	at, whole, digest := get(bucketTime, keyRead), get(bucketWhole, keyMap), get(bucketParts, keyDigest)
	if old := get(bucketLegacy, keyMap); old != nil {
		at, whole, digest = get(bucketLegacy, keyRead), old, nil
	}
	switch {
	case len(at) != 8 || whole == nil && len(digest) != 8:
		return k, ErrNoMapStored
	case len(digest) == 8:
		texts := map[string]string{}
		for _, name := range settings.CellParts() {
			if text := get(bucketParts, []byte(name)); text != nil {
				texts[name] = string(text)
			}
		}
		k.Map, err = settings.JoinCells(nil, texts)
		k.inParts, k.digest = true, binary.BigEndian.Uint64(digest)
	default:
		k.Map, err = settings.ParseCells(whole)
	}
	k.confirmedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(at)))
	return k, err
}

// storeWhole stores a map in one piece, or, where it stands there already, when it was known to be the newest.
func (s *stateFile) storeWhole(m *cells.Map, at time.Time) error {
	if s == nil {
		return nil
	}
	err := s.update(at, s.storedWhole == m, func(tx *bbolt.Tx) error {
		for _, name := range settings.CellParts() {
			if err := tx.Bucket(bucketParts).Delete([]byte(name)); err != nil {
				return err
			}
		}
		return errors.Join(tx.Bucket(bucketParts).Delete(keyDigest), tx.Bucket(bucketWhole).Put(keyMap, settings.FormatCells(m)))
	})
	if err == nil {
		s.storedWhole, s.storedInParts = m, nil
	}
	return err
}

// storeParts is storeWhole for a map in parts: those that changed since from, nil for all, are written, with the digest.
func (s *stateFile) storeParts(m *cells.Map, digest uint64, from *cells.Map, changed map[string]string, at time.Time) error {
	if s == nil {
		return nil
	}
	err := s.update(at, s.storedInParts == m, func(tx *bbolt.Tx) error {
		if from == nil || s.storedInParts != from {
			changed = settings.SplitCells(m)
		}
		b := tx.Bucket(bucketParts)
		for name, text := range changed {
			if err := b.Put([]byte(name), []byte(text)); err != nil {
				return err
			}
		}
		return errors.Join(b.Put(keyDigest, binary.BigEndian.AppendUint64(nil, digest)), tx.Bucket(bucketWhole).Delete(keyMap))
	})
	if err == nil {
		s.storedWhole, s.storedInParts = nil, m
	}
	return err
}

// update writes the time, and, unless the map stands there, the map, in one transaction.
func (s *stateFile) update(at time.Time, stands bool, write func(tx *bbolt.Tx) error) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if !stands {
			old := tx.Bucket(bucketLegacy)
			if err := errors.Join(write(tx), old.Delete(keyMap), old.Delete(keyRead)); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketTime).Put(keyRead, binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli())))
	})
	if err != nil {
		return fmt.Errorf("keeping the map: %w", err)
	}
	return nil
}
