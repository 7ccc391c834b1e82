// Package inspect reads the files that processes store on disk, without changing them. It reports to whom a file belongs,
// how old it is and whether package recovery trusts it. No process may have the files open.
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

// Finding is the result of the inspection of one file or folder. Its JSON names are those in the output of the command
// recover inspect.
type Finding struct {
	Path    string   `json:"path"`
	Kind    string   `json:"kind"`
	Owner   string   `json:"of,omitempty"` // the name of the service, member or router
	Facts   []string `json:"says,omitempty"`
	Trust   string   `json:"trust"` // as recovery.Trust has it
	Problem string   `json:"wrong,omitempty"`
}

// readers lists the kinds of stored state with their readers, in the order in which a path is tried.
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

// errOtherKind reports that a file is not of the reader's kind. The next reader is tried.
var errOtherKind = errors.New("file of another kind")

// Inspect inspects a file or folder. A file that can't be read is reported in the finding's Problem. It returns an error
// only if the path can't be found.
func Inspect(path string) (Finding, error) {
	if _, err := os.Stat(path); err != nil {
		return Finding{}, err
	}
	for _, reader := range readers {
		f := Finding{Path: path, Kind: reader.name, Trust: reader.trust.String()}
		err := reader.read(path, &f)
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

// addFact adds a formatted line to the finding's facts.
func (f *Finding) addFact(format string, args ...any) {
	f.Facts = append(f.Facts, fmt.Sprintf(format, args...))
}

// viewDatabase calls view with a read transaction on a bbolt file. It returns errOtherKind if the path is no bbolt file or the
// file lacks the named bucket, and ErrInUse if a process has the file open.
func viewDatabase(path, bucket string, view func(tx *bbolt.Tx) error) (err error) {
	if info, err := os.Stat(path); err != nil || info.IsDir() {
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
	defer func() { _ = db.Close() }() // opened read-only
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Bucket([]byte(bucket)) == nil {
			return errOtherKind
		}
		return view(tx)
	})
}

// firstFile returns the first of the named files that exists in the folder path, or path itself if none does.
func firstFile(path string, names ...string) string {
	for _, n := range names {
		if file := filepath.Join(path, n); isFile(file) {
			return file
		}
	}
	return path
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && !info.IsDir()
}

// readMember reads the log of a group member, from its database or the folder of it.
func readMember(path string, f *Finding) error {
	files, _ := filepath.Glob(filepath.Join(path, "*.db"))
	for _, file := range append(files, path) {
		err := viewDatabase(file, "log", func(tx *bbolt.Tx) error {
			meta := tx.Bucket([]byte("meta"))
			if meta == nil {
				return errOtherKind
			}
			var identity struct {
				ID     uint64 `json:"id"`
				Name   string `json:"name"`
				Starts uint64 `json:"starts"`
				Group  string `json:"group"`
			}
			if err := json.Unmarshal(meta.Get([]byte("who")), &identity); err != nil {
				return fmt.Errorf("invalid identity: %w", err)
			}
			f.Owner = identity.Name
			f.addFact("number %x, started %d times", identity.ID, identity.Starts)
			if identity.Group == "" {
				f.addFact("member of no group")
			} else {
				f.addFact("of the group %s", identity.Group)
			}
			if k, _ := tx.Bucket([]byte("log")).Cursor().Last(); len(k) == 8 {
				f.addFact("log up to entry %d as written; only the group knows up to which entry it is committed", binary.BigEndian.Uint64(k))
			}
			return nil
		})
		if !errors.Is(err, errOtherKind) {
			return err
		}
	}
	return errOtherKind
}

// readStore reads an idempotency store, from its file or folder.
func readStore(path string, f *Finding) error {
	file := firstFile(path, idempotencystore.FileName)
	if err := viewDatabase(file, "keys", func(*bbolt.Tx) error { return nil }); err != nil {
		return err
	}
	summary, err := idempotencystore.Check(file)
	if err != nil {
		return err
	}
	f.Owner = summary.Name
	f.addFact("store %s, %d records, %d KB", summary.ID, summary.Records, summary.RecordBytes>>10)
	for _, state := range slices.Sorted(maps.Keys(summary.ByState)) {
		f.addFact("%s: %d", state, summary.ByState[state])
	}
	f.addFact("whole: %v, closed in good order: %v, from the machine's present start: %v", summary.Complete, summary.ClosedCleanly, summary.SameBoot)
	if summary.Unreadable > 0 || summary.Damage != "" {
		return fmt.Errorf("%d records can't be read %s", summary.Unreadable, summary.Damage)
	}
	return nil
}

// readRouter reads the state file of a router, which stores its last map.
func readRouter(path string, f *Finding) error {
	return viewDatabase(path, "cells", func(tx *bbolt.Tx) error {
		m, confirmedAt, err := proxy.StoredMap(tx)
		if errors.Is(err, proxy.ErrNoMapStored) {
			f.addFact("no map stored")
			return nil
		}
		if err != nil {
			return err
		}
		servers, tenants := m.Size()
		f.addFact("map version %d, %d servers, %d tenants", m.Version, servers, tenants)
		f.addFact("last confirmed as the newest at %s by the wall clock", confirmedAt.UTC().Format(time.RFC3339))
		return nil
	})
}

// filePrefix returns the first bytes of a file, which identify its kind. It returns an empty string if the file can't be read.
func filePrefix(path string, size int) string {
	file, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer file.Close()
	prefix := make([]byte, size)
	n, _ := file.Read(prefix)
	return string(prefix[:n])
}

// readFence reads the fence file of a server. It is identified by its first line, a checksum of eight hexadecimal digits.
func readFence(path string, f *Finding) error {
	prefix := filePrefix(path, 9)
	if len(prefix) < 9 || prefix[8] != '\n' || strings.Trim(prefix[:8], "0123456789abcdef") != "" {
		return errOtherKind
	}
	service, commands, err := fence.ReadFile(path)
	if err != nil {
		return err
	}
	f.Owner = service
	for _, duty := range slices.Sorted(maps.Keys(commands)) {
		command := commands[duty]
		f.addFact("%s: epoch %v, step %d, %s", duty, command.Epoch, command.Step, command.Action)
	}
	return nil
}

// readHeartbeat reads a heartbeat file. It is identified by its first JSON name.
func readHeartbeat(path string, f *Finding) error {
	if !strings.HasPrefix(filePrefix(path, 8), `{"sign"`) {
		return errOtherKind
	}
	last, err := heartbeat.Read(path)
	if err != nil {
		return err
	}
	now := idempotencystore.Now()
	downtime, evidence := last.Downtime(recovery.Heartbeat{Name: last.Name, Machine: now.Machine, Boot: now.Boot, SinceBoot: now.SinceBoot})
	f.Owner = last.Name
	f.addFact("of the machine %q, %v after it was switched on", last.Machine, last.SinceBoot.Round(time.Millisecond))
	f.addFact("seen from here and now: nothing was begun for %v at the least, by %v", downtime.Round(time.Millisecond), evidence)
	return nil
}
