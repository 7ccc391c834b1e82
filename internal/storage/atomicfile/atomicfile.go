// Package atomicfile replaces files atomically and durably: after a loss of power either the old or the new file is present
// and complete.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Sync makes a file or a folder durable. Tests replace it with a function that fails.
var Sync = (*os.File).Sync

// Write writes data to a temporary file in the folder of path, syncs it, installs it at path with install and syncs the folder.
// Install is os.Rename, which replaces an existing file, or os.Link, which fails if path exists. After an error it is unknown
// whether path has the old or the new content after a loss of power.
func Write(path string, data []byte, install func(from, to string) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".next-"+filepath.Base(path))
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // after os.Rename this name does not exist; after os.Link path is a second name
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
	if err := install(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(Sync(dir), dir.Close())
}
