package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// A sync fails while a file is replaced. A partly written file in place of the old one would be trusted after a restart, so
// the old file must stay unchanged and no temporary file may be left.
func TestFailedReplacementLeavesTheOldFile(t *testing.T) {
	originalSync := Sync
	t.Cleanup(func() { Sync = originalSync })
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
		t.Errorf("content %q, %v", text, err)
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("files in the folder: %v, %v", left, err)
	}
}

// An existing version must never be overwritten: with os.Link, Write fails if the path exists and removes its temporary file.
func TestLinkDoesNotReplace(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "version-1")
	if err := Write(path, []byte("first"), os.Link); err != nil {
		t.Fatal(err)
	}
	if err := Write(path, []byte("second"), os.Link); !errors.Is(err, os.ErrExist) {
		t.Errorf("second write to an existing path: %v", err)
	}
	text, err := os.ReadFile(path)
	left, _ := os.ReadDir(dir)
	if err != nil || string(text) != "first" || len(left) != 1 {
		t.Errorf("content %q, %v, files %v", text, err, left)
	}
}
