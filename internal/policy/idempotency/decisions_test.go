package idempotency

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Every answer of the ledger for random hours is held by a digest that was taken before its code was renamed: what begins, what is
// refused and for how long, what is swept, how long a commit waits for others.
func TestLedgerDecidesAsBefore(t *testing.T) {
	h := sha256.New()
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 30))
		l := NewLedger(Limits{Bytes: 20000, ResultReserve: 512, GroupCommitDelay: 2 * time.Millisecond, RetryAfter: time.Second})
		now := time.Minute
		fmt.Fprintln(h, l.CanExecute(now, time.Second))
		l.ExpectRecords(3)
		for i := range 3 {
			r, matters := Record{Seq: uint64(i + 4), State: []State{Running, Completed, Moved}[i], Key: "loaded", ExpiresAt: time.Duration(i) * time.Hour,
				Result: []byte("result")}.Recover(time.Second, now)
			if fmt.Fprintln(h, r, matters); matters {
				l.Load(&r)
			}
		}
		l.LoadFinished(now, now+20*time.Second)
		var live []uint64
		for range 4000 {
			now += time.Duration(rng.IntN(40)) * time.Millisecond
			switch rng.IntN(12) {
			case 0, 1, 2:
				r := Record{Key: fmt.Sprint(rng.IntN(1 << 20)), ID: "id", ExpiresAt: now + time.Duration(rng.IntN(9000))*time.Millisecond}
				v := l.Admit(&r, now, time.Duration(rng.IntN(4000))*time.Millisecond)
				if fmt.Fprintln(h, v, r); v.Action == Execute {
					live = append(live, r.Seq)
					l.ChangeQueued(now)
				}
			case 3:
				r := Record{Key: "moved", ExpiresAt: now + time.Duration(rng.IntN(5000))*time.Millisecond}
				fmt.Fprintln(h, l.AdmitMoved(&r, now), r)
			case 4, 5, 6:
				if len(live) == 0 {
					continue
				}
				i := rng.IntN(len(live))
				switch seq := live[i]; rng.IntN(5) {
				case 0:
					fmt.Fprintln(h, l.Withdraw(seq))
				case 1:
					fmt.Fprintln(h, l.Finish(seq, Failed, 0))
				default:
					fmt.Fprintln(h, l.IntentDurable(seq), l.Finish(seq, Completed, rng.IntN(900)))
				}
				live = append(live[:i], live[i+1:]...)
			case 7:
				took := time.Duration(rng.IntN(60)) * time.Millisecond
				if rng.IntN(20) == 0 {
					took *= 20
				}
				l.Committed(now, took)
			case 8:
				if rng.IntN(20) == 0 {
					fmt.Fprintln(h, l.WriteFailed(), l.CanExecute(now, time.Second))
					if rng.IntN(2) == 0 {
						l.Rewritten()
					}
				} else if rng.IntN(3) == 0 {
					l.Rewritten()
				}
			case 9:
				fmt.Fprintln(h, l.Expire(now, 1+rng.IntN(20)))
			case 10:
				fmt.Fprintln(h, l.BecameComplete(now), l.CommitDelay(now), l.CommitTime(now), l.ShouldCompact(int64(rng.IntN(60000))))
			default:
				fmt.Fprintln(h, l.Snapshot(now), l.CanExecute(now, time.Duration(rng.IntN(2000))*time.Millisecond))
			}
		}
		l.Close()
		fmt.Fprintln(h, l.Snapshot(now), l.CanExecute(now, time.Second))
	}
	if got, want := fmt.Sprintf("%x", h.Sum(nil)[:8]), "cdee0b845b65a2bf"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
