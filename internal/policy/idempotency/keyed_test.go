package idempotency

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What a restart finds is taken up on the safe side, whatever the clocks did: no window is shorter than it was, nothing that may
// have run begins again, and what is past its time on a clock that went on is let go.
func TestRecover(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name))
		}
		reached := d("reached")
		r := Record{State: State(rapid.IntRange(int(Promised), int(Moved)).Draw(t, "state")), Reached: reached, At: reached + d("late")/1000,
			Until: reached + window, Window: window}
		m := Meta{Machine: rapid.SampledFrom([]string{"", "m"}).Draw(t, "of"), Boot: "a", Since: d("since")}
		c := Clock{Machine: rapid.SampledFrom([]string{"", "m", "n"}).Draw(t, "machine"), Boot: rapid.SampledFrom([]string{"a", "b", ""}).Draw(t, "boot"), Now: d("now")}
		last := max(r.At, m.Since)
		shift := m.Shift(r.At, c)
		got, kept := r.Recover(shift, c.Now)
		age, want := c.Now-got.Reached, last-reached // as old as it was when the store was last written
		switch {
		case c.Boot == "a" && c.Now >= last:
			want = c.Now - reached
		case c.Boot != "a" && m.Machine == "m" && c.Machine == "m": // and as the machine has been on since
			want += c.Now
		}
		if age != want {
			t.Fatalf("reached %v ago, not %v", age, want)
		}
		if kept != (age <= window) {
			t.Fatalf("kept: %v, at an age of %v", kept, age)
		}
		if do := got.State.Allows(); do == Begin || do == Join || (do == Answer) != (r.State == Done) {
			t.Fatalf("%v is taken up as %v, which allows to %v", r.State, got.State, do)
		}
	})
}

// Whatever happens in whatever order, the room that was promised is there: what was let in has its result kept, no record is
// forgotten while it is under way or before its time, none twice, and the sums are right.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 20_000, Result: 2_000, Retry: time.Second}
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
		if v := l.Begins(now, time.Second); v.Do != Fail {
			t.Fatalf("while it loads: %v", v)
		}
		l.Loaded(now, now+rapid.SampledFrom([]time.Duration{0, 5 * time.Second}).Draw(t, "blind"))
		blind := l.blind
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
			switch op := rapid.IntRange(0, 7).Draw(t, "op"); {
			case op <= 2:
				r := Record{Key: fmt.Sprint("k", now), Until: now + time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "window"))}
				phase := l.phase
				v := l.Promise(&r, now, time.Second)
				if v.Do == Begin && (phase != Open || now < blind || l.used+l.reserved > limits.Bytes) {
					t.Fatalf("let in: %v, %d + %d bytes, blind for %v", phase, l.used, l.reserved, blind-now)
				}
				if v.Do == Refuse && (v.Why == "" || v.Wait <= 0 || now < blind) || v.Do == Fail && now >= blind {
					t.Fatalf("%v", v)
				}
				if v.Do == Begin {
					runs[r.Seq] = &run{size: r.Size(), until: r.Until}
					under = append(under, r.Seq)
				}
			case op == 3 && len(under) > 0:
				seq, size := pick(), rapid.IntRange(0, limits.Result).Draw(t, "result")
				if !l.Lasts(seq) || !l.Result(seq, Done, size) || l.Result(seq, Done, size) {
					t.Fatalf("the result of %d is not taken, or twice", seq)
				}
				runs[seq].over, runs[seq].size = true, runs[seq].size+size
			case op == 4 && len(under) > 0:
				seq := pick()
				if !l.Result(seq, Failed, 0) {
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
					l.Failed()
				} else {
					l.Anew()
				}
			case op == 7:
				for _, seq := range l.Sweep(now, 3) {
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
			if v := l.View(now); v.Bytes != sum || v.Live != len(runs) || v.Reserved != len(under)*limits.Result {
				t.Fatalf("%+v, and %d records of %d bytes, %d under way", v, len(runs), sum, len(under))
			}
		}
		for range 100 { // all that is over goes in the end
			l.Sweep(now+time.Hour, 1000)
		}
		if len(l.slots) != len(under) {
			t.Fatalf("%d records are left, %d under way", len(l.slots), len(under))
		}
	})
}

// A disk that is too slow turns sheets away, and is tried again once its last commit is long ago.
func TestPace(t *testing.T) {
	l := NewLedger(Limits{Bytes: 1 << 20, Retry: time.Second})
	l.Loaded(0, 0)
	l.Committed(time.Second, 300*time.Millisecond)
	for left, want := range map[time.Duration]Do{time.Second: Refuse, 3 * time.Second: Begin} {
		if v := l.Begins(time.Second, left); v.Do != want {
			t.Errorf("%v left: %v", left, v)
		}
	}
	if v := l.Begins(1100*time.Millisecond+paceFor, time.Second); v.Do != Begin {
		t.Errorf("long after: %v", v)
	}
}

// A commit waits for others only where others are to be expected.
func TestGathers(t *testing.T) {
	for every, want := range map[time.Duration]time.Duration{2 * time.Millisecond: 0, 100 * time.Microsecond: 500 * time.Microsecond} {
		l, now := NewLedger(Limits{Gather: 500 * time.Microsecond}), time.Hour
		for range 1000 {
			now += every
			l.Asked(now)
		}
		if got := l.Gathers(now); got != want {
			t.Errorf("one each %v: waits %v", every, got)
		}
		if got := l.Gathers(now + time.Second); got != 0 {
			t.Errorf("a second later: waits %v", got)
		}
	}
}

// world is one key, the disk, and the process that serves it, in all orders: tries come, writes last or are lost, power goes.
type world struct {
	up      bool
	mem     State // as the process knows it
	promise bool  // on the disk
	result  bool  // on the disk
	writing State // under way to the disk: Promised or Done
	begun   bool  // the run was handed over by this process
	runs    int
	told    bool // a result
}

// guards are what a search may leave out.
type guards struct{ promise, after, result bool }

func (w world) next(g guards) (list []world) {
	add := func(change func(w *world)) {
		n := w
		change(&n)
		list = append(list, n)
	}
	if !w.up {
		add(func(w *world) {
			w.up, w.mem = true, Unknown
			switch {
			case w.result:
				w.mem = Done
			case w.promise && g.after:
				w.mem = Running.After()
			}
		})
		return list
	}
	// The power goes: what is being written lasts or does not.
	for _, lasts := range []bool{false, true} {
		if lasts && w.writing == Unknown {
			continue
		}
		add(func(w *world) {
			if lasts {
				w.land()
			}
			w.up, w.writing, w.begun = false, Unknown, false
		})
	}
	switch {
	case w.mem.Allows() == Begin: // a try comes
		add(func(w *world) {
			w.mem = Promised
			if w.writing = Promised; !g.promise {
				w.writing = Unknown
			}
		})
	case w.mem == Done:
		add(func(w *world) { w.told = true })
	}
	if w.writing != Unknown {
		add(func(w *world) { w.land() })
	}
	if w.mem == Promised && w.writing == Unknown && !w.begun {
		add(func(w *world) { w.mem, w.begun = Running, true; w.runs++ })
	}
	if w.mem == Running && w.begun && w.writing == Unknown { // it ends
		add(func(w *world) {
			if g.result {
				w.writing = Done
			} else {
				w.mem = Done
			}
		})
	}
	return list
}

func (w *world) land() {
	switch w.writing {
	case Promised:
		w.promise = true
	case Done:
		w.result = true
		if w.mem == Running {
			w.mem = Done
		}
	}
	w.writing = Unknown
}

// All orders of a key's tries, writes, runs and losses of power: it never runs twice, and what was told once can be told again.
// The search finds the harm when any guard is left out.
func TestAllOrders(t *testing.T) {
	search := func(g guards) (seen map[world]bool, harm string) {
		seen = map[world]bool{}
		for todo := []world{{}}; len(todo) > 0; {
			w := todo[0]
			todo = todo[1:]
			if seen[w] {
				continue
			}
			seen[w] = true
			switch {
			case w.runs > 1:
				return seen, "it ran twice"
			case w.told && !w.result:
				return seen, "a result was told that a restart can't tell again"
			}
			todo = append(todo, w.next(g)...)
		}
		return seen, ""
	}
	whole := guards{true, true, true}
	if seen, harm := search(whole); harm != "" || len(seen) < 15 {
		t.Errorf("%d states: %s", len(seen), harm)
	}
	for name, g := range map[string]guards{"the promise": {false, true, true}, "what a promise says after a restart": {true, false, true},
		"the result before the answer": {true, true, false}} {
		if _, harm := search(g); harm == "" {
			t.Errorf("without %s no harm is found", name)
		}
	}
}
