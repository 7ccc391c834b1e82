package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/cells"
	"silverpath/internal/lasting"
	"silverpath/internal/settings"
)

// Source is where a router has its cell map from.
type Source interface {
	// Load returns the map and when it was known to be the newest. One that can't follow the old one, which is nil at a
	// start, is an error, as is one that can't be read.
	Load(old *cells.Map) (*cells.Map, time.Time, error)
}

// Behind is a source that also has maps for a router that has gone by an old one beyond its time: others have taken them up,
// so that they were announced too late is not for this one to say.
type Behind interface {
	LoadBehind(old *cells.Map) (*cells.Map, time.Time, error)
}

// File is a map in a file, or the head of a series in a folder, beside a store that keeps the last good one over a restart of the router.
type File struct {
	path  string
	store *bbolt.DB // nil: none
	known time.Time // when the map in force was last read
}

var (
	bucket  = []byte("cells")
	keyMap  = []byte("map")
	keyRead = []byte("read")
)

// OpenFile returns the source in a file; the state's path is empty where nothing is kept.
func OpenFile(path, state string) (*File, error) {
	f := &File{path: path}
	if state == "" {
		return f, nil
	}
	var err error
	f.store, err = bbolt.Open(state, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("state %s: %w", state, err)
	}
	err = f.store.Update(func(tx *bbolt.Tx) error {
		_, err := tx.CreateBucketIfNotExists(bucket)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("state %s: %w", state, err)
	}
	return f, nil
}

// Close closes the store.
func (f *File) Close() error {
	if f.store == nil {
		return nil
	}
	return f.store.Close()
}

// Load reads the file. At a start the map that was kept stands for the old one: what is in the file must be able to follow
// it, and where the file is no good the router goes on with what it had, known to be the newest when it was last read.
func (f *File) Load(old *cells.Map) (*cells.Map, time.Time, error) { return f.load(old, f.known) }

// LoadBehind is Load for one that is behind.
func (f *File) LoadBehind(old *cells.Map) (*cells.Map, time.Time, error) {
	return f.load(old, time.Time{})
}

func (f *File) load(old *cells.Map, known time.Time) (*cells.Map, time.Time, error) {
	now := time.Now()
	starting := old == nil
	var kept *cells.Map
	var read time.Time
	if starting {
		kept, read = f.kept()
		old, known, f.known = kept, read, read
	}
	m, err := f.parse()
	if err == nil && old != nil {
		err = m.FollowsLate(old, known, now)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", f.path, err)
		if starting && kept != nil {
			return kept, read, nil
		}
		return nil, now, err
	}
	if err := f.keep(m, now); err != nil {
		return nil, now, err
	}
	f.known = now
	return m, now, nil
}

func (f *File) parse() (*cells.Map, error) { return Read(f.path) }

// kept is the map in the store and when it was last read, nil for none.
func (f *File) kept() (m *cells.Map, read time.Time) {
	if f.store == nil {
		return nil, read
	}
	f.store.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		data, at := b.Get(keyMap), b.Get(keyRead)
		if data == nil || len(at) != 8 {
			return errors.New("nothing is kept")
		}
		var err error
		if m, err = settings.ParseCells(data); err != nil {
			m = nil
			return err
		}
		read = time.UnixMilli(int64(binary.BigEndian.Uint64(at)))
		return nil
	})
	return m, read
}

func (f *File) keep(m *cells.Map, now time.Time) error {
	if f.store == nil {
		return nil
	}
	err := f.store.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if err := b.Put(keyMap, settings.FormatCells(m)); err != nil {
			return err
		}
		return b.Put(keyRead, binary.BigEndian.AppendUint64(nil, uint64(now.UnixMilli())))
	})
	if err != nil {
		return fmt.Errorf("keeping the map: %w", err)
	}
	return nil
}

// Write replaces a map's file as a whole: whoever reads it finds the old one or the new one, after a loss of power too.
func Write(path string, m *cells.Map) error {
	return lasting.Put(path, settings.FormatCells(m), os.Rename)
}
