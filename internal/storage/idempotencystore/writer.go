package idempotencystore

import (
	"errors"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

const (
	maxBatch        = 1024        // changes per commit; a larger batch would delay the changes that arrive meanwhile
	expireInterval  = time.Second // between removals of expired records
	maxExpired      = 8192        // records removed at a time, as the removal holds the store's lock
	rewriteInterval = time.Second // between attempts to rewrite the file after a failure
)

// errNeedsRewrite is passed to waiting requests after a failed write, until the file has been rewritten.
var errNeedsRewrite = errors.New("the store has failed and must be rewritten")

// writeLoop commits queued changes in batches and removes expired records, until Close.
func (s *Store) writeLoop() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	lastRewrite := time.Time{}
	for {
		select {
		case <-s.wake:
		case <-ticker.C:
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
		s.storeTerms()
		s.commitBatch(&lastRewrite)
		s.mu.Lock()
		finished := s.closed && len(s.queue) == 0
		s.mu.Unlock()
		if finished {
			s.closeFile()
			return
		}
	}
}

// commitBatch commits one batch and calls done of each of its changes. Before that it rewrites the file if needed.
func (s *Store) commitBatch(lastRewrite *time.Time) {
	s.mu.Lock()
	n := min(len(s.queue), maxBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	changedHeader := s.headerToWrite()
	closed := s.closed
	s.mu.Unlock()
	if s.needsRewrite && (closed || time.Since(*lastRewrite) >= rewriteInterval) {
		*lastRewrite = time.Now()
		s.recoverFile()
	}
	if n == 0 && changedHeader == nil {
		return
	}
	err := errNeedsRewrite
	if !s.needsRewrite {
		err = s.commit(batch, changedHeader)
	}
	for _, c := range batch {
		if c.done != nil {
			c.done(err)
		}
	}
	if err == nil {
		s.compactIfSparse()
	}
	s.mu.Lock()
	if len(s.queue) > 0 { // changes that arrived meanwhile are in the next batch
		s.wakeWriter()
	}
	s.mu.Unlock()
}

// commit writes a batch, and a new header unless changedHeader is nil, and records the outcome in the ledger and the metrics.
func (s *Store) commit(batch []change, changedHeader *header) error {
	startedAt := time.Now()
	err := s.file.commit(batch, changedHeader)
	took := time.Since(startedAt)
	s.commitTiming.Record(took)
	s.mu.Lock()
	s.ledger.CommitFinished(Now().SinceBoot, took)
	s.mu.Unlock()
	if err != nil {
		s.writeFailed(err)
		return err
	}
	s.stats.Inc("store", "commits")
	s.stats.Add(uint64(len(batch)), "store", "changes")
	if changedHeader != nil {
		s.file.header = *changedHeader
	}
	return nil
}

// writeFailed records a failed write. The file is rewritten before the next commit.
func (s *Store) writeFailed(err error) {
	s.needsRewrite = true
	s.stats.Inc("store", "failures")
	s.mu.Lock()
	firstFailure := s.ledger.WriteFailed()
	s.mu.Unlock()
	if firstFailure {
		events.Log(s.log, "store.failed", err)
	}
}

// headerToWrite returns the header to write with the next batch, nil if the header has not changed. The caller holds s.mu.
func (s *Store) headerToWrite() *header {
	if !s.ledger.BecameComplete(Now().SinceBoot) {
		return nil
	}
	h := s.file.header
	h.Complete = true
	return &h
}

// recoverFile tries to rewrite the file after a failure. If it succeeds, requests may run again.
func (s *Store) recoverFile() {
	if !s.rewrite() {
		return
	}
	s.mu.Lock()
	s.ledger.RewriteFinished()
	s.mu.Unlock()
	events.Log(s.log, "store.rewritten")
}

// rewrite writes all current records to a new file, which replaces the present one, and reports whether it succeeded.
func (s *Store) rewrite() bool {
	old := s.file
	records := s.owner.Records(sinceBoot)
	f, err := writeFile(old.path, old.header, func(put func(idempotency.Record) error) error {
		for _, r := range records {
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
	old.close()
	s.file, s.needsRewrite = f, false
	s.stats.Inc("store", "anew")
	return true
}

// compactIfSparse rewrites the file if most of it is unused.
func (s *Store) compactIfSparse() {
	s.mu.Lock()
	sparse := s.ledger.ShouldCompact(s.file.size())
	s.mu.Unlock()
	if sparse {
		s.rewriteOrFail()
	}
}

// rewriteOrFail rewrites the file. A failure is handled like that of any other write.
func (s *Store) rewriteOrFail() {
	if s.rewrite() {
		return
	}
	s.needsRewrite = true
	s.mu.Lock()
	s.ledger.WriteFailed()
	s.mu.Unlock()
}

// expire queues the removal of expired records and updates the size metrics.
func (s *Store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, seq := range s.ledger.Expire(Now().SinceBoot, maxExpired) {
		s.queue = append(s.queue, change{seq: seq, remove: true})
	}
	snapshot := s.ledger.Snapshot(Now().SinceBoot)
	s.stats.Set(uint64(snapshot.Records), "store", "live")
	s.stats.Set(uint64(snapshot.Bytes), "store", "bytes")
}

// closeFile marks the file as closed cleanly, closes it and releases the lock of the folder.
func (s *Store) closeFile() {
	if !s.needsRewrite {
		h := s.file.header
		h.ClosedCleanly = true
		if err := s.file.commit(nil, &h); err != nil {
			events.Log(s.log, "store.failed", err)
		}
	}
	s.Abandon()
}
