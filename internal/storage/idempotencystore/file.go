package idempotencystore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/atomicfile"
)

// FileName is the file in a store's folder.
const FileName = "keys.db"

const (
	lockName = "lock"
	// format is the version of what is on the disk.
	formatVersion = 1
	// growth is by how many bytes the file grows.
	fileGrowth = 1 << 20
	// lockWait is how long a process waits for another one that has the file: one that was killed may take a while to be gone.
	lockWait = 2 * time.Second
	// mostRecord bounds a record that is read: more than a runner can bring.
	maxRecord = 4 << 20
)

var (
	bucketMeta       = []byte("meta")
	bucketKeys       = []byte("keys")
	bucketUnreadable = []byte("broken") // records that can't be read, as they were found
	keyMeta          = []byte("meta")
)

// header is what a file says of itself.
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

func (h header) coverage() idempotency.Coverage {
	return idempotency.Coverage{Machine: h.Machine, Boot: h.Boot, CompleteSince: time.Duration(h.CompleteSince), Complete: h.Complete, CompleteSinceWall: h.CompleteSinceWall}
}

// Fault is asked at every boundary of what is written, by its name, in test programs only: it may wait, end the process, or
// return the error of a disk that has failed.
var FaultHook func(boundary string) error

func faultPoint(name string) error {
	if FaultHook == nil {
		return nil
	}
	return FaultHook(name)
}

// ---- Records ----

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode is a record as it is written: a checksum, then its fields.
func encodeRecord(r *idempotency.Record) []byte {
	b := make([]byte, 4, 64+r.Size())
	b = append(b, byte(r.State))
	for _, n := range []uint64{uint64(r.RecordedAt), uint64(r.ReceivedAt), uint64(r.ExpiresAt), uint64(r.Window), r.Fingerprint} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	b = binary.AppendUvarint(b, uint64(len(r.Key)))
	b = append(b, r.Key...)
	b = binary.AppendUvarint(b, uint64(len(r.ID)))
	b = append(b, r.ID...)
	b = append(b, r.Result...)
	binary.BigEndian.PutUint32(b, crc32.Checksum(b[4:], castagnoli))
	return b
}

var errUnreadableRecord = errors.New("a record that can't be read")

// decode reads a record. What it returns shares nothing with what it read.
func decodeRecord(seq uint64, b []byte) (r idempotency.Record, err error) {
	const fixed = 4 + 1 + 5*8
	if len(b) < fixed || len(b) > maxRecord || crc32.Checksum(b[4:], castagnoli) != binary.BigEndian.Uint32(b) {
		return r, errUnreadableRecord
	}
	r.Seq, r.State = seq, idempotency.State(b[4])
	if r.State == idempotency.Unknown || r.State >= idempotency.Expired {
		return r, errUnreadableRecord
	}
	n := func(i int) uint64 { return binary.BigEndian.Uint64(b[5+8*i:]) }
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt, r.Window, r.Fingerprint = time.Duration(n(0)), time.Duration(n(1)), time.Duration(n(2)), time.Duration(n(3)), n(4)
	rest := b[fixed:]
	text := func() string {
		size, used := binary.Uvarint(rest)
		if used <= 0 || size > uint64(len(rest)-used) {
			err = errUnreadableRecord
			return ""
		}
		t := string(rest[used : used+int(size)])
		rest = rest[used+int(size):]
		return t
	}
	if r.Key = text(); err == nil {
		r.ID = text()
	}
	if len(rest) > 0 && err == nil {
		r.Result = append([]byte(nil), rest...)
	}
	return r, err
}

func seqKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// ---- The file ----

// file is one open file of records.
type file struct {
	db     *bbolt.DB
	path   string
	header header
}

// openDB opens a file. Which of its pages are free stands in it: to find that out would be a walk through all of them, on which the
// library ends the process where one is damaged. One that is there and can't be a file of records is an error that names it.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	defer RecoverPanic(&err)()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType, ReadOnly: readOnly})
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		err = ErrInUse
	case errors.Is(err, bbolt.ErrInvalid), errors.Is(err, bbolt.ErrChecksum), errors.Is(err, bbolt.ErrVersionMismatch):
		err = fmt.Errorf("%w: %v", errDamaged, err)
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
		h := header{Format: formatVersion, ID: newID(), Name: name, Machine: now.Machine, Boot: now.Boot, CompleteSince: int64(now.SinceBoot), CompleteSinceWall: wall}
		f, err := writeFile(path, h, nil)
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
		db.Close()
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
			return fmt.Errorf("%s: %w: its head: %v", f.path, errDamaged, err)
		}
		if f.header.Format != formatVersion {
			return fmt.Errorf("%s: format %d, this build knows %d", f.path, f.header.Format, formatVersion)
		}
		return nil
	})
}

// Caught makes an error of what the library comes upon in pages that are not what they should be: its own panics, and reads
// outside of the file's memory. Use it as defer Caught(&err)().
func RecoverPanic(err *error) func() {
	old := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(old)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}
}

// op is one change of a file: a record's bytes, or none to take it off.
type change struct {
	seq    uint64
	value  []byte
	remove bool
	done   func(error) // nil: nobody waits
}

// commit makes changes, with a new head where that is not nil, and returns once they last. After an error nobody knows whether
// they do.
func (f *file) commit(ops []change, head *header) (err error) {
	defer RecoverPanic(&err)()
	if err := faultPoint("commit"); err != nil {
		return err
	}
	err = f.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketKeys)
		b.FillPercent = 0.9 // numbers rise
		for _, o := range ops {
			var err error
			if o.remove {
				err = b.Delete(seqKey(o.seq))
			} else {
				err = b.Put(seqKey(o.seq), o.value)
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

// last is the time of the newest record.
func (f *file) newestTime() (at time.Duration, err error) {
	defer RecoverPanic(&err)()
	tries := 1000 // of records that can't be read
	err = f.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketKeys).Cursor()
		for k, v := c.Last(); k != nil && tries > 0; k, v = c.Prev() {
			tries--
			if r, bad := decodeRecord(0, v); bad == nil {
				at = r.RecordedAt
				return nil
			}
		}
		return nil
	})
	return at, err
}

// each reads records in their order, some at a time, so that no reader holds pages for long. Those that can't be read come as
// broken.
func (f *file) scan(some int, take func(list []idempotency.Record, broken []uint64)) (err error) {
	defer RecoverPanic(&err)()
	past := uint64(0) // numbers rise: where they don't, damaged pages lead back to themselves
	for from, more := []byte{}, true; more; {
		var list []idempotency.Record
		var broken []uint64
		err := f.db.View(func(tx *bbolt.Tx) error {
			c := tx.Bucket(bucketKeys).Cursor()
			k, v := c.Seek(from)
			for ; k != nil && len(list)+len(broken) < some; k, v = c.Next() {
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
					broken = append(broken, seq)
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
		take(list, broken)
	}
	return nil
}

// setAside puts records that can't be read where they are not met again, as they are.
func (f *file) quarantine(broken []uint64) (err error) {
	defer RecoverPanic(&err)()
	return f.db.Update(func(tx *bbolt.Tx) error {
		aside, err := tx.CreateBucketIfNotExists(bucketUnreadable)
		if err != nil {
			return err
		}
		keys := tx.Bucket(bucketKeys)
		for _, seq := range broken {
			if err := errors.Join(aside.Put(seqKey(seq), append([]byte(nil), keys.Get(seqKey(seq))...)), keys.Delete(seqKey(seq))); err != nil {
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

// writeFile writes a whole file beside its place, has it last and puts it there: whoever ends meanwhile leaves the old one.
func writeFile(path string, h header, list func(put func(idempotency.Record) error) error) (f *file, err error) {
	next := path + ".next"
	if err := faultPoint("rewrite"); err != nil {
		return nil, err
	}
	if err := os.Remove(next); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	db, err := openDatabase(next, false)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			db.Close()
		}
	}()
	db.NoSync = true
	var waiting []idempotency.Record
	flush := func() error {
		return db.Update(func(tx *bbolt.Tx) error {
			m, err := tx.CreateBucketIfNotExists(bucketMeta)
			if err != nil || m == nil {
				return err
			}
			b, err := tx.CreateBucketIfNotExists(bucketKeys)
			if err != nil {
				return err
			}
			b.FillPercent = 0.9
			for i := range waiting {
				if err := b.Put(seqKey(waiting[i].Seq), encodeRecord(&waiting[i])); err != nil {
					return err
				}
			}
			waiting = waiting[:0]
			return putHeader(tx, h)
		})
	}
	if list != nil {
		err = list(func(r idempotency.Record) error {
			if waiting = append(waiting, r); len(waiting) >= 4096 {
				return flush()
			}
			return nil
		})
	}
	for _, step := range []func() error{
		flush,
		func() error { return faultPoint("rewrite.written") },
		db.Sync,
		func() error { return faultPoint("rewrite.synced") },
		func() error { return os.Rename(next, path) },
		func() error { return faultPoint("rewrite.renamed") },
		func() error { return syncDir(filepath.Dir(path)) },
		func() error { return faultPoint("rewrite.done") },
	} {
		if err == nil {
			err = step()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	db.NoSync = false
	return &file{db: db, path: path, header: h}, nil
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(atomicfile.Sync(dir), dir.Close())
}

// copyTo writes a copy of the file as it stands, which lasts once it is there.
func (f *file) copyTo(path string) (err error) {
	defer RecoverPanic(&err)()
	if err := faultPoint("snapshot"); err != nil {
		return err
	}
	next := path + ".next"
	out, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = f.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(out)
		return err
	})
	if err == nil {
		err = faultPoint("snapshot.written")
	}
	if err == nil {
		err = atomicfile.Sync(out)
	}
	if err = errors.Join(err, out.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}
