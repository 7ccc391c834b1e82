package idempotencystore

import (
	"context"
	"fmt"
	"maps"
	"os"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/idempotency"
)

// scanChunkSize is the number of records per read transaction. It is small so that no reader keeps pages of the file from being
// reused for long.
const scanChunkSize = 1024

// Run loads the stored records and then writes changes until Close. It is the store's only goroutine.
func (s *Store) Run(context.Context) {
	defer close(s.stopped)
	s.load()
	close(s.loaded)
	s.writeLoop()
}

// Loaded returns a channel that is closed once all records are loaded.
func (s *Store) Loaded() <-chan struct{} { return s.loaded }

// loadReport is the result of reading all records.
type loadReport struct {
	now        idempotency.Clock
	timeShift  time.Duration // added to the times in the file
	expired    []uint64      // records that are no longer relevant
	unreadable []uint64      // records that can't be decoded
	err        error         // why reading stopped early; nil if all records were read
}

// damage describes what could not be read. It returns an empty string if everything was read.
func (r *loadReport) damage() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case len(r.unreadable) > 0:
		return fmt.Sprintf("%d records can't be read", len(r.unreadable))
	}
	return ""
}

// load reads all records, passes them to the owner in chunks, and determines whether all earlier runs are known.
func (s *Store) load() {
	startedAt := time.Now()
	report := s.readRecords()
	incompleteUntil := s.updateCoverage(&report)
	s.quarantineUnreadable(&report)
	// Times of another boot are rewritten relative to the present one before any new record is added, together with the
	// changed header.
	for s.needsRewrite || report.timeShift != 0 {
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
	for _, seq := range report.expired {
		s.queue = append(s.queue, change{seq: seq, remove: true})
	}
	records := s.ledger.Snapshot(Now().SinceBoot).Records
	s.termsChanged = s.termsChanged || !maps.Equal(s.file.header.terms.classes, s.owner.Terms())
	s.wakeWriter()
	s.mu.Unlock()
	took := time.Since(startedAt)
	s.stats.Set(uint64(took.Milliseconds()), "store", "load_ms")
	events.Log(s.log, "store.loaded", records, took.Round(time.Millisecond), report.timeShift != 0)
	if remaining := incompleteUntil - Now().SinceBoot; remaining > 0 {
		events.Log(s.log, "store.incomplete", remaining.Round(time.Second))
	}
}

// readRecords passes all relevant records to the ledger and to their owner.
func (s *Store) readRecords() (report loadReport) {
	count, err := s.file.count()
	newest := time.Duration(0)
	if err == nil {
		newest, err = s.file.newestTime()
	}
	report.now = Now()
	report.timeShift = s.file.header.coverage().TimeShift(newest, report.now)
	s.mu.Lock()
	s.ledger.ExpectRecords(count)
	s.mu.Unlock()
	if err == nil {
		err = s.file.scan(scanChunkSize, func(list []idempotency.Record, unreadable []uint64) { s.loadChunk(&report, list, unreadable) })
	}
	report.err = err
	return report
}

// loadChunk loads one chunk of records: the relevant ones into the ledger and the owner, the others into the report.
func (s *Store) loadChunk(report *loadReport, records []idempotency.Record, unreadable []uint64) {
	_ = faultPoint("loading") // only for delays: an error is ignored and reading goes on
	report.unreadable = append(report.unreadable, unreadable...)
	relevant := records[:0]
	s.mu.Lock()
	lastInUse, current := s.file.header.terms.classes, s.owner.Terms()
	var changes []change
	for _, stored := range records {
		stored, extended := stored.Extend(current.OfRecord(stored.Window, lastInUse))
		record, isRelevant := stored.Recover(report.timeShift, report.now.SinceBoot)
		if !isRelevant {
			report.expired = append(report.expired, record.Seq)
			continue
		}
		if extended && report.timeShift == 0 { // times of another boot are rewritten after the load
			changes = append(changes, change{seq: stored.Seq, value: encodeRecord(&stored)})
		}
		s.ledger.Load(&record)
		relevant = append(relevant, record)
	}
	s.mu.Unlock()
	if len(changes) > 0 {
		if err := s.file.commit(changes, nil); err != nil {
			s.writeFailed(err)
		}
	}
	s.owner.Restore(relevant, current, wallTimeConverter(Now().SinceBoot))
}

// updateCoverage updates the header's coverage, and returns until when runs may be relevant that the store does not know. An
// unreadable record may have had any key, so after damage the store is complete only from now on.
func (s *Store) updateCoverage(report *loadReport) (incompleteUntil time.Duration) {
	h := s.file.header
	unknownRetention := s.longestRetention()
	if !h.Complete {
		unknownRetention = max(unknownRetention, h.terms.unknownRetention)
	}
	h.terms.unknownRetention = unknownRetention
	if !h.Complete {
		incompleteUntil = time.Duration(h.CompleteSince) + report.timeShift + h.terms.unknownRetention
	}
	if damage := report.damage(); damage != "" {
		s.stats.Inc("store", "damaged")
		events.Log(s.log, "store.damaged", damage)
		h.Complete, h.CompleteSince, h.CompleteSinceWall = false, int64(report.now.SinceBoot), time.Now().UnixMilli()
		incompleteUntil = report.now.SinceBoot + h.terms.unknownRetention
	} else if report.timeShift != 0 {
		h.CompleteSince += int64(report.timeShift)
	}
	h.Machine, h.Boot = report.now.Machine, report.now.Boot
	s.file.header = h
	s.mu.Lock()
	s.completeSince = h.CompleteSinceWall
	s.mu.Unlock()
	return incompleteUntil
}

// quarantineUnreadable preserves unreadable data for later analysis. If reading stopped early, the whole file is kept under a
// quarantine name and a new file is written from the records that could be read. Otherwise the unreadable records are moved
// to the quarantine bucket.
func (s *Store) quarantineUnreadable(report *loadReport) {
	switch {
	case report.err != nil:
		s.needsRewrite = true
		if err := os.Link(s.file.path, quarantineName(s.file.path)); err != nil {
			events.Log(s.log, "store.failed", err)
		}
	case len(report.unreadable) > 0:
		s.needsRewrite = s.file.quarantine(report.unreadable) != nil
	}
}

// pause waits for d and reports whether the store was closed meanwhile.
func (s *Store) pause(d time.Duration) bool {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
