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

// readFile returns the encoded records of a file by sequence number. It returns an error if damage is detected.
func readFile(path string) (map[uint64]string, error) {
	f, _, err := openFile(path, "n", idempotency.Clock{}, 0)
	if err != nil {
		return nil, err
	}
	defer f.close()
	all := map[uint64]string{}
	err = f.scan(3, func(list []idempotency.Record, unreadable []uint64) {
		if len(unreadable) > 0 {
			err = errors.New("unreadable records")
		}
		for i := range list {
			all[list[i].Seq] = string(encodeRecord(&list[i]))
		}
	})
	return all, err
}

// powerLoss returns a file as a loss of power may leave it between two states: of the pages that differ, some are written,
// some are not and some are written in part. With synced, the meta pages at the head are written only after all other pages
// are durable.
func powerLoss(rng *rand.Rand, before, after []byte, synced bool) []byte {
	const page, sector, metaPages = 4096, 512, 2
	out := slices.Clone(after)
	oldSector := func(at int) []byte {
		b := make([]byte, sector)
		if at < len(before) {
			copy(b, before[at:min(len(before), at+sector)])
		}
		return b
	}
	metaOnly := synced && rng.IntN(2) == 0
	for at := 0; at < len(out); at += page {
		isMeta := at < metaPages*page
		if isMeta == synced && !metaOnly && isMeta || metaOnly && isMeta && rng.IntN(2) == 0 || !isMeta && !metaOnly && rng.IntN(2) == 0 {
			wholePage := rng.IntN(2) == 0
			for s := at; s < at+page; s += sector {
				if wholePage || rng.IntN(2) == 0 || isMeta { // a meta page's content is within one sector
					copy(out[s:], oldSector(s))
				}
			}
		}
	}
	return out
}

// failsCheck reports whether reading an image crashes, hangs, fails or returns neither of the two states. It reads the image in
// a separate process, because bbolt may loop forever or crash on an image that was written without syncs.
func failsCheck(t *testing.T, image string, states ...map[uint64]string) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], "-test.run", "^TestReadImageInAProcessOfItsOwn$")
	cmd.Env = append(os.Environ(), "SILVERPATH_IMAGE="+image)
	out, err := cmd.Output()
	if err != nil {
		return true
	}
	for _, state := range states {
		if strings.Contains(string(out), fmt.Sprintf("IMAGE %x\n", digest(state))) {
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

// TestReadImageInAProcessOfItsOwn is the process that failsCheck starts. Without an image in its environment it is skipped.
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

// The power fails during a commit of intents, results and expiries. A partly applied commit would lose a run or return a
// result that does not exist, so the file must have the complete state before or after the commit. The same check must fail
// for some images that are written without syncs, which shows that it detects partial commits.
func TestPowerLossDuringACommitLeavesAWholeState(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, FileName)
	f, _, err := openFile(path, "n", idempotency.Clock{Boot: "a"}, 0)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	failures, images, unsynced := 0, 0, 0
	recordStates := map[uint64]int{}
	for seq := uint64(1); seq < 120; {
		before, _ := os.ReadFile(path)
		oldRecords, err := recordsOf(f)
		if err != nil {
			t.Fatal(err)
		}
		var changes []change
		for range 1 + rng.IntN(6) {
			switch seqs := slices.Sorted(maps.Keys(recordStates)); {
			case rng.IntN(2) == 0 || len(seqs) == 0:
				r := idempotency.Record{Seq: seq, State: idempotency.Running, Key: fmt.Sprint("key", seq), ID: "id", ExpiresAt: 9}
				changes, recordStates[seq] = append(changes, change{seq: seq, value: encodeRecord(&r)}), 1
				seq++
			default:
				n := seqs[rng.IntN(len(seqs))]
				r := idempotency.Record{Seq: n, State: idempotency.Completed, Key: fmt.Sprint("key", n), ID: "id", ExpiresAt: 9, Result: bytes.Repeat([]byte{byte(n)}, rng.IntN(3000))}
				if recordStates[n]++; recordStates[n] > 2 {
					changes = append(changes, change{seq: n, remove: true})
					delete(recordStates, n)
				} else {
					changes = append(changes, change{seq: n, value: encodeRecord(&r)})
				}
			}
		}
		if err := f.commit(changes, &header{Format: formatVersion, Name: "n", CompleteSince: int64(seq)}); err != nil {
			t.Fatal(err)
		}
		after, _ := os.ReadFile(path)
		newRecords, err := recordsOf(f)
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
				if unsynced++; unsynced%3 == 0 && failsCheck(t, image, oldRecords, newRecords) {
					failures++
				}
				continue
			}
			if got, err := readFile(image); err != nil || !maps.Equal(got, oldRecords) && !maps.Equal(got, newRecords) {
				t.Fatalf("commit up to record %d, image %d: %v, %d records, want the %d before or the %d after the commit", seq, i, err, len(got), len(oldRecords), len(newRecords))
			}
		}
	}
	f.close()
	if failures == 0 {
		t.Errorf("%d images, and no image without syncs fails the check: the test can't detect a partial commit", images)
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

// memoryOwner is a RecordOwner that keeps the records in memory, in place of the core.
type memoryOwner struct {
	mu      sync.Mutex
	records map[string]idempotency.Record
	window  time.Duration
	terms   idempotency.ClassTerms
}

func (o *memoryOwner) Restore(list []idempotency.Record, _ idempotency.ClassTerms, _ func(time.Duration) time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range list {
		o.records[r.Key] = r
	}
}

func (o *memoryOwner) Records(func(time.Time) time.Duration) (list []idempotency.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.records {
		list = append(list, r)
	}
	return list
}

func (o *memoryOwner) LongestWindow() time.Duration { return o.window }

func (o *memoryOwner) Terms() idempotency.ClassTerms { return o.terms }

func openStore(t *testing.T, dir string) (*Store, *memoryOwner) {
	t.Helper()
	owner := &memoryOwner{records: map[string]idempotency.Record{}, window: 300 * time.Millisecond}
	s, err := Open(Config{Dir: dir, Name: "n", MaxBytes: 8 << 20, ResultReserve: 1 << 10, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{}}, owner)
	if err != nil {
		t.Fatal(err)
	}
	go s.Run(t.Context())
	<-s.Loaded()
	return s, owner
}

// storeRun stores one run and, unless it is nil, its result.
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

// A disk returns a damaged record or damaged pages. A request whose record is lost could run twice. So requests with unknown
// keys must fail until the windows of all earlier runs are over, also across a second restart. Unreadable data must be
// quarantined and all other records loaded.
func TestDamagedStoreFailsUnknownKeysUntilTheirWindowIsOver(t *testing.T) {
	for _, kind := range []string{"a record", "the pages"} {
		dir := t.TempDir()
		if err := Init(dir, "n"); err != nil {
			t.Fatal(err)
		}
		s, _ := openStore(t, dir)
		for i := range 300 {
			storeRun(t, s, fmt.Sprint("key-", i), []byte(strings.Repeat("result", 50)))
		}
		completeSince := s.CompleteSince()
		s.Close()
		path := filepath.Join(dir, FileName)
		text, _ := os.ReadFile(path)
		if at := bytes.Index(text, []byte("key-7")); kind == "a record" {
			for ; at >= 0; at = bytes.Index(text, []byte("key-7")) { // also in pages that are no longer used
				text[at]++
			}
		} else {
			for at := 4 * 4096; at < len(text); at += 4096 { // overwrite the header of every third page
				if at%(3*4096) == 0 {
					copy(text[at:], "no page header")
				}
			}
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
		s, owner := openStore(t, dir)
		if s.CompleteSince() == completeSince {
			t.Errorf("%s: CompleteSince did not change although records were lost", kind)
		}
		if n := len(owner.records); kind == "a record" && n < 280 || n >= 300 {
			t.Errorf("%s: %d of 300 records loaded", kind, n)
		}
		if v := s.CanExecute(time.Second); v.Action != idempotency.Fail {
			t.Errorf("%s: decision on a request that may have run: %v", kind, v)
		}
		s.Close()
		if quarantined, _ := filepath.Glob(path + ".damaged-*"); kind != "a record" && len(quarantined) != 1 {
			t.Errorf("%s: quarantined files: %v", kind, quarantined)
		}
		s, _ = openStore(t, dir)
		if v := s.CanExecute(time.Second); v.Action != idempotency.Fail {
			t.Errorf("%s: decision after a second restart: %v", kind, v)
		}
		time.Sleep(400 * time.Millisecond)
		if v := s.CanExecute(time.Second); v.Action != idempotency.Execute {
			t.Errorf("%s: decision after the window is over: %v", kind, v)
		}
		storeRun(t, s, "new", make([]byte, 1<<20)) // a result of the largest size
		s.Close()
		if _, owner = openStore(t, dir); len(owner.records["new"].Result) != 1<<20 {
			t.Errorf("%s: %d bytes of the largest result after a restart", kind, len(owner.records["new"].Result))
		}
	}
}

// Bytes that decode as a record must encode to the same bytes; all others must be rejected.
func FuzzRecord(f *testing.F) {
	f.Add(encodeRecord(&idempotency.Record{State: idempotency.Completed, Key: "k", ID: "i", Result: []byte("r")}))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeRecord(7, b)
		if err == nil && !bytes.Equal(encodeRecord(&r), b) {
			t.Fatalf("%q decodes as %+v, which encodes differently", b, r)
		}
	})
}
