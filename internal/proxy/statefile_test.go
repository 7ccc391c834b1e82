package proxy

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/settings"
)

// An upgraded router must read the state file of the previous build. Otherwise it would start without a map until the group answers, or
// with a map file that could not follow the stored map. The fixtures were written by a build from before the identifiers were renamed;
// the expected map, time and digest are literals.
func TestStateFilesOfTheProgramBefore(t *testing.T) {
	readAt := time.UnixMilli(1700000001234)
	want, err := os.ReadFile("testdata/map.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		file    string
		inParts bool
	}{{"state-whole.db", false}, {"state-parts.db", true}, {"state-old.db", false}} {
		t.Run(c.file, func(t *testing.T) {
			path := copyFixture(t, c.file)
			src, err := OpenGroupSource(path)
			if err != nil {
				t.Fatal(err)
			}
			m, confirmedAt, err := src.Load(nil)
			if err != nil || !confirmedAt.Equal(readAt) {
				t.Fatalf("read %v, error %v", confirmedAt, err)
			}
			if got := settings.FormatCells(m); !bytes.Equal(got, want) {
				t.Errorf("the map differs from testdata/map.json:\n%s", got)
			}
			if digest, named := src.DigestOf(m); named != c.inParts || c.inParts && digest != 0x3069aa281632cebd {
				t.Errorf("has a digest: %v, digest %016x", named, digest)
			}
			if err := src.Close(); err != nil {
				t.Error(err)
			}
			// With an invalid map file the router starts with the stored map.
			invalidMap := filepath.Join(t.TempDir(), "bad.json")
			if err := os.WriteFile(invalidMap, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
			f, err := OpenFileSource(invalidMap, copyFixture(t, c.file))
			if err != nil {
				t.Fatal(err)
			}
			closeLater(t, f)
			if m, confirmedAt, err = f.Load(nil); err != nil || !confirmedAt.Equal(readAt) || !bytes.Equal(settings.FormatCells(m), want) {
				t.Errorf("read %v, error %v", confirmedAt, err)
			}
		})
	}
}

// For the same map, the buckets and entries of the state file must equal those that the previous build wrote, as a downgraded router reads
// them.
func TestStateFileHasTheSameBuckets(t *testing.T) {
	text, err := os.ReadFile("testdata/map.json")
	if err != nil {
		t.Fatal(err)
	}
	m, err := settings.ParseCells(text)
	if err != nil {
		t.Fatal(err)
	}
	confirmedAt := time.UnixMilli(1700000001234)
	for _, c := range []struct {
		file  string
		store func(s *stateFile) error
	}{
		{"state-whole.db", func(s *stateFile) error { return s.storeWhole(m, confirmedAt) }},
		{"state-parts.db", func(s *stateFile) error { return s.storeParts(m, 0x3069aa281632cebd, nil, nil, confirmedAt) }},
	} {
		path := filepath.Join(t.TempDir(), "state.db")
		s, err := openStateFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.store(s); err != nil {
			t.Fatal(err)
		}
		if err := s.close(); err != nil {
			t.Fatal(err)
		}
		got, want := readEntries(t, path), readEntries(t, copyFixture(t, c.file))
		if !maps.Equal(got, want) {
			t.Errorf("%s: contents differ: %d entries, want %d: %v", c.file, len(got), len(want), firstDifference(got, want))
		}
	}
	if got := readEntries(t, copyFixture(t, "state-whole.db")); got["time/read"] != "0000018bcfe56cd2" || len(got["whole/map"]) != 2*len(text) {
		t.Errorf("state-whole.db: time %q, map of %d bytes, want 0000018bcfe56cd2 and the bytes of the fixture's map", got["time/read"], len(got["whole/map"])/2)
	}
	if got := readEntries(t, copyFixture(t, "state-parts.db")); got["parts/digest"] != "3069aa281632cebd" || len(got) != 1+1+290 {
		t.Errorf("digest %q, %d entries", got["parts/digest"], len(got))
	}
}

// copyFixture returns the path of a copy of a fixture. Tests need a copy because opening a state file writes to it.
func copyFixture(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// readEntries returns the entries of a database in hexadecimal, by bucket/key.
func readEntries(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, db)
	entries := map[string]string{}
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				entries[string(bucket)+"/"+string(k)] = hex.EncodeToString(v)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return entries
}

// firstDifference describes the first entry of want that got lacks or has with another value.
func firstDifference(got, want map[string]string) string {
	for _, k := range slices.Sorted(maps.Keys(want)) {
		if got[k] != want[k] {
			return fmt.Sprintf("%s: %q, want %q", k, got[k], want[k])
		}
	}
	return "got has entries that are not in want"
}

// closeNow closes c and reports an error of it as a test failure.
func closeNow(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// closeLater closes c at the end of the test.
func closeLater(t testing.TB, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { closeNow(t, c) })
}
