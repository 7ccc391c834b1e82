// Package inspect reads what processes store on disks, without changing anything, and says whose it is, of when, and whether it can be
// trusted as the package recovery has it. No process may have the files open.
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

// Finding is what one file or folder proves. Its names in JSON are those of the command recover inspect.
type Finding struct {
	Path    string   `json:"path"`
	Kind    string   `json:"kind"`
	Owner   string   `json:"of,omitempty"` // the name of the service, member or router
	Facts   []string `json:"says,omitempty"`
	Trust   string   `json:"trust"` // as recovery.Trust has it
	Problem string   `json:"wrong,omitempty"`
}

// readers are the readers of kinds of state by what they read, in the order in which a path is tried.
var readers = []struct {
	name  string
	trust recovery.Trust
	read  func(path string, f *Finding) error
}{
	{"member of a group", recovery.Trusted, readMember},
	{"runs of keyed requests", recovery.Trusted, readStore},
	{"map of a router", recovery.AfterConfirmation, readRouter},
	{"orders that a server took", recovery.Trusted, readFence},
	{"sign of life", recovery.Trusted, readHeartbeat},
}

// errOtherKind is of a file that is something else: the next reader is tried.
var errOtherKind = errors.New("something else")

// Inspect reads a path. What is there and can't be read says so in the finding; an error is of a path that is not there.
func Inspect(path string) (Finding, error) {
	if _, err := os.Stat(path); err != nil {
		return Finding{}, err
	}
	for _, k := range readers {
		f := Finding{Path: path, Kind: k.name, Trust: k.trust.String()}
		err := k.read(path, &f)
		if errors.Is(err, errOtherKind) {
			continue
		}
		if err != nil {
			f.Problem, f.Trust = err.Error(), recovery.Discarded.String()
		}
		return f, nil
	}
	return Finding{Path: path, Kind: "unknown", Trust: recovery.Discarded.String(), Problem: "nothing that this program writes"}, nil
}

func (f *Finding) addFact(format string, args ...any) {
	f.Facts = append(f.Facts, fmt.Sprintf(format, args...))
}

// viewDatabase reads a file of the library bbolt, where it has a bucket of the given name. ErrInUse is of one that a process has open.
func viewDatabase(path, name string, do func(tx *bbolt.Tx) error) (err error) {
	if s, err := os.Stat(path); err != nil || s.IsDir() {
		return errOtherKind
	}
	defer idempotencystore.RecoverPanic(&err)()
	db, err := idempotencystore.OpenRead(path)
	if errors.Is(err, idempotencystore.ErrInUse) {
		return err
	}
	if err != nil {
		return errOtherKind
	}
	defer func() { _ = db.Close() }() // nothing was written
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket([]byte(name)) == nil {
			return errOtherKind
		}
		return do(tx)
	})
}

// fileIn is the first of some files of a folder that is there, or the path itself.
func fileIn(path string, names ...string) string {
	for _, n := range names {
		if at := filepath.Join(path, n); isFile(at) {
			return at
		}
	}
	return path
}

func isFile(path string) bool {
	s, err := os.Stat(path)
	return err == nil && !s.IsDir()
}

func readMember(path string, f *Finding) error {
	list, _ := filepath.Glob(filepath.Join(path, "*.db"))
	for _, one := range append(list, path) {
		err := viewDatabase(one, "log", func(tx *bbolt.Tx) error {
			meta := tx.Bucket([]byte("meta"))
			if meta == nil {
				return errOtherKind
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
			f.Owner = who.Name
			f.addFact("number %x, started %d times", who.ID, who.Starts)
			if who.Group == "" {
				f.addFact("of no group")
			} else {
				f.addFact("of the group %s", who.Group)
			}
			if k, _ := tx.Bucket([]byte("log")).Cursor().Last(); len(k) == 8 {
				f.addFact("log up to entry %d, as it was written; what of it was agreed its group knows", binary.BigEndian.Uint64(k))
			}
			return nil
		})
		if !errors.Is(err, errOtherKind) {
			return err
		}
	}
	return errOtherKind
}

func readStore(path string, f *Finding) error {
	at := fileIn(path, idempotencystore.FileName)
	if err := viewDatabase(at, "keys", func(*bbolt.Tx) error { return nil }); err != nil {
		return err
	}
	s, err := idempotencystore.Check(at)
	if err != nil {
		return err
	}
	f.Owner = s.Name
	f.addFact("store %s, %d records, %d KB", s.ID, s.Records, s.Bytes>>10)
	for _, state := range slices.Sorted(maps.Keys(s.ByState)) {
		f.addFact("%s: %d", state, s.ByState[state])
	}
	f.addFact("whole: %v, closed in good order: %v, from the machine's present start: %v", s.Complete, s.ClosedCleanly, s.SameBoot)
	if s.Unreadable > 0 || s.Damage != "" {
		return fmt.Errorf("%d records can't be read %s", s.Unreadable, s.Damage)
	}
	return nil
}

func readRouter(path string, f *Finding) error {
	return viewDatabase(path, "cells", func(tx *bbolt.Tx) error {
		m, read, err := proxy.StoredMap(tx)
		if errors.Is(err, proxy.ErrNoMapStored) {
			f.addFact("no map yet")
			return nil
		}
		if err != nil {
			return err
		}
		servers, tenants := m.Size()
		f.addFact("map version %d, %d servers, %d tenants", m.Version, servers, tenants)
		f.addFact("read last at %s by the wall clock", read.UTC().Format(time.RFC3339))
		return nil
	})
}

// prefixOf is the beginning of a file, by which it is told what it is; empty where it can't be read.
func prefixOf(path string, size int) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer file.Close()
	head := make([]byte, size)
	n, _ := file.Read(head)
	return string(head[:n])
}

func readFence(path string, f *Finding) error {
	head := prefixOf(path, 9)
	if len(head) < 9 || head[8] != '\n' || strings.Trim(head[:8], "0123456789abcdef") != "" {
		return errOtherKind
	}
	service, commands, err := fence.ReadFile(path)
	if err != nil {
		return err
	}
	f.Owner = service
	for _, duty := range slices.Sorted(maps.Keys(commands)) {
		o := commands[duty]
		f.addFact("%s: epoch %v, step %d, %s", duty, o.Epoch, o.Step, o.Action)
	}
	return nil
}

func readHeartbeat(path string, f *Finding) error {
	if !strings.HasPrefix(prefixOf(path, 8), `{"sign"`) {
		return errOtherKind
	}
	s, err := heartbeat.Read(path)
	if err != nil {
		return err
	}
	now := idempotencystore.Now()
	downtime, by := s.Downtime(recovery.Heartbeat{Name: s.Name, Machine: now.Machine, Boot: now.Boot, SinceBoot: now.SinceBoot})
	f.Owner = s.Name
	f.addFact("of the machine %q, %v after it was switched on", s.Machine, s.SinceBoot.Round(time.Millisecond))
	f.addFact("seen from here and now: nothing was begun for %v at the least, by %v", downtime.Round(time.Millisecond), by)
	return nil
}
