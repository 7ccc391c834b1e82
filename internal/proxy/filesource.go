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

// FileSource loads the map from a file or from the head of a VersionDir. A state file keeps the last valid map across restarts of the
// router. Loading an unchanged map costs one stat call for each stamp and the write of a timestamp, whatever the size of the map.
type FileSource struct {
	path        string
	state       *stateFile
	settleTime  time.Duration
	confirmedAt time.Time   // when the map in force was last read or found unchanged
	delivered   *cells.Map  // the map that Load returned last
	stamps      []fileStamp // of the files that delivered was read from
}

// OpenFileSource returns a source that reads the map at path, a file or a VersionDir. State is the path of the state file; if it is
// empty, nothing is stored.
func OpenFileSource(path, state string) (*FileSource, error) {
	file, err := openStateFile(state)
	if err != nil {
		return nil, err
	}
	return &FileSource{path: path, state: file, settleTime: settleTime}, nil
}

// Close closes the state file.
func (f *FileSource) Close() error { return f.state.close() }

// Load returns the map of the file and the time at which the file was read or found unchanged. If old is nil, the router is starting:
// the map of the file must then be able to follow the one in the state file. If it can't, or the file is invalid, Load returns the map
// of the state file and the time of its last confirmation.
//
// A file with the same device, inode, size and times as at the last call is not read again: Load returns the same *cells.Map,
// confirmed now. Within 2 s of its last change the file is read at each call, as another change within one tick of the file system's
// clock would leave the same stamp. A file system that stores no times, or whose clock is more than 2 s behind, may hide such a second
// change until the file changes again.
func (f *FileSource) Load(old *cells.Map) (*cells.Map, time.Time, error) {
	return f.load(old, f.confirmedAt)
}

// LoadOutdated is like Load, for a router whose map in force was outdated for longer than its lease. It accepts a map that was
// announced too late for this router.
func (f *FileSource) LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error) {
	return f.load(old, time.Time{})
}

// load implements Load and LoadOutdated. ConfirmedAt is the time at which old was last known to be the newest; the zero time
// accepts late announcements.
func (f *FileSource) load(old *cells.Map, confirmedAt time.Time) (*cells.Map, time.Time, error) {
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
		old, confirmedAt, f.confirmedAt = stored.Map, stored.confirmedAt, stored.confirmedAt
	}
	stamps, err := stampsOf(f.path, f.settleTime)
	var m *cells.Map
	if err == nil {
		m, err = ReadMap(f.path)
	}
	if err == nil && old != nil {
		err = m.FollowsLate(old, confirmedAt, now)
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

// stampsFromHead returns the stamps that show whether m is still the head: those of the folder, of m's file, and of the files of higher
// versions, which are invalid or withdrawn. Without such files it returns two stamps.
func (f *FileSource) stampsFromHead(stamps []fileStamp, m *cells.Map) []fileStamp {
	if !stamps[0].isDir {
		return stamps
	}
	head := VersionDir{f.path}.path(m.Version)
	return slices.DeleteFunc(stamps, func(st fileStamp) bool { return !st.isDir && st.path < head })
}

// WriteMap replaces the map file at path atomically: readers find either the old or the new map, also after a power loss.
func WriteMap(path string, m *cells.Map) error {
	return atomicfile.Write(path, settings.FormatCells(m), os.Rename)
}
