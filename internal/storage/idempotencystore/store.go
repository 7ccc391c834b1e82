// Package idempotencystore stores the runs of idempotent requests on disk, so that after a restart no request runs again and
// no result is lost. The records are in a bbolt file, which stays consistent through a loss of power. Package idempotency
// decides which requests may run. One goroutine writes, and each commit covers all changes that wait at that time.
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

// retryAfter is the default retry delay for rejected callers. It equals rewriteInterval, the time after which a failed file
// is rewritten.
const retryAfter = time.Second

// RecordOwner uses the stored records. It is implemented by the core.
type RecordOwner interface {
	// Restore is called with records that were loaded, in the order of their intents, and with the result of Terms by which they are
	// retained. At converts a time since boot to the owner's clock.
	Restore(list []idempotency.Record, terms idempotency.ClassTerms, at func(time.Duration) time.Time)
	// Records returns the current state of all records. The writer calls it when it rewrites the file. At converts a time of
	// the owner's clock to a time since boot.
	Records(at func(time.Time) time.Duration) []idempotency.Record
	// LongestWindow returns the longest time after a run in which another attempt may arrive, over all classes.
	LongestWindow() time.Duration
	// Terms returns the terms of the classes in force.
	Terms() idempotency.ClassTerms
}

// Config configures a store.
type Config struct {
	Dir              string
	Name             string        // of the service; Open fails for a file of another service
	MaxBytes         int           // limit of all records, in bytes
	ResultReserve    int           // bytes reserved for each pending result
	GroupCommitDelay time.Duration // longest time that a commit waits for further changes
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
	lastInUse    idempotency.ClassTerms // the terms of the file at Open
	wake         chan struct{}
	stopped      chan struct{} // closed once Run has ended
	loaded       chan struct{} // closed once all records are loaded

	mu            sync.Mutex
	ledger        *idempotency.Ledger
	queue         []change
	completeSince int64 // Unix milliseconds; the header's CompleteSinceWall
	closed        bool
	termsChanged  bool // the terms of the classes have changed since they were written
	extended      bool // records have been extended since they were written

	// After Open, these fields are used by Run's goroutine only.
	file         *file
	needsRewrite bool // a write failed or the file is damaged: it must be rewritten before the next commit
}

// Open opens the store in a folder, which it creates if it does not exist. It returns [ErrInUse] if another process has the
// store open, and an error if the file is of another service or format or the folder can't be written. A damaged file is
// renamed, and replaced by an empty one in which no earlier run is known.
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
	if errors.Is(err, errDamaged) { // keep it for analysis and start with an empty store
		cfg.Stats.Inc("store", "damaged")
		events.Log(cfg.Log, "store.damaged", err)
		if err = os.Rename(path, quarantineName(path)); err == nil {
			f, created, err = openFile(path, cfg.Name, now, time.Now().UnixMilli())
		}
	}
	if err != nil {
		_ = lock.Close() // the error of opening the file is returned
		return nil, err
	}
	s := &Store{
		cfg: cfg, owner: owner, lock: lock, file: f, completeSince: f.header.CompleteSinceWall, lastInUse: f.header.terms.classes,
		log: cfg.Log, stats: cfg.Stats, commitTiming: cfg.Stats.Timing("store_commit"),
		wake: make(chan struct{}, 1), stopped: make(chan struct{}), loaded: make(chan struct{}),
		ledger: idempotency.NewLedger(idempotency.Limits{Bytes: cfg.MaxBytes, ResultReserve: cfg.ResultReserve,
			GroupCommitDelay: cfg.GroupCommitDelay, RetryAfter: retryAfter}),
	}
	if !created && f.header.ClosedCleanly {
		h := f.header
		h.ClosedCleanly = false                   // durable before any other change
		if err := f.commit(nil, &h); err != nil { // the file can still be read; it is rewritten once writes succeed
			s.needsRewrite = true
			events.Log(s.log, "store.failed", err)
		}
		f.header = h
	}
	return s, nil
}

// ---- Methods that the core calls: none of them blocks on the disk ----

// CompleteSince returns the time in Unix milliseconds since which the store knows every run. A restart without loss of
// records does not change it.
func (s *Store) CompleteSince() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeSince
}

// LastTerms returns the terms of the classes with which the store was last in use, or nil if they are unknown.
func (s *Store) LastTerms() idempotency.ClassTerms { return s.lastInUse }

// CanExecute decides whether a new idempotent request with this much time left may run.
func (s *Store) CanExecute(left time.Duration) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CanExecute(Now().SinceBoot, left)
}

// LogIntent queues the intent of a run and assigns the record its sequence number, or returns the decision not to run it. It
// calls done with nil once the intent is durable, or with an error if it may not be.
func (s *Store) LogIntent(r *idempotency.Record, receivedAt, expiresAt time.Time, left time.Duration, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ReceivedAt, r.ExpiresAt = sinceBoot(receivedAt), sinceBoot(expiresAt)
	decision := s.ledger.Admit(r, Now().SinceBoot, left)
	if decision.Action != idempotency.Execute {
		return decision
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
	return decision
}

// LogMoved queues a record that a key runs on another server. It calls done with nil once the record is durable, or with an
// error if it may not be.
func (s *Store) LogMoved(r *idempotency.Record, expiresAt time.Time, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ExpiresAt = sinceBoot(expiresAt)
	r.ReceivedAt = r.ExpiresAt
	decision := s.ledger.AdmitMoved(r, Now().SinceBoot)
	if decision.Action == idempotency.Execute {
		s.enqueue(change{seq: r.Seq, value: encodeRecord(r), done: done})
	}
	return decision
}

// LogResult queues the result of a run. It calls done with nil once the result is durable. If the write fails, done is
// called with the error and the run counts as failed: every retry fails.
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

// NoteFailed records that a run has ended without a result. Nothing is written: after a restart an intent without a result
// means the same.
func (s *Store) NoteFailed(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Finish(seq, idempotency.Failed, 0)
}

// Withdraw removes the record of a run that never began.
func (s *Store) Withdraw(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Withdraw(seq) {
		s.enqueue(change{seq: seq, remove: true})
	}
}

// Extend keeps a record until a later time than it was written with. The file has the new time after the next TermsChanged.
func (s *Store) Extend(seq uint64, expiresAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Extend(seq, sinceBoot(expiresAt)) {
		s.extended = true
	}
}

// TermsChanged makes the writer store the terms of the classes, and the records with the times that Extend has set.
func (s *Store) TermsChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.termsChanged = true
	s.wakeWriter()
}

// enqueue queues a change and wakes the writer. The caller holds s.mu.
func (s *Store) enqueue(c change) {
	s.queue = append(s.queue, c)
	s.ledger.ChangeQueued(Now().SinceBoot)
	s.wakeWriter()
}

// wakeWriter makes the writer check its queue.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close waits until all queued changes are written, closes the file and releases the lock of the folder.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.ledger.Close()
	s.mu.Unlock()
	s.wakeWriter()
	<-s.stopped
}

// Abandon closes the file, without marking it as closed cleanly, and releases the lock of the folder. The service calls it
// if its start failed before Run.
func (s *Store) Abandon() {
	s.file.close()
	_ = s.lock.Close() // closing the descriptor releases the lock even if it reports an error
}

// ---- The folder and the clock ----

// quarantineName returns the path to which a damaged file is renamed.
func quarantineName(path string) string {
	return fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
}

// lockDir locks a folder for this process. It returns ErrInUse if another process holds the lock for longer than lockTimeout.
func lockDir(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockTimeout / 100) {
		err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return lock, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			_ = lock.Close() // the error of the lock is returned
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrInUse
			}
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
	}
}

// sinceBoot converts a time of this process to a time since boot.
func sinceBoot(t time.Time) time.Duration { return Now().SinceBoot - time.Since(t) }

// wallTimeConverter returns a function that converts a time since boot to a time of this process. Now is the present time since boot.
func wallTimeConverter(now time.Duration) func(time.Duration) time.Time {
	wall := time.Now()
	return func(d time.Duration) time.Time { return wall.Add(d - now) }
}
