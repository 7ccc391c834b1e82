// Package idempotencystore stores the runs of idempotent requests on a disk, so that a restart neither runs one again nor forgets its
// result. The records lie in a file of the library bbolt, which brings it whole through a loss of power; what may be done with them is
// decided by the package idempotency. One goroutine writes, and every commit serves all who wait for one.
package idempotencystore

import (
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/idempotency"
)

// retryAfter is how long a rejected caller stays away where nothing tells better: as long as a failed file is left before it is
// rewritten.
const retryAfter = time.Second

// RecordOwner acts on what is stored: the core. Times of the machine's clock are turned into its own, and back, by at.
type RecordOwner interface {
	// Restore takes up records that were found, in the order of their intents.
	Restore(list []idempotency.Record, at func(time.Duration) time.Time)
	// Records are all records as they stand. The writer asks for them when it rewrites the file.
	Records(at func(time.Time) time.Duration) []idempotency.Record
	// LongestWindow is how long after a run an attempt of it may come, for all classes.
	LongestWindow() time.Duration
}

// Config sets up a store.
type Config struct {
	Dir              string
	Name             string        // of the service: the folder of another one is not taken
	MaxBytes         int           // of all records, in bytes
	ResultReserve    int           // bytes set aside for each result that is to come
	GroupCommitDelay time.Duration // how long a commit waits, at the most, for more that could go with it
	Log              *log.Logger
	Stats            *metrics.Counters
}

// Store is an open store.
type Store struct {
	cfg          Config
	owner        RecordOwner
	lock         *os.File
	log          *log.Logger
	stats        *metrics.Counters
	commitTiming *metrics.Timing
	wake         chan struct{}
	stopped      chan struct{} // closed once the writer has ended
	loadedAll    chan struct{} // closed once all is read

	mu            sync.Mutex
	ledger        *idempotency.Ledger
	queue         []change
	completeSince int64 // Unix milliseconds, of the header: since when all is known
	closed        bool

	file         *file // the writer's, and the loader's before there is one
	needsRewrite bool  // the file is not what was meant to be written; the writer's too
}

// Open opens the store of a folder, which is made where it is not there. [ErrInUse] is of one that another process has; a file of
// another service or format, and a folder that can't be written, are errors that say so. A damaged file is set aside, and an empty one
// that knows nothing of before takes its place.
func Open(cfg Config, owner RecordOwner) (*Store, error) {
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, err
	}
	lock, err := lockDir(cfg.Dir)
	if err != nil {
		return nil, err
	}
	now, path := Now(), filepath.Join(cfg.Dir, FileName)
	f, created, err := openFile(path, cfg.Name, now, time.Now().UnixMilli())
	if errors.Is(err, errDamaged) { // kept for whoever can read more of it, and begun anew as if nothing were known
		cfg.Stats.Inc("store", "damaged")
		events.Log(cfg.Log, "store.damaged", err)
		if err = os.Rename(path, quarantineName(path)); err == nil {
			f, created, err = openFile(path, cfg.Name, now, time.Now().UnixMilli())
		}
	}
	if err != nil {
		_ = lock.Close() // the error that matters is why the file can't be opened
		return nil, err
	}
	s := &Store{
		cfg: cfg, owner: owner, lock: lock, file: f, completeSince: f.header.CompleteSinceWall,
		log: cfg.Log, stats: cfg.Stats, commitTiming: cfg.Stats.Timing("store_commit"),
		wake: make(chan struct{}, 1), stopped: make(chan struct{}), loadedAll: make(chan struct{}),
		ledger: idempotency.NewLedger(idempotency.Limits{Bytes: cfg.MaxBytes, ResultReserve: cfg.ResultReserve,
			GroupCommitDelay: cfg.GroupCommitDelay, RetryAfter: retryAfter}),
	}
	if !created && f.header.ClosedCleanly {
		h := f.header
		h.ClosedCleanly = false                   // before anything else is written
		if err := f.commit(nil, &h); err != nil { // what is there can be read all the same, and is rewritten once the disk is well
			s.needsRewrite = true
			events.Log(s.log, "store.failed", err)
		}
		f.header = h
	}
	return s, nil
}

// ---- What the core calls: no method blocks on the disk ----

// CompleteSince is from when on, in Unix milliseconds, every run is known here: a restart that forgets nothing does not change it.
func (s *Store) CompleteSince() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeSince
}

// CanExecute is what becomes of a new idempotent request that has so much time left.
func (s *Store) CanExecute(left time.Duration) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CanExecute(Now().SinceBoot, left)
}

// LogIntent has the intent of a run written and gives the record its number, or says why not. Done is told once the intent is durable, or
// that it is not known to be.
func (s *Store) LogIntent(r *idempotency.Record, receivedAt, expiresAt time.Time, left time.Duration, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ReceivedAt, r.ExpiresAt = sinceBoot(receivedAt), sinceBoot(expiresAt)
	d := s.ledger.Admit(r, Now().SinceBoot, left)
	if d.Action != idempotency.Execute {
		return d
	}
	seq := r.Seq
	s.enqueue(change{seq: seq, value: encodeRecord(r), done: func(err error) {
		if err == nil {
			s.mu.Lock()
			s.ledger.IntentDurable(seq)
			s.mu.Unlock()
		}
		done(err)
	}})
	return d
}

// LogMoved has it written that a key runs elsewhere. Done is told once that is durable.
func (s *Store) LogMoved(r *idempotency.Record, expiresAt time.Time, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ExpiresAt = sinceBoot(expiresAt)
	r.ReceivedAt = r.ExpiresAt
	d := s.ledger.AdmitMoved(r, Now().SinceBoot)
	if d.Action == idempotency.Execute {
		s.enqueue(change{seq: r.Seq, value: encodeRecord(r), done: done})
	}
	return d
}

// LogResult has the result of a run written. Done is told once it is durable. One that is not is as none: every retry fails.
func (s *Store) LogResult(r *idempotency.Record, receivedAt, expiresAt time.Time, done func(error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.State, r.RecordedAt, r.ReceivedAt, r.ExpiresAt = idempotency.Completed, Now().SinceBoot, sinceBoot(receivedAt), sinceBoot(expiresAt)
	seq, size := r.Seq, len(r.Result)
	s.enqueue(change{seq: seq, value: encodeRecord(r), done: func(err error) {
		s.mu.Lock()
		if err == nil {
			s.ledger.Finish(seq, idempotency.Completed, size)
		} else {
			s.ledger.Finish(seq, idempotency.Failed, 0)
		}
		s.mu.Unlock()
		done(err)
	}})
}

// NoteFailed notes that a run has ended without a result. On the disk that is what an intent alone says.
func (s *Store) NoteFailed(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Finish(seq, idempotency.Failed, 0)
}

// Withdraw notes that a run never began.
func (s *Store) Withdraw(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Withdraw(seq) {
		s.enqueue(change{seq: seq, remove: true})
	}
}

// enqueue queues a change, under the lock.
func (s *Store) enqueue(c change) {
	s.queue = append(s.queue, c)
	s.ledger.ChangeQueued(Now().SinceBoot)
	s.wakeWriter()
}

// wakeWriter has the writer look.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close writes what is queued and gives the folder up.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.ledger.Close()
	s.mu.Unlock()
	s.wakeWriter()
	<-s.stopped
}

// Abandon gives up a store that Run never served: the service did not come to run.
func (s *Store) Abandon() {
	s.file.close()
	_ = s.lock.Close() // the lock ends with the descriptor, whatever is reported
}

// ---- The folder and the clock ----

// quarantineName is where a damaged file is kept.
func quarantineName(path string) string {
	return fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
}

// lockDir makes a folder one process's own.
func lockDir(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockWait); ; time.Sleep(lockWait / 100) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(end) {
			_ = lock.Close() // the error that matters is the lock's
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrInUse
			}
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
	}
}

// sinceBoot is a time as the machine's clock has it.
func sinceBoot(t time.Time) time.Duration { return Now().SinceBoot - time.Since(t) }

// wallTime turns times of the machine's clock, which says now, into those of the wall clock and of this process.
func wallTime(now time.Duration) func(time.Duration) time.Time {
	wall := time.Now()
	return func(d time.Duration) time.Time { return wall.Add(d - now) }
}
