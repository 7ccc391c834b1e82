package idempotency

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A change of the code must not change the decisions of the ledger. Random sequences of events are run against it, and a digest of all
// its answers (admissions, retry delays, expired records, commit delays) is compared with that of an earlier build.
func TestLedgerDecidesAsBefore(t *testing.T) {
	digest := sha256.New()
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 30))
		l := NewLedger(Limits{Bytes: 20000, ResultReserve: 512, GroupCommitDelay: 2 * time.Millisecond, RetryAfter: time.Second})
		now := time.Minute
		fmt.Fprintln(digest, l.CanExecute(now, time.Second))
		l.ExpectRecords(3)
		for i := range 3 {
			r, current := Record{Seq: uint64(i + 4), State: []State{Running, Completed, Moved}[i], Key: "loaded", ExpiresAt: time.Duration(i) * time.Hour,
				Result: []byte("result")}.Recover(time.Second, now)
			if fmt.Fprintln(digest, r, current); current {
				l.Load(&r)
			}
		}
		l.LoadFinished(now, now+20*time.Second)
		var inProgress []uint64
		for range 4000 {
			now += time.Duration(rng.IntN(40)) * time.Millisecond
			switch rng.IntN(12) {
			case 0, 1, 2:
				r := Record{Key: fmt.Sprint(rng.IntN(1 << 20)), ID: "id", ExpiresAt: now + time.Duration(rng.IntN(9000))*time.Millisecond}
				d := l.Admit(&r, now, time.Duration(rng.IntN(4000))*time.Millisecond)
				if fmt.Fprintln(digest, d, r); d.Action == Execute {
					inProgress = append(inProgress, r.Seq)
					l.ChangeQueued(now)
				}
			case 3:
				r := Record{Key: "moved", ExpiresAt: now + time.Duration(rng.IntN(5000))*time.Millisecond}
				fmt.Fprintln(digest, l.AdmitMoved(&r, now), r)
			case 4, 5, 6:
				if len(inProgress) == 0 {
					continue
				}
				i := rng.IntN(len(inProgress))
				switch seq := inProgress[i]; rng.IntN(5) {
				case 0:
					fmt.Fprintln(digest, l.Withdraw(seq))
				case 1:
					fmt.Fprintln(digest, l.Finish(seq, Failed, 0))
				default:
					fmt.Fprintln(digest, l.IntentDurable(seq), l.Finish(seq, Completed, rng.IntN(900)))
				}
				inProgress = append(inProgress[:i], inProgress[i+1:]...)
			case 7:
				took := time.Duration(rng.IntN(60)) * time.Millisecond
				if rng.IntN(20) == 0 {
					took *= 20
				}
				l.CommitFinished(now, took)
			case 8:
				if rng.IntN(20) == 0 {
					fmt.Fprintln(digest, l.WriteFailed(), l.CanExecute(now, time.Second))
					if rng.IntN(2) == 0 {
						l.RewriteFinished()
					}
				} else if rng.IntN(3) == 0 {
					l.RewriteFinished()
				}
			case 9:
				fmt.Fprintln(digest, l.Expire(now, 1+rng.IntN(20)))
			case 10:
				fmt.Fprintln(digest, l.BecameComplete(now), l.CommitDelay(now), l.CommitTime(now), l.ShouldCompact(int64(rng.IntN(60000))))
			default:
				fmt.Fprintln(digest, l.Snapshot(now), l.CanExecute(now, time.Duration(rng.IntN(2000))*time.Millisecond))
			}
		}
		l.Close()
		fmt.Fprintln(digest, l.Snapshot(now), l.CanExecute(now, time.Second))
	}
	if got, want := fmt.Sprintf("%x", digest.Sum(nil)[:8]), "cdee0b845b65a2bf"; got != want {
		t.Errorf("digest of the decisions %s, want %s", got, want)
	}
}
