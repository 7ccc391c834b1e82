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
	way := func() time.Duration { return time.Duration(200+rng.IntN(1800)) * time.Microsecond }
	book, watch, index := configstore.NewStore(), configstore.NewProcessMonitor(s.Terms), uint64(0)
	watch.StartLeading(0)
	apply := func(c configstore.Change) error {
		index++
		_, err := book.Apply(c)
		return err
	}
	if err := apply(configstore.Change{Op: configstore.OpPropose, Doc: "d", Text: "old"}); err != nil {
		return 0, 0, err
	}
	acts := make([]uint64, s.N)
	stops := make([]time.Duration, s.N)
	silent := make([]bool, s.N)
	want, put, done, left := configstore.NewID(1, []byte("new")).Digest, time.Duration(0), time.Duration(0), 0
	for i := range s.N {
		h := configstore.NewReplica(fmt.Sprint("p", i), map[string]int{"d": 1})
		var step func()
		step = func() {
			if silent[i] {
				return
			}
			asked := now
			said := h.Report()
			after(way(), func() { // the report reaches the leader
				if !watch.Observe(h.Name, now, h.ActiveVersions(), configstore.Goodput{}, "") {
					after(way(), step)
					return
				}
				if book.HasNews(said) {
					op := configstore.OpReport
					if book.Processes[h.Name] == nil {
						op = configstore.OpRegister
					}
					_ = apply(configstore.Change{Op: op, Process: &said})
				}
				d, at := book.Documents["d"], index
				v := configstore.View{Active: d.Active, Proposed: d.Proposed, Stage: d.Stage}
				after(way(), func() { // the answer reaches the process
					for _, t := range h.Receive(asked, at, s.Terms, map[string]configstore.View{"d": v}, func(string, string) error { return nil }) {
						acts[i] = t.Revision.ID.Digest
						if acts[i] == want {
							if left--; left == 0 && !silent[i] {
								done = now
							}
						}
					}
					if h.IsQuiesced() && stops[i] == 0 {
						stops[i] = now
					} else if !h.IsQuiesced() && stops[i] > 0 {
						stopped = max(stopped, now-stops[i])
						stops[i] = 0
					}
					after(max(10*time.Millisecond, h.PollInterval()), step)
				})
			})
		}
		after(time.Duration(rng.Int64N(int64(s.Terms.TTL/3))), step)
	}
	var look func()
	look = func() {
		for _, c := range watch.Proposals(book, now) {
			_ = apply(c)
			if c.Op == configstore.OpExpire {
				watch.Unregistered(c.Author)
			}
		}
		after(20*time.Millisecond, look)
	}
	look()
	after(5*s.Terms.TTL, func() {
		for i := range s.Silent {
			silent[i] = true
		}
		put, left = now, s.N-s.Silent
		if e := apply(configstore.Change{Op: configstore.OpPropose, Doc: "d", Version: 1, Text: "new", Exclusive: exclusive}); e != nil {
			err = e
		}
	})
	for len(events) > 0 && done == 0 && now < 60*time.Second && err == nil {
		e := events[0]
		events = events[1:]
		now = e.at
		e.do()
	}
	if done == 0 && err == nil {
		err = fmt.Errorf("%+v, seed %d: the change is not in force in all processes within a minute", s, seed)
	}
	return done - put, stopped, err
}

// rulesTime measures how long a change takes until it is in force in all processes.
func rulesTime(b *testing.B) {
	fmt.Println("\n| processes | silent | change | p50 | longest | sheets stopped for, longest |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, n := range []int{12, 100, 300} {
		for _, silent := range []int{0, 1, n / 10} {
			for _, exclusive := range []bool{false, true} {
				var all []time.Duration
				longest := time.Duration(0)
				for seed := range uint64(20) {
					took, stopped, err := RulesSim{rulesTerms, n, silent}.InForce(seed, exclusive)
					if err != nil {
						b.Error(err)
						continue
					}
					all, longest = append(all, took), max(longest, stopped)
				}
				if len(all) == 0 {
					continue
				}
				slices.Sort(all)
				kind := map[bool]string{false: "free", true: "exclusive"}[exclusive]
				fmt.Printf("| %d | %d | %s | %v | %v | %v |\n", n, silent, kind, all[len(all)/2].Round(time.Millisecond), all[len(all)-1].Round(time.Millisecond),
					longest.Round(time.Millisecond))
			}
		}
	}
}
