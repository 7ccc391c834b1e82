package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A disk fails as a file is replaced. Half of the new file in the old one's place would be trusted after a restart: so the old one stays
// as it was, and nothing is left beside it.
func TestFailedReplacementLeavesTheOldFile(t *testing.T) {
	sync := Sync
	t.Cleanup(func() { Sync = sync })
	dir := t.TempDir()
	path := filepath.Join(dir, "state")
	if err := Write(path, []byte("old"), os.Rename); err != nil {
		t.Fatal(err)
	}
	failure := errors.New("disk full")
	Sync = func(*os.File) error { return failure }
	if err := Write(path, []byte("new"), os.Rename); !errors.Is(err, failure) {
		t.Errorf("%v, want %v", err, failure)
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "old" {
		t.Errorf("%q, %v", text, err)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("left beside it: %v, %v", left, err)
	}
}

// A version that stands in its place is never overwritten: os.Link fails where something is there, and the new file is gone again.
func TestLinkDoesNotReplace(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "version-1")
	if err := Write(path, []byte("first"), os.Link); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, []byte("second"), os.Link); !errors.Is(err, os.ErrExist) {
		t.Errorf("%v", err)
	}
	text, err := os.ReadFile(path)
	left, _ := os.ReadDir(dir)
	if err != nil || string(text) != "first" || len(left) != 1 {
		t.Errorf("%q, %v, %v", text, err, left)
	}
}
