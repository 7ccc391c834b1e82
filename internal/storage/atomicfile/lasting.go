// Package atomicfile puts files where they outlive a loss of power: whole, or not at all.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Sync is how a file, or a folder, is made to last; tests put one in its place that fails.
var Sync = (*os.File).Sync

// Put writes a file beside its place, has it last, puts it there by os.Rename, which takes the place of what stands there, or
// by os.Link, which fails where something does, and has the folder last. After an error nobody knows which of the two stands
// there after a loss of power.
func Write(path string, data []byte, place func(from, to string) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".next-"+filepath.Base(path))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // what was linked has another name too
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
