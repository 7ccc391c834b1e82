package idempotencystore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"silverpath/internal/policy/idempotency"
)

// FileName is the file in a store's folder.
const FileName = "keys.db"

const (
	lockName = "lock"
	// formatVersion is the version of what is on the disk.
	formatVersion = 1
	// fileGrowth is by how many bytes the file grows: few enough to be found, many enough that it seldom does.
	fileGrowth = 1 << 20
	// lockWait is how long a process waits for another one that has the file: one that was killed may take a while to be gone.
	lockWait = 2 * time.Second
	// fillPercent is how full pages are left: numbers rise, so that nothing is put between.
	fillPercent = 0.9
)

var (
	bucketMeta       = []byte("meta")
	bucketKeys       = []byte("keys")
	bucketUnreadable = []byte("broken") // records that can't be read, as they were found
	keyMeta          = []byte("meta")
)

// header is what a file says of itself. Its names in JSON are those on the disk.
type header struct {
	Format            int    `json:"format"`
	ID                string `json:"id"`
	Name              string `json:"name"` // of the service
	Machine           string `json:"machine,omitempty"`
	Boot              string `json:"boot"`
	CompleteSince     int64  `json:"since_ns"`
	Complete          bool   `json:"whole"`
	CompleteSinceWall int64  `json:"wall_ms"`
	ClosedCleanly     bool   `json:"clean"` // closed in good order, and not opened since
}

// newHeader is that of a file that knows every run from now on; wall is now in Unix milliseconds.
func newHeader(name string, now idempotency.Clock, wall int64) header {
	return header{Format: formatVersion, ID: newID(), Name: name, Machine: now.Machine, Boot: now.Boot,
		CompleteSince: int64(now.SinceBoot), CompleteSinceWall: wall}
}

func (h header) coverage() idempotency.Coverage {
	return idempotency.Coverage{Machine: h.Machine, Boot: h.Boot, CompleteSince: time.Duration(h.CompleteSince), Complete: h.Complete,
		CompleteSinceWall: h.CompleteSinceWall}
}

// FaultHook is asked at every fault point of what is written, by its name, in test programs only: it may wait, end the process, or
// return the error of a disk that has failed.
var FaultHook func(boundary string) error

func faultPoint(name string) error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook(name)
}

// file is one open file of records.
type file struct {
	db     *bbolt.DB
	path   string
	header header
}

// close closes a file. What was committed is durable by then, so that nobody can act on an error.
func (f *file) close() { _ = f.db.Close() }

// openDatabase opens a file. Which of its pages are free stands in it: to find that out would be a walk through all of them, on which the
// library ends the process where one is damaged. One that is there and can't be a file of records is an error that names it.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer RecoverPanic(&err)()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType, ReadOnly: readOnly})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		err = ErrInUse
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum), errors.Is(err, berrors.ErrVersionMismatch):
		err = fmt.Errorf("%w: %w", errDamaged, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.AllocSize = fileGrowth
	return db, nil
}

// ErrInUse is of a file that another process has open.
var ErrInUse = errors.New("in use by another process")

var errDamaged = errors.New("it can't be read")

// OpenRead opens a file of the library's to be read.
func OpenRead(path string) (*bbolt.DB, error) { return openDatabase(path, true) }

// openFile opens the file of a folder, or makes one that knows nothing from before now.
func openFile(path, name string, now idempotency.Clock, wall int64) (f *file, created bool, err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		f, err := writeFile(path, newHeader(name, now, wall), nil)
		return f, true, err
	} else if err != nil {
		return nil, false, err
	}
	db, err := openDatabase(path, false)
	if err != nil {
		return nil, false, err
	}
	f = &file{db: db, path: path}
	if err = f.readHeader(); err == nil && f.header.Name != name {
		err = fmt.Errorf("%s: it is of the service %q, not of %q", path, f.header.Name, name)
	}
	if err != nil {
		f.close()
		return nil, false, err
	}
	return f, false, nil
}

func (f *file) readHeader() (err error) {
	defer RecoverPanic(&err)()
	return f.db.View(func(tx *bbolt.Tx) error {
		m := tx.Bucket(bucketMeta)
		if m == nil || tx.Bucket(bucketKeys) == nil {
			return fmt.Errorf("%s: %w: no file of records", f.path, errDamaged)
		}
		if err := json.Unmarshal(m.Get(keyMeta), &f.header); err != nil {
			return fmt.Errorf("%s: %w: its head: %w", f.path, errDamaged, err)
		}
		if f.header.Format != formatVersion {
			return fmt.Errorf("%s: format %d, this build knows %d", f.path, f.header.Format, formatVersion)
		}
		return nil
	})
}

// RecoverPanic makes an error of what the library comes upon in pages that are not what they should be: its own panics, and reads
// outside of the file's memory. Use it as defer RecoverPanic(&err)().
func RecoverPanic(err *error) func() {
	old := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(old)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}
}

// change is one change of a file: a record's bytes, or that it is taken off.
type change struct {
	seq    uint64
	value  []byte
	remove bool
	done   func(error) // nil: nobody waits
}

// commit makes changes, with a new header where that is not nil, and returns once they are durable. After an error nobody knows whether
// they are.
func (f *file) commit(changes []change, head *header) (err error) {
	defer RecoverPanic(&err)()
	if err := faultPoint("commit"); err != nil {
		return err
	}
	err = f.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketKeys)
		b.FillPercent = fillPercent
		for _, c := range changes {
			var err error
			if c.remove {
				err = b.Delete(seqKey(c.seq))
			} else {
				err = b.Put(seqKey(c.seq), c.value)
			}
			if err != nil {
				return err
			}
		}
		if head != nil {
			return putHeader(tx, *head)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return faultPoint("committed")
}

func putHeader(tx *bbolt.Tx, h header) error {
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyMeta, text)
}

// maxUnreadable is how many records that can't be read newestTime passes over: then the file is as one without records.
const maxUnreadable = 1000

// newestTime is the time of the newest record.
func (f *file) newestTime() (at time.Duration, err error) {
	defer RecoverPanic(&err)()
	attempts := maxUnreadable
	err = f.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketKeys).Cursor()
		for k, v := c.Last(); k != nil && attempts > 0; k, v = c.Prev() {
			attempts--
			if r, bad := decodeRecord(0, v); bad == nil {
				at = r.RecordedAt
				return nil
			}
		}
		return nil
	})
	return at, err
}

// scan reads records in their order, some at a time, so that no reader holds pages for long. Those that can't be read come as unreadable.
func (f *file) scan(some int, take func(list []idempotency.Record, unreadable []uint64)) (err error) {
	defer RecoverPanic(&err)()
	past := uint64(0) // numbers rise: where they don't, damaged pages lead back to themselves
	for from, more := []byte{}, true; more; {
		var list []idempotency.Record
		var unreadable []uint64
		err := f.db.View(func(tx *bbolt.Tx) error {
			c := tx.Bucket(bucketKeys).Cursor()
			k, v := c.Seek(from)
			for ; k != nil && len(list)+len(unreadable) < some; k, v = c.Next() {
				if len(k) != 8 {
					return fmt.Errorf("%w: a record without a number", errDamaged)
				}
				seq := binary.BigEndian.Uint64(k)
				if seq <= past && past > 0 {
					return fmt.Errorf("%w: record %d after %d", errDamaged, seq, past)
				}
				past = seq
				if r, bad := decodeRecord(seq, v); bad == nil {
					list = append(list, r)
				} else {
					unreadable = append(unreadable, seq)
				}
			}
			if more = k != nil; more {
				if bytes.Compare(k, from) <= 0 {
					return fmt.Errorf("%w: its records don't rise", errDamaged)
				}
				from = append([]byte(nil), k...)
			}
			return nil
		})
		if err != nil {
			return err
		}
		take(list, unreadable)
	}
	return nil
}

// quarantine puts records that can't be read where they are not met again, as they are.
func (f *file) quarantine(unreadable []uint64) (err error) {
	defer RecoverPanic(&err)()
	return f.db.Update(func(tx *bbolt.Tx) error {
		quarantined, err := tx.CreateBucketIfNotExists(bucketUnreadable)
		if err != nil {
			return err
		}
		keys := tx.Bucket(bucketKeys)
		for _, seq := range unreadable {
			if err := errors.Join(quarantined.Put(seqKey(seq), append([]byte(nil), keys.Get(seqKey(seq))...)), keys.Delete(seqKey(seq))); err != nil {
				return err
			}
		}
		return nil
	})
}

// count is the number of records.
func (f *file) count() (n int, err error) {
	defer RecoverPanic(&err)()
	err = f.db.View(func(tx *bbolt.Tx) error {
		n = tx.Bucket(bucketKeys).Stats().KeyN
		return nil
	})
	return n, err
}

// size is the file's, in bytes.
func (f *file) size() int64 {
	s, err := os.Stat(f.path)
	if err != nil {
		return 0
	}
	return s.Size()
}
