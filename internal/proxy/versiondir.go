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
	versionSuffix = ".json"
	keptVersions  = 64 // retained below the head, for operators to inspect
)

// path returns the name of a version's file.
func (s VersionDir) path(version int) string {
	return filepath.Join(s.Dir, fmt.Sprintf("%010d%s", version, versionSuffix))
}

// versions returns the versions that have a file, in ascending order.
func (s VersionDir) versions() ([]int, error) {
	files, err := os.ReadDir(s.Dir) // sorted by name
	if err != nil {
		return nil, err
	}
	var list []int
	for _, f := range files {
		stem, ok := strings.CutSuffix(f.Name(), versionSuffix)
		if v, err := strconv.Atoi(stem); ok && err == nil {
			list = append(list, v)
		}
	}
	return list, nil
}

// Head returns the latest version that is a valid map, with its text, or nil if there is none. It skips withdrawn and invalid versions; an
// invalid one is also reported by the error, which may be non-nil beside a head.
func (s VersionDir) Head() (m *cells.Map, raw []byte, err error) {
	list, err := s.versions()
	if err != nil {
		return nil, nil, err
	}
	var bad error
	for i := len(list) - 1; i >= 0; i-- {
		raw, err := os.ReadFile(s.path(list[i]))
		if err == nil && bytes.Equal(raw, withdrawnMark) {
			continue
		}
		if err == nil {
			m, err = settings.ParseCells(raw)
		}
		if err == nil && m.Version != list[i] {
			err = fmt.Errorf("a map of version %d in the file of version %d", m.Version, list[i])
		}
		if err == nil {
			return m, raw, bad
		}
		bad = errors.Join(bad, fmt.Errorf("%s: %w", s.path(list[i]), err))
	}
	return nil, nil, bad
}

// HighestVersion returns the highest version that has a file, or 0 if there is none.
func (s VersionDir) HighestVersion() (int, error) {
	list, err := s.versions()
	if err != nil || len(list) == 0 {
		return 0, err
	}
	return list[len(list)-1], nil
}

// Read returns the contents of a version's file, or nil if there is none.
func (s VersionDir) Read(version int) ([]byte, error) {
	raw, err := os.ReadFile(s.path(version))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Put writes a version, or withdraws it if raw is nil. If the version was already written, Put returns nil for the same contents and
// ErrVersionTaken for others.
func (s VersionDir) Put(version int, raw []byte) error {
	if raw == nil {
		raw = withdrawnMark
	}
	err := atomicfile.Write(s.path(version), raw, os.Link)
	if errors.Is(err, os.ErrExist) {
		there, err := s.Read(version)
		if err == nil && !bytes.Equal(there, raw) {
			err = fmt.Errorf("version %d: %w", version, ErrVersionTaken)
		}
		return err
	}
	if err != nil {
		return fmt.Errorf("version %d: %w", version, err)
	}
	s.removeOld(version)
	return nil
}

// removeOld removes the versions more than keptVersions below the head. A late writer may create one of them again, which does no harm, as
// readers only use the head. A file that can't be removed is tried again at the next Put.
func (s VersionDir) removeOld(head int) {
	list, _ := s.versions()
	for _, v := range list {
		if v <= head-keptVersions {
			_ = os.Remove(s.path(v))
		}
	}
}

// ReadMap reads the map at path, a file or a VersionDir. Of a VersionDir it returns the head, or an error if there is none.
func ReadMap(path string) (*cells.Map, error) {
	if at, err := os.Stat(path); err == nil && at.IsDir() {
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
