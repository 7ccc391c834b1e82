// Package idempotencystore keeps the runs of keyed requests on a disk, so that a restart neither runs one again nor forgets its result. The
// records lie in a file of the library bbolt, which brings it whole through a loss of power; what may be done with them is
// decided by the package keyed. One goroutine writes, and every commit serves all who wait for one.
package idempotencystore

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"
	"golang.org/x/sys/unix"

	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/idempotency"
)

const (
	scanChunk      = 1024 // records that are read at once
	maxBatch       = 1024 // changes in one commit
	expireInterval = time.Second
	maxExpired     = 8192
	// anewEvery is how often it is tried to write all anew after a failure.
	rewriteInterval = time.Second
)

// Keys is who acts on what is kept: the core. Times since the machine was switched on are turned into its own, and back, by at.
type RecordOwner interface {
	// Restore takes up records that were found, in the order of their promises.
	Restore(list []idempotency.Record, at func(time.Duration) time.Time)
	// Kept are all records as they stand, once nothing waits for the disk any more.
	Records(at func(time.Time) time.Duration) []idempotency.Record
	// Longest is how long after a run a try of it may come, for all classes.
	LongestWindow() time.Duration
}

// Config sets up a store.
type Config struct {
	Dir              string
	Name             string        // of the service: the folder of another one is not taken
	MaxBytes         int           // of all records
	ResultReserve    int           // set aside for each result that is to come
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
	completeSince int64 // of the head: since when all is known
	closed        bool

	file         *file // the writer's, and the loader's before there is one
	needsRewrite bool  // the file is not what was meant to be written
}

// Open opens the store of a folder, which is made where it is not there. Another process that has it, a file of another service
// or build, and a folder that can't be written are errors that say so.
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
		lock.Close()
		return nil, err
	}
	s := &Store{
		cfg: cfg, owner: owner, lock: lock, file: f, completeSince: f.header.CompleteSinceWall, log: cfg.Log, stats: cfg.Stats, commitTiming: cfg.Stats.Timing("store_commit"),
		wake: make(chan struct{}, 1), stopped: make(chan struct{}), loadedAll: make(chan struct{}),
		ledger: idempotency.NewLedger(idempotency.Limits{Bytes: cfg.MaxBytes, ResultReserve: cfg.ResultReserve, GroupCommitDelay: cfg.GroupCommitDelay, RetryAfter: time.Second}),
	}
	if !created && f.header.ClosedCleanly {
		h := f.header
		h.ClosedCleanly = false                   // before anything else is written
		if err := f.commit(nil, &h); err != nil { // what is there can be read all the same, and is written anew once the disk is well
			s.needsRewrite = true
			events.Log(s.log, "store.failed", err)
		}
		f.header = h
	}
	return s, nil
}

// asideName is where a damaged file is kept.
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
			lock.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrInUse
			}
			return nil, fmt.Errorf("%s: %w", dir, err)
		}
	}
}

// since is a time as the machine's clock has it.
func sinceBoot(t time.Time) time.Duration { return Now().SinceBoot - time.Since(t) }

// at is the time of the wall clock, and of this process, at a time of the machine's clock.
func wallTime(now time.Duration) func(time.Duration) time.Time {
	wall := time.Now()
	return func(d time.Duration) time.Time { return wall.Add(d - now) }
}

// ---- What the core asks ----

// Since tells, in Unix milliseconds, from when on every run is known here: a restart that forgets nothing does not change it.
func (s *Store) CompleteSince() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completeSince
}

// Begins is what becomes of a new sheet that has so much time.
func (s *Store) CanExecute(left time.Duration) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.CanExecute(Now().SinceBoot, left)
}

// Promise has a run promised, or says why not. Done is told once the promise lasts, or that it is not known to.
func (s *Store) LogIntent(r *idempotency.Record, receivedAt, expiresAt time.Time, left time.Duration, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ReceivedAt, r.ExpiresAt = sinceBoot(receivedAt), sinceBoot(expiresAt)
	v := s.ledger.Admit(r, Now().SinceBoot, left)
	if v.Action != idempotency.Execute {
		return v
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
	return v
}

// Mark has it kept that a key runs elsewhere. Done is told once that lasts.
func (s *Store) LogMoved(r *idempotency.Record, expiresAt time.Time, done func(error)) idempotency.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.ExpiresAt = sinceBoot(expiresAt)
	r.ReceivedAt = r.ExpiresAt
	v := s.ledger.AdmitMoved(r, Now().SinceBoot)
	if v.Action == idempotency.Execute {
		s.enqueue(change{seq: r.Seq, value: encodeRecord(r), done: done})
	}
	return v
}

// Result has a result kept. Done is told once it lasts. One that does not is as none: every repeat fails.
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

// Failed notes that a run has ended without a result. On the disk that is what a promise alone says.
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

// put queues a change, under the lock.
func (s *Store) enqueue(o change) {
	s.queue = append(s.queue, o)
	s.ledger.ChangeQueued(Now().SinceBoot)
	s.wakeWriter()
}

// ring has the writer look.
func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// ---- Reading all ----

// Keep reads what is there and then writes, until Close.
func (s *Store) Run(context.Context) {
	defer close(s.stopped)
	s.load()
	close(s.loadedAll)
	s.writeLoop()
}

// load reads all records, and hands them over as it goes.
func (s *Store) load() {
	began := time.Now()
	f := s.file
	n, err := f.count()
	last := time.Duration(0)
	if err == nil {
		last, err = f.newestTime()
	}
	now := Now()
	shift := f.header.coverage().TimeShift(last, now)
	s.mu.Lock()
	s.ledger.ExpectRecords(n)
	s.mu.Unlock()
	var gone, broken []uint64
	if err == nil {
		err = f.scan(scanChunk, func(list []idempotency.Record, bad []uint64) {
			faultPoint("loading")
			broken = append(broken, bad...)
			kept := list[:0]
			s.mu.Lock()
			for _, r := range list {
				r, relevant := r.Recover(shift, now.SinceBoot)
				if !relevant {
					gone = append(gone, r.Seq)
					continue
				}
				s.ledger.Load(&r)
				kept = append(kept, r)
			}
			s.mu.Unlock()
			s.owner.Restore(kept, wallTime(Now().SinceBoot))
		})
	}
	h := f.header
	blind := time.Duration(0)
	if !h.Complete {
		blind = time.Duration(h.CompleteSince) + shift + s.owner.LongestWindow()
	}
	if err != nil || len(broken) > 0 {
		why := fmt.Sprintf("%d records can't be read", len(broken))
		if err != nil {
			why = err.Error()
		}
		s.stats.Inc("store", "damaged")
		events.Log(s.log, "store.damaged", why)
		h.Complete, h.CompleteSince, h.CompleteSinceWall = false, int64(now.SinceBoot), time.Now().UnixMilli()
		blind = now.SinceBoot + s.owner.LongestWindow()
	} else if shift != 0 {
		h.CompleteSince += int64(shift)
	}
	h.Machine, h.Boot = now.Machine, now.Boot
	s.mu.Lock()
	s.completeSince = h.CompleteSinceWall
	s.mu.Unlock()
	switch {
	case err != nil:
		s.needsRewrite = true // what could be read of it is written anew, and the file itself set aside
		if err := os.Link(f.path, quarantineName(f.path)); err != nil {
			events.Log(s.log, "store.failed", err)
		}
	case len(broken) > 0:
		s.needsRewrite = f.quarantine(broken) != nil
	}
	f.header = h
	// Times that count from another switching on are written as they count now before any new one joins them; so is a head that
	// has changed.
	for s.needsRewrite || shift != 0 {
		if s.rewrite() {
			break
		}
		if s.pause(rewriteInterval) {
			return
		}
		s.needsRewrite = true
	}
	s.mu.Lock()
	s.ledger.LoadFinished(Now().SinceBoot, blind)
	if s.closed {
		s.ledger.Close()
	}
	for _, seq := range gone {
		s.queue = append(s.queue, change{seq: seq, remove: true})
	}
	live := s.ledger.Snapshot(Now().SinceBoot).Records
	s.mu.Unlock()
	s.stats.Set(uint64(time.Since(began).Milliseconds()), "store", "load_ms")
	events.Log(s.log, "store.loaded", live, time.Since(began).Round(time.Millisecond), shift != 0)
	if left := blind - Now().SinceBoot; left > 0 {
		events.Log(s.log, "store.blind", left.Round(time.Second))
	}
}

// pause waits, and reports whether the store was closed meanwhile.
func (s *Store) pause(d time.Duration) bool {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Loaded is closed once all is read.
func (s *Store) Loaded() <-chan struct{} { return s.loadedAll }

// ---- Writing ----

// write commits what is queued, and what is past its time, until Close.
func (s *Store) writeLoop() {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	tried := time.Time{}
	for {
		select {
		case <-s.wake:
		case <-tick.C:
			s.expire()
		}
		s.mu.Lock()
		wait := s.ledger.CommitDelay(Now().SinceBoot)
		if len(s.queue) >= maxBatch || s.closed {
			wait = 0
		}
		s.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		s.commitBatch(&tried)
		s.mu.Lock()
		done := s.closed && len(s.queue) == 0
		s.mu.Unlock()
		if done {
			s.closeFile()
			return
		}
	}
}

// one commits one batch.
func (s *Store) commitBatch(tried *time.Time) {
	s.mu.Lock()
	n := min(len(s.queue), maxBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	head := s.headerToWrite()
	closed := s.closed
	s.mu.Unlock()
	if s.needsRewrite && (closed || time.Since(*tried) >= rewriteInterval) {
		*tried = time.Now()
		if s.rewrite() {
			s.mu.Lock()
			s.ledger.Rewritten()
			s.mu.Unlock()
			events.Log(s.log, "store.anew")
		}
	}
	if n == 0 && head == nil {
		return
	}
	err := errNeedsRewrite
	if !s.needsRewrite {
		began := time.Now()
		err = s.file.commit(batch, head)
		took := time.Since(began)
		s.commitTiming.Record(took)
		s.mu.Lock()
		s.ledger.Committed(Now().SinceBoot, took)
		news := err != nil && s.ledger.WriteFailed()
		s.mu.Unlock()
		if err != nil {
			s.needsRewrite = true
			s.stats.Inc("store", "failures")
			if news {
				events.Log(s.log, "store.failed", err)
			}
		} else {
			s.stats.Inc("store", "commits")
			s.stats.Add(uint64(n), "store", "changes")
			if head != nil {
				s.file.header = *head
			}
		}
	}
	for _, o := range batch {
		if o.done != nil {
			o.done(err)
		}
	}
	if err == nil {
		s.compactIfSparse()
	}
	s.mu.Lock()
	if len(s.queue) > 0 { // what came meanwhile goes next
		s.wakeWriter()
	}
	s.mu.Unlock()
}

// errStale is what who waits is told while what was written last is not known to last.
var errNeedsRewrite = errors.New("the store failed, and is written anew")

// headNow is the head that is to be written with the next batch, nil for the one that there is. It is called under the lock.
func (s *Store) headerToWrite() *header {
	if !s.ledger.BecameComplete(Now().SinceBoot) {
		return nil
	}
	h := s.file.header
	h.Complete = true
	return &h
}

// anew writes all that is known into a new file, which takes the place of the one of which nobody knows what lasts.
func (s *Store) rewrite() bool {
	old := s.file
	list := s.owner.Records(sinceBoot)
	f, err := writeFile(old.path, old.header, func(put func(idempotency.Record) error) error {
		for _, r := range list {
			if err := put(r); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		s.stats.Inc("store", "not_anew")
		return false
	}
	old.db.Close()
	s.file, s.needsRewrite = f, false
	s.stats.Inc("store", "anew")
	return true
}

// crowded writes the file anew where most of it is room that nobody uses.
func (s *Store) compactIfSparse() {
	s.mu.Lock()
	crowded := s.ledger.ShouldCompact(s.file.size())
	s.mu.Unlock()
	if crowded && !s.rewrite() {
		s.needsRewrite = true
		s.mu.Lock()
		s.ledger.WriteFailed()
		s.mu.Unlock()
	}
}

// sweep forgets what is past its time.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range s.ledger.Expire(Now().SinceBoot, maxExpired) {
		s.queue = append(s.queue, change{seq: seq, remove: true})
	}
	v := s.ledger.Snapshot(Now().SinceBoot)
	s.stats.Set(uint64(v.Records), "store", "live")
	s.stats.Set(uint64(v.Bytes), "store", "bytes")
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

// Abandon gives up a store that nobody keeps: the service did not come to run.
func (s *Store) Abandon() {
	s.file.db.Close()
	s.lock.Close()
}

func (s *Store) closeFile() {
	if !s.needsRewrite {
		h := s.file.header
		h.ClosedCleanly = true
		if err := s.file.commit(nil, &h); err != nil {
			events.Log(s.log, "store.failed", err)
		}
	}
	s.file.db.Close()
	s.lock.Close()
}

// ---- What operators see ----

// Snapshot writes a copy into the store's folder while it serves, and returns its path. It waits for the disk.
func (s *Store) Snapshot() (string, error) {
	type turn struct {
		file *file
		err  error
	}
	turns := make(chan turn, 1)
	dir := filepath.Join(s.cfg.Dir, "snapshots")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	path := filepath.Join(dir, "keys-"+time.Now().UTC().Format("20060102T150405.000000")+".db")
	// The writer's turn: what was promised before is in it. The copy is made beside further commits.
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return "", errors.New("the store is closed")
	}
	s.enqueue(change{remove: true, done: func(err error) { turns <- turn{s.file, err} }})
	s.mu.Unlock()
	t := <-turns
	if t.err != nil {
		return "", t.err
	}
	return path, t.file.copyTo(path)
}

// View is the store as it stands.
func (s *Store) View() idempotency.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Snapshot(Now().SinceBoot)
}

// Status is the view as JSON.
func (s *Store) Status() []byte {
	v := s.View()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("phase", a.NewString(v.Health.String()))
	known := a.NewFalse()
	if v.Complete {
		known = a.NewTrue()
	}
	o.Set("known", known)
	for name, n := range map[string]int{"live": v.Records, "bytes": v.Bytes, "reserved": v.ReservedBytes, "limit": v.MaxBytes, "loaded": v.Loaded,
		"expected": v.Expected, "pace_us": int(v.CommitTime.Microseconds())} {
		o.Set(name, a.NewNumberString(strconv.Itoa(n)))
	}
	return o.MarshalTo(nil)
}
