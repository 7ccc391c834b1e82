// Package atomicfile replaces files atomically and durably: after a loss of power the old or the new one is there, complete.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Sync is how a file, or a folder, is made durable; tests put one in its place that fails.
var Sync = (*os.File).Sync

// Write writes a file beside its place, makes it durable, puts it there by place, and makes the folder durable. Place is os.Rename, which
// replaces what stands there, or os.Link, which fails where something does. After an error nobody knows which of the two stands there
// after a loss of power.
func Write(path string, data []byte, place func(from, to string) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".next-"+filepath.Base(path))
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // a renamed one is not there any more, a linked one has another name too
	_, err = f.Write(data)
	if err == nil {
		err = f.Chmod(0o644)
	}
	if err == nil {
		err = Sync(f)
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := place(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(Sync(dir), dir.Close())
}
