package idempotencystore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/policy/idempotency"
)

// readFile is what a file gives back: every record by number, as it would be written. An error is damage that was seen.
func readFile(path string) (map[uint64]string, error) {
	f, _, err := openFile(path, "n", idempotency.Clock{}, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	all := map[uint64]string{}
	err = f.scan(3, func(list []idempotency.Record, broken []uint64) {
		if len(broken) > 0 {
			err = errors.New("broken records")
		}
		for i := range list {
			all[list[i].Seq] = string(encodeRecord(&list[i]))
		}
	})
	return all, err
}

// powerLoss is a file as a loss of power may leave it half way from one state to the next: of the pages that differ some are there,
// some not, some in part. The pages of the head come only once all others last, unless nothing is synced.
func powerLoss(rng *rand.Rand, before, after []byte, synced bool) []byte {
	const page, sector, heads = 4096, 512, 2
	out := slices.Clone(after)
	was := func(at int) []byte {
		b := make([]byte, sector)
		if at < len(before) {
			copy(b, before[at:min(len(before), at+sector)])
		}
		return b
	}
	headsOnly := synced && rng.IntN(2) == 0
	for at := 0; at < len(out); at += page {
		head := at < heads*page
		if head == synced && !headsOnly && head || headsOnly && head && rng.IntN(2) == 0 || !head && !headsOnly && rng.IntN(2) == 0 {
			whole := rng.IntN(2) == 0
			for s := at; s < at+page; s += sector {
				if whole || rng.IntN(2) == 0 || head { // a head is one sector
					copy(out[s:], was(s))
				}
			}
		}
	}
	return out
}

// harmful reads an image in a process of its own, as what a disk without syncs leaves may lead the library in circles and end it.
func harmful(t *testing.T, image string, either ...map[uint64]string) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestReadImageInAProcessOfItsOwn$")
	cmd.Env = append(os.Environ(), "SILVERPATH_IMAGE="+image)
	out, err := cmd.Output()
	if err != nil {
		return true
	}
	for _, e := range either {
		if strings.Contains(string(out), fmt.Sprintf("IMAGE %x\n", digest(e))) {
			return false
		}
	}
	return true
}

func digest(all map[uint64]string) []byte {
	h := sha256.New()
	for _, seq := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(h, "%d %q\n", seq, all[seq])
	}
	return h.Sum(nil)
}

// TestReadImageInAProcessOfItsOwn is the process of its own of the test below; by itself it has nothing to read.
func TestReadImageInAProcessOfItsOwn(t *testing.T) {
	image := os.Getenv("SILVERPATH_IMAGE")
	if image == "" {
		t.Skip("no image")
	}
	debug.SetMaxStack(8 << 20)
	all, err := readFile(image)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Printf("IMAGE %x\n", digest(all))
}

// The power goes in the middle of a commit of an intent, a result or an expiry. Half of it would be a run that is forgotten, or an answer
// that nobody gave: so what is found is the state before the commit or after it, complete. Where the disk is not waited for, the same
// check finds that it is neither.
func TestPowerLossDuringACommitLeavesAWholeState(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, FileName)
	f, _, err := openFile(path, "n", idempotency.Clock{Boot: "a"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	harm, images, unsynced := 0, 0, 0
	live := map[uint64]int{}
	for seq := uint64(1); seq < 120; {
		before, _ := os.ReadFile(path)
		was, err := recordsOf(f)
		if err != nil {
			t.Fatal(err)
		}
		var ops []change
		for range 1 + rng.IntN(6) {
			switch one := slices.Sorted(maps.Keys(live)); {
			case rng.IntN(2) == 0 || len(one) == 0:
				r := idempotency.Record{Seq: seq, State: idempotency.Running, Key: fmt.Sprint("key", seq), ID: "id", ExpiresAt: 9}
				ops, live[seq] = append(ops, change{seq: seq, value: encodeRecord(&r)}), 1
				seq++
			default:
				n := one[rng.IntN(len(one))]
				r := idempotency.Record{Seq: n, State: idempotency.Completed, Key: fmt.Sprint("key", n), ID: "id", ExpiresAt: 9, Result: bytes.Repeat([]byte{byte(n)}, rng.IntN(3000))}
				if live[n]++; live[n] > 2 {
					ops = append(ops, change{seq: n, remove: true})
					delete(live, n)
				} else {
					ops = append(ops, change{seq: n, value: encodeRecord(&r)})
				}
			}
		}
		if err := f.commit(ops, &header{Format: formatVersion, Name: "n", CompleteSince: int64(seq)}); err != nil {
			t.Fatal(err)
		}
		after, _ := os.ReadFile(path)
		is, err := recordsOf(f)
		if err != nil {
			t.Fatal(err)
		}
		for i := range 7 {
			synced := i < 6
			image := filepath.Join(t.TempDir(), FileName)
			if err := os.WriteFile(image, powerLoss(rng, before, after, synced), 0o600); err != nil {
				t.Fatal(err)
			}
			images++
			if !synced {
				if unsynced++; unsynced%3 == 0 && harmful(t, image, was, is) {
					harm++
				}
				continue
			}
			if got, err := readFile(image); err != nil || !maps.Equal(got, was) && !maps.Equal(got, is) {
				t.Fatalf("commit to %d, image %d: %v, %d records, were %d and became %d", seq, i, err, len(got), len(was), len(is))
			}
		}
	}
	f.close()
	if harm == 0 {
		t.Errorf("%d images, none of those without syncs does harm: this test finds nothing", images)
	}
}

func recordsOf(f *file) (map[uint64]string, error) {
	all := map[uint64]string{}
	err := f.scan(100, func(list []idempotency.Record, _ []uint64) {
		for i := range list {
			all[list[i].Seq] = string(encodeRecord(&list[i]))
		}
	})
	return all, err
}

// recordHolder stands for the core, which acts on what is stored.
type recordHolder struct {
	mu   sync.Mutex
	all  map[string]idempotency.Record
	wait time.Duration
}

func (k *recordHolder) Restore(list []idempotency.Record, _ func(time.Duration) time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range list {
		k.all[r.Key] = r
	}
}

func (k *recordHolder) Records(func(time.Time) time.Duration) (list []idempotency.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.all {
		list = append(list, r)
	}
	return list
}

func (k *recordHolder) LongestWindow() time.Duration { return k.wait }

func start(t *testing.T, dir string) (*Store, *recordHolder) {
	t.Helper()
	k := &recordHolder{all: map[string]idempotency.Record{}, wait: 300 * time.Millisecond}
	s, err := Open(Config{Dir: dir, Name: "n", MaxBytes: 8 << 20, ResultReserve: 1 << 10, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{}}, k)
	if err != nil {
		t.Fatal(err)
	}
	go s.Run(t.Context())
	<-s.Loaded()
	return s, k
}

// storeRun has one run stored, with its result.
func storeRun(t *testing.T, s *Store, key string, result []byte) {
	t.Helper()
	done := make(chan error, 1)
	r, now := idempotency.Record{Key: key, ID: "i", Window: time.Minute}, time.Now()
	if v := s.LogIntent(&r, now, now.Add(time.Minute), time.Hour, func(err error) { done <- err }); v.Action != idempotency.Execute {
		t.Fatalf("%s: %v", key, v)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if r.Result = result; result != nil {
		s.LogResult(&r, now, now.Add(time.Minute), func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// A disk gives back a damaged record, or damaged pages. A request whose record is gone could run twice: so what can't be read is set
// aside and kept, what else there is is taken up, and what is not known fails until it can't matter, also over a further restart.
func TestDamagedStoreFailsUnknownKeysUntilTheirWindowIsOver(t *testing.T) {
	for _, kind := range []string{"a record", "the pages"} {
		dir := t.TempDir()
		if err := Init(dir, "n"); err != nil {
			t.Fatal(err)
		}
		s, _ := start(t, dir)
		for i := range 300 {
			storeRun(t, s, fmt.Sprint("key-", i), []byte(strings.Repeat("result", 50)))
		}
		since := s.CompleteSince()
		s.Close()
		path := filepath.Join(dir, FileName)
		text, _ := os.ReadFile(path)
		if at := bytes.Index(text, []byte("key-7")); kind == "a record" {
			for ; at >= 0; at = bytes.Index(text, []byte("key-7")) { // in every page that ever had it
				text[at]++
			}
		} else {
			for at := 4 * 4096; at < len(text); at += 4096 { // the heads of most pages
				if at%(3*4096) == 0 {
					copy(text[at:], "no page's head")
				}
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
		s, k := start(t, dir)
		if s.CompleteSince() == since {
			t.Errorf("%s: it says that nothing was forgotten", kind)
		}
		if n := len(k.all); kind == "a record" && n < 280 || n >= 300 {
			t.Errorf("%s: %d of 300 records taken up", kind, n)
		}
		if v := s.CanExecute(time.Second); v.Action != idempotency.Fail {
			t.Errorf("%s: a request that may have run: %v", kind, v)
		}
		s.Close()
		if left, _ := filepath.Glob(path + ".damaged-*"); kind != "a record" && len(left) != 1 {
			t.Errorf("%s: set aside: %v", kind, left)
		}
		s, _ = start(t, dir)
		if v := s.CanExecute(time.Second); v.Action != idempotency.Fail {
			t.Errorf("%s: after a further restart: %v", kind, v)
		}
		time.Sleep(400 * time.Millisecond)
		if v := s.CanExecute(time.Second); v.Action != idempotency.Execute {
			t.Errorf("%s: once it can't matter: %v", kind, v)
		}
		storeRun(t, s, "new", make([]byte, 1<<20)) // a result of the largest size
		s.Close()
		if _, k = start(t, dir); len(k.all["new"].Result) != 1<<20 {
			t.Errorf("%s: %d bytes of the largest result", kind, len(k.all["new"].Result))
		}
	}
}

// Anything that is read as a record is the record that was written, or is not read at all.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(&idempotency.Record{State: idempotency.Completed, Key: "k", ID: "i", Result: []byte("r")}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeRecord(7, b)
		if err == nil && !bytes.Equal(encodeRecord(&r), b) {
			t.Fatalf("%q is read as %+v", b, r)
		}
	})
}
