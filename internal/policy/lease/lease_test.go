package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A world of three processes that want one duty, a group whose leader changes, words that are delayed, lost and given
// twice, processes that are stopped for a while, and clocks that drift within the bound: by real time no two own the duty
// at once, and epochs only rise. Guards that are left out on purpose are found out.
type world struct {
	terms     Terms
	table     *Table
	watch     *Watch
	leaderHz  float64 // its clock's rate
	holders   []*Holder
	hz        []float64
	frozen    []int // until which step
	now       time.Duration
	flight    []word
	guards    guards
	lastEpoch Epoch
}

type guards struct {
	drift    bool // the holder counts short
	wait     bool // the leader waits a whole lease
	fresh    bool // a new leader waits a whole lease
	expiring bool // an owner whose end is on its way is not renewed
}

type word struct {
	at    int // step at which it comes
	who   int
	ask   Ask
	asked time.Duration
	reply bool
	duty  Duty
	no    bool
}

func (w *world) clock(i int) time.Duration { return time.Duration(float64(w.now) * w.hz[i]) }
func (w *world) leader() time.Duration     { return time.Duration(float64(w.now) * w.leaderHz) }

// answer is what the group's leader says: what package member does, in one step.
func (w *world) answer(a Ask) (Duty, bool) {
	d := w.table.Duties[a.Duty]
	if d != nil && (a.Op == Renew || a.Op == Acquire && (d.Holder == a.Who || slices.Contains(d.Queue, a.Who))) {
		ending := d.Holder == a.Who && !w.watch.Renewed(a.Duty, d.Epoch, a.Op != Renew, w.leader())
		if !w.guards.expiring {
			ending = false
		}
		w.watch.Waits(a.Duty, a.Who, w.leader())
		return *d, ending || a.Op == Renew && (d.Holder != a.Who || d.Epoch != a.Epoch)
	}
	got, err := w.table.Apply(a)
	w.watch.Granted(got.Name, got.Epoch, w.leader())
	return got, err != nil
}

// owners are those that believe to own the duty now.
func (w *world) owners() (list []int) {
	for i, h := range w.holders {
		if _, ok := h.Owns(w.clock(i)); ok {
			list = append(list, i)
		}
	}
	return list
}

// draws are where chance comes from: rapid, which makes what it finds small, or a seed.
type draws func(least, most int, what string) int

func play(draw draws, g guards) (err error) {
	terms := Terms{TTL: 300 * time.Millisecond, Drift: 0.1}
	w := &world{terms: terms, table: NewTable(1), guards: g, leaderHz: 1 + 0.1*float64(draw(-9, 9, "leader hz"))/10}
	held, waits := terms, terms
	if !g.drift {
		held.Drift = 0
		waits.Drift = 0
	}
	if !g.wait {
		waits.TTL /= 2
	}
	w.watch = NewWatch(waits)
	w.watch.Lead(0)
	for i := range 3 {
		w.holders = append(w.holders, NewHolder("d", fmt.Sprint("p", i), held))
		w.hz = append(w.hz, 1+0.1*float64(draw(-9, 9, "hz"))/10)
		w.frozen = append(w.frozen, 0)
	}
	pending := []Ask{} // ends that were proposed and not applied yet
	loss := draw(0, 60, "loss")
	slow := 30 * draw(0, 1, "slow") // steps that a word takes at most
	for step := range draw(50, 250, "steps") {
		w.now += 10 * time.Millisecond
		switch x := draw(0, 99, "event"); {
		case x < 2: // another member leads
			w.watch.Follow()
			w.watch.Lead(w.leader())
			if !g.fresh {
				w.watch.since = 0
			}
			pending = nil // lost with the one before
		case x < 5:
			i := draw(0, 2, "who")
			w.frozen[i] = step + draw(1, 60, "for")
		case x < 6:
			if d := w.table.Duties["d"]; d != nil && len(d.Queue) > 0 {
				w.table.Apply(Ask{Op: Hand, Duty: "d", Who: d.Queue[len(d.Queue)-1]})
			}
		}
		for i, h := range w.holders {
			if w.frozen[i] > step {
				continue
			}
			if _, ok := h.Owns(w.clock(i)); ok && h.Handing() {
				h.Leave(w.clock(i), true)
			}
			a, ok := h.Next(w.clock(i))
			if ok && draw(0, 99, "lost") >= loss {
				n := 1 + draw(0, 9, "twice")/9
				for range n {
					w.flight = append(w.flight, word{at: step + draw(0, slow, "delay"), who: i, ask: a, asked: w.clock(i)})
				}
			}
		}
		var later []word
		for _, m := range w.flight {
			switch {
			case m.at > step || m.reply && w.frozen[m.who] > step:
				later = append(later, m)
			case m.reply:
				w.holders[m.who].Told(m.asked, m.ask, m.duty, m.no, w.clock(m.who))
			default:
				m.duty, m.no = w.answer(m.ask)
				m.reply, m.at = true, step+draw(0, slow/3, "back")
				later = append(later, m)
			}
		}
		w.flight = later
		for _, a := range pending {
			if d, err := w.table.Apply(a); err == nil {
				w.watch.Granted(d.Name, d.Epoch, w.leader())
			}
		}
		pending = w.watch.Due(w.table, w.leader())
		if d := w.table.Duties["d"]; d != nil {
			if d.Epoch < w.lastEpoch {
				return fmt.Errorf("epoch %v after %v", d.Epoch, w.lastEpoch)
			}
			w.lastEpoch = d.Epoch
		}
		if o := w.owners(); len(o) > 1 {
			return fmt.Errorf("%v own it at once", o)
		}
	}
	return nil
}

var all = guards{true, true, true, true}

func TestOneOwner(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 18))
		if err := play(func(least, most int, _ string) int { return least + rng.IntN(most-least+1) }, all); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(least, most int, what string) int { return rapid.IntRange(least, most).Draw(t, what) }
		if err := play(draw, all); err != nil {
			t.Fatal(err)
		}
	})
}

// Each guard that is left out is found out within the same number of plays.
func TestOneOwnerFinds(t *testing.T) {
	for name, g := range map[string]guards{
		"the holder counts the whole lease": {false, true, true, true},
		"the leader waits half of it":       {true, false, true, true},
		"a new leader does not wait":        {true, true, false, true},
		"one whose end is coming goes on":   {true, true, true, false},
	} {
		found, plays := errors.New("not found"), 0
		for seed := range 20000 {
			plays++
			rng := rand.New(rand.NewPCG(uint64(seed), 18))
			if play(func(least, most int, _ string) int { return least + rng.IntN(most-least+1) }, g) != nil {
				found = nil
			}
			if found == nil {
				break
			}
		}
		if found != nil {
			t.Errorf("%s: %v", name, found)
		}
		t.Logf("%s: found by play %d", name, plays)
	}
}

// The table: who waits is served in order, a hand-over goes before it, what is stale is refused by name, and a raise of the
// epoch ends the ownership of whoever had a lower one.
func TestTable(t *testing.T) {
	x := NewTable(2)
	do := func(op Op, who string, e Epoch) (Duty, error) {
		return x.Apply(Ask{Op: op, Duty: "d", Who: who, Epoch: e})
	}
	for _, who := range []string{"a", "b", "c", "a"} {
		do(Acquire, who, 0)
	}
	if d, err := do(Release, "b", First(2)+1); !errors.Is(err, ErrStale) || d.Holder != "a" {
		t.Errorf("%+v, %v", d, err)
	}
	do(Hand, "c", 0)
	if d, err := do(Release, "a", First(2)+1); err != nil || d.Holder != "c" || d.Epoch != First(2)+2 || d.Next != "" {
		t.Errorf("%+v, %v", d, err)
	}
	if _, err := do(Expire, "", First(2)+1); err == nil || err.Error() != "stale epoch 2.1 of d: it has had 2.2" {
		t.Error(err)
	}
	if d, err := do(Raise, "", First(3)); err != nil || d.Holder != "b" || d.Epoch != First(3)+1 {
		t.Errorf("%+v, %v", d, err)
	}
	if x.Owns("d", "c", First(2)+2) == nil || x.Owns("d", "b", First(3)+1) != nil {
		t.Error("who owns it")
	}
	do(Acquire, "e", 0)
	if d, _ := do(Forget, "e", 0); len(d.Queue) != 0 {
		t.Errorf("%+v", d)
	}
	if _, err := do("nonsense", "", 0); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	if _, err := do(Hand, "nobody", 0); err == nil {
		t.Error("handed to one that does not wait")
	}
}
