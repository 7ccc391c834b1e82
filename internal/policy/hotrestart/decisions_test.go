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

// executionTable is an Executions in memory, with the runs of one process and those that its peer reported.
type executionTable map[string]Execution

func (t executionTable) Find(key string, _ int64) (Execution, bool) { e, ok := t[key]; return e, ok }
func (t executionTable) Apply(e Execution)                          { e.Remote = true; t[e.Key] = e }
func (t executionTable) Forget(key string) {
	if t[key].Remote {
		delete(t, key)
	}
}

func (t executionTable) Local() (list []Execution) {
	for _, key := range slices.Sorted(maps.Keys(t)) {
		if e := t[key]; !e.Remote {
			list = append(list, e)
		}
	}
	return list
}

func (t executionTable) PeerLost(mayHaveRun func(e Execution) bool) {
	for key, e := range t {
		if e.Remote && e.Stage < Succeeded {
			if e.Stage = Failed; mayHaveRun(e) {
				t[key] = e
			} else {
				delete(t, key)
			}
		}
	}
}

func (t executionTable) Retain(listed func(key string) bool) {
	for key, e := range t {
		if e.Remote && e.Stage < Succeeded && !listed(key) {
			delete(t, key)
		}
	}
}

// A changed order of messages or a changed decision of the coordinators could let two processes run the same request. The test simulates
// random takeovers of two processes, with broken links and dead processes, and compares a digest of every message and result with the
// recorded digest of an earlier version.
func TestCoordinatorsDecideAsBefore(t *testing.T) {
	h := sha256.New()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 30))
		var sides [2]*Coordinator
		var tables [2]executionTable
		var inbox [2][]Message // messages that were sent to each side and not yet received
		linked := false
		now := int64(0)
		start := func(i int) {
			tables[i] = executionTable{}
			sides[i] = New(tables[i])
			sides[i].SlotTaken(now+1, i)
		}
		recordEffects := func(i int) {
			s := sides[i]
			effects := s.TakeEffects()
			evacuated := "-"
			if effects.Evacuated != nil {
				evacuated = fmt.Sprint(*effects.Evacuated)
			}
			fmt.Fprintln(h, i, s.Role(), s.MayServe(), s.HasPeer(), s.SuccessorReady(), s.UnknownUntil(), s.PeerStartedAt(), s.Marks(), effects.Changed, evacuated, effects.ClearMark, effects.Marks)
			for _, m := range effects.Send {
				fmt.Fprintln(h, " ", m)
				inbox[1-i] = append(inbox[1-i], m)
			}
		}
		breakLink := func(mayHaveUnread bool) {
			linked, inbox = false, [2][]Message{}
			for i := range sides {
				sides[i].LinkDown(mayHaveUnread)
				recordEffects(i)
			}
		}
		start(0)
		sides[0].PeerAbsent(false, now)
		recordEffects(0)
		start(1)
		sides[1].PeerPresent()
		for range 400 {
			now += int64(rng.IntN(5))
			i := rng.IntN(2)
			s := sides[i]
			key := fmt.Sprint("k", rng.IntN(12))
			e := Execution{Key: key, ID: fmt.Sprint(i, now), Fingerprint: 7, ReceivedAt: now, ExpiresAt: now + 50, Window: time.Second}
			switch rng.IntN(14) {
			case 0:
				if !linked {
					linked = true
					sides[0].LinkUp()
					sides[1].LinkUp()
					recordEffects(0)
					recordEffects(1)
				}
			case 1:
				if linked && rng.IntN(4) == 0 {
					breakLink(rng.IntN(2) == 0)
				}
			case 2: // one process dies, and another starts in its slot
				if rng.IntN(6) > 0 {
					continue
				}
				other := 1 - i
				linked, inbox = false, [2][]Message{}
				if rng.IntN(2) == 0 {
					sides[other].LinkDown(rng.IntN(2) == 0)
				}
				sides[other].PeerAbsent(rng.IntN(2) == 0, now)
				recordEffects(other)
				start(i)
				sides[other].PeerPresent()
				s = sides[i]
				s.PeerPresent()
			case 3:
				s.SetEvacuated(rng.IntN(2) == 0)
			case 4:
				s.SetReady(rng.IntN(2) == 0)
			case 5, 6:
				s.BeginClaim(key)
				state := s.CheckClaim(e)
				fmt.Fprintln(h, "ask", i, key, state)
				if _, known := tables[i].Find(key, now); state == Granted && !known {
					tables[i][key] = e
				} else if rng.IntN(3) == 0 {
					s.EndClaim(key, now)
				}
			case 7, 8, 9:
				local := tables[i].Local()
				if len(local) == 0 {
					continue
				}
				e := local[rng.IntN(len(local))]
				switch {
				case e.Stage == Queued && rng.IntN(4) == 0:
					delete(tables[i], e.Key)
					s.RequestDropped(e.Key)
					s.EndClaim(e.Key, now)
				case e.Stage == Queued:
					e.Stage = Running
					tables[i][e.Key] = e
					notice := s.RunStarts(e)
					fmt.Fprintln(h, "starts", i, e.Key, notice)
					if notice == NoticeByLink && rng.IntN(9) == 0 {
						s.NoticeLost()
					}
				case e.Stage == Running:
					e.Stage, e.Result = Succeeded, []byte("result")
					tables[i][e.Key] = e
					s.RunEnded(e)
					s.EndClaim(e.Key, now)
				}
			default:
				if !linked || len(inbox[i]) == 0 {
					continue
				}
				m := inbox[i][0]
				inbox[i] = inbox[i][1:]
				if err := s.Receive(m, now); err != nil {
					fmt.Fprintln(h, "receive", i, err)
					breakLink(true)
					continue
				}
				if rng.IntN(4) == 0 {
					clearMark, marks := s.TakeClearMark()
					fmt.Fprintln(h, clearMark, marks)
				}
			}
			recordEffects(i)
		}
		for i := range tables {
			for _, key := range slices.Sorted(maps.Keys(tables[i])) {
				fmt.Fprintln(h, i, tables[i][key])
			}
		}
	}
	if got, want := fmt.Sprintf("%x", h.Sum(nil)[:8]), "f43dfbd2df7d52ea"; got != want {
		t.Errorf("digest of all decisions: got %s, want %s", got, want)
	}
}
