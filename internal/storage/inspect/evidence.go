// Package inspect reads what processes keep on disks, without changing anything, and says whose it is, of when, and whether it can be
// trusted as the package recovery has it. Nothing may have the files open.
package inspect

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/policy/fence"
	"silverpath/internal/policy/recovery"
	"silverpath/internal/proxy"
	"silverpath/internal/storage/heartbeat"
	"silverpath/internal/storage/idempotencystore"
)

// Found is what one file or folder proves.
type Found struct {
	Path  string   `json:"path"`
	Kind  string   `json:"kind"`
	Of    string   `json:"of,omitempty"` // the name of whose it is
	Says  []string `json:"says,omitempty"`
	Trust string   `json:"trust"` // as recovery.Trust has it
	Wrong string   `json:"wrong,omitempty"`
}

// kinds are the readers by what they read, in the order in which a path is tried.
var kinds = []struct {
	name  string
	trust recovery.Trust
	read  func(path string, f *Found) error
}{
	{"member of a group", recovery.Trusted, member},
	{"runs of keyed requests", recovery.Trusted, runs},
	{"map of a router", recovery.Confirmed, router},
	{"orders that a server took", recovery.Trusted, taken},
	{"sign of life", recovery.Trusted, sign},
}

// errOther is of a file that is something else.
var errOther = errors.New("something else")

// Look reads a path. What is there and can't be read says so in what is found.
func Look(path string) (Found, error) {
	if _, err := os.Stat(path); err != nil {
		return Found{}, err
	}
	for _, k := range kinds {
		f := Found{Path: path, Kind: k.name, Trust: k.trust.String()}
		err := k.read(path, &f)
		if errors.Is(err, errOther) {
			continue
		}
		if err != nil {
			f.Wrong, f.Trust = err.Error(), recovery.Never.String()
		}
		return f, nil
	}
	return Found{Path: path, Kind: "unknown", Trust: recovery.Never.String(), Wrong: "nothing that this program writes"}, nil
}

func (f *Found) say(format string, args ...any) {
	f.Says = append(f.Says, fmt.Sprintf(format, args...))
}

// buckets reads a file of the library's, where it has a bucket of the given name.
func buckets(path, name string, do func(tx *bbolt.Tx) error) (err error) {
	if s, err := os.Stat(path); err != nil || s.IsDir() {
		return errOther
	}
	defer idempotencystore.Caught(&err)()
	db, err := idempotencystore.OpenRead(path)
	if errors.Is(err, idempotencystore.ErrInUse) {
		return err
	}
	if err != nil {
		return errOther
	}
	defer db.Close()
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket([]byte(name)) == nil {
			return errOther
		}
		return do(tx)
	})
}

// inFolder is the file of a folder, or the path itself.
func inFolder(path string, names ...string) string {
	for _, n := range names {
		if at := filepath.Join(path, n); fileAt(at) {
			return at
		}
	}
	return path
}

func fileAt(path string) bool {
	s, err := os.Stat(path)
	return err == nil && !s.IsDir()
}

func member(path string, f *Found) error {
	list, _ := filepath.Glob(filepath.Join(path, "*.db"))
	for _, one := range append(list, path) {
		err := buckets(one, "log", func(tx *bbolt.Tx) error {
			meta := tx.Bucket([]byte("meta"))
			if meta == nil {
				return errOther
			}
			var who struct {
				ID     uint64 `json:"id"`
				Name   string `json:"name"`
				Starts uint64 `json:"starts"`
				Group  string `json:"group"`
			}
			if err := json.Unmarshal(meta.Get([]byte("who")), &who); err != nil {
				return fmt.Errorf("its identity: %w", err)
			}
			f.Of = who.Name
			f.say("number %x, started %d times", who.ID, who.Starts)
			if who.Group == "" {
				f.say("of no group")
			} else {
				f.say("of the group %s", who.Group)
			}
			if k, _ := tx.Bucket([]byte("log")).Cursor().Last(); len(k) == 8 {
				f.say("log up to entry %d, as it was written; what of it was agreed its group knows", binary.BigEndian.Uint64(k))
			}
			return nil
		})
		if !errors.Is(err, errOther) {
			return err
		}
	}
	return errOther
}

func runs(path string, f *Found) error {
	at := inFolder(path, idempotencystore.FileName)
	if err := buckets(at, "keys", func(*bbolt.Tx) error { return nil }); err != nil {
		return err
	}
	s, err := idempotencystore.Check(at)
	if err != nil {
		return err
	}
	f.Of = s.Name
	f.say("store %s, %d records, %d KB", s.ID, s.Records, s.Bytes>>10)
	for _, state := range slices.Sorted(maps.Keys(s.ByState)) {
		f.say("%s: %d", state, s.ByState[state])
	}
	f.say("whole: %v, closed in good order: %v, from the machine's present start: %v", s.Whole, s.Clean, s.Here)
	if s.Broken > 0 || s.Damage != "" {
		return fmt.Errorf("%d records can't be read %s", s.Broken, s.Damage)
	}
	return nil
}

func router(path string, f *Found) error {
	return buckets(path, "cells", func(tx *bbolt.Tx) error {
		m, read, err := proxy.StoredMap(tx)
		if errors.Is(err, proxy.ErrNoMapStored) {
			f.say("no map yet")
			return nil
		}
		if err != nil {
			return err
		}
		servers, tenants := m.Size()
		f.say("map version %d, %d servers, %d tenants", m.Version, servers, tenants)
		f.say("read last at %s by the wall clock", read.UTC().Format(time.RFC3339))
		return nil
	})
}

// headOf is the beginning of a file, by which it is told what it is; empty where it can't be read.
func headOf(path string, size int) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer file.Close()
	head := make([]byte, size)
	n, _ := file.Read(head)
	return string(head[:n])
}

func taken(path string, f *Found) error {
	head := headOf(path, 9)
	if len(head) < 9 || head[8] != '\n' || strings.Trim(head[:8], "0123456789abcdef") != "" {
		return errOther
	}
	service, seen, err := fence.ReadFile(path)
	if err != nil {
		return err
	}
	f.Of = service
	for _, duty := range slices.Sorted(maps.Keys(seen)) {
		o := seen[duty]
		f.say("%s: epoch %v, step %d, %s", duty, o.Epoch, o.Step, o.Action)
	}
	return nil
}

func sign(path string, f *Found) error {
	if !strings.HasPrefix(headOf(path, 8), `{"sign"`) {
		return errOther
	}
	s, err := heartbeat.Read(path)
	if err != nil {
		return err
	}
	now := idempotencystore.Now()
	dark, by := s.Dark(recovery.Sign{Name: s.Name, Machine: now.Machine, Boot: now.Boot, Up: now.Now})
	f.Of = s.Name
	f.say("of the machine %q, %v after it was switched on", s.Machine, s.Up.Round(time.Millisecond))
	f.say("seen from here and now: nothing was begun for %v at the least, by %v", dark.Round(time.Millisecond), by)
	return nil
}
