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

// Summary is what stands in a file of records.
type Summary struct {
	ID, Name      string
	Format        int
	Complete      bool // every run that matters is in it
	ClosedCleanly bool // its service closed it in good order
	SameBoot      bool // its times count from the machine's present start
	Records       int
	ByState       map[string]int
	Bytes         int    // of records
	File          int64  // of the file
	Unreadable    int    // records that can't be read
	Damage        string // what keeps the rest from being read; empty: nothing
}

// Init makes the store of a service that has run no request that could come again. One that is there is an error.
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

// withLock calls do while no other process may open the folder's store.
func withLock(dir string, do func(path string) error) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	lock, err := lockDir(dir)
	if err != nil {
		return err
	}
	defer lock.Close()
	return do(filepath.Join(dir, FileName))
}

// FileOf is the file of a store, by its folder or itself.
func FileOf(path string) string {
	if s, err := os.Stat(path); err == nil && s.IsDir() {
		return filepath.Join(path, FileName)
	}
	return path
}

// openReadOnly opens a file that no service has open, to be read.
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

// Check reads a whole file. What can't be read of it is in the summary; an error is of a file that can't be opened.
func Check(path string) (s Summary, err error) {
	f, err := openReadOnly(path)
	if err != nil {
		return s, err
	}
	defer f.close()
	s = Summary{ID: f.header.ID, Name: f.header.Name, Format: f.header.Format, Complete: f.header.Complete, ClosedCleanly: f.header.ClosedCleanly,
		SameBoot: f.header.Boot == Now().Boot, ByState: map[string]int{}, File: f.size()}
	err = f.scan(scanChunk, func(list []idempotency.Record, unreadable []uint64) {
		s.Unreadable += len(unreadable)
		s.Records += len(list)
		for i := range list {
			s.ByState[list[i].State.String()]++
			s.Bytes += list[i].Size()
		}
	})
	if err != nil {
		s.Damage = err.Error()
	}
	return s, nil
}

// Dump hands over every record of a file, in the order of their intents. The first error ends it after
// the records that were read with it; one that can't be read is an error.
func Dump(path string, take func(idempotency.Record) error) error {
	f, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer f.close()
	var bad error
	err = f.scan(scanChunk, func(list []idempotency.Record, unreadable []uint64) {
		for i := range list {
			if bad == nil {
				bad = take(list[i])
			}
		}
		for _, seq := range unreadable {
			bad = errors.Join(bad, fmt.Errorf("record %d can't be read", seq))
		}
	})
	return errors.Join(err, bad)
}

// Compact rewrites the file of a folder without what is unused, and returns its bytes before and after.
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

// rewrite writes the records of a file into another one, by what change makes of each.
func (f *file) rewrite(path string, h header, change func(idempotency.Record) (idempotency.Record, bool)) (*file, error) {
	return writeFile(path, h, func(put func(idempotency.Record) error) error {
		var bad error
		err := f.scan(scanChunk, func(list []idempotency.Record, unreadable []uint64) {
			if len(unreadable) > 0 {
				bad = errors.Join(bad, fmt.Errorf("%d records can't be read: a service sets them aside as it starts", len(unreadable)))
			}
			for _, r := range list {
				if r, keep := change(r); keep && bad == nil {
					bad = put(r)
				}
			}
		})
		return errors.Join(err, bad)
	})
}

// Export copies the file of a store that no service has open. Something that stands at the place of the copy is an error.
func Export(dir, to string) error {
	if _, err := os.Stat(to); err == nil {
		return fmt.Errorf("%s: there is something already", to)
	}
	f, err := openReadOnly(FileOf(dir))
	if err != nil {
		return err
	}
	defer f.close()
	return f.copyTo(to)
}

// Import makes the store of a folder from a copy of another one, and returns how many records were taken over. What the other ran since
// the copy was made is not in it: requests that are not known fail until that can't matter any more. Whole says that there is nothing
// such: the copy was made of a store that its service had closed for good, and a copy of one in use is an error.
func Import(from, dir, name string, complete bool) (records int, err error) {
	f, err := openReadOnly(FileOf(from))
	if err != nil {
		return 0, err
	}
	defer f.close()
	if complete && (!f.header.ClosedCleanly || !f.header.Complete) {
		return 0, fmt.Errorf("%s: it is a copy of a store in use, and so not whole", from)
	}
	last, err := f.newestTime()
	if err != nil {
		return 0, err
	}
	err = withLock(dir, func(path string) error {
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: there is one already", path)
		}
		now := Now()
		shift := f.header.coverage().TimeShift(last, now)
		h := newHeader(name, now, time.Now().UnixMilli())
		h.Complete, h.ClosedCleanly = complete, true
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
