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

// VersionDir is a folder with the versions of a map, a file each. The file of a version is written once and never again, whoever comes,
// and however late: a link to a file that is complete and synced is made under the version's name, which the system refuses where that
// name is taken. So a placement controller that was stopped between its check and its write, and goes on when another one leads, can
// undo nothing.
type VersionDir struct{ Dir string }

// ErrVersionTaken says that a version was written already, with other contents.
var ErrVersionTaken = errors.New("its place is taken")

// withdrawnMark is what the file of a version has that is not to come any more.
var withdrawnMark = []byte("withdrawn\n")

const (
	versionSuffix = ".json"
	keptVersions  = 64 // below the head, for operators to look at
)

func (s VersionDir) path(version int) string {
	return filepath.Join(s.Dir, fmt.Sprintf("%010d%s", version, versionSuffix))
}

// versions are those that have a file, rising.
func (s VersionDir) versions() ([]int, error) {
	files, err := os.ReadDir(s.Dir) // in the order of their names
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

// Head is the latest version that is a good map, with its text; nil where there is none. One that is no good is passed over, and is an
// error beside the head.
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
			err = fmt.Errorf("version: %d in the place of %d", m.Version, list[i])
		}
		if err == nil {
			return m, raw, bad
		}
		bad = errors.Join(bad, fmt.Errorf("%s: %w", s.path(list[i]), err))
	}
	return nil, nil, bad
}

// HighestVersion is the highest version that has a file, 0 for none.
func (s VersionDir) HighestVersion() (int, error) {
	list, err := s.versions()
	if err != nil || len(list) == 0 {
		return 0, err
	}
	return list[len(list)-1], nil
}

// Read is the contents of a version's file, nil where there is none.
func (s VersionDir) Read(version int) ([]byte, error) {
	raw, err := os.ReadFile(s.path(version))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return raw, err
}

// Put writes a version, or, with nil, withdraws it. That it was written already with the same contents is no error; with others it is
// ErrVersionTaken.
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

// removeOld removes the oldest versions. What a late writer puts in their place is below the head, and nobody reads it. A file that
// can't be removed is tried again at the next version.
func (s VersionDir) removeOld(head int) {
	list, _ := s.versions()
	for _, v := range list {
		if v <= head-keptVersions {
			_ = os.Remove(s.path(v))
		}
	}
}

// ReadMap reads a map from a file, or the head of a VersionDir.
func ReadMap(path string) (*cells.Map, error) {
	if at, err := os.Stat(path); err == nil && at.IsDir() {
		m, _, err := VersionDir{path}.Head()
		if m == nil && err == nil {
			err = errors.New("no version yet")
		}
		if m != nil {
			err = nil // the head is good; what is no good above it is in force nowhere
		}
		return m, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return settings.ParseCells(data)
}
