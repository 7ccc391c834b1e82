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

// rewriteBatchSize is the number of records per transaction when a new file is written.
const rewriteBatchSize = 4096

// writeFile writes a new file with the header and records, syncs it and renames it to path. If the process ends meanwhile,
// the old file stays. ForEach calls put for each record; nil means that there are none.
func writeFile(path string, h header, forEach func(put func(idempotency.Record) error) error) (f *file, err error) {
	tmpPath := path + ".next"
	if err := faultPoint("rewrite"); err != nil {
		return nil, err
	}
	if err := os.Remove(tmpPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	db, err := openDatabase(tmpPath, false)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = db.Close() // the error of the write is returned
		}
	}()
	db.NoSync = true // the file is synced once, after all records
	var pending []idempotency.Record
	flush := func() error {
		batch := pending
		pending = pending[:0]
		return putRecords(db, h, batch)
	}
	if forEach != nil {
		err = forEach(func(r idempotency.Record) error {
			if pending = append(pending, r); len(pending) >= rewriteBatchSize {
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
		func() error { return os.Rename(tmpPath, path) },
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

// putRecords writes records and the header to a new file, in one transaction.
func putRecords(db *bbolt.DB, h header, records []idempotency.Record) error {
	return db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketMeta); err != nil {
			return err
		}
		keys, err := tx.CreateBucketIfNotExists(bucketKeys)
		if err != nil {
			return err
		}
		keys.FillPercent = fillPercent
		for i := range records {
			if err := keys.Put(seqKey(records[i].Seq), encodeRecord(&records[i])); err != nil {
				return err
			}
		}
		return putHeader(tx, h)
	})
}

// syncDir syncs a folder, which makes its entries durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(atomicfile.Sync(dir), dir.Close())
}

// copyTo writes a consistent copy of the file to path. The copy is synced before it is renamed to path.
func (f *file) copyTo(path string) (err error) {
	defer RecoverPanic(&err)()
	if err := faultPoint("snapshot"); err != nil {
		return err
	}
	next := path + ".next"
	copied, err := os.OpenFile(next, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = f.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(copied)
		return err
	})
	if err == nil {
		err = faultPoint("snapshot.written")
	}
	if err == nil {
		err = atomicfile.Sync(copied)
	}
	if err = errors.Join(err, copied.Close()); err != nil {
		return err
	}
	if err := os.Rename(next, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}
