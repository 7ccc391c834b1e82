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

// A router that is upgraded finds the state file that the program before wrote. Did it not read it, it would start as one that has
// kept nothing: without the map until the group answers, or by a file that could not have followed. These files were written by the
// program of before its names were changed; that they are read, and by which times, is asserted by literals.
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
			path := copied(t, c.file)
			src, err := OpenGroupSource(path)
			if err != nil {
				t.Fatal(err)
			}
			m, read, err := src.Load(nil)
			if err != nil || !read.Equal(readAt) {
				t.Fatalf("read %v, error %v", read, err)
			}
			if got := settings.FormatCells(m); !bytes.Equal(got, want) {
				t.Errorf("the map is another one:\n%s", got)
			}
			if digest, named := src.DigestOf(m); named != c.inParts || c.inParts && digest != 0x3069aa281632cebd {
				t.Errorf("named %v by %016x", named, digest)
			}
			if err := src.Close(); err != nil {
				t.Error(err)
			}
			// Beside a file that is no good the router goes on with what it had.
			bad := filepath.Join(t.TempDir(), "bad.json")
			if err := os.WriteFile(bad, []byte("{"), 0o600); err != nil {
				t.Fatal(err)
			}
			f, err := OpenFileSource(bad, copied(t, c.file))
			if err != nil {
				t.Fatal(err)
			}
			closeLater(t, f)
			if m, read, err = f.Load(nil); err != nil || !read.Equal(readAt) || !bytes.Equal(settings.FormatCells(m), want) {
				t.Errorf("read %v, error %v", read, err)
			}
		})
	}
}

// What the state file has, bucket by bucket, is what the program before wrote for the same map: it may come back.
func TestStateFileHasTheSameBuckets(t *testing.T) {
	text, err := os.ReadFile("testdata/map.json")
	if err != nil {
		t.Fatal(err)
	}
	m, err := settings.ParseCells(text)
	if err != nil {
		t.Fatal(err)
	}
	at := time.UnixMilli(1700000001234)
	for _, c := range []struct {
		file string
		keep func(s *stateFile) error
	}{
		{"state-whole.db", func(s *stateFile) error { return s.storeWhole(m, at) }},
		{"state-parts.db", func(s *stateFile) error { return s.storeParts(m, 0x3069aa281632cebd, nil, nil, at) }},
	} {
		path := filepath.Join(t.TempDir(), "state.db")
		s, err := openStateFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.keep(s); err != nil {
			t.Fatal(err)
		}
		if err := s.close(); err != nil {
			t.Fatal(err)
		}
		got, want := contents(t, path), contents(t, copied(t, c.file))
		if !maps.Equal(got, want) {
			t.Errorf("%s: other contents: %d entries, want %d: %v", c.file, len(got), len(want), firstOther(got, want))
		}
	}
	if got := contents(t, copied(t, "state-whole.db")); got["time/read"] != "0000018bcfe56cd2" || len(got["whole/map"]) != 2*len(text) {
		t.Errorf("time %q, map of %d bytes", got["time/read"], len(got["whole/map"])/2)
	}
	if got := contents(t, copied(t, "state-parts.db")); got["parts/digest"] != "3069aa281632cebd" || len(got) != 1+1+290 {
		t.Errorf("digest %q, %d entries", got["parts/digest"], len(got))
	}
}

// copied is a copy of a fixture, as to open a state file is to write to it.
func copied(t *testing.T, name string) string {
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

// contents are the entries of a file by bucket and key, in hexadecimal.
func contents(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, db)
	all := map[string]string{}
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = hex.EncodeToString(v)
				return nil
			})
		})
	}); err != nil {
		t.Fatal(err)
	}
	return all
}

func firstOther(got, want map[string]string) string {
	for _, k := range slices.Sorted(maps.Keys(want)) {
		if got[k] != want[k] {
			return fmt.Sprintf("%s: %q, want %q", k, got[k], want[k])
		}
	}
	return "none is missing"
}

// closeNow closes something of which it matters that it closes well.
func closeNow(t testing.TB, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// closeLater closes it at the end of the test.
func closeLater(t testing.TB, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { closeNow(t, c) })
}
