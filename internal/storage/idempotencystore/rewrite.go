package idempotencystore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/atomicfile"
)

// rewriteBatch is how many records are put at once into a new file.
const rewriteBatch = 4096

// writeFile writes a whole file beside its place, has it made durable and puts it there: a process that ends meanwhile leaves the old
// one. List hands over the records; nil: there are none.
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
			_ = db.Close() // the error that matters is why it could not be written
		}
	}()
	db.NoSync = true // until all is written
	var pending []idempotency.Record
	flush := func() error {
		list := pending
		pending = pending[:0]
		return putRecords(db, h, list)
	}
	if list != nil {
		err = list(func(r idempotency.Record) error {
			if pending = append(pending, r); len(pending) >= rewriteBatch {
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

// putRecords puts records and the header into a new file.
func putRecords(db *bbolt.DB, h header, list []idempotency.Record) error {
	return db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketMeta); err != nil {
			return err
		}
		b, err := tx.CreateBucketIfNotExists(bucketKeys)
		if err != nil {
			return err
		}
		b.FillPercent = fillPercent
		for i := range list {
			if err := b.Put(seqKey(list[i].Seq), encodeRecord(&list[i])); err != nil {
				return err
			}
		}
		return putHeader(tx, h)
	})
}

// syncDir makes the names in a folder durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(atomicfile.Sync(dir), dir.Close())
}

// copyTo writes a copy of the file as it stands, which is durable once it is there.
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
