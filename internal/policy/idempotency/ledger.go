package idempotency

import (
	"container/heap"
	"math"
	"time"
)

// Phase is what a store is good for as a whole.
type Phase uint8

const (
	Loading Phase = iota // what it holds is being read: known keys are answered, the others may have run and fail
	Open
	Failing // a write failed: what was not known to last is not trusted, and nothing begins until all is written anew
	Closed
)

func (p Phase) String() string { return [...]string{"loading", "open", "failing", "closed"}[p] }

// Limits bound a store.
type Limits struct {
	Bytes  int           // of all records, results to come included
	Result int           // set aside for a result that is to come; a larger one is kept all the same
	Gather time.Duration // how long a commit waits, at the most, for more that could go with it
	Retry  time.Duration // how long who is refused stays away, where nothing tells better
}

const (
	lately = 100 * time.Millisecond // over which changes are counted
	recent = 8                      // commits by which the next is judged
	// paceFor is how long a commit says anything of the next. A disk that was too slow for any sheet is so tried again.
	paceFor = 2 * time.Second
	// legs is how many commits lie between a request and its answer: the promise's and the result's, and each may have to
	// wait for one that is under way.
	legs = 4
	// patienceShare is the part of a request's time that its commits may take.
	patienceShare = 0.5
)

// Ledger is all keys of a store: their states, their room and their end.
type Ledger struct {
	limits   Limits
	phase    Phase
	known    bool          // every run that matters is known
	blind    time.Duration // until then the others' keys are not
	next     uint64
	slots    map[uint64]*slot
	ends     ends
	used     int // bytes of records
	reserved int // for results that are to come
	took     [recent]commit
	commits  int
	asked    float64 // changes of late, each the less the longer ago it was
	askedAt  time.Duration
	loaded   int
	expected int // records to load, as far as that is known
}

// commit is how long one took, and when it was over.
type commit struct{ took, at time.Duration }

// slot is what the ledger knows of a record.
type slot struct {
	seq   uint64
	state State
	size  int
	until time.Duration
	place int // in the heap; -1: not in it
}

// NewLedger returns the ledger of a store that is loading.
func NewLedger(l Limits) *Ledger {
	return &Ledger{limits: l, slots: map[uint64]*slot{}, next: 1}
}

// ---- Recovery ----

// Expect is told how many records are to be loaded.
func (l *Ledger) Expect(n int) { l.expected = n }

// Load takes up a record that was found and has been recovered.
func (l *Ledger) Load(r *Record) {
	l.loaded++
	l.next = max(l.next, r.Seq+1)
	if l.slots[r.Seq] == nil {
		l.add(&slot{seq: r.Seq, state: r.State, size: r.Size(), until: r.Until})
	}
}

// Loaded is told that all has been read, and until when runs may matter that are not among it; a time that has passed where
// all is known.
func (l *Ledger) Loaded(now, blind time.Duration) {
	l.phase, l.blind, l.known = Open, blind, now >= blind
}

// Whole reports, once, that every run that matters is known from now on.
func (l *Ledger) Whole(now time.Duration) bool {
	if l.known || l.phase == Loading || now < l.blind {
		return false
	}
	l.known = true
	return true
}

// ---- Admission ----

// Begins is what becomes of a new sheet that has so much time.
func (l *Ledger) Begins(now, left time.Duration) Verdict { return l.begins(now, left, overhead) }

func (l *Ledger) begins(now, left time.Duration, size int) Verdict {
	// What may have run is never refused: that would tell its caller that it has not.
	switch {
	case l.phase == Loading:
		return Verdict{Fail, WhyLoading, 0}
	case !l.known && now < l.blind:
		return Verdict{Fail, WhyBlind, 0}
	case l.phase != Open:
		return Verdict{Refuse, WhyFailing, l.retry(0)}
	}
	if l.used+l.reserved+size+l.limits.Result > l.limits.Bytes {
		return Verdict{Refuse, WhyFull, l.space(now)}
	}
	if pace := l.Pace(now); time.Duration(legs)*pace > time.Duration(patienceShare*float64(left)) {
		return Verdict{Refuse, WhySlow, l.retry(pace)}
	}
	return Verdict{Do: Begin}
}

// Pace is how long a commit is taken to last: the longest of the last few.
func (l *Ledger) Pace(now time.Duration) (longest time.Duration) {
	for _, c := range l.took {
		if now-c.at <= paceFor {
			longest = max(longest, c.took)
		}
	}
	return longest
}

// space is when a record ends next, so that there may be room.
func (l *Ledger) space(now time.Duration) time.Duration {
	if len(l.ends) == 0 {
		return l.retry(0)
	}
	return max(l.ends[0].until-now, l.retry(0)/10)
}

func (l *Ledger) retry(least time.Duration) time.Duration { return max(l.limits.Retry, least) }

// Promise takes a new sheet in, or says why not. Its number is the record's.
func (l *Ledger) Promise(r *Record, now, left time.Duration) Verdict {
	v := l.begins(now, left, r.Size())
	if v.Do != Begin {
		return v
	}
	r.Seq, r.State, r.At = l.next, Running, now
	l.next++
	l.add(&slot{seq: r.Seq, state: Promised, size: r.Size(), until: r.Until})
	l.reserved += l.limits.Result
	return v
}

// Mark takes in that a key runs elsewhere, or says why not: then whoever asked must not be told that it is unknown here.
func (l *Ledger) Mark(r *Record, now time.Duration) Verdict {
	switch {
	case l.phase != Open:
		return Verdict{Fail, WhyFailing, 0}
	case l.used+l.reserved+r.Size() > l.limits.Bytes:
		return Verdict{Fail, WhyFull, 0}
	}
	r.Seq, r.State, r.At = l.next, Moved, now
	l.next++
	l.add(&slot{seq: r.Seq, state: Moved, size: r.Size(), until: r.Until})
	return Verdict{Do: Begin}
}

// ---- The life of a record ----

// Lasts is told that a promise lasts. It reports whether the run may begin.
func (l *Ledger) Lasts(seq uint64) bool { return l.move(seq, Running) }

// Result is told that a run has ended with a result of so many bytes, or without one.
func (l *Ledger) Result(seq uint64, state State, bytes int) bool {
	s := l.slots[seq]
	if s == nil || s.state != Promised && s.state != Running || !l.move(seq, state) {
		return false
	}
	l.reserved -= l.limits.Result
	if state == Done {
		s.size += bytes
		l.used += bytes
	}
	return true
}

// Withdraw is told that a run never began. It reports whether there is a record to be taken off the disk.
func (l *Ledger) Withdraw(seq uint64) bool {
	s := l.slots[seq]
	if s == nil || s.state != Promised && s.state != Running {
		return false
	}
	l.reserved -= l.limits.Result
	l.remove(s)
	return true
}

func (l *Ledger) move(seq uint64, next State) bool {
	s := l.slots[seq]
	if s == nil || !s.state.May(next) {
		return false
	}
	s.state = next
	return true
}

// Sweep forgets what is past its time and not under way, at most so many, and returns their numbers.
func (l *Ledger) Sweep(now time.Duration, most int) (over []uint64) {
	var under []*slot
	for len(l.ends) > 0 && len(over) < most && now > l.ends[0].until {
		s := heap.Pop(&l.ends).(*slot)
		if s.state == Promised || s.state == Running {
			under = append(under, s)
			continue
		}
		over = append(over, s.seq)
		l.forget(s)
	}
	for _, s := range under {
		heap.Push(&l.ends, s)
	}
	return over
}

// ---- The disk ----

// Asked is told of a change that is to be written.
func (l *Ledger) Asked(now time.Duration) { l.asked, l.askedAt = l.lately(now)+1, now }

func (l *Ledger) lately(now time.Duration) float64 {
	return l.asked * math.Exp(-(now-l.askedAt).Seconds()/lately.Seconds())
}

// Gathers is how long the next commit should wait: where another change is to be expected meanwhile, by how many came of late, it
// saves that one a commit; where none is, it would only be late.
func (l *Ledger) Gathers(now time.Duration) time.Duration {
	if l.lately(now)/lately.Seconds()*l.limits.Gather.Seconds() < 1 {
		return 0
	}
	return l.limits.Gather
}

// Committed is told how long a commit took.
func (l *Ledger) Committed(now, took time.Duration) {
	l.took[l.commits%recent] = commit{took, now}
	l.commits++
}

// Failed is told that a write failed. It reports whether that is news.
func (l *Ledger) Failed() bool {
	if l.phase != Open {
		return false
	}
	l.phase = Failing
	return true
}

// Anew is told that all was written anew and lasts.
func (l *Ledger) Anew() {
	if l.phase == Failing {
		l.phase, l.took = Open, [recent]commit{}
	}
}

// Close ends it: nothing begins any more.
func (l *Ledger) Close() { l.phase = Closed }

// Crowded reports whether a file of so many bytes should be written anew: most of it is room that nobody uses.
func (l *Ledger) Crowded(file int64) bool {
	return file > int64(l.limits.Bytes) && int64(l.used)*2 < file
}

// View is what is seen of a ledger.
type View struct {
	Phase            Phase
	Known            bool
	Live, Bytes      int
	Reserved, Limit  int
	Loaded, Expected int
	Pace             time.Duration
}

// View returns the present one.
func (l *Ledger) View(now time.Duration) View {
	return View{l.phase, l.known, len(l.slots), l.used, l.reserved, l.limits.Bytes, l.loaded, l.expected, l.Pace(now)}
}

// ---- Records by their end ----

func (l *Ledger) add(s *slot) {
	l.slots[s.seq] = s
	l.used += s.size
	heap.Push(&l.ends, s)
}

func (l *Ledger) remove(s *slot) {
	heap.Remove(&l.ends, s.place)
	l.forget(s)
}

func (l *Ledger) forget(s *slot) {
	s.state = Expired
	delete(l.slots, s.seq)
	l.used -= s.size
}

// ends is a heap of records, the one that ends first on top.
type ends []*slot

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].until < e[j].until }
func (e ends) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place, e[j].place = i, j
}
func (e *ends) Push(x any) {
	s := x.(*slot)
	s.place = len(*e)
	*e = append(*e, s)
}
func (e *ends) Pop() any {
	old := *e
	s := old[len(old)-1]
	*e = old[:len(old)-1]
	s.place = -1
	return s
}
