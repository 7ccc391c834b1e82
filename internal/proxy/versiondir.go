package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"silverpath/internal/policy/cells"
	"silverpath/internal/settings"
	"silverpath/internal/storage/atomicfile"
)

// VersionDir is a folder with the versions of a map, one file for each. The file of a version is written once and never replaced: Put
// creates it as a hard link to a complete and synced file, and the system refuses a link whose name exists. So a placement controller
// that was suspended between its check and its write, and resumes while another one leads, can't overwrite a version.
type VersionDir struct{ Dir string }

// ErrVersionTaken is returned by Put if the version was already written with other contents.
var ErrVersionTaken = errors.New("already written with other contents")

// withdrawnMark is the contents of a withdrawn version's file. No map will be published under such a version.
var withdrawnMark = []byte("withdrawn\n")

const (
	versionSuffix    = ".json"
	retainedVersions = 64 // retained below the head, for operators to inspect
)

// path returns the name of a version's file.
func (d VersionDir) path(version int) string {
	return filepath.Join(d.Dir, fmt.Sprintf("%010d%s", version, versionSuffix))
}

// versions returns the versions that have a file, in ascending order.
func (d VersionDir) versions() ([]int, error) {
	files, err := os.ReadDir(d.Dir) // sorted by name
	if err != nil {
		return nil, err
	}
	var versions []int
	for _, f := range files {
		stem, ok := strings.CutSuffix(f.Name(), versionSuffix)
		if v, err := strconv.Atoi(stem); ok && err == nil {
			versions = append(versions, v)
		}
	}
	return versions, nil
}

// Head returns the latest version that is a valid map, with its text, or nil if there is none. It skips withdrawn and invalid versions; an
// invalid one is also reported by the error, which may be non-nil beside a head.
func (d VersionDir) Head() (m *cells.Map, raw []byte, err error) {
	versions, err := d.versions()
	if err != nil {
		return nil, nil, err
	}
	var invalid error
	for i := len(versions) - 1; i >= 0; i-- {
		raw, err := os.ReadFile(d.path(versions[i]))
		if err == nil && bytes.Equal(raw, withdrawnMark) {
			continue
		}
		if err == nil {
			m, err = settings.ParseCells(raw)
		}
		if err == nil && m.Version != versions[i] {
			err = fmt.Errorf("a map of version %d in the file of version %d", m.Version, versions[i])
		}
		if err == nil {
			return m, raw, invalid
		}
		invalid = errors.Join(invalid, fmt.Errorf("%s: %w", d.path(versions[i]), err))
	}
	return nil, nil, invalid
}

// HighestVersion returns the highest version that has a file, or 0 if there is none.
func (d VersionDir) HighestVersion() (int, error) {
	versions, err := d.versions()
	if err != nil || len(versions) == 0 {
		return 0, err
	}
	return versions[len(versions)-1], nil
}

// Read returns the contents of a version's file, or nil if there is none.
func (d VersionDir) Read(version int) ([]byte, error) {
	raw, err := os.ReadFile(d.path(version))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Put writes a version, or withdraws it if raw is nil. If the version was already written, Put returns nil for the same contents and
// ErrVersionTaken for others.
func (d VersionDir) Put(version int, raw []byte) error {
	if raw == nil {
		raw = withdrawnMark
	}
	err := atomicfile.Write(d.path(version), raw, os.Link)
	if errors.Is(err, os.ErrExist) {
		existing, err := d.Read(version)
		if err == nil && !bytes.Equal(existing, raw) {
			err = fmt.Errorf("version %d: %w", version, ErrVersionTaken)
		}
		return err
	}
	if err != nil {
		return fmt.Errorf("version %d: %w", version, err)
	}
	d.removeOld(version)
	return nil
}

// removeOld removes the versions that are retainedVersions or more below the head. A late writer may create one of them again, which does
// no harm, as readers only use the head. A file that can't be removed is tried again at the next Put.
func (d VersionDir) removeOld(head int) {
	versions, _ := d.versions()
	for _, v := range versions {
		if v <= head-retainedVersions {
			_ = os.Remove(d.path(v))
		}
	}
}

// ReadMap reads the map at path, a file or a VersionDir. Of a VersionDir it returns the head, or an error if there is none.
func ReadMap(path string) (*cells.Map, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		m, _, err := VersionDir{path}.Head()
		if m == nil && err == nil {
			err = errors.New("the folder has no published version")
		}
		if m != nil {
			err = nil // an invalid version above a valid head is in force nowhere
		}
		return m, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return settings.ParseCells(data)
}
