package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A machine restarts, or a disk comes to another machine, and clocks count from elsewhere. A window that got shorter would let a request
// run twice: so what is found is taken up on the safe side. No window is shorter than it was, nothing that may have run begins again, and
// what is past its time on a clock that went on is let go.
func TestRestartNeverShortensAWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		reached := d("reached")
		r := Record{State: State(rapid.IntRange(int(Intended), int(Moved)).Draw(t, "state")), ReceivedAt: reached, RecordedAt: reached + d("late")/1000,
			ExpiresAt: reached + window, Window: window}
		m := Coverage{Machine: rapid.SampledFrom([]string{"", "m"}).Draw(t, "of"), Boot: "a", CompleteSince: d("since")}
		c := Clock{Machine: rapid.SampledFrom([]string{"", "m", "n"}).Draw(t, "machine"), Boot: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "boot"), SinceBoot: d("now")}
		last := max(r.RecordedAt, m.CompleteSince)
		shift := m.TimeShift(r.RecordedAt, c)
		got, kept := r.Recover(shift, c.SinceBoot)
		age, want := c.SinceBoot-got.ReceivedAt, last-reached // as old as it was when the store was last written
		switch {
		case c.Boot == "a" && c.SinceBoot >= last:
			want = c.SinceBoot - reached
		case c.Boot != "a" && m.Machine == "m" && c.Machine == "m": // and as the machine has been on since
			want += c.SinceBoot
		}
		if age != want {
			t.Fatalf("reached %v ago, not %v", age, want)
		}
		if kept != (age <= window) {
			t.Fatalf("kept: %v, at an age of %v", kept, age)
		}
		if do := got.State.Action(); do == Execute || do == Join || (do == Replay) != (r.State == Completed) {
			t.Fatalf("%v is taken up as %v, which allows to %v", r.State, got.State, do)
		}
	})
}

// Whatever happens in whatever order, reserved capacity is there: what was admitted has its result kept, no record is forgotten while
// it is under way or before its time, none twice, and the sums are right.
func TestLedgerKeepsItsReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 20_000, ResultReserve: 2_000, RetryAfter: time.Second}
		l, now := NewLedger(limits), time.Hour
		type run struct {
			size  int
			until time.Duration
			over  bool
		}
		runs := map[uint64]*run{}
		var under []uint64
		pick := func() (seq uint64) {
			i := rapid.IntRange(0, len(under)-1).Draw(t, "which")
			seq = under[i]
			under = append(under[:i], under[i+1:]...)
			return seq
		}
		if v := l.CanExecute(now, time.Second); v.Action != Fail {
			t.Fatalf("while it loads: %v", v)
		}
		l.LoadFinished(now, now+rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "blind"))
		blind := l.incompleteUntil
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
			switch op := rapid.IntRange(0, 7).Draw(t, "op"); {
			case op <= 2:
				r := Record{Key: fmt.Sprint("k", now), ExpiresAt: now + time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "window"))}
				phase := l.health
				v := l.Admit(&r, now, time.Second)
				if v.Action == Execute && (phase != Open || now < blind || l.usedBytes+l.reservedBytes > limits.Bytes) {
					t.Fatalf("admitted: %v, %d + %d bytes, incomplete for %v", phase, l.usedBytes, l.reservedBytes, blind-now)
				}
				if v.Action == Reject && (v.Reason == "" || v.RetryAfter <= 0 || now < blind) || v.Action == Fail && now >= blind {
					t.Fatalf("%v", v)
				}
				if v.Action == Execute {
					runs[r.Seq] = &run{size: r.Size(), until: r.ExpiresAt}
					under = append(under, r.Seq)
				}
			case op == 3 && len(under) > 0:
				seq, size := pick(), rapid.IntRange(0, limits.ResultReserve).Draw(t, "result")
				if !l.IntentDurable(seq) || !l.Finish(seq, Completed, size) || l.Finish(seq, Completed, size) {
					t.Fatalf("the result of %d is not taken, or twice", seq)
				}
				runs[seq].over, runs[seq].size = true, runs[seq].size+size
			case op == 4 && len(under) > 0:
				seq := pick()
				if !l.Finish(seq, Failed, 0) {
					t.Fatal("a failure is not taken")
				}
				runs[seq].over = true
			case op == 5 && len(under) > 0:
				seq := pick()
				if !l.Withdraw(seq) || l.Withdraw(seq) {
					t.Fatal("withdrawn never, or twice")
				}
				delete(runs, seq)
			case op == 6:
				if rapid.Bool().Draw(t, "fails") {
					l.WriteFailed()
				} else {
					l.Rewritten()
				}
			case op == 7:
				for _, seq := range l.Expire(now, 3) {
					if r := runs[seq]; r == nil || !r.over || now <= r.until {
						t.Fatalf("forgotten: %+v at %v", r, now)
					}
					delete(runs, seq)
				}
			}
			sum := 0
			for _, r := range runs {
				sum += r.size
			}
			if v := l.Snapshot(now); v.Bytes != sum || v.Records != len(runs) || v.ReservedBytes != len(under)*limits.ResultReserve {
				t.Fatalf("%+v, and %d records of %d bytes, %d under way", v, len(runs), sum, len(under))
			}
		}
		for range 100 { // all that is over goes in the end
			l.Expire(now+time.Hour, 1000)
		}
		if len(l.entries) != len(under) {
			t.Fatalf("%d records are left, %d under way", len(l.entries), len(under))
		}
	})
}

// A disk grows so slow that no result would be durable in time: requests are rejected before they run. It is tried again once its last
// commit is long ago, or nobody would find out that it is fast again.
func TestSlowDiskRejectsUntilItsCommitsAreOld(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20, RetryAfter: time.Second})
	l.LoadFinished(0, 0)
	l.Committed(time.Second, 300*time.Millisecond)
	for left, want := range map[time.Duration]Action{time.Second: Reject, 3 * time.Second: Execute} {
		if v := l.CanExecute(time.Second, left); v.Action != want {
			t.Errorf("%v left: %v", left, v)
		}
	}
	if v := l.CanExecute(1100*time.Millisecond+commitTimeWindow, time.Second); v.Action != Execute {
		t.Errorf("long after: %v", v)
	}
}

// A commit waits for other changes only where others are to be expected: else it would only be late.
func TestCommitWaitsOnlyWhereChangesAreExpected(t *testing.T) {
	for every, want := range map[time.Duration]time.Duration{2 * time.Millisecond: 0, 100 * time.Microsecond: 500 * time.Microsecond} {
		l, now := NewLedger(Limits{GroupCommitDelay: 500 * time.Microsecond}), time.Hour
		for range 1000 {
			now += every
			l.ChangeQueued(now)
		}
		if got := l.CommitDelay(now); got != want {
			t.Errorf("one each %v: waits %v", every, got)
		}
		if got := l.CommitDelay(now + time.Second); got != 0 {
			t.Errorf("a second later: waits %v", got)
		}
	}
}

// keyState is one key, the disk, and the process that serves it, in all orders: attempts come, writes land or are lost, power goes.
type keyState struct {
	up           bool
	state        State // as the process knows it
	intentOnDisk bool  // on the disk
	resultOnDisk bool  // on the disk
	writing      State // under way to the disk: Intended or Completed
	dispatched   bool  // the run was handed over by this process
	runs         int
	answered     bool // a result
}

// guards are what a search may leave out.
type guards struct{ intent, afterRestart, result bool }

func (w keyState) next(g guards) (list []keyState) {
	add := func(change func(w *keyState)) {
		n := w
		change(&n)
		list = append(list, n)
	}
	if !w.up {
		add(func(w *keyState) {
			w.up, w.state = true, Unknown
			switch {
			case w.resultOnDisk:
				w.state = Completed
			case w.intentOnDisk && g.afterRestart:
				w.state = Running.AfterRestart()
			}
		})
		return list
	}
	// The power goes: what is being written is durable or lost.
	for _, lasts := range []bool{false, true} {
		if lasts && w.writing == Unknown {
			continue
		}
		add(func(w *keyState) {
			if lasts {
				w.writeLands()
			}
			w.up, w.writing, w.dispatched = false, Unknown, false
		})
	}
	switch {
	case w.state.Action() == Execute: // an attempt comes
		add(func(w *keyState) {
			w.state = Intended
			if w.writing = Intended; !g.intent {
				w.writing = Unknown
			}
		})
	case w.state == Completed:
		add(func(w *keyState) { w.answered = true })
	}
	if w.writing != Unknown {
		add(func(w *keyState) { w.writeLands() })
	}
	if w.state == Intended && w.writing == Unknown && !w.dispatched {
		add(func(w *keyState) { w.state, w.dispatched = Running, true; w.runs++ })
	}
	if w.state == Running && w.dispatched && w.writing == Unknown { // it ends
		add(func(w *keyState) {
			if g.result {
				w.writing = Completed
			} else {
				w.state = Completed
			}
		})
	}
	return list
}

func (w *keyState) writeLands() {
	switch w.writing {
	case Intended:
		w.intentOnDisk = true
	case Completed:
		w.resultOnDisk = true
		if w.state == Running {
			w.state = Completed
		}
	}
	w.writing = Unknown
}

// A search through all orders of a key's attempts, writes, runs and losses of power: it never runs twice, and a result that was answered
// once can be answered again. The search finds the harm when any guard is left out.
func TestNoOrderOfEventsRunsAKeyTwice(t *testing.T) {
	search := func(g guards) (seen map[keyState]bool, harm string) {
		seen = map[keyState]bool{}
		for todo := []keyState{{}}; len(todo) > 0; {
			w := todo[0]
			todo = todo[1:]
			if seen[w] {
				continue
			}
			seen[w] = true
			switch {
			case w.runs > 1:
				return seen, "it ran twice"
			case w.answered && !w.resultOnDisk:
				return seen, "a result was answered that a restart can't answer again"
			}
			todo = append(todo, w.next(g)...)
		}
		return seen, ""
	}
	whole := guards{true, true, true}
	if seen, harm := search(whole); harm != "" || len(seen) < 15 {
		t.Errorf("%d states: %s", len(seen), harm)
	}
	for name, g := range map[string]guards{"the intent": {false, true, true}, "what an intent says after a restart": {true, false, true},
		"the result before the answer": {true, true, false}} {
		if _, harm := search(g); harm == "" {
			t.Errorf("without %s no harm is found", name)
		}
	}
}
