package hotrestart

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// table is the runs of one process and what it was told of the other's.
type table map[string]Flight

func (k table) Holds(key string, _ int64) (Flight, bool) { f, ok := k[key]; return f, ok }
func (k table) Put(f Flight)                             { f.Theirs = true; k[f.Key] = f }
func (k table) Drop(key string) {
	if k[key].Theirs {
		delete(k, key)
	}
}

func (k table) Own() (list []Flight) {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		if f := k[key]; !f.Theirs {
			list = append(list, f)
		}
	}
	return list
}

func (k table) Lost(mayHaveRun func(f Flight) bool) {
	for key, f := range k {
		if f.Theirs && f.Stage < Passed {
			if f.Stage = Failed; mayHaveRun(f) {
				k[key] = f
			} else {
				delete(k, key)
			}
		}
	}
}

func (k table) Keep(listed func(key string) bool) {
	for key, f := range k {
		if f.Theirs && f.Stage < Passed && !listed(key) {
			delete(k, key)
		}
	}
}

// Every message and answer of two processes in random takeovers, with links that break and processes that die, is held by a digest
// that was taken before the code was renamed.
func TestDecisionsAreAsBefore(t *testing.T) {
	h := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 30))
		var sides [2]*Side
		var runs [2]table
		var way [2][]Message // to each
		linked := false
		now := int64(0)
		born := func(i int) {
			runs[i] = table{}
			sides[i] = New(runs[i])
			sides[i].Placed(now+1, i)
		}
		say := func(i int) {
			s := sides[i]
			fx := s.Take()
			out := "-"
			if fx.Out != nil {
				out = fmt.Sprint(*fx.Out)
			}
			fmt.Fprintln(h, i, s.Role(), s.May(), s.Pair(), s.Successor(), s.Blind(), s.Peer(), s.Marks(), fx.Changed, out, fx.Clear, fx.Marks)
			for _, m := range fx.Send {
				fmt.Fprintln(h, " ", m)
				way[1-i] = append(way[1-i], m)
			}
		}
		cut := func(unread bool) {
			linked, way = false, [2][]Message{}
			for i := range sides {
				sides[i].Cut(unread)
				say(i)
			}
		}
		born(0)
		sides[0].Alone(false, now)
		say(0)
		born(1)
		sides[1].Other()
		for range 400 {
			now += int64(rng.IntN(5))
			i := rng.IntN(2)
			s := sides[i]
			key := fmt.Sprint("k", rng.IntN(12))
			f := Flight{Key: key, ID: fmt.Sprint(i, now), Sum: 7, Reached: now, Until: now + 50, Window: time.Second}
			switch rng.IntN(14) {
			case 0:
				if !linked {
					linked = true
					sides[0].Linked()
					sides[1].Linked()
					say(0)
					say(1)
				}
			case 1:
				if linked && rng.IntN(4) == 0 {
					cut(rng.IntN(2) == 0)
				}
			case 2: // one dies, and another one starts in its place
				if rng.IntN(6) > 0 {
					continue
				}
				other := 1 - i
				linked, way = false, [2][]Message{}
				if rng.IntN(2) == 0 {
					sides[other].Cut(rng.IntN(2) == 0)
				}
				sides[other].Alone(rng.IntN(2) == 0, now)
				say(other)
				born(i)
				sides[other].Other()
				s = sides[i]
				s.Other()
			case 3:
				s.Evacuated(rng.IntN(2) == 0)
			case 4:
				s.Ready(rng.IntN(2) == 0)
			case 5, 6:
				s.Want(key)
				v := s.Ask(f)
				fmt.Fprintln(h, "ask", i, key, v)
				if _, known := runs[i].Holds(key, now); v == Own && !known {
					runs[i][key] = f
				} else if rng.IntN(3) == 0 {
					s.Done(key, now)
				}
			case 7, 8, 9:
				own := runs[i].Own()
				if len(own) == 0 {
					continue
				}
				f := own[rng.IntN(len(own))]
				switch {
				case f.Stage == Held && rng.IntN(4) == 0:
					delete(runs[i], f.Key)
					s.Dropped(f.Key)
					s.Done(f.Key, now)
				case f.Stage == Held:
					f.Stage = Running
					runs[i][f.Key] = f
					n := s.Starts(f)
					fmt.Fprintln(h, "starts", i, f.Key, n)
					if n == Written && rng.IntN(9) == 0 {
						s.Unwritten()
					}
				case f.Stage == Running:
					f.Stage, f.Result = Passed, []byte("result")
					runs[i][f.Key] = f
					s.Ended(f)
					s.Done(f.Key, now)
				}
			default:
				if !linked || len(way[i]) == 0 {
					continue
				}
				m := way[i][0]
				way[i] = way[i][1:]
				if err := s.Receive(m, now); err != nil {
					fmt.Fprintln(h, "receive", i, err)
					cut(true)
					continue
				}
				if rng.IntN(4) == 0 {
					clear, marks := s.TakeClear()
					fmt.Fprintln(h, clear, marks)
				}
			}
			say(i)
		}
		for i := range runs {
			for _, key := range slices.Sorted(maps.Keys(runs[i])) {
				fmt.Fprintln(h, i, runs[i][key])
			}
		}
	}
	if got, want := fmt.Sprintf("%x", h.Sum(nil)[:8]), "f43dfbd2df7d52ea"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
