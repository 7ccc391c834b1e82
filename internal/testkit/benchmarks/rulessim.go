package benchmarks

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
)

// RulesSim simulates a group that never fails and processes that apply one document, in simulated time. A message takes 0.2 to
// 2 ms, and some of the processes send no messages.
type RulesSim struct {
	Terms  lease.Terms
	N      int
	Silent int // number of processes that send nothing from the time of the change
}

// InForce returns the time from the proposal of a change until all processes that are not silent have applied it, and the longest
// period in which one of them could begin no exclusive work. It returns an error if that takes more than a simulated minute.
func (s RulesSim) InForce(seed uint64, exclusive bool) (took, stopped time.Duration, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	type event struct {
		at time.Duration
		do func()
	}
	var events []event
	now := time.Duration(0)
	rng := rand.New(rand.NewPCG(seed, 19))
	after := func(d time.Duration, do func()) {
		e := event{now + d, do}
		i, _ := slices.BinarySearchFunc(events, e, func(a, b event) int { return int(a.at - b.at) })
		events = slices.Insert(events, i, e)
	}
	delay := func() time.Duration { return time.Duration(200+rng.IntN(1800)) * time.Microsecond }
	store, monitor, index := configstore.NewStore(), configstore.NewProcessMonitor(s.Terms), uint64(0)
	monitor.StartLeading(0)
	apply := func(c configstore.Change) error {
		index++
		_, err := store.Apply(c)
		return err
	}
	if err := apply(configstore.Change{Op: configstore.OpPropose, Doc: "d", Text: "old"}); err != nil {
		return 0, 0, err
	}
	appliedDigests := make([]uint64, s.N)
	quiescedSince := make([]time.Duration, s.N)
	silent := make([]bool, s.N)
	newDigest, proposedAt, doneAt, remaining := configstore.NewID(1, []byte("new")).Digest, time.Duration(0), time.Duration(0), 0
	for i := range s.N {
		replica := configstore.NewReplica(fmt.Sprint("p", i), map[string]int{"d": 1})
		var sendReport func()
		sendReport = func() {
			if silent[i] {
				return
			}
			sentAt := now
			report := replica.Report()
			after(delay(), func() { // the report reaches the leader
				if !monitor.Observe(replica.Name, now, replica.ActiveVersions(), configstore.Goodput{}, "") {
					after(delay(), sendReport)
					return
				}
				if store.NeedsRecording(report) {
					op := configstore.OpReport
					if store.Processes[replica.Name] == nil {
						op = configstore.OpRegister
					}
					_ = apply(configstore.Change{Op: op, Process: &report})
				}
				doc, appliedIndex := store.Documents["d"], index
				v := configstore.View{Active: doc.Active, Proposed: doc.Proposed, Stage: doc.Stage}
				after(delay(), func() { // the answer reaches the process
					for _, t := range replica.Receive(sentAt, appliedIndex, s.Terms, map[string]configstore.View{"d": v}, func(string, string) error { return nil }) {
						appliedDigests[i] = t.Revision.ID.Digest
						if appliedDigests[i] == newDigest {
							if remaining--; remaining == 0 && !silent[i] {
								doneAt = now
							}
						}
					}
					if replica.IsQuiesced() && quiescedSince[i] == 0 {
						quiescedSince[i] = now
					} else if !replica.IsQuiesced() && quiescedSince[i] > 0 {
						stopped = max(stopped, now-quiescedSince[i])
						quiescedSince[i] = 0
					}
					after(max(10*time.Millisecond, replica.PollInterval()), sendReport)
				})
			})
		}
		after(time.Duration(rng.Int64N(int64(s.Terms.TTL/3))), sendReport)
	}
	var expireProcesses func()
	expireProcesses = func() {
		for _, c := range monitor.Proposals(store, now) {
			_ = apply(c)
			if c.Op == configstore.OpExpire {
				monitor.Unregistered(c.Author)
			}
		}
		after(20*time.Millisecond, expireProcesses)
	}
	expireProcesses()
	after(5*s.Terms.TTL, func() {
		for i := range s.Silent {
			silent[i] = true
		}
		proposedAt, remaining = now, s.N-s.Silent
		if e := apply(configstore.Change{Op: configstore.OpPropose, Doc: "d", Version: 1, Text: "new", Exclusive: exclusive}); e != nil {
			err = e
		}
	})
	for len(events) > 0 && doneAt == 0 && now < 60*time.Second && err == nil {
		e := events[0]
		events = events[1:]
		now = e.at
		e.do()
	}
	if doneAt == 0 && err == nil {
		err = fmt.Errorf("%+v, seed %d: the change is not in force in all processes within a minute", s, seed)
	}
	return doneAt - proposedAt, stopped, err
}

// rulesInForce measures how long a change takes until it is in force in all processes.
func rulesInForce(b *testing.B) {
	fmt.Println("\n| processes | silent | change | p50 | longest | sheets stopped for, longest |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, n := range []int{12, 100, 300} {
		for _, silent := range []int{0, 1, n / 10} {
			for _, exclusive := range []bool{false, true} {
				var times []time.Duration
				longest := time.Duration(0)
				for seed := range uint64(20) {
					took, stopped, err := RulesSim{rulesTerms, n, silent}.InForce(seed, exclusive)
					if err != nil {
						b.Error(err)
						continue
					}
					times, longest = append(times, took), max(longest, stopped)
				}
				if len(times) == 0 {
					continue
				}
				slices.Sort(times)
				kind := map[bool]string{false: "free", true: "exclusive"}[exclusive]
				fmt.Printf("| %d | %d | %s | %v | %v | %v |\n", n, silent, kind, times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond),
					longest.Round(time.Millisecond))
			}
		}
	}
}
