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

// FileName is the name of the file in a store's folder.
const FileName = "keys.db"

const (
	lockName = "lock"
	// formatVersion is the version of the file's format.
	formatVersion = 1
	// fileGrowth is the number of bytes by which the file grows at a time: few enough that a disk has them free, many enough
	// that the file seldom grows.
	fileGrowth = 1 << 20
	// lockTimeout is how long a process waits for the lock: a process that was killed may take a while to release it.
	lockTimeout = 2 * time.Second
	// fillPercent is the fill rate of pages. Sequence numbers increase, so that no record is inserted between others.
	fillPercent = 0.9
)

var (
	bucketMeta       = []byte("meta")
	bucketKeys       = []byte("keys")
	bucketQuarantine = []byte("broken") // quarantine: the bytes of records that can't be decoded
	headerKey        = []byte("meta")
	termsKey         = []byte("terms") // in bucketMeta; earlier builds neither read nor write it
)

// header is the metadata of a file, stored as JSON.
type header struct {
	Format            int    `json:"format"`
	ID                string `json:"id"`
	Name              string `json:"name"` // of the service
	Machine           string `json:"machine,omitempty"`
	Boot              string `json:"boot"`
	CompleteSince     int64  `json:"since_ns"`
	Complete          bool   `json:"whole"`
	CompleteSinceWall int64  `json:"wall_ms"`
	ClosedCleanly     bool   `json:"clean"` // closed cleanly, and not opened since

	terms fileTerms // stored under termsKey
}

// newHeader returns the header of a file that knows every run from now on. Wall is the current time in Unix milliseconds.
func newHeader(name string, now idempotency.Clock, wall int64) header {
	return header{Format: formatVersion, ID: newID(), Name: name, Machine: now.Machine, Boot: now.Boot,
		CompleteSince: int64(now.SinceBoot), CompleteSinceWall: wall}
}

// coverage returns the period of which the file has every run.
func (h header) coverage() idempotency.Coverage {
	return idempotency.Coverage{Machine: h.Machine, Boot: h.Boot, CompleteSince: time.Duration(h.CompleteSince), Complete: h.Complete,
		CompleteSinceWall: h.CompleteSinceWall}
}

// FaultHook is called with the name of each fault point. Test programs set it to wait, to end the process or to return the
// error of a failing disk.
var FaultHook func(boundary string) error

// faultPoint returns the error that FaultHook injects at the named point, nil without a hook.
func faultPoint(name string) error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook(name)
}

// file is an open file of records.
type file struct {
	db     *bbolt.DB
	path   string
	header header
}

// close closes the file. It ignores the error: all committed changes are durable already.
func (f *file) close() { _ = f.db.Close() }

// openDatabase opens a bbolt file. The list of its free pages is stored in the file: without it bbolt would walk through all
// pages, and end the process if one is damaged. It returns ErrInUse if another process has the file open, and errDamaged if
// it is not a valid bbolt file.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer RecoverPanic(&err)()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType, ReadOnly: readOnly})
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

// ErrInUse reports that another process has a file or folder open.
var ErrInUse = errors.New("in use by another process")

var errDamaged = errors.New("damaged file")

// OpenRead opens a bbolt file read-only. It returns ErrInUse if a process has the file open.
func OpenRead(path string) (*bbolt.DB, error) { return openDatabase(path, true) }

// openFile opens the file at path, or creates an empty one whose coverage starts now.
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

// readHeader reads the header. It returns errDamaged if the file has none, and another error for an unknown format.
func (f *file) readHeader() (err error) {
	defer RecoverPanic(&err)()
	return f.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil || tx.Bucket(bucketKeys) == nil {
			return fmt.Errorf("%s: %w: missing buckets", f.path, errDamaged)
		}
		if err := json.Unmarshal(meta.Get(headerKey), &f.header); err != nil {
			return fmt.Errorf("%s: %w: invalid header: %w", f.path, errDamaged, err)
		}
		if f.header.Format != formatVersion {
			return fmt.Errorf("%s: format %d, this build knows %d", f.path, f.header.Format, formatVersion)
		}
		f.header.terms = decodeTerms(meta.Get(termsKey))
		return nil
	})
}

// RecoverPanic turns panics that bbolt raises on damaged pages into errors, including faults of reads outside the memory map
// of the file. Use it as defer RecoverPanic(&err)().
func RecoverPanic(err *error) func() {
	old := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(old)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}
}

// change is a change of a file: a record that is written or removed.
type change struct {
	seq    uint64
	value  []byte
	remove bool
	done   func(error) // called after the commit; may be nil
}

// commit applies changes, and a new header unless changedHeader is nil, and returns once they are durable. After an error it is
// unknown whether they are durable.
func (f *file) commit(changes []change, changedHeader *header) (err error) {
	defer RecoverPanic(&err)()
	if err := faultPoint("commit"); err != nil {
		return err
	}
	err = f.db.Update(func(tx *bbolt.Tx) error {
		keys := tx.Bucket(bucketKeys)
		keys.FillPercent = fillPercent
		for _, c := range changes {
			var err error
			if c.remove {
				err = keys.Delete(seqKey(c.seq))
			} else {
				err = keys.Put(seqKey(c.seq), c.value)
			}
			if err != nil {
				return err
			}
		}
		if changedHeader != nil {
			return putHeader(tx, *changedHeader)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return faultPoint("committed")
}

// putHeader writes the header within a transaction.
func putHeader(tx *bbolt.Tx, h header) error {
	text, err := json.Marshal(h)
	if err != nil {
		return err
	}
	if err := tx.Bucket(bucketMeta).Put(headerKey, text); err != nil || h.terms.empty() {
		return err
	}
	return tx.Bucket(bucketMeta).Put(termsKey, h.terms.encode())
}

// maxUnreadable is the number of records that newestTime tries to decode before it treats the file as empty.
const maxUnreadable = 1000

// newestTime returns the time of the newest readable record, 0 if there is none.
func (f *file) newestTime() (at time.Duration, err error) {
	defer RecoverPanic(&err)()
	remaining := maxUnreadable
	err = f.db.View(func(tx *bbolt.Tx) error {
		cursor := tx.Bucket(bucketKeys).Cursor()
		for k, v := cursor.Last(); k != nil && remaining > 0; k, v = cursor.Prev() {
			remaining--
			if r, decodeErr := decodeRecord(0, v); decodeErr == nil {
				at = r.RecordedAt
				return nil
			}
		}
		return nil
	})
	return at, err
}

// scan reads all records in their order and calls take for each chunk of up to chunkSize records. Each chunk has a transaction of
// its own, so that no reader keeps pages from being reused for long. Unreadable has the numbers of records that can't be
// decoded.
func (f *file) scan(chunkSize int, take func(list []idempotency.Record, unreadable []uint64)) (err error) {
	defer RecoverPanic(&err)()
	lastSeq := uint64(0) // sequence numbers must increase: damaged pages may form a cycle
	for from, more := []byte{}, true; more; {
		var records []idempotency.Record
		var unreadable []uint64
		err := f.db.View(func(tx *bbolt.Tx) error {
			c := tx.Bucket(bucketKeys).Cursor()
			k, v := c.Seek(from)
			for ; k != nil && len(records)+len(unreadable) < chunkSize; k, v = c.Next() {
				if len(k) != 8 {
					return fmt.Errorf("%w: record key is not a sequence number", errDamaged)
				}
				seq := binary.BigEndian.Uint64(k)
				if seq <= lastSeq && lastSeq > 0 {
					return fmt.Errorf("%w: record %d after %d", errDamaged, seq, lastSeq)
				}
				lastSeq = seq
				if r, decodeErr := decodeRecord(seq, v); decodeErr == nil {
					records = append(records, r)
				} else {
					unreadable = append(unreadable, seq)
				}
			}
			if more = k != nil; more {
				if bytes.Compare(k, from) <= 0 {
					return fmt.Errorf("%w: record keys do not increase", errDamaged)
				}
				from = append([]byte(nil), k...)
			}
			return nil
		})
		if err != nil {
			return err
		}
		take(records, unreadable)
	}
	return nil
}

// quarantine moves the bytes of unreadable records to a bucket that is not scanned.
func (f *file) quarantine(unreadable []uint64) (err error) {
	defer RecoverPanic(&err)()
	return f.db.Update(func(tx *bbolt.Tx) error {
		quarantined, err := tx.CreateBucketIfNotExists(bucketQuarantine)
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

// count returns the number of records.
func (f *file) count() (n int, err error) {
	defer RecoverPanic(&err)()
	err = f.db.View(func(tx *bbolt.Tx) error {
		n = tx.Bucket(bucketKeys).Stats().KeyN
		return nil
	})
	return n, err
}

// size returns the size of the file in bytes, 0 if it is unknown.
func (f *file) size() int64 {
	info, err := os.Stat(f.path)
	if err != nil {
		return 0
	}
	return info.Size()
}
