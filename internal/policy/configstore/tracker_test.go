package configstore

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests take the same course every time.
func init() {
	for name, value := range map[string]string{"rapid.seed": "19", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var terms = Terms{Lease: time.Second, ClockSkew: 100 * time.Millisecond, ClockDrift: 0.05, ProbeInterval: 100 * time.Millisecond,
	ProbeTimeout: 50 * time.Millisecond, OverlapWindow: 3 * time.Second}

func TestID(t *testing.T) {
	id := NewID(7, []byte("a"))
	if got, ok := ParseID(id.String()); !ok || got != id || NewID(7, []byte("b")) == id {
		t.Errorf("%v, %v, %v", id, got, ok)
	}
	for _, bad := range []string{"", "7", "7.", "7.12", "0.0000000000000001", "x.0000000000000001", "7.000000000000000g", "-1.0000000000000001"} {
		if _, ok := ParseID(bad); ok {
			t.Errorf("%q is taken for an ID", bad)
		}
	}
}

// What a process hears in any order: nothing is held back within a lease; a newer version ends an older one after it; two that
// differ end both, and the version after them waits until what they began can't come again. It is compared with all that was
// said, kept whole.
func TestVersionTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type word struct {
			at time.Duration
			id ID
		}
		var said []word
		var s VersionTracker
		s.ExtendTerms(terms)
		now := time.Duration(0)
		for range rapid.IntRange(1, 25).Draw(t, "words") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id := ID{rapid.IntRange(1, 4).Draw(t, "version"), uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 2}).Draw(t, "digest"))}
			known := false
			for _, w := range said {
				known = known || w.id == id
			}
			s.Observe(now, id, "r")
			if !known {
				said = append(said, word{now, id})
			}
			for v := 1; v <= 4; v++ {
				for d := uint64(1); d <= 2; d++ {
					of := ID{v, d}
					top, differ := 0, map[int]time.Duration{}
					first := map[int]time.Duration{}
					for _, w := range said {
						top = max(top, w.id.Version)
						if _, ok := first[w.id.Version]; !ok {
							first[w.id.Version] = w.at
						} else {
							differ[w.id.Version] = w.at
						}
					}
					want := VerdictValid
					for n, at := range first {
						if n > v && now-at > onSlowClock(terms.Lease, terms.ClockDrift) {
							want = VerdictOutdated
						}
					}
					for _, at := range differ {
						if now < at+terms.DetectionBound()+terms.OverlapWindow {
							want = VerdictSettling
						}
					}
					if _, bad := differ[top]; bad && v <= top {
						want = VerdictConflicting
					}
					if got := s.Check(now, of); got != want {
						t.Fatalf("%v at %v after %v: %v, want %v", of, now, said, got, want)
					}
				}
			}
		}
	})
}

// What comes off a wire is bounded, and the newest is what is kept.
func TestVersionTrackerIsBounded(t *testing.T) {
	var s VersionTracker
	for n := 1; n <= 1000; n++ {
		s.Observe(0, ID{n, 1}, strings.Repeat("x", 1000))
	}
	for n := 900; n > 0; n-- {
		s.Observe(0, ID{n, 2}, "old")
	}
	if top, ok := s.Newest(); !ok || top.ID.Version != 1000 || len(s.versions) > maxVersions || len(top.Source) > maxSourceName {
		t.Errorf("%v, %d versions", top, len(s.versions))
	}
	if s.Check(0, ID{1000, 1}) != VerdictValid {
		t.Error("old versions that differ hold the newest back")
	}
	if s.ObserveConflict(0, 1000, strings.Repeat("y", 1000)) != ConflictFound || s.Check(0, ID{1000, 1}) != VerdictConflicting {
		t.Error("what is told does not count")
	}
	if n, words := s.Conflict(); n != 1000 || len(words) > 4*maxSourceName {
		t.Errorf("%d, %q", n, words)
	}
}

// All orders, up to a length, in which two routers whose maps of one version differ look after two servers and send one keyed request,
// each to the home that its map names: it never runs twice. A router sends once it has looked after all its servers. Left out,
// each of the guards lets it run twice: the servers' judgement alone, the routers' alone, or that a router looks first.
func TestAllOrdersOfTwoMaps(t *testing.T) {
	for _, c := range []struct {
		name                    string
		servers, routers, looks bool
		harm                    bool
	}{
		{"all", true, true, true, false},
		{"nobody judges", false, false, true, true},
		{"routers don't look first", true, true, false, true},
	} {
		const length = 7
		found := ""
		// What to do, in a number: 0..3 router r looks after server s, 4 and 5 router r sends the keyed request.
		var walk func(done []int)
		walk = func(done []int) {
			if found != "" || len(done) == length {
				return
			}
			for next := range 6 {
				path := append(append([]int(nil), done...), next)
				if runs(path, c.servers, c.routers, c.looks) > 1 {
					found = fmt.Sprint(path)
					return
				}
				walk(path)
			}
		}
		walk(nil)
		if (found != "") != c.harm {
			t.Errorf("%s: twice by %q", c.name, found)
		}
	}
}

// runs plays an order and counts the runs of the keyed request.
func runs(path []int, serversJudge, routersJudge, look bool) (n int) {
	var servers, routers [2]VersionTracker
	var looked [2][2]bool
	var ran [2]bool
	for i, do := range path {
		now := time.Duration(i) * 10 * time.Millisecond
		id := func(r int) ID { return ID{1, uint64(r + 1)} }
		if do < 4 {
			r, s := do/2, do%2
			servers[s].Observe(now, id(r), fmt.Sprint("r", r))
			routers[r].Observe(now, id(r), "own")
			if n, words := servers[s].Conflict(); words != "" {
				routers[r].ObserveConflict(now, n, words)
			}
			if top, ok := servers[s].Newest(); ok {
				routers[r].Observe(now, top.ID, top.Source)
			}
			looked[r][s] = true
			continue
		}
		r := do - 4 // whose map has the keyed request's home at the server of its own number
		if look && (!looked[r][0] || !looked[r][1]) || routersJudge && routers[r].Check(now, id(r)) != VerdictValid || ran[r] {
			continue
		}
		servers[r].Observe(now, id(r), "try")
		if serversJudge && servers[r].Check(now, id(r)) != VerdictValid {
			continue
		}
		ran[r] = true
		n++
	}
	return n
}
