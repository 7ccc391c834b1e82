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

// Snapshot writes a copy into the store's folder while it serves, and returns its path. It waits for the disk.
func (s *Store) Snapshot() (string, error) {
	type turn struct {
		file *file
		err  error
	}
	turns := make(chan turn, 1)
	dir := filepath.Join(s.cfg.Dir, "snapshots")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "keys-"+time.Now().UTC().Format("20060102T150405.000000")+".db")
	// The writer's turn: intents of before are in it. The copy is made beside further commits.
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return "", errors.New("the store is closed")
	}
	s.enqueue(change{remove: true, done: func(err error) { turns <- turn{s.file, err} }})
	s.mu.Unlock()
	t := <-turns
	if t.err != nil {
		return "", t.err
	}
	return path, t.file.copyTo(path)
}

// View is the store as it stands now.
func (s *Store) View() idempotency.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Snapshot(Now().SinceBoot)
}

// Status is the view as the JSON of a status request.
func (s *Store) Status() []byte {
	v := s.View()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("phase", a.NewString(v.Health.String()))
	known := a.NewFalse()
	if v.Complete {
		known = a.NewTrue()
	}
	o.Set("known", known)
	for name, n := range map[string]int{"live": v.Records, "bytes": v.Bytes, "reserved": v.ReservedBytes, "limit": v.MaxBytes, "loaded": v.Loaded,
		"expected": v.Expected, "pace_us": int(v.CommitTime.Microseconds())} {
		o.Set(name, a.NewNumberString(strconv.Itoa(n)))
	}
	return o.MarshalTo(nil)
}
