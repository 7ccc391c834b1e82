package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Report is what one router says of the servers.
type Report struct {
	Router string
	At     time.Duration   // when it was asked
	Dead   map[string]bool // by server: dead, else alive or not known to be dead
}

// Verdict is what the watcher takes a server to be.
type Verdict string

const (
	Alive       Verdict = "alive"
	PartlyAlive Verdict = "partly" // only some routers can't reach it
	Unsure      Verdict = "unsure" // too few routers have said anything of late
	Dying       Verdict = "dying"  // all who say anything say dead, for less than the time that it takes
	Dead        Verdict = "dead"
)

// Watcher decides, from what several routers report, which servers are gone. Its times are the owner's own clock's.
type Watcher struct {
	Routers []string      // all that there are
	After   time.Duration // all have to have said dead for so long
	Fresh   time.Duration // an older report says nothing
	last    map[string]Report
	since   map[string]time.Duration // by server: since all who report have said dead
}

// Told takes a report.
func (w *Watcher) Told(r Report) {
	if w.last == nil {
		w.last, w.since = map[string]Report{}, map[string]time.Duration{}
	}
	w.last[r.Router] = r
}

// Verdicts are what the servers are taken to be now. A server is dead only where a majority of all routers, two at least,
// report, and all who report say so.
func (w *Watcher) Verdicts(servers []string, now time.Duration) map[string]Verdict {
	fresh := 0
	for _, r := range w.Routers {
		if l, ok := w.last[r]; ok && now-l.At <= w.Fresh {
			fresh++
		}
	}
	enough := fresh >= max(2, len(w.Routers)/2+1)
	out := map[string]Verdict{}
	for _, s := range servers {
		dead := 0
		for _, r := range w.Routers {
			if l, ok := w.last[r]; ok && now-l.At <= w.Fresh && l.Dead[s] {
				dead++
			}
		}
		if dead == 0 || dead < fresh || !enough {
			delete(w.since, s)
		}
		switch {
		case !enough:
			out[s] = Unsure
		case dead == 0:
			out[s] = Alive
		case dead < fresh:
			out[s] = PartlyAlive
		default:
			if _, ok := w.since[s]; !ok {
				w.since[s] = now
			}
			if out[s] = Dying; now-w.since[s] >= w.After {
				out[s] = Dead
			}
		}
	}
	return out
}

// Request is the request to the keeper that a verdict makes: one for each server and version of the map, so that it is
// asked once whoever watches.
func Request(server string, version int, v Verdict, after time.Duration) (id string, g Gone, ok bool) {
	if v != Dead {
		return "", Gone{}, false
	}
	return fmt.Sprintf("gone-%s-%d", server, version), Gone{server, fmt.Sprintf("all routers that report have said dead for %v", after)}, true
}

// Sorted returns the servers of a verdict, for people.
func Sorted(v map[string]Verdict) []string {
	names := make([]string, 0, len(v))
	for s := range v {
		names = append(names, s)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}
