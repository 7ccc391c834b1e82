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
type executionTable map[string]Execution

func (k executionTable) Find(key string, _ int64) (Execution, bool) { f, ok := k[key]; return f, ok }
func (k executionTable) Apply(f Execution)                          { f.Remote = true; k[f.Key] = f }
func (k executionTable) Forget(key string) {
	if k[key].Remote {
		delete(k, key)
	}
}

func (k executionTable) Local() (list []Execution) {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		if f := k[key]; !f.Remote {
			list = append(list, f)
		}
	}
	return list
}

func (k executionTable) PeerLost(mayHaveRun func(f Execution) bool) {
	for key, f := range k {
		if f.Remote && f.Stage < Succeeded {
			if f.Stage = Failed; mayHaveRun(f) {
				k[key] = f
			} else {
				delete(k, key)
			}
		}
	}
}

func (k executionTable) Retain(listed func(key string) bool) {
	for key, f := range k {
		if f.Remote && f.Stage < Succeeded && !listed(key) {
			delete(k, key)
		}
	}
}

// Every message and answer of two processes in random takeovers, with links that break and processes that die, is held by a digest
// that was taken before the code was renamed.
func TestCoordinatorsDecideAsBefore(t *testing.T) {
	h := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 30))
		var sides [2]*Coordinator
		var runs [2]executionTable
		var way [2][]Message // to each
		linked := false
		now := int64(0)
		born := func(i int) {
			runs[i] = executionTable{}
			sides[i] = New(runs[i])
			sides[i].SlotTaken(now+1, i)
		}
		say := func(i int) {
			s := sides[i]
			fx := s.TakeEffects()
			out := "-"
			if fx.Evacuated != nil {
				out = fmt.Sprint(*fx.Evacuated)
			}
			fmt.Fprintln(h, i, s.Role(), s.MayServe(), s.HasPeer(), s.SuccessorReady(), s.UnknownUntil(), s.PeerStartedAt(), s.Marks(), fx.Changed, out, fx.ClearMark, fx.Marks)
			for _, m := range fx.Send {
				fmt.Fprintln(h, " ", m)
				way[1-i] = append(way[1-i], m)
			}
		}
		cut := func(unread bool) {
			linked, way = false, [2][]Message{}
			for i := range sides {
				sides[i].LinkDown(unread)
				say(i)
			}
		}
		born(0)
		sides[0].PeerAbsent(false, now)
		say(0)
		born(1)
		sides[1].PeerPresent()
		for range 400 {
			now += int64(rng.IntN(5))
			i := rng.IntN(2)
			s := sides[i]
			key := fmt.Sprint("k", rng.IntN(12))
			f := Execution{Key: key, ID: fmt.Sprint(i, now), Fingerprint: 7, ReceivedAt: now, ExpiresAt: now + 50, Window: time.Second}
			switch rng.IntN(14) {
			case 0:
				if !linked {
					linked = true
					sides[0].LinkUp()
					sides[1].LinkUp()
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
					sides[other].LinkDown(rng.IntN(2) == 0)
				}
				sides[other].PeerAbsent(rng.IntN(2) == 0, now)
				say(other)
				born(i)
				sides[other].PeerPresent()
				s = sides[i]
				s.PeerPresent()
			case 3:
				s.SetEvacuated(rng.IntN(2) == 0)
			case 4:
				s.SetReady(rng.IntN(2) == 0)
			case 5, 6:
				s.BeginClaim(key)
				v := s.CheckClaim(f)
				fmt.Fprintln(h, "ask", i, key, v)
				if _, known := runs[i].Find(key, now); v == Granted && !known {
					runs[i][key] = f
				} else if rng.IntN(3) == 0 {
					s.EndClaim(key, now)
				}
			case 7, 8, 9:
				own := runs[i].Local()
				if len(own) == 0 {
					continue
				}
				f := own[rng.IntN(len(own))]
				switch {
				case f.Stage == Queued && rng.IntN(4) == 0:
					delete(runs[i], f.Key)
					s.RequestDropped(f.Key)
					s.EndClaim(f.Key, now)
				case f.Stage == Queued:
					f.Stage = Running
					runs[i][f.Key] = f
					n := s.RunStarts(f)
					fmt.Fprintln(h, "starts", i, f.Key, n)
					if n == NoticeByLink && rng.IntN(9) == 0 {
						s.NoticeLost()
					}
				case f.Stage == Running:
					f.Stage, f.Result = Succeeded, []byte("result")
					runs[i][f.Key] = f
					s.RunEnded(f)
					s.EndClaim(f.Key, now)
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
					clear, marks := s.TakeClearMark()
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
