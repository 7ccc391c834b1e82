package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After a reboot, or with the disk in another machine, the clock counts from another time. A key window that got shorter would let a
// request run twice. Recovery must not shorten a window, must not run a request that may have run, and drops a record that has expired
// by a clock that kept running.
func TestRestartNeverShortensAWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		drawDuration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		receivedAt := drawDuration("reached")
		r := Record{State: State(rapid.IntRange(int(Intended), int(Moved)).Draw(t, "state")), ReceivedAt: receivedAt, RecordedAt: receivedAt + drawDuration("late")/1000,
			ExpiresAt: receivedAt + window, Window: window}
		coverage := Coverage{Machine: rapid.SampledFrom([]string{"", "m"}).Draw(t, "of"), Boot: "a", CompleteSince: drawDuration("since")}
		clock := Clock{Machine: rapid.SampledFrom([]string{"", "m", "n"}).Draw(t, "machine"), Boot: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "boot"), SinceBoot: drawDuration("now")}
		last := max(r.RecordedAt, coverage.CompleteSince)
		shift := coverage.TimeShift(r.RecordedAt, clock)
		recovered, kept := r.Recover(shift, clock.SinceBoot)
		age, want := clock.SinceBoot-recovered.ReceivedAt, last-receivedAt // the age when the store was last written
		switch {
		case clock.Boot == "a" && clock.SinceBoot >= last:
			want = clock.SinceBoot - receivedAt
		case clock.Boot != "a" && coverage.Machine == "m" && clock.Machine == "m": // plus the time since the boot
			want += clock.SinceBoot
		}
		if age != want {
			t.Fatalf("recovered with an age of %v, want %v", age, want)
		}
		if kept != (age <= window) {
			t.Fatalf("record kept: %v, at an age of %v", kept, age)
		}
		if action := recovered.State.Action(); action == Execute || action == Join || (action == Replay) != (r.State == Completed) {
			t.Fatalf("state %v is recovered as %v with action %v, want Replay only for Completed, and neither Execute nor Join", r.State, recovered.State, action)
		}
	})
}

// A result that finds no capacity would be lost after its run. In any order of events, every admitted run can store its result, no
// record is dropped during its run, before its expiry or twice, and the counts and sizes match the records.
func TestLedgerKeepsItsReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 20_000, ResultReserve: 2_000, RetryAfter: time.Second}
		l, now := NewLedger(limits), time.Hour
		type run struct {
			size      int
			expiresAt time.Duration
			finished  bool
		}
		runs := map[uint64]*run{}
		var inProgress []uint64
		takeInProgress := func() (seq uint64) {
			i := rapid.IntRange(0, len(inProgress)-1).Draw(t, "which")
			seq = inProgress[i]
			inProgress = append(inProgress[:i], inProgress[i+1:]...)
			return seq
		}
		if d := l.CanExecute(now, time.Second); d.Action != Fail {
			t.Fatalf("decision while the store loads: %v", d)
		}
		l.LoadFinished(now, now+rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "blind"))
		incompleteUntil := l.incompleteUntil
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
			switch op := rapid.IntRange(0, 7).Draw(t, "op"); {
			case op <= 2:
				r := Record{Key: fmt.Sprint("k", now), ExpiresAt: now + time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "window"))}
				health := l.health
				d := l.Admit(&r, now, time.Second)
				if d.Action == Execute && (health != Open || now < incompleteUntil || l.usedBytes+l.reservedBytes > limits.Bytes) {
					t.Fatalf("admitted in health %v, with %d bytes used and %d reserved, incomplete for %v", health, l.usedBytes, l.reservedBytes, incompleteUntil-now)
				}
				if d.Action == Reject && (d.Reason == "" || d.RetryAfter <= 0 || now < incompleteUntil) || d.Action == Fail && now >= incompleteUntil {
					t.Fatalf("invalid decision: %v", d)
				}
				if d.Action == Execute {
					runs[r.Seq] = &run{size: r.Size(), expiresAt: r.ExpiresAt}
					inProgress = append(inProgress, r.Seq)
				}
			case op == 3 && len(inProgress) > 0:
				seq, size := takeInProgress(), rapid.IntRange(0, limits.ResultReserve).Draw(t, "result")
				if !l.IntentDurable(seq) || !l.Finish(seq, Completed, size) || l.Finish(seq, Completed, size) {
					t.Fatalf("the result of record %d is not accepted exactly once", seq)
				}
				runs[seq].finished, runs[seq].size = true, runs[seq].size+size
			case op == 4 && len(inProgress) > 0:
				seq := takeInProgress()
				if !l.Finish(seq, Failed, 0) {
					t.Fatal("the failure of a run is not accepted")
				}
				runs[seq].finished = true
			case op == 5 && len(inProgress) > 0:
				seq := takeInProgress()
				if !l.Withdraw(seq) || l.Withdraw(seq) {
					t.Fatal("a record is not withdrawn exactly once")
				}
				delete(runs, seq)
			case op == 6:
				if rapid.Bool().Draw(t, "fails") {
					l.WriteFailed()
				} else {
					l.RewriteFinished()
				}
			case op == 7:
				for _, seq := range l.Expire(now, 3) {
					if r := runs[seq]; r == nil || !r.finished || now <= r.expiresAt {
						t.Fatalf("expired too early or twice: %+v at %v", r, now)
					}
					delete(runs, seq)
				}
			}
			sum := 0
			for _, r := range runs {
				sum += r.size
			}
			if snapshot := l.Snapshot(now); snapshot.Bytes != sum || snapshot.Records != len(runs) || snapshot.ReservedBytes != len(inProgress)*limits.ResultReserve {
				t.Fatalf("snapshot %+v, want %d records of %d bytes, %d of them in progress", snapshot, len(runs), sum, len(inProgress))
			}
		}
		for range 100 { // all finished records expire in the end
			l.Expire(now+time.Hour, 1000)
		}
		if len(l.entries) != len(inProgress) {
			t.Fatalf("%d records are left, want the %d in progress", len(l.entries), len(inProgress))
		}
	})
}

// A disk gets so slow that no result would be durable by its deadline: requests are rejected before they run. A rejected request makes
// no commit, so the estimate has to expire, or requests would be rejected long after the disk has recovered.
func TestSlowDiskRejectsUntilItsCommitsAreOld(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20, RetryAfter: time.Second})
	l.LoadFinished(0, 0)
	l.CommitFinished(time.Second, 300*time.Millisecond)
	for remaining, want := range map[time.Duration]Action{time.Second: Reject, 3 * time.Second: Execute} {
		if d := l.CanExecute(time.Second, remaining); d.Action != want {
			t.Errorf("decision with %v left: %v", remaining, d)
		}
	}
	if d := l.CanExecute(1100*time.Millisecond+commitTimeWindow, time.Second); d.Action != Execute {
		t.Errorf("decision after the commit left the window: %v", d)
	}
}

// A commit waits for other changes only if the recent change rate predicts one; else the delay would add latency for no gain.
func TestCommitWaitsOnlyWhereChangesAreExpected(t *testing.T) {
	for interval, want := range map[time.Duration]time.Duration{2 * time.Millisecond: 0, 100 * time.Microsecond: 500 * time.Microsecond} {
		l, now := NewLedger(Limits{GroupCommitDelay: 500 * time.Microsecond}), time.Hour
		for range 1000 {
			now += interval
			l.ChangeQueued(now)
		}
		if got := l.CommitDelay(now); got != want {
			t.Errorf("a change each %v: commit delay %v", interval, got)
		}
		if got := l.CommitDelay(now + time.Second); got != 0 {
			t.Errorf("a second after the last change: commit delay %v", got)
		}
	}
}

// keyState models one key: the process that serves it, the disk, and the write in progress. Its transitions are attempts, writes that
// complete or are lost, runs, and power failures.
type keyState struct {
	up           bool
	state        State // in the memory of the process
	intentOnDisk bool
	resultOnDisk bool
	writing      State // write in progress: Intended, Completed, or Unknown for none
	dispatched   bool  // this process has started the run
	runs         int
	answered     bool // a caller got the result
}

// guards are the rules of the protocol. A search with one of them off must find a violation.
type guards struct{ intent, afterRestart, result bool }

func (k keyState) successors(g guards) (list []keyState) {
	add := func(change func(k *keyState)) {
		next := k
		change(&next)
		list = append(list, next)
	}
	if !k.up {
		add(func(k *keyState) {
			k.up, k.state = true, Unknown
			switch {
			case k.resultOnDisk:
				k.state = Completed
			case k.intentOnDisk && g.afterRestart:
				k.state = Running.AfterRestart()
			}
		})
		return list
	}
	// A power failure: the write in progress becomes durable or is lost.
	for _, durable := range []bool{false, true} {
		if durable && k.writing == Unknown {
			continue
		}
		add(func(k *keyState) {
			if durable {
				k.completeWrite()
			}
			k.up, k.writing, k.dispatched = false, Unknown, false
		})
	}
	switch {
	case k.state.Action() == Execute: // an attempt arrives
		add(func(k *keyState) {
			k.state = Intended
			if k.writing = Intended; !g.intent {
				k.writing = Unknown
			}
		})
	case k.state == Completed:
		add(func(k *keyState) { k.answered = true })
	}
	if k.writing != Unknown {
		add(func(k *keyState) { k.completeWrite() })
	}
	if k.state == Intended && k.writing == Unknown && !k.dispatched {
		add(func(k *keyState) { k.state, k.dispatched = Running, true; k.runs++ })
	}
	if k.state == Running && k.dispatched && k.writing == Unknown { // the run ends
		add(func(k *keyState) {
			if g.result {
				k.writing = Completed
			} else {
				k.state = Completed
			}
		})
	}
	return list
}

func (k *keyState) completeWrite() {
	switch k.writing {
	case Intended:
		k.intentOnDisk = true
	case Completed:
		k.resultOnDisk = true
		if k.state == Running {
			k.state = Completed
		}
	}
	k.writing = Unknown
}

// A power failure between a write and a run, or between a result and its response, could run a key twice or lose an answered result.
// This search covers all orders of attempts, writes, runs and power failures of one key: it never runs twice, and an answered result
// survives a restart. With any one guard off the search finds a violation.
func TestNoOrderOfEventsRunsAKeyTwice(t *testing.T) {
	search := func(g guards) (seen map[keyState]bool, violation string) {
		seen = map[keyState]bool{}
		for queue := []keyState{{}}; len(queue) > 0; {
			k := queue[0]
			queue = queue[1:]
			if seen[k] {
				continue
			}
			seen[k] = true
			switch {
			case k.runs > 1:
				return seen, "the key ran twice"
			case k.answered && !k.resultOnDisk:
				return seen, "an answered result does not survive a restart"
			}
			queue = append(queue, k.successors(g)...)
		}
		return seen, ""
	}
	allGuards := guards{true, true, true}
	if seen, violation := search(allGuards); violation != "" || len(seen) < 15 {
		t.Errorf("%d states: %s", len(seen), violation)
	}
	for name, g := range map[string]guards{"the durable intent before the run": {false, true, true}, "the intent's check after a restart": {true, false, true},
		"the durable result before the answer": {true, true, false}} {
		if _, violation := search(g); violation == "" {
			t.Errorf("no violation found without %s", name)
		}
	}
}
