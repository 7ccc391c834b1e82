package configstore

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests use a fixed seed, so that each run tests the same cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "19", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var testTerms = Terms{Lease: time.Second, ClockSkew: 100 * time.Millisecond, ClockDrift: 0.05, ProbeInterval: 100 * time.Millisecond,
	ProbeTimeout: 50 * time.Millisecond, OverlapWindow: 3 * time.Second}

func TestID(t *testing.T) {
	id := NewID(7, []byte("a"))
	if got, ok := ParseID(id.String()); !ok || got != id || NewID(7, []byte("b")) == id {
		t.Errorf("ParseID(%v) = %v, %v", id, got, ok)
	}
	for _, bad := range []string{"", "7", "7.", "7.12", "0.0000000000000001", "x.0000000000000001", "7.000000000000000g", "-1.0000000000000001"} {
		if _, ok := ParseID(bad); ok {
			t.Errorf("ParseID accepts %q", bad)
		}
	}
}

// TestVersionTracker compares a tracker with the full list of observations, in any order. A newer version outdates an older one after a
// lease. Two different documents of a version conflict, and the next version settles until work begun under either can't be repeated.
func TestVersionTracker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type observation struct {
			at time.Duration
			id ID
		}
		var observed []observation
		var tracker VersionTracker
		now := time.Duration(0)
		tracker.ExtendTerms(now, testTerms)
		for range rapid.IntRange(1, 25).Draw(t, "observations") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			id := ID{rapid.IntRange(1, 4).Draw(t, "version"), uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 2}).Draw(t, "digest"))}
			isKnown := false
			for _, seen := range observed {
				isKnown = isKnown || seen.id == id
			}
			tracker.Observe(now, id, "r")
			if !isKnown {
				observed = append(observed, observation{now, id})
			}
			for version := 1; version <= 4; version++ {
				for digest := uint64(1); digest <= 2; digest++ {
					document := ID{version, digest}
					highest, conflictAt := 0, map[int]time.Duration{}
					firstAt := map[int]time.Duration{}
					for _, seen := range observed {
						highest = max(highest, seen.id.Version)
						if _, ok := firstAt[seen.id.Version]; !ok {
							firstAt[seen.id.Version] = seen.at
						} else {
							conflictAt[seen.id.Version] = seen.at
						}
					}
					wantVerdict := VerdictValid
					for number, at := range firstAt {
						if number > version && now-at > onSlowClock(testTerms.Lease, testTerms.ClockDrift) {
							wantVerdict = VerdictOutdated
						}
					}
					for _, at := range conflictAt {
						if now < at+testTerms.DetectionBound()+testTerms.OverlapWindow {
							wantVerdict = VerdictSettling
						}
					}
					if _, bad := conflictAt[highest]; bad && version <= highest {
						wantVerdict = VerdictConflicting
					}
					if got := tracker.Check(now, document); got != wantVerdict {
						t.Fatalf("Check of %v at %v after %v: %v, want %v", document, now, observed, got, wantVerdict)
					}
				}
			}
		}
	})
}

// Guards against work that runs twice after a conflict or an outdated map, if the overlap window grows meanwhile: a suspension in progress
// lasts for the longer window. One that has ended does not come back.
func TestSuspensionsFollowALongerWindow(t *testing.T) {
	longer := testTerms
	longer.OverlapWindow += 10 * time.Second
	const start = time.Hour
	for name, c := range map[string]struct {
		suspend func(tracker *VersionTracker)
		until   time.Duration // by testTerms
	}{
		"conflict": {func(tracker *VersionTracker) { tracker.ObserveConflict(start, 1, "a and b") }, start + testTerms.DetectionBound() + testTerms.OverlapWindow},
		"outdated": {func(tracker *VersionTracker) { tracker.SuspendAfter(start) }, start + testTerms.OverlapWindow},
		"reported": {func(tracker *VersionTracker) { tracker.Suspend(start, time.Second) }, start + time.Second},
	} {
		for _, ended := range []bool{false, true} {
			var tracker VersionTracker
			tracker.ExtendTerms(start, testTerms)
			c.suspend(&tracker)
			extendedAt, want := c.until-1, c.until+10*time.Second
			if ended {
				extendedAt, want = c.until, c.until
			}
			tracker.ExtendTerms(extendedAt, longer)
			if got := extendedAt + tracker.SuspendedFor(extendedAt); got != want {
				t.Errorf("%s, window extended at %v: suspended until %v, want %v", name, extendedAt, got, want)
			}
		}
	}
}

// The number and size of stored observations are limited, and the newest versions are kept.
func TestVersionTrackerIsBounded(t *testing.T) {
	var tracker VersionTracker
	for n := 1; n <= 1000; n++ {
		tracker.Observe(0, ID{n, 1}, strings.Repeat("x", 1000))
	}
	for n := 900; n > 0; n-- {
		tracker.Observe(0, ID{n, 2}, "old")
	}
	if newest, ok := tracker.Newest(); !ok || newest.ID.Version != 1000 || len(tracker.versions) > maxVersions || len(newest.Source) > maxSourceNameSize {
		t.Errorf("newest %v, %d versions stored, want version 1000 with a clipped source and at most maxVersions", newest, len(tracker.versions))
	}
	if tracker.Check(0, ID{1000, 1}) != VerdictValid {
		t.Error("a conflict of old versions affects the newest one")
	}
	if tracker.ObserveConflict(0, 1000, strings.Repeat("y", 1000)) != ConflictFound || tracker.Check(0, ID{1000, 1}) != VerdictConflicting {
		t.Error("a reported conflict has no effect")
	}
	if n, description := tracker.Conflict(); n != 1000 || len(description) > 4*maxSourceNameSize {
		t.Errorf("conflict of version %d: %q", n, description)
	}
}

// All orders, up to a length, in which two routers with different maps of one version probe two servers and send one keyed request, each to
// the home that its map names. The request never runs twice. A router sends only after it has probed all its servers. Without the checks of
// routers and servers, or without probing first, the request runs twice.
func TestAllOrdersOfTwoMaps(t *testing.T) {
	for _, c := range []struct {
		name                                    string
		serversCheck, routersCheck, probesFirst bool
		wantFailure                             bool
	}{
		{"all", true, true, true, false},
		{"no checks", false, false, true, true},
		{"no probing before requests", true, true, false, true},
	} {
		const length = 7
		failure := ""
		// Actions: 0 to 3: router r probes server s; 4 and 5: router r sends the keyed request.
		var explore func(prefix []int)
		explore = func(prefix []int) {
			if failure != "" || len(prefix) == length {
				return
			}
			for next := range 6 {
				path := append(append([]int(nil), prefix...), next)
				if countRuns(path, c.serversCheck, c.routersCheck, c.probesFirst) > 1 {
					failure = fmt.Sprint(path)
					return
				}
				explore(path)
			}
		}
		explore(nil)
		if (failure != "") != c.wantFailure {
			t.Errorf("%s: ran twice by order %q", c.name, failure)
		}
	}
}

// countRuns replays an order of actions and counts the runs of the keyed request.
func countRuns(path []int, serversCheck, routersCheck, probesFirst bool) (runs int) {
	var servers, routers [2]VersionTracker
	var probed [2][2]bool
	var hasRun [2]bool
	for i, action := range path {
		now := time.Duration(i) * 10 * time.Millisecond
		id := func(router int) ID { return ID{1, uint64(router + 1)} }
		if action < 4 {
			router, server := action/2, action%2
			servers[server].Observe(now, id(router), fmt.Sprint("r", router))
			routers[router].Observe(now, id(router), "own")
			if number, description := servers[server].Conflict(); description != "" {
				routers[router].ObserveConflict(now, number, description)
			}
			if newest, ok := servers[server].Newest(); ok {
				routers[router].Observe(now, newest.ID, newest.Source)
			}
			probed[router][server] = true
			continue
		}
		router := action - 4 // its map has the key's home at the server of the same number
		if probesFirst && (!probed[router][0] || !probed[router][1]) || routersCheck && routers[router].Check(now, id(router)) != VerdictValid || hasRun[router] {
			continue
		}
		servers[router].Observe(now, id(router), "try")
		if serversCheck && servers[router].Check(now, id(router)) != VerdictValid {
			continue
		}
		hasRun[router] = true
		runs++
	}
	return runs
}
