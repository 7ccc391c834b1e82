package proxy

import (
	"fmt"
	"os"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/settings"
	"silverpath/internal/storage/atomicfile"
)

// FileSource is a map in a file, or the head of a VersionDir, beside a state file that keeps the last good one over a restart of the router.
// While nothing has changed there, nothing is read: a call of the system and a write of the time cost the same for every map.
type FileSource struct {
	path        string
	state       *stateFile
	settleTime  time.Duration
	confirmedAt time.Time   // when the map in force was last read, or found unchanged
	delivered   *cells.Map  // last
	stamps      []fileStamp // of what that was read from
}

// OpenFileSource returns the source in a file; the state's path is empty where nothing is kept.
func OpenFileSource(path, state string) (*FileSource, error) {
	s, err := openStateFile(state)
	if err != nil {
		return nil, err
	}
	return &FileSource{path: path, state: s, settleTime: settleTime}, nil
}

// Close closes the state file.
func (f *FileSource) Close() error { return f.state.close() }

// Load reads the file. At a start the map of the state file stands for the old one: what is in the file must be able to follow it, and
// where the file is no good the router goes on with what it had, known to be the newest when it was last read.
//
// A file that is there and is the same, in the same place with the same size and times, is not read again: its map is the newest by
// now, and is the same *cells.Map. Within 2 s of its last change it is read at each call, as another change within one tick of the
// file system's clock would look the same; a file system that keeps no times, or whose clock is more than 2 s behind, may hide such a
// second change until the file changes again.
func (f *FileSource) Load(old *cells.Map) (*cells.Map, time.Time, error) {
	return f.load(old, f.confirmedAt)
}

// LoadOutdated is Load for a router that has gone by an old map beyond its lease.
func (f *FileSource) LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error) {
	return f.load(old, time.Time{})
}

func (f *FileSource) load(old *cells.Map, known time.Time) (*cells.Map, time.Time, error) {
	now := time.Now()
	if old != nil && old == f.delivered && unchanged(f.stamps, f.settleTime) {
		if err := f.state.storeWhole(old, now); err != nil {
			return nil, now, err
		}
		f.confirmedAt = now
		return old, now, nil
	}
	starting := old == nil
	var stored storedMap
	if starting {
		stored = f.state.load()
		old, known, f.confirmedAt = stored.Map, stored.confirmedAt, stored.confirmedAt
	}
	stamps, err := stampsOf(f.path, f.settleTime)
	var m *cells.Map
	if err == nil {
		m, err = ReadMap(f.path)
	}
	if err == nil && old != nil {
		err = m.FollowsLate(old, known, now)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", f.path, err)
		if starting && stored.Map != nil {
			return stored.Map, stored.confirmedAt, nil
		}
		return nil, now, err
	}
	if err := f.state.storeWhole(m, now); err != nil {
		return nil, now, err
	}
	f.confirmedAt, f.delivered, f.stamps = now, m, f.stampsFromHead(stamps, m)
	return m, now, nil
}

// stampsFromHead are the stamps that tell whether a map is still the head: of the folder, of the map's file, and of those above it, which
// are no good, or withdrawn. They are more than two only where there are such.
func (f *FileSource) stampsFromHead(stamps []fileStamp, m *cells.Map) []fileStamp {
	if !stamps[0].folder {
		return stamps
	}
	head := VersionDir{f.path}.path(m.Version)
	return slices.DeleteFunc(stamps, func(l fileStamp) bool { return !l.folder && l.path < head })
}

// WriteMap replaces a map's file as a whole: whoever reads it finds the old one or the new one, after a loss of power too.
func WriteMap(path string, m *cells.Map) error {
	return atomicfile.Write(path, settings.FormatCells(m), os.Rename)
}
