package idempotencystore

import (
	"errors"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

const (
	maxBatch        = 1024        // changes in one commit: a longer one would hold up those that come meanwhile
	expireInterval  = time.Second // between two looks for records that are past their time
	maxExpired      = 8192        // records that are taken off at one look: it holds the store's lock
	rewriteInterval = time.Second // between two attempts to rewrite the file after a failure
)

// errNeedsRewrite is what waiting requests are told while nobody knows whether what was written last is durable.
var errNeedsRewrite = errors.New("the store failed, and is written anew")

// writeLoop commits what is queued, and takes off what is past its time, until Close. One commit serves all that wait for one.
func (s *Store) writeLoop() {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	lastRewrite := time.Time{}
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
		s.commitBatch(&lastRewrite)
		s.mu.Lock()
		done := s.closed && len(s.queue) == 0
		s.mu.Unlock()
		if done {
			s.closeFile()
			return
		}
	}
}

// commitBatch commits one batch, and tells those that wait for it.
func (s *Store) commitBatch(lastRewrite *time.Time) {
	s.mu.Lock()
	n := min(len(s.queue), maxBatch)
	batch := s.queue[:n:n]
	s.queue = s.queue[n:]
	head := s.headerToWrite()
	closed := s.closed
	s.mu.Unlock()
	if s.needsRewrite && (closed || time.Since(*lastRewrite) >= rewriteInterval) {
		*lastRewrite = time.Now()
		s.recoverFile()
	}
	if n == 0 && head == nil {
		return
	}
	err := errNeedsRewrite
	if !s.needsRewrite {
		err = s.commit(batch, head)
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
	if len(s.queue) > 0 { // what came meanwhile goes next
		s.wakeWriter()
	}
	s.mu.Unlock()
}

// commit writes a batch, with a new header where that is not nil, and notes how that went.
func (s *Store) commit(batch []change, head *header) error {
	startedAt := time.Now()
	err := s.file.commit(batch, head)
	took := time.Since(startedAt)
	s.commitTiming.Record(took)
	s.mu.Lock()
	s.ledger.Committed(Now().SinceBoot, took)
	firstFailure := err != nil && s.ledger.WriteFailed()
	s.mu.Unlock()
	if err != nil {
		s.needsRewrite = true
		s.stats.Inc("store", "failures")
		if firstFailure {
			events.Log(s.log, "store.failed", err)
		}
		return err
	}
	s.stats.Inc("store", "commits")
	s.stats.Add(uint64(len(batch)), "store", "changes")
	if head != nil {
		s.file.header = *head
	}
	return nil
}

// headerToWrite is the header that is to be written with the next batch, nil for the one that there is. It is called under the lock.
func (s *Store) headerToWrite() *header {
	if !s.ledger.BecameComplete(Now().SinceBoot) {
		return nil
	}
	h := s.file.header
	h.Complete = true
	return &h
}

// recoverFile tries to rewrite the file after a failure. From then on requests run again.
func (s *Store) recoverFile() {
	if !s.rewrite() {
		return
	}
	s.mu.Lock()
	s.ledger.Rewritten()
	s.mu.Unlock()
	events.Log(s.log, "store.rewritten")
}

// rewrite writes all that is known into a new file, which takes the place of the one of which nobody knows what is durable.
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
	old.close()
	s.file, s.needsRewrite = f, false
	s.stats.Inc("store", "anew")
	return true
}

// compactIfSparse rewrites the file where most of it is unused. Where that fails the file is as after any failure.
func (s *Store) compactIfSparse() {
	s.mu.Lock()
	sparse := s.ledger.ShouldCompact(s.file.size())
	s.mu.Unlock()
	if sparse && !s.rewrite() {
		s.needsRewrite = true
		s.mu.Lock()
		s.ledger.WriteFailed()
		s.mu.Unlock()
	}
}

// expire takes off what is past its time.
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

// closeFile marks the file as closed in good order and gives the folder up.
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
