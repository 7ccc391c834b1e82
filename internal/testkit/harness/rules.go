package harness

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ActivePeriod is a period in which a process could begin exclusive work under one version of a document, according to its log. From and To are
// times of day. If the period lasted until the end of the log, To is that end.
type ActivePeriod struct {
	Process, Version string
	From, To         time.Duration
}

var (
	activeLine  = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: active: (\w+) (\S+)`)
	stoppedLine = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: nothing that is exclusive begins: \w+, since (\S+) ago`)
	resumedLine = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: exclusive work goes on`)
)

// timeOf returns the time of day of a log line, plus 24 hours if the line was logged after midnight and the log began before it.
func timeOf(m []string, logStart time.Duration) time.Duration {
	// Not Sscan, which parses 08 as an octal number.
	h, _ := strconv.Atoi(m[1])
	min, _ := strconv.Atoi(m[2])
	sec, _ := time.ParseDuration(m[3] + "s")
	at := time.Duration(h)*time.Hour + time.Duration(min)*time.Minute + sec
	if at < logStart-time.Hour {
		at += 24 * time.Hour
	}
	return at
}

// ActivePeriodsOf returns the periods in which a process could begin exclusive work under each version of a document, as read from its log.
func ActivePeriodsOf(name string, p *Process, doc string) []ActivePeriod {
	return ParseActivePeriods(name, p.Log(), doc, TimeOfDay(p.LastActiveAt()))
}

// ParseActivePeriods is ActivePeriodsOf for the text of a log that ends at the given time of day.
func ParseActivePeriods(name, log, doc string, end time.Duration) (list []ActivePeriod) {
	var current *ActivePeriod
	version, active := "", false
	logStart := time.Duration(-1)
	update := func(at time.Duration, newVersion string, nowActive bool) {
		if current != nil && (newVersion != version || !nowActive) {
			current.To = max(current.From, at)
			list = append(list, *current)
			current = nil
		}
		version, active = newVersion, nowActive
		if current == nil && active && version != "" {
			current = &ActivePeriod{Process: name, Version: version, From: at}
		}
	}
	at := func(m []string) time.Duration {
		t := timeOf(m, logStart)
		if logStart < 0 {
			logStart = t
		}
		return t
	}
	for _, line := range strings.Split(log, "\n") {
		if m := activeLine.FindStringSubmatch(line); m != nil && m[4] == doc {
			update(at(m), m[5], active)
		} else if m := stoppedLine.FindStringSubmatch(line); m != nil {
			ago, _ := time.ParseDuration(m[4])
			update(at(m)-ago, version, false)
		} else if m := resumedLine.FindStringSubmatch(line); m != nil {
			update(at(m), version, true)
		}
	}
	if end < logStart {
		end += 24 * time.Hour // past midnight
	}
	if current != nil {
		current.To = end
		list = append(list, *current)
	}
	return list
}

// Overlap returns the longest time in which two processes could begin exclusive work under different versions, and a description of the two
// periods.
func Overlap(list []ActivePeriod) (longest time.Duration, periods string) {
	return OverlapOf(list, func(a, b string) bool { return a != b })
}

// OverlapOf is Overlap for a document whose versions conflict only if exclude returns true for them.
func OverlapOf(list []ActivePeriod, exclude func(a, b string) bool) (longest time.Duration, periods string) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			if d := min(a.To, b.To) - max(a.From, b.From); d > longest && exclude(a.Version, b.Version) {
				longest, periods = d, fmt.Sprintf("%+v and %+v", a, b)
			}
		}
	}
	return longest, periods
}

// Versions returns the distinct versions in a list of periods.
func Versions(list []ActivePeriod) (versions []string) {
	for _, a := range list {
		if !slices.Contains(versions, a.Version) {
			versions = append(versions, a.Version)
		}
	}
	return versions
}

// TimeOfDay returns the time of day of t in UTC, which is how ParseActivePeriods counts times.
func TimeOfDay(t time.Time) time.Duration {
	t = t.UTC()
	return t.Sub(time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC))
}
