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

// Init makes the store of a service that has run no sheet that could come again.
func Init(dir, name string) error {
	return withLock(dir, func(path string) error {
		if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s: there is one already", path)
		}
		now := Now()
		f, err := writeFile(path, header{Format: formatVersion, ID: newID(), Name: name, Machine: now.Machine, Boot: now.Boot, CompleteSince: int64(now.SinceBoot), Complete: true,
			CompleteSinceWall: time.Now().UnixMilli(), ClosedCleanly: true}, nil)
		if err != nil {
			return err
		}
		return f.db.Close()
	})
}

// locked has a folder as one's own for a time.
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

// FileOf is the file of a store, by its folder; a file is its own.
func FileOf(path string) string {
	if s, err := os.Stat(path); err == nil && s.IsDir() {
		return filepath.Join(path, FileName)
	}
	return path
}

// open opens a file that no service has open, to be read.
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
		db.Close()
		return nil, err
	}
	return f, nil
}

// Check reads a file whole.
func Check(path string) (s Summary, err error) {
	f, err := openReadOnly(path)
	if err != nil {
		return s, err
	}
	defer f.db.Close()
	s = Summary{ID: f.header.ID, Name: f.header.Name, Format: f.header.Format, Complete: f.header.Complete, ClosedCleanly: f.header.ClosedCleanly,
		SameBoot: f.header.Boot == Now().Boot, ByState: map[string]int{}, File: f.size()}
	err = f.scan(scanChunk, func(list []idempotency.Record, broken []uint64) {
		s.Unreadable += len(broken)
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

// Dump hands over every record of a file, in the order of their promises.
func Dump(path string, take func(idempotency.Record) error) error {
	f, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer f.db.Close()
	var bad error
	err = f.scan(scanChunk, func(list []idempotency.Record, broken []uint64) {
		for i := range list {
			if bad == nil {
				bad = take(list[i])
			}
		}
		for _, seq := range broken {
			bad = errors.Join(bad, fmt.Errorf("record %d can't be read", seq))
		}
	})
	return errors.Join(err, bad)
}

// Compact writes the file of a folder anew, without the room that nobody uses.
func Compact(dir string) (before, after int64, err error) {
	err = withLock(dir, func(path string) error {
		f, err := openReadOnly(path)
		if err != nil {
			return err
		}
		defer f.db.Close()
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
		err := f.scan(scanChunk, func(list []idempotency.Record, broken []uint64) {
			if len(broken) > 0 {
				bad = errors.Join(bad, fmt.Errorf("%d records can't be read: a service sets them aside as it starts", len(broken)))
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

// Export copies the file of a store that no service has open.
func Export(dir, to string) error {
	if _, err := os.Stat(to); err == nil {
		return fmt.Errorf("%s: there is something already", to)
	}
	f, err := openReadOnly(FileOf(dir))
	if err != nil {
		return err
	}
	defer f.db.Close()
	return f.copyTo(to)
}

// Import makes the store of a folder from a copy of another one. What the other ran since the copy was made is not in it: sheets
// that are not known fail until that can't matter any more. Whole says that there is nothing such: the copy was made of a store
// that its service had closed for good.
func Import(from, dir, name string, whole bool) (records int, err error) {
	f, err := openReadOnly(FileOf(from))
	if err != nil {
		return 0, err
	}
	defer f.db.Close()
	if whole && !(f.header.ClosedCleanly && f.header.Complete) {
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
		next, err := f.rewrite(path, header{Format: formatVersion, ID: newID(), Name: name, Machine: now.Machine, Boot: now.Boot, CompleteSince: int64(now.SinceBoot), Complete: whole,
			CompleteSinceWall: time.Now().UnixMilli(), ClosedCleanly: true}, func(r idempotency.Record) (idempotency.Record, bool) {
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
