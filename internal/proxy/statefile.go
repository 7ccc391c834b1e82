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

// stateFile is a bbolt database that keeps a router's last map, and the time at which it was last known to be the newest, across restarts.
// The time is in a bucket of its own, so that a confirmation writes 8 bytes and no page of the map. A map in parts is written part by
// part. A nil stateFile stores nothing.
type stateFile struct {
	db            *bbolt.DB
	storedWhole   *cells.Map // the map stored as one document; nil: unknown
	storedInParts *cells.Map // the map stored in parts; nil: unknown
}

// storedMap is the contents of a state file.
type storedMap struct {
	*cells.Map
	digest      uint64 // by which the group identifies a map in parts
	inParts     bool
	confirmedAt time.Time
}

var (
	bucketWhole = []byte("whole")
	bucketParts = []byte("parts")
	bucketTime  = []byte("time")
	// Builds without support for parts store the map and the time in this bucket. Newer builds delete both entries when they store a map:
	// otherwise, after a downgrade, the older build would load an old map, or a time that belongs to another map. Without them it
	// starts without a map. If the entries exist, an older build has written the file last.
	bucketLegacy = []byte("cells")

	keyMap    = []byte("map")
	keyRead   = []byte("read")
	keyDigest = []byte("digest") // not the name of a part
)

// ErrNoMapStored is returned by StoredMap if the state file has no map.
var ErrNoMapStored = errors.New("no map stored")

// openStateFile opens a state file, and creates it if it does not exist. It returns nil for an empty path.
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

// close closes the database. It does nothing for a nil stateFile.
func (s *stateFile) close() error {
	if s == nil {
		return nil
	}
	return s.db.Close()
}

// load returns the stored map. Its Map is nil if there is none or it can't be read: the router then starts without it.
func (s *stateFile) load() (stored storedMap) {
	if s == nil {
		return stored
	}
	err := s.db.View(func(tx *bbolt.Tx) (err error) {
		stored, err = readState(tx)
		return err
	})
	if err != nil {
		return storedMap{}
	}
	if stored.inParts {
		s.storedInParts = stored.Map
	}
	return stored
}

// StoredMap returns the map in a state file and the time at which it was last known to be the newest, or ErrNoMapStored if there is none.
// Recovery uses it to inspect the state files of a machine.
func StoredMap(tx *bbolt.Tx) (*cells.Map, time.Time, error) {
	stored, err := readState(tx)
	return stored.Map, stored.confirmedAt, err
}

// readState reads the stored map in any of its forms: from an older build, in parts, or as one document.
func readState(tx *bbolt.Tx) (stored storedMap, err error) {
	get := func(bucket, key []byte) []byte {
		if b := tx.Bucket(bucket); b != nil {
			return b.Get(key)
		}
		return nil
	}
	confirmedAt, whole, digest := get(bucketTime, keyRead), get(bucketWhole, keyMap), get(bucketParts, keyDigest)
	if legacy := get(bucketLegacy, keyMap); legacy != nil {
		confirmedAt, whole, digest = get(bucketLegacy, keyRead), legacy, nil
	}
	switch {
	case len(confirmedAt) != 8 || whole == nil && len(digest) != 8:
		return stored, ErrNoMapStored
	case len(digest) == 8:
		texts := map[string]string{}
		for _, name := range settings.CellParts() {
			if text := get(bucketParts, []byte(name)); text != nil {
				texts[name] = string(text)
			}
		}
		stored.Map, err = settings.JoinCells(nil, texts)
		stored.inParts, stored.digest = true, binary.BigEndian.Uint64(digest)
	default:
		stored.Map, err = settings.ParseCells(whole)
	}
	stored.confirmedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(confirmedAt)))
	return stored, err
}

// storeWhole stores a map as one document, with the time at which it was known to be the newest. If m is stored already, it writes only
// the time.
func (s *stateFile) storeWhole(m *cells.Map, confirmedAt time.Time) error {
	if s == nil {
		return nil
	}
	err := s.update(confirmedAt, s.storedWhole == m, func(tx *bbolt.Tx) error {
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

// storeParts is like storeWhole for a map in parts, with its digest. It writes the parts in changed if the stored map is from, else all
// parts.
func (s *stateFile) storeParts(m *cells.Map, digest uint64, from *cells.Map, changed map[string]string, confirmedAt time.Time) error {
	if s == nil {
		return nil
	}
	err := s.update(confirmedAt, s.storedInParts == m, func(tx *bbolt.Tx) error {
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

// update writes the time, and calls write for the map unless that is stored already, in one transaction.
func (s *stateFile) update(confirmedAt time.Time, isStored bool, write func(tx *bbolt.Tx) error) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if !isStored {
			legacy := tx.Bucket(bucketLegacy)
			if err := errors.Join(write(tx), legacy.Delete(keyMap), legacy.Delete(keyRead)); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketTime).Put(keyRead, binary.BigEndian.AppendUint64(nil, uint64(confirmedAt.UnixMilli())))
	})
	if err != nil {
		return fmt.Errorf("failed to store the map: %w", err)
	}
	return nil
}
