package harness

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Acted is a stretch in which a process could begin what is exclusive, by a version of a document, as its log says. From and To
// are times of day; To is the end of the log where it went on until then.
type Acted struct {
	Process, Version string
	From, To         time.Duration
}

var (
	acts   = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: active: (\w+) (\S+)`)
	stops  = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: nothing that is exclusive begins: \w+, since (\S+) ago`)
	goesOn = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: exclusive work goes on`)
)

// timeOf is the time of day of a line, past midnight a day later where the log began before.
func timeOf(m []string, began time.Duration) time.Duration {
	// Not Sscan: it takes 08 for a number to the base of 8.
	h, _ := strconv.Atoi(m[1])
	min, _ := strconv.Atoi(m[2])
	sec, _ := time.ParseDuration(m[3] + "s")
	at := time.Duration(h)*time.Hour + time.Duration(min)*time.Minute + sec
	if at < began-time.Hour {
		at += 24 * time.Hour
	}
	return at
}

// ActsOf reads from its log when a process could begin what is exclusive, by which version of a document.
func ActsOf(name string, p *Process, doc string) []Acted {
	return Acts(name, p.Log(), doc, DayTime(p.Until()))
}

// Acts is ActsOf for a log that ends at a time of day.
func Acts(name, log, doc string, end time.Duration) (list []Acted) {
	var now *Acted
	version, on := "", false
	began := time.Duration(-1)
	turn := func(at time.Duration, to string, goes bool) {
		if now != nil && (to != version || !goes) {
			now.To = max(now.From, at)
			list = append(list, *now)
			now = nil
		}
		version, on = to, goes
		if now == nil && on && version != "" {
			now = &Acted{Process: name, Version: version, From: at}
		}
	}
	at := func(m []string) time.Duration {
		t := timeOf(m, began)
		if began < 0 {
			began = t
		}
		return t
	}
	for _, line := range strings.Split(log, "\n") {
		if m := acts.FindStringSubmatch(line); m != nil && m[4] == doc {
			turn(at(m), m[5], on)
		} else if m := stops.FindStringSubmatch(line); m != nil {
			ago, _ := time.ParseDuration(m[4])
			turn(at(m)-ago, version, false)
		} else if m := goesOn.FindStringSubmatch(line); m != nil {
			turn(at(m), version, true)
		}
	}
	if end < began {
		end += 24 * time.Hour // past midnight
	}
	if now != nil {
		now.To = end
		list = append(list, *now)
	}
	return list
}

// Overlap is the longest time in which two processes could begin what is exclusive by different versions, and who they were.
func Overlap(list []Acted) (longest time.Duration, what string) {
	return OverlapOf(list, func(a, b string) bool { return a != b })
}

// OverlapOf is Overlap for a document of which not all versions exclude each other.
func OverlapOf(list []Acted, exclude func(a, b string) bool) (longest time.Duration, what string) {
	for i, a := range list {
		for _, b := range list[i+1:] {
			if d := min(a.To, b.To) - max(a.From, b.From); d > longest && exclude(a.Version, b.Version) {
				longest, what = d, fmt.Sprintf("%+v and %+v", a, b)
			}
		}
	}
	return longest, what
}

// Versions are those that were acted on, in no order, each once.
func Versions(list []Acted) (all []string) {
	for _, a := range list {
		if !slices.Contains(all, a.Version) {
			all = append(all, a.Version)
		}
	}
	return all
}

// DayTime is a moment as Acts counts.
func DayTime(t time.Time) time.Duration {
	t = t.UTC()
	return t.Sub(time.Date(t.Year(), t.Month(), t.Day(), 0, 0, 0, 0, time.UTC))
}
