package fence

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// An upgraded server must still reject stale commands: if the new build misread the fence file of the old one, a holder that was
// replaced long ago could evacuate the server again. testdata/orders was written by an earlier build on a server that had carried out
// the command of step 7 in epoch 1.2 of the conductor, and had set the floor of the keeper.
func TestFileOfAnEarlierBuild(t *testing.T) {
	fixture, err := os.ReadFile("testdata/orders")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "orders")
	if err := os.WriteFile(path, fixture, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, "another"); err == nil || err.Error() != path+`: fence file of another service, "s1": move it away` {
		t.Error(err)
	}
	f, err := Open(path, "s1")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		command Command
		fresh   bool
		want    string
	}{
		{Command{"conductor", 1<<32 | 2, 7, "evacuate"}, false, ""},
		{Command{"conductor", 1<<32 | 2, 8, "rejoin"}, true, ""},
		{Command{"conductor", 1<<32 | 3, 1, "rejoin"}, true, ""},
		{Command{"conductor", 1<<32 | 1, 9, "rejoin"}, false, "stale epoch 1.1 of conductor: 1.2 was seen"},
		{Command{"conductor", 1<<32 | 2, 6, "rejoin"}, false, "stale step 6 of conductor in epoch 1.2: 7 was seen"},
		{Command{"conductor", 1<<32 | 2, 7, "rejoin"}, false, "stale step 7 of conductor in epoch 1.2: 7 was seen"},
		{Command{"keeper", 5, 3, "move"}, true, ""},
		{Command{"keeper", 5, 2, "move"}, false, "stale step 2 of keeper in epoch 0.5: 2 was seen"},
		{Command{"watcher", 5, 2, "judge"}, false, "no epoch is known yet of watcher"},
	} {
		fresh, err := f.Check(c.command)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if fresh != c.fresh || got != c.want {
			t.Errorf("%+v: fresh %v, error %q, want %v, %q", c.command, fresh, got, c.fresh, c.want)
		}
	}
	if err := f.Persist(Command{"conductor", 1<<32 | 3, 1, "rejoin"}, "s1"); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const want = "23bd6e9e\n" + `{"service":"s1","seen":{"conductor":{"duty":"conductor","epoch":4294967299,"step":1,"act":"rejoin"},"keeper":{"duty":"keeper","epoch":5,"step":2,"act":""}}}`
	if string(got) != want {
		t.Errorf("wrote\n%q, want\n%q", got, want)
	}
	damaged := bytes.Replace(fixture, []byte("evacuate"), []byte("evacuatf"), 1)
	if err := os.WriteFile(path, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, "s1"); err == nil || err.Error() != path+": checksum mismatch, the file is torn or not a fence file: move it away" {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(t.TempDir(), "none"), "s1"); err != nil || errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}
