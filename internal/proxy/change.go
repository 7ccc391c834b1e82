package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/policy/cells"
	"silverpath/internal/settings"
)

// ErrBusy is returned by Change when another process holds the lock of the map, even if that process is suspended.
var ErrBusy = errors.New("another change of the map is under way")

// lockPollInterval is the time between two attempts to take the lock of a map.
const lockPollInterval = 10 * time.Millisecond

// UpdateMap reads the map at path, calls plan for the next version, and replaces the file with it. It holds the lock file
// beside the map from before the read until after the write, so that writers do not interleave. If another writer holds
// the lock, Change waits up to wait and then returns ErrBusy. A writer that is suspended in between keeps the lock, so
// the map that it writes on resuming still follows the one that it read; the system releases the lock of a writer that
// died. If plan returns a nil map, nothing is written.
func UpdateMap(path string, wait time.Duration, plan func(m *cells.Map, now time.Time) (*cells.Map, error)) (*cells.Map, error) {
	lock, err := lockFileBeside(path, wait)
	if err != nil {
		return nil, err
	}
	defer lock.Close() // closing the file releases the lock
	before, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m, err := settings.ParseCells(before)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	now := time.Now()
	next, err := plan(m, now)
	if err != nil || next == nil {
		return next, err
	}
	if err := next.Check(); err != nil {
		return nil, err
	}
	if err := next.Follows(m, now); err != nil {
		return nil, err
	}
	// Manual edits do not take the lock, so a file that has changed since it was read is not overwritten.
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		return nil, fmt.Errorf("%s: changed by another writer without the lock: try again", path)
	}
	return next, WriteMap(path, next)
}

// lockFileBeside locks the file path.lock and returns it. Closing the file releases the lock. It returns ErrBusy, with the process ID
// of the lock's owner, if the lock is not free within wait.
func lockFileBeside(path string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(wait); ; time.Sleep(lockPollInterval) {
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			writeLockOwner(f)
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR) {
			f.Close()
			return nil, fmt.Errorf("%s.lock: %w", path, err)
		}
		if time.Now().After(deadline) {
			owner := make([]byte, 20)
			n, _ := f.ReadAt(owner, 0)
			f.Close()
			return nil, fmt.Errorf("%s: %w, by process %s", path, ErrBusy, strings.TrimSpace(string(owner[:n])))
		}
	}
}

// writeLockOwner writes this process's ID into a lock file, for the error message of a process that finds it locked. Errors are
// ignored, as the message is then only without the ID.
func writeLockOwner(f *os.File) {
	_ = f.Truncate(0)
	_, _ = f.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0)
}
