package idempotencystore

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/idempotency"
)

// Snapshot copies the store into its folder while it serves, and returns the path of the copy. It blocks on the disk.
func (s *Store) Snapshot() (string, error) {
	type snapshotStart struct {
		file *file
		err  error
	}
	started := make(chan snapshotStart, 1)
	dir := filepath.Join(s.cfg.Dir, "snapshots")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "keys-"+time.Now().UTC().Format("20060102T150405.000000")+".db")
	// Wait until the writer has committed all changes that were queued before, so that the copy contains their intents. The
	// copy is written concurrently with later commits.
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return "", errors.New("the store is closed")
	}
	s.enqueue(change{remove: true, done: func(err error) { started <- snapshotStart{s.file, err} }})
	s.mu.Unlock()
	start := <-started
	if start.err != nil {
		return "", start.err
	}
	return path, start.file.copyTo(path)
}

// View returns the current state of the store.
func (s *Store) View() idempotency.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Snapshot(Now().SinceBoot)
}

// Status returns the view as JSON for a status request.
func (s *Store) Status() []byte {
	view := s.View()
	var arena fastjson.Arena
	status := arena.NewObject()
	status.Set("phase", arena.NewString(view.Health.String()))
	complete := arena.NewFalse()
	if view.Complete {
		complete = arena.NewTrue()
	}
	status.Set("known", complete)
	for name, n := range map[string]int{"live": view.Records, "bytes": view.Bytes, "reserved": view.ReservedBytes, "limit": view.MaxBytes, "loaded": view.Loaded,
		"expected": view.Expected, "pace_us": int(view.CommitTime.Microseconds())} {
		status.Set(name, arena.NewNumberString(strconv.Itoa(n)))
	}
	return status.MarshalTo(nil)
}
