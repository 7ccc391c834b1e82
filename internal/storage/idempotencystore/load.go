package idempotencystore

import (
	"context"
	"fmt"
	"os"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// scanChunk is how many records are read at once: few enough that no reader holds pages of the file for long.
const scanChunk = 1024

// Run reads what is there and then writes, until Close. It is the store's one goroutine.
func (s *Store) Run(context.Context) {
	defer close(s.stopped)
	s.load()
	close(s.loadedAll)
	s.writeLoop()
}

// Loaded is closed once all is read.
func (s *Store) Loaded() <-chan struct{} { return s.loadedAll }

// loadReport is what was met while all records were read.
type loadReport struct {
	now        idempotency.Clock
	shift      time.Duration // what is added to the times of the file
	expired    []uint64      // records that don't matter any more
	unreadable []uint64      // records that can't be read
	err        error         // why the rest can't be read; nil: all was
}

// damage says what could not be read; empty: nothing.
func (r *loadReport) damage() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case len(r.unreadable) > 0:
		return fmt.Sprintf("%d records can't be read", len(r.unreadable))
	}
	return ""
}

// load reads all records, hands them over as it goes, and settles what of the runs before is known.
func (s *Store) load() {
	startedAt := time.Now()
	r := s.readRecords()
	incompleteUntil := s.updateCoverage(&r)
	s.keepUnreadable(&r)
	// Times that count from another boot are written as they count now before any new one joins them; so is a header that has changed.
	for s.needsRewrite || r.shift != 0 {
		if s.rewrite() {
			break
		}
		if s.pause(rewriteInterval) {
			return
		}
		s.needsRewrite = true
	}
	s.mu.Lock()
	s.ledger.LoadFinished(Now().SinceBoot, incompleteUntil)
	if s.closed {
		s.ledger.Close()
	}
	for _, seq := range r.expired {
		s.queue = append(s.queue, change{seq: seq, remove: true})
	}
	records := s.ledger.Snapshot(Now().SinceBoot).Records
	s.mu.Unlock()
	took := time.Since(startedAt)
	s.stats.Set(uint64(took.Milliseconds()), "store", "load_ms")
	events.Log(s.log, "store.loaded", records, took.Round(time.Millisecond), r.shift != 0)
	if left := incompleteUntil - Now().SinceBoot; left > 0 {
		events.Log(s.log, "store.incomplete", left.Round(time.Second))
	}
}

// readRecords hands all records that matter to their owner.
func (s *Store) readRecords() (r loadReport) {
	n, err := s.file.count()
	newest := time.Duration(0)
	if err == nil {
		newest, err = s.file.newestTime()
	}
	r.now = Now()
	r.shift = s.file.header.coverage().TimeShift(newest, r.now)
	s.mu.Lock()
	s.ledger.ExpectRecords(n)
	s.mu.Unlock()
	if err == nil {
		err = s.file.scan(scanChunk, func(list []idempotency.Record, unreadable []uint64) { s.take(&r, list, unreadable) })
	}
	r.err = err
	return r
}

// take takes up some records that were read.
func (s *Store) take(r *loadReport, list []idempotency.Record, unreadable []uint64) {
	_ = faultPoint("loading") // it may wait; reading on is all there is to do
	r.unreadable = append(r.unreadable, unreadable...)
	relevant := list[:0]
	s.mu.Lock()
	for _, found := range list {
		record, matters := found.Recover(r.shift, r.now.SinceBoot)
		if !matters {
			r.expired = append(r.expired, record.Seq)
			continue
		}
		s.ledger.Load(&record)
		relevant = append(relevant, record)
	}
	s.mu.Unlock()
	s.owner.Restore(relevant, wallTime(Now().SinceBoot))
}

// updateCoverage brings the header to what is known now, and returns until when runs may matter that are not here. What can't be read
// may have held any key: all is known only from now on.
func (s *Store) updateCoverage(r *loadReport) (incompleteUntil time.Duration) {
	h := s.file.header
	if !h.Complete {
		incompleteUntil = time.Duration(h.CompleteSince) + r.shift + s.owner.LongestWindow()
	}
	if damage := r.damage(); damage != "" {
		s.stats.Inc("store", "damaged")
		events.Log(s.log, "store.damaged", damage)
		h.Complete, h.CompleteSince, h.CompleteSinceWall = false, int64(r.now.SinceBoot), time.Now().UnixMilli()
		incompleteUntil = r.now.SinceBoot + s.owner.LongestWindow()
	} else if r.shift != 0 {
		h.CompleteSince += int64(r.shift)
	}
	h.Machine, h.Boot = r.now.Machine, r.now.Boot
	s.file.header = h
	s.mu.Lock()
	s.completeSince = h.CompleteSinceWall
	s.mu.Unlock()
	return incompleteUntil
}

// keepUnreadable keeps what can't be read for whoever can read more of it: the whole file, beside one that is written of what could be
// read, or single records.
func (s *Store) keepUnreadable(r *loadReport) {
	switch {
	case r.err != nil:
		s.needsRewrite = true
		if err := os.Link(s.file.path, quarantineName(s.file.path)); err != nil {
			events.Log(s.log, "store.failed", err)
		}
	case len(r.unreadable) > 0:
		s.needsRewrite = s.file.quarantine(r.unreadable) != nil
	}
}

// pause waits, and reports whether the store was closed meanwhile.
func (s *Store) pause(d time.Duration) bool {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
