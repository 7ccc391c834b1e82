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

// ErrBusy says that another writer of a map is under way, or was stopped in the middle.
var ErrBusy = errors.New("another change of the map is under way")

// lockPollInterval is how often a writer that waits looks whether it may begin.
const lockPollInterval = 10 * time.Millisecond

// Change reads a map, has the next one planned, and writes it, with no other writer between: the lock of a file beside
// the map is held from before it is read until it is replaced. Who finds another writer waits for so long, then gets
// ErrBusy. A writer that was stopped half way holds the lock, so what it writes when it wakes follows what it read; one that
// died has let go of it. Plan may return nil for no change.
func Change(path string, wait time.Duration, plan func(m *cells.Map, now time.Time) (*cells.Map, error)) (*cells.Map, error) {
	lock, err := lockFileBeside(path, wait)
	if err != nil {
		return nil, err
	}
	defer lock.Close() // and with it the lock
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
	// Whoever writes by hand knows no lock: what has changed since it was read is not written over.
	if after, err := os.ReadFile(path); err != nil || !bytes.Equal(before, after) {
		return nil, fmt.Errorf("%s: changed by another hand meanwhile: try again", path)
	}
	return next, WriteMap(path, next)
}

func lockFileBeside(path string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	for until := time.Now().Add(wait); ; time.Sleep(lockPollInterval) {
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			writeHolder(f)
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR) {
			f.Close()
			return nil, fmt.Errorf("%s.lock: %w", path, err)
		}
		if time.Now().After(until) {
			who := make([]byte, 20)
			n, _ := f.ReadAt(who, 0)
			f.Close()
			return nil, fmt.Errorf("%s: %w, by process %s", path, ErrBusy, strings.TrimSpace(string(who[:n])))
		}
	}
}

// writeHolder writes this process's number into a lock file, for whoever finds it locked. Without it the message has no number.
func writeHolder(f *os.File) {
	_ = f.Truncate(0)
	_, _ = f.WriteAt([]byte(strconv.Itoa(os.Getpid())), 0)
}
