package idempotencystore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"silverpath/internal/policy/idempotency"
)

// Summary describes a file of records.
type Summary struct {
	ID, Name      string
	Format        int
	Complete      bool // every relevant run is in the file
	ClosedCleanly bool // the service closed the file cleanly
	SameBoot      bool // the file is of the machine's present boot
	Records       int
	ByState       map[string]int
	RecordBytes   int    // size of the records
	FileSize      int64  // size of the file in bytes
	Unreadable    int    // records that can't be decoded
	Damage        string // why reading stopped early; empty if all records were read
}

// Init creates the store of a service that has executed no request that could be retried. It returns an error if the store
// exists.
func Init(dir, name string) error {
	return withLock(dir, func(path string) error {
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: there is one already", path)
		}
		now := Now()
		h := newHeader(name, now, time.Now().UnixMilli())
		h.Complete, h.ClosedCleanly = true, true
		f, err := writeFile(path, h, nil)
		if err != nil {
			return err
		}
		return f.db.Close()
	})
}

// withLock calls action with the path of the folder's file while it holds the lock of the folder.
func withLock(dir string, action func(path string) error) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	lock, err := lockDir(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	return action(filepath.Join(dir, FileName))
}

// FilePath returns the path of a store's file. Path is the store's folder or the file itself.
func FilePath(path string) string {
	if s, err := os.Stat(path); err == nil && s.IsDir() {
		return filepath.Join(path, FileName)
	}
	return path
}

// openReadOnly opens an existing file for reading. It returns ErrInUse if a process has the file open.
func openReadOnly(path string) (*file, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	db, err := openDatabase(path, true)
	if err != nil {
		return nil, err
	}
	f := &file{db: db, path: path}
	if err := f.readHeader(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// Check reads a whole file and returns its summary, which includes unreadable records and damage. It returns an error only
// if the file can't be opened.
func Check(path string) (summary Summary, err error) {
	f, err := openReadOnly(path)
	if err != nil {
		return summary, err
	}
	defer f.close()
	summary = Summary{ID: f.header.ID, Name: f.header.Name, Format: f.header.Format, Complete: f.header.Complete, ClosedCleanly: f.header.ClosedCleanly,
		SameBoot: f.header.Boot == Now().Boot, ByState: map[string]int{}, FileSize: f.size()}
	err = f.scan(scanChunkSize, func(list []idempotency.Record, unreadable []uint64) {
		summary.Unreadable += len(unreadable)
		summary.Records += len(list)
		for i := range list {
			summary.ByState[list[i].State.String()]++
			summary.RecordBytes += list[i].Size()
		}
	})
	if err != nil {
		summary.Damage = err.Error()
	}
	return summary, nil
}

// Dump calls visit for each record of a file, in the order of their intents. After an error of visit no further record is
// passed to it; after an unreadable record only the other records of the same chunk are. It returns these errors and that
// of reading the file.
func Dump(path string, visit func(idempotency.Record) error) error {
	f, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer f.close()
	var recordErr error
	err = f.scan(scanChunkSize, func(list []idempotency.Record, unreadable []uint64) {
		for i := range list {
			if recordErr == nil {
				recordErr = visit(list[i])
			}
		}
		for _, seq := range unreadable {
			recordErr = errors.Join(recordErr, fmt.Errorf("record %d can't be read", seq))
		}
	})
	return errors.Join(err, recordErr)
}

// Compact rewrites the file of a folder without unused pages, and returns its size in bytes before and after.
func Compact(dir string) (before, after int64, err error) {
	err = withLock(dir, func(path string) error {
		f, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer f.close()
		before = f.size()
		next, err := f.rewrite(path, f.header, func(r idempotency.Record) (idempotency.Record, bool) { return r, true })
		if err != nil {
			return err
		}
		after = next.size()
		return next.db.Close()
	})
	return before, after, err
}

// rewrite writes the records of a file to a new file at path. Transform returns the new content of each record and whether to
// keep it. Unreadable records are an error.
func (f *file) rewrite(path string, h header, transform func(idempotency.Record) (idempotency.Record, bool)) (*file, error) {
	return writeFile(path, h, func(put func(idempotency.Record) error) error {
		var recordErr error
		err := f.scan(scanChunkSize, func(list []idempotency.Record, unreadable []uint64) {
			if len(unreadable) > 0 {
				recordErr = errors.Join(recordErr, fmt.Errorf("%d records can't be read, so the file is not rewritten: start the service once, which quarantines them", len(unreadable)))
			}
			for _, r := range list {
				if r, keep := transform(r); keep && recordErr == nil {
					recordErr = put(r)
				}
			}
		})
		return errors.Join(err, recordErr)
	})
}

// Export copies the file of a store that no service has open. It returns an error if the path of the copy exists.
func Export(dir, target string) error {
	if _, err := os.Stat(target); err == nil {
		return fmt.Errorf("%s: the path of the copy exists already", target)
	}
	f, err := openReadOnly(FilePath(dir))
	if err != nil {
		return err
	}
	defer f.close()
	return f.copyTo(target)
}

// Import creates the store of a folder from a copy of another store, and returns the number of imported records. Runs of the
// other service since the copy was made are not in it, so requests with unknown keys fail until the windows of such runs are
// over. Complete states that there are no such runs because the service had closed the store for good; it is an error for
// a copy of a store in use.
func Import(source, dir, name string, complete bool) (records int, err error) {
	f, err := openReadOnly(FilePath(source))
	if err != nil {
		return 0, err
	}
	defer f.close()
	if complete && (!f.header.ClosedCleanly || !f.header.Complete) {
		return 0, fmt.Errorf("%s: it is a copy of a store in use, and so not whole", source)
	}
	newest, err := f.newestTime()
	if err != nil {
		return 0, err
	}
	err = withLock(dir, func(path string) error {
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: there is one already", path)
		}
		now := Now()
		shift := f.header.coverage().TimeShift(newest, now)
		h := newHeader(name, now, time.Now().UnixMilli())
		h.Complete, h.ClosedCleanly, h.terms = complete, true, f.header.terms
		next, err := f.rewrite(path, h, func(r idempotency.Record) (idempotency.Record, bool) {
			r, keep := r.Recover(shift, now.SinceBoot)
			if keep {
				records++
			}
			return r, keep
		})
		if err != nil {
			return err
		}
		return next.db.Close()
	})
	return records, err
}
