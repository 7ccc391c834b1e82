package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// HealthReport is what one router says of the servers.
type HealthReport struct {
	Router      string
	RequestedAt time.Duration   // when it was asked, by the holder's clock
	Dead        map[string]bool // by server: dead; else alive, or not known to be dead
}

// Verdict is what the monitor takes a server to be. Its text is part of log events, as in "monitor.partly".
type Verdict string

// Verdicts on a server.
const (
	Alive           Verdict = "alive"
	PartlyReachable Verdict = "partly" // only some routers can't reach it
	Unknown         Verdict = "unsure" // too few routers have reported of late
	Suspected       Verdict = "dying"  // all routers that report say dead, for less than DeadAfter
	Dead            Verdict = "dead"
)

// minReportingRouters have to report, whatever their majority is: a router alone can't tell a server that is gone from a link of its
// own that is.
const minReportingRouters = 2

// Monitor decides from what routers report which servers are gone. Its times are those of the holder's own monotonic clock.
//
// Rule. A server is dead where a majority of all routers, minReportingRouters at least, have reported within MaxReportAge, and all of
// these have said dead for DeadAfter without a break. Inputs are the routers' reports; silence of routers says nothing of servers.
type Monitor struct {
	Routers      []string      // all that there are
	DeadAfter    time.Duration // a setting, gone_after_ms
	MaxReportAge time.Duration // an older report says nothing

	latest    map[string]HealthReport  // by router
	deadSince map[string]time.Duration // by server: since when all that report have said dead
}

// AddReport takes a router's report.
func (w *Monitor) AddReport(r HealthReport) {
	if w.latest == nil {
		w.latest, w.deadSince = map[string]HealthReport{}, map[string]time.Duration{}
	}
	w.latest[r.Router] = r
}

// Verdicts returns what the servers are taken to be now.
func (w *Monitor) Verdicts(servers []string, now time.Duration) map[string]Verdict {
	var fresh []HealthReport
	for _, router := range w.Routers {
		if r, ok := w.latest[router]; ok && now-r.RequestedAt <= w.MaxReportAge {
			fresh = append(fresh, r)
		}
	}
	quorate := len(fresh) >= max(minReportingRouters, len(w.Routers)/2+1)
	verdicts := map[string]Verdict{}
	for _, server := range servers {
		dead := 0
		for _, r := range fresh {
			if r.Dead[server] {
				dead++
			}
		}
		if dead == 0 || dead < len(fresh) || !quorate {
			delete(w.deadSince, server)
		}
		switch {
		case !quorate:
			verdicts[server] = Unknown
		case dead == 0:
			verdicts[server] = Alive
		case dead < len(fresh):
			verdicts[server] = PartlyReachable
		default:
			verdicts[server] = w.unanimous(server, now)
		}
	}
	return verdicts
}

// unanimous is the verdict on a server that all routers that report say dead of.
func (w *Monitor) unanimous(server string, now time.Duration) Verdict {
	since, ok := w.deadSince[server]
	if !ok {
		since = now
		w.deadSince[server] = now
	}
	if now-since >= w.DeadAfter {
		return Dead
	}
	return Suspected
}

// GoneRequest is the request to Placement that a verdict makes; ok is false for one that makes none. There is one ID for each server
// and version of the map, so that it is queued once whoever monitors.
func GoneRequest(server string, version int, v Verdict, after time.Duration) (id string, g ServerGone, ok bool) {
	if v != Dead {
		return "", ServerGone{}, false
	}
	return fmt.Sprintf("gone-%s-%d", server, version), ServerGone{server, fmt.Sprintf("all routers that report have said dead for %v", after)}, true
}

// SortedServers returns the servers of verdicts by name, so that log lines come in one order.
func SortedServers(verdicts map[string]Verdict) []string {
	return slices.Sorted(maps.Keys(verdicts))
}
