package controller

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// HealthReport is the view that one router has of the servers.
type HealthReport struct {
	Router      string
	RequestedAt time.Duration   // when the report was requested, by the holder's clock
	Dead        map[string]bool // by server; false: alive, or not known to be dead
}

// Verdict is the monitor's conclusion on a server. Its text is part of log events, as in "monitor.partly".
type Verdict string

// Verdicts on a server.
const (
	Alive           Verdict = "alive"
	PartlyReachable Verdict = "partly" // some of the fresh reports say dead
	Unknown         Verdict = "unsure" // too few routers have a fresh report
	Suspected       Verdict = "dying"  // all fresh reports have said dead for less than DeadAfter
	Dead            Verdict = "dead"
)

// minReportingRouters is the minimum number of fresh reports for a verdict, even if fewer are a majority. A single router can't
// distinguish a dead server from a failure of its own link.
const minReportingRouters = 2

// Monitor decides from the reports of the routers which servers are dead. Its times count on the holder's own monotonic clock.
//
// A server is dead if both hold: a majority of all routers, and at least minReportingRouters, have reported within MaxReportAge; and
// all of these reports have said dead for DeadAfter without interruption. A missing report never counts against a server.
type Monitor struct {
	Routers      []string      // names of all routers
	DeadAfter    time.Duration // setting gone_after_ms
	MaxReportAge time.Duration // an older report is ignored

	latest    map[string]HealthReport  // by router
	deadSince map[string]time.Duration // by server: since when all fresh reports have said dead
}

// AddReport stores a report and replaces the earlier one of the same router.
func (m *Monitor) AddReport(r HealthReport) {
	if m.latest == nil {
		m.latest, m.deadSince = map[string]HealthReport{}, map[string]time.Duration{}
	}
	m.latest[r.Router] = r
}

// Verdicts returns the verdict on each of the servers at time now.
func (m *Monitor) Verdicts(servers []string, now time.Duration) map[string]Verdict {
	var fresh []HealthReport
	for _, router := range m.Routers {
		if r, ok := m.latest[router]; ok && now-r.RequestedAt <= m.MaxReportAge {
			fresh = append(fresh, r)
		}
	}
	enoughReports := len(fresh) >= max(minReportingRouters, len(m.Routers)/2+1)
	verdicts := map[string]Verdict{}
	for _, server := range servers {
		dead := 0
		for _, r := range fresh {
			if r.Dead[server] {
				dead++
			}
		}
		if dead == 0 || dead < len(fresh) || !enoughReports {
			delete(m.deadSince, server)
		}
		switch {
		case !enoughReports:
			verdicts[server] = Unknown
		case dead == 0:
			verdicts[server] = Alive
		case dead < len(fresh):
			verdicts[server] = PartlyReachable
		default:
			verdicts[server] = m.unanimousVerdict(server, now)
		}
	}
	return verdicts
}

// unanimousVerdict returns the verdict on a server that all fresh reports call dead: Suspected, and Dead after DeadAfter.
func (m *Monitor) unanimousVerdict(server string, now time.Duration) Verdict {
	since, ok := m.deadSince[server]
	if !ok {
		since = now
		m.deadSince[server] = now
	}
	if now-since >= m.DeadAfter {
		return Dead
	}
	return Suspected
}

// RemovalRequest returns the request to Placement to remove a dead server; ok is false for any other verdict. The ID depends only on the
// server and the version of the map, so that the requests of successive holders are queued once.
func RemovalRequest(server string, version int, v Verdict, deadAfter time.Duration) (id string, removal ServerRemoval, ok bool) {
	if v != Dead {
		return "", ServerRemoval{}, false
	}
	return fmt.Sprintf("gone-%s-%d", server, version), ServerRemoval{server, fmt.Sprintf("all routers that report have said dead for %v", deadAfter)}, true
}

// SortedServers returns the servers of verdicts sorted by name, for a stable order of log lines.
func SortedServers(verdicts map[string]Verdict) []string {
	return slices.Sorted(maps.Keys(verdicts))
}
