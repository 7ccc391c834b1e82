package idempotency

import (
	"container/heap"
	"math"
	"time"
)

// Health is what a store is good for as a whole.
type Health uint8

// The states of health.
const (
	Loading Health = iota // what it holds is being read: known keys are answered, the others may have run and fail
	Open                  // it serves
	Failing               // a write failed: what was not known to be durable is not trusted, and nothing runs until all is rewritten
	Closed                // nothing runs any more
)

// String names a state of health, in the words of the status.
func (h Health) String() string { return [...]string{"loading", "open", "failing", "closed"}[h] }

// Limits bound a store.
type Limits struct {
	Bytes            int           // of all records, results to come included
	ResultReserve    int           // set aside for a result that is to come; a larger one is kept all the same
	GroupCommitDelay time.Duration // how long a commit waits, at the most, for more that could go with it
	RetryAfter       time.Duration // how long a rejected caller stays away, where nothing tells better
}

// Group commit: a commit waits where another change is to be expected meanwhile.
const changeRateWindow = 100 * time.Millisecond // over which changes are counted: some commits of a slow disk long

// The commit time of the disk, by which requests are rejected whose result would be durable too late.
const (
	recentCommits = 8 // commits by which the next is judged
	// commitTimeWindow is how long a commit says anything of the next. A disk that was too slow for any request is so tried again.
	commitTimeWindow = 2 * time.Second
	// commitsPerRequest is how many commits lie between a request and its answer: the intent's and the result's, and each may have
	// to wait for one that is under way.
	commitsPerRequest = 4
	// commitTimeShare is the part of a request's time that its commits may take: the rest is the run's.
	commitTimeShare = 0.5
)

// Ledger is all keys of a store: their states, sizes and expiry. It is single-threaded; the store calls it under its lock. Times are
// of the machine's clock, sizes are bytes.
type Ledger struct {
	limits          Limits
	health          Health
	complete        bool          // every run that matters is known
	incompleteUntil time.Duration // until then keys may have run that are not here
	nextSeq         uint64
	entries         map[uint64]*entry
	byExpiry        expiryHeap
	usedBytes       int // bytes of records
	reservedBytes   int // for results that are to come
	commitTimes     [recentCommits]commitTime
	commitCount     int
	recentChanges   float64 // changes of late, each the less the longer ago it was
	recentChangesAt time.Duration
	loadedCount     int
	expectedCount   int // records to load, as far as that is known
}

// commitTime is how long a commit took, and when it was over.
type commitTime struct{ took, at time.Duration }

// entry is what the ledger knows of a record.
type entry struct {
	seq       uint64
	state     State
	size      int
	expiresAt time.Duration
	heapIndex int // in the heap; -1: not in it
}

// NewLedger returns the ledger of a store that is loading.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, entries: map[uint64]*entry{}, nextSeq: 1}
}

// ---- Recovery ----

// ExpectRecords is told how many records are to be loaded.
func (l *Ledger) ExpectRecords(n int) { l.expectedCount = n }

// Load takes up a record that was found and has been recovered.
func (l *Ledger) Load(r *Record) {
	l.loadedCount++
	l.nextSeq = max(l.nextSeq, r.Seq+1)
	if l.entries[r.Seq] == nil {
		l.add(&entry{seq: r.Seq, state: r.State, size: r.Size(), expiresAt: r.ExpiresAt})
	}
}

// LoadFinished is told that all has been read, and until when runs may matter that are not among it; a time that has passed where all
// is known.
func (l *Ledger) LoadFinished(now, incompleteUntil time.Duration) {
	l.health, l.incompleteUntil, l.complete = Open, incompleteUntil, now >= incompleteUntil
}

// BecameComplete reports, once, that every run that matters is known from now on.
func (l *Ledger) BecameComplete(now time.Duration) bool {
	if l.complete || l.health == Loading || now < l.incompleteUntil {
		return false
	}
	l.complete = true
	return true
}

// ---- Admission ----

// CanExecute is what becomes of a new request that has so much time left.
func (l *Ledger) CanExecute(now, left time.Duration) Decision {
	return l.admission(now, left, recordOverhead)
}

// admission decides on a record of so many bytes, without its result. What may have run fails and is never rejected: that would tell
// its caller that it has not run.
func (l *Ledger) admission(now, left time.Duration, size int) Decision {
	switch {
	case l.health == Loading:
		return Decision{Fail, ReasonLoading, 0}
	case !l.complete && now < l.incompleteUntil:
		return Decision{Fail, ReasonIncomplete, 0}
	case l.health != Open:
		return Decision{Reject, ReasonFailing, l.retryAfter(0)}
	}
	if l.usedBytes+l.reservedBytes+size+l.limits.ResultReserve > l.limits.Bytes {
		return Decision{Reject, ReasonFull, l.nextExpiry(now)}
	}
	if t := l.CommitTime(now); time.Duration(commitsPerRequest)*t > time.Duration(commitTimeShare*float64(left)) {
		return Decision{Reject, ReasonSlow, l.retryAfter(t)}
	}
	return Decision{Action: Execute}
}

// CommitTime is how long the next commit is taken to last: the longest of the last few.
func (l *Ledger) CommitTime(now time.Duration) (longest time.Duration) {
	for _, c := range l.commitTimes {
		if now-c.at <= commitTimeWindow {
			longest = max(longest, c.took)
		}
	}
	return longest
}

// nextExpiry is in how long the next record expires, so that there may be capacity.
func (l *Ledger) nextExpiry(now time.Duration) time.Duration {
	if len(l.byExpiry) == 0 {
		return l.retryAfter(0)
	}
	return max(l.byExpiry[0].expiresAt-now, l.retryAfter(0)/10)
}

func (l *Ledger) retryAfter(atLeast time.Duration) time.Duration {
	return max(l.limits.RetryAfter, atLeast)
}

// Admit takes a new request in and gives its record a number, or says why not.
func (l *Ledger) Admit(r *Record, now, left time.Duration) Decision {
	d := l.admission(now, left, r.Size())
	if d.Action != Execute {
		return d
	}
	r.Seq, r.State, r.RecordedAt = l.nextSeq, Running, now
	l.nextSeq++
	l.add(&entry{seq: r.Seq, state: Intended, size: r.Size(), expiresAt: r.ExpiresAt})
	l.reservedBytes += l.limits.ResultReserve
	return d
}

// AdmitMoved takes in that a key runs elsewhere, or says why not: then whoever asked must not be told that it is unknown here.
func (l *Ledger) AdmitMoved(r *Record, now time.Duration) Decision {
	switch {
	case l.health != Open:
		return Decision{Fail, ReasonFailing, 0}
	case l.usedBytes+l.reservedBytes+r.Size() > l.limits.Bytes:
		return Decision{Fail, ReasonFull, 0}
	}
	r.Seq, r.State, r.RecordedAt = l.nextSeq, Moved, now
	l.nextSeq++
	l.add(&entry{seq: r.Seq, state: Moved, size: r.Size(), expiresAt: r.ExpiresAt})
	return Decision{Action: Execute}
}

// ---- The states of a record ----

// IntentDurable is told that an intent is durable. It reports whether the run may begin.
func (l *Ledger) IntentDurable(seq uint64) bool { return l.transition(seq, Running) }

// Finish is told that a run has ended with a result of so many bytes, or without one. It reports whether there was such a run.
func (l *Ledger) Finish(seq uint64, state State, bytes int) bool {
	s := l.entries[seq]
	if s == nil || s.state != Intended && s.state != Running || !l.transition(seq, state) {
		return false
	}
	l.reservedBytes -= l.limits.ResultReserve
	if state == Completed {
		s.size += bytes
		l.usedBytes += bytes
	}
	return true
}

// Withdraw is told that a run never began. It reports whether there is a record to be taken off the disk.
func (l *Ledger) Withdraw(seq uint64) bool {
	s := l.entries[seq]
	if s == nil || s.state != Intended && s.state != Running {
		return false
	}
	l.reservedBytes -= l.limits.ResultReserve
	l.remove(s)
	return true
}

func (l *Ledger) transition(seq uint64, next State) bool {
	s := l.entries[seq]
	if s == nil || !s.state.CanBecome(next) {
		return false
	}
	s.state = next
	return true
}

// Expire forgets what is past its time and not under way, at most so many, and returns their numbers.
func (l *Ledger) Expire(now time.Duration, limit int) (expired []uint64) {
	var executing []*entry
	for len(l.byExpiry) > 0 && len(expired) < limit && now > l.byExpiry[0].expiresAt {
		s := heap.Pop(&l.byExpiry).(*entry)
		if s.state == Intended || s.state == Running {
			executing = append(executing, s)
			continue
		}
		expired = append(expired, s.seq)
		l.forget(s)
	}
	for _, s := range executing {
		heap.Push(&l.byExpiry, s)
	}
	return expired
}

// ---- The disk ----

// ChangeQueued is told of a change that is to be written.
func (l *Ledger) ChangeQueued(now time.Duration) {
	l.recentChanges, l.recentChangesAt = l.recentChangeCount(now)+1, now
}

// recentChangeCount is the changes of late, each the less the longer ago it was.
func (l *Ledger) recentChangeCount(now time.Duration) float64 {
	return l.recentChanges * math.Exp(-(now-l.recentChangesAt).Seconds()/changeRateWindow.Seconds())
}

// CommitDelay is how long the next commit should wait: where another change is to be expected meanwhile, by how many came of late, it
// saves that one a commit; where none is, it would only be late.
func (l *Ledger) CommitDelay(now time.Duration) time.Duration {
	if l.recentChangeCount(now)/changeRateWindow.Seconds()*l.limits.GroupCommitDelay.Seconds() < 1 {
		return 0
	}
	return l.limits.GroupCommitDelay
}

// Committed is told how long a commit took.
func (l *Ledger) Committed(now, took time.Duration) {
	l.commitTimes[l.commitCount%recentCommits] = commitTime{took, now}
	l.commitCount++
}

// WriteFailed is told that a write failed. It reports whether that is news.
func (l *Ledger) WriteFailed() bool {
	if l.health != Open {
		return false
	}
	l.health = Failing
	return true
}

// Rewritten is told that all was rewritten and is durable.
func (l *Ledger) Rewritten() {
	if l.health == Failing {
		l.health, l.commitTimes = Open, [recentCommits]commitTime{}
	}
}

// Close ends it: nothing runs any more.
func (l *Ledger) Close() { l.health = Closed }

// ShouldCompact reports whether a file of so many bytes should be rewritten: most of it is unused.
func (l *Ledger) ShouldCompact(file int64) bool {
	return file > int64(l.limits.Bytes) && int64(l.usedBytes)*2 < file
}

// Snapshot is what is seen of a ledger.
type Snapshot struct {
	Health           Health
	Complete         bool // every run that matters is known
	Records, Bytes   int
	ReservedBytes    int // for results that are to come
	MaxBytes         int
	Loaded, Expected int // records
	CommitTime       time.Duration
}

// Snapshot returns the present one.
func (l *Ledger) Snapshot(now time.Duration) Snapshot {
	return Snapshot{l.health, l.complete, len(l.entries), l.usedBytes, l.reservedBytes, l.limits.Bytes, l.loadedCount, l.expectedCount, l.CommitTime(now)}
}

// ---- Records by their expiry ----

func (l *Ledger) add(s *entry) {
	l.entries[s.seq] = s
	l.usedBytes += s.size
	heap.Push(&l.byExpiry, s)
}

func (l *Ledger) remove(s *entry) {
	heap.Remove(&l.byExpiry, s.heapIndex)
	l.forget(s)
}

func (l *Ledger) forget(s *entry) {
	s.state = Expired
	delete(l.entries, s.seq)
	l.usedBytes -= s.size
}
