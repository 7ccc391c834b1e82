package interpreter

import (
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/settings"
)

// commandNames are the commands that an ERROR may name. What comes off a wire is not bounded, counters are: all else counts as "other".
var commandNames = []string{commandConnect, commandApply, commandResolve, commandTop}

// outcomeOf has the outcome of a run by the "state" of its end.
var outcomeOf = map[string]silverpath.Outcome{
	"PASS": silverpath.OK, "FAIL": silverpath.Failed, "KILLED": silverpath.Canceled, "NOOP": silverpath.NotStarted,
}

// handleNotice takes one notice. One that a former link has brought already is passed over by its number. An error ends the link.
func (l *Link) handleNotice(conn net.Conn, v *fastjson.Value) error {
	kind, id := string(v.GetStringBytes("type")), string(v.GetStringBytes("job"))
	if v.Exists("n") && kind != noticeBanner && !l.isNew(v.GetInt64("n")) {
		return nil
	}
	data, err := decodeData(v.GetStringBytes("data"))
	if err != nil {
		l.ended(id, silverpath.Failed, 0, nil) // its number is passed, so that it comes no more
		return fmt.Errorf("%s: data: %w", kind, err)
	}
	switch kind {
	case noticeBanner:
		return l.handleBanner(conn, v)
	case noticeTops:
		return l.handleTops(v)
	case noticeAwait:
		l.events.RunNeedsCall(id, data)
	case noticeValue:
		outcome, ok := outcomeOf[string(v.GetStringBytes("state"))]
		if !ok {
			l.ended(id, silverpath.Failed, 0, nil) // likewise: nobody else will tell how the run ended
			return fmt.Errorf("VALUE: state: unknown: %q", v.GetStringBytes("state"))
		}
		l.ended(id, outcome, time.Duration(v.GetFloat64("took")*float64(time.Millisecond)), data)
	case noticeError:
		l.handleError(id, string(v.GetStringBytes("state")))
	case noticeTrace:
	default:
		l.stats.Inc("interpreter", "unknown_notice")
	}
	return nil
}

// isNew reports whether a notice's number is above all that came before, and remembers it.
func (l *Link) isNew(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := n > l.lastNotice
	l.lastNotice = max(l.lastNotice, n)
	return isNew
}

// decodeData decodes what a notice brings; nil where that is nothing.
func decodeData(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	data := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(data, encoded)
	return data[:n], err
}

// handleBanner takes the interpreter's first words, and asks for a sign that all notices of before have been read.
func (l *Link) handleBanner(conn net.Conn, v *fastjson.Value) error {
	state := string(v.GetStringBytes("state"))
	events.Log(l.log, "interpreter.up", state, v.GetInt64("took"))
	ago := time.Duration(min(max(0, v.GetInt64("took")), maxTookMs)) * time.Millisecond
	l.detectRestart(ago)
	l.events.Started(state == "EMPTY", ago)
	return write(conn, jsonLine("type", commandTop, "ref", refSync))
}

// handleTops takes the gauges, and what their reference shows.
func (l *Link) handleTops(v *fastjson.Value) error {
	switch string(v.GetStringBytes("ref")) {
	case refSync:
		l.becomeLive()
		l.events.RunnerReady()
	case refRedirect:
		return errRedirected
	}
	l.readings(v.GetArray("gauges"))
	return nil
}

// handleError takes a refused command. A run whose only start was refused never ran; one that was sent on more than one link may run.
func (l *Link) handleError(id, command string) {
	if !slices.Contains(commandNames, command) {
		command = "other"
	}
	l.stats.Inc("interpreter", "error", command)
	events.Log(l.log, "interpreter.refused", command, id)
	l.mu.Lock()
	r := l.runs[id]
	l.mu.Unlock()
	if r == nil {
		return
	}
	outcome := silverpath.Failed
	if command == commandApply && !r.sentBefore {
		outcome = silverpath.NotStarted
	}
	l.ended(id, outcome, 0, nil)
}

// detectRestart is told how long ago the interpreter started. One that started after the last link broke knows no run of ours and
// numbers its notices anew: what was started on the old one may have had its effect and will have no end any more, so that it fails; to
// start it again could run an effect twice.
func (l *Link) detectRestart(ago time.Duration) {
	l.mu.Lock()
	var lost []string
	if !l.brokeAt.IsZero() && ago < time.Since(l.brokeAt) {
		l.lastNotice = 0
		l.queue = nil // replies to calls of runs that are gone
		for id, r := range l.runs {
			if r.sent {
				lost = append(lost, id)
			}
		}
	}
	l.mu.Unlock()
	if len(lost) > 0 {
		l.stats.Add(uint64(len(lost)), "interpreter", "runs_lost")
		events.Log(l.log, "interpreter.restarted", len(lost))
	}
	for _, id := range lost {
		l.ended(id, silverpath.Failed, 0, nil)
	}
}

// becomeLive makes a link live: every notice of former links has been read, so that a run without an end either goes on there, and to
// start it again does nothing, or its start was lost.
func (l *Link) becomeLive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = true
	if len(l.runs) > 0 {
		events.Log(l.log, "interpreter.link_up", len(l.runs))
	}
	replies := l.queue
	l.queue = nil
	for _, r := range l.runs {
		r.sent, r.sentBefore = true, r.sent
		l.queue = append(l.queue, command{line: r.applyLine})
	}
	l.queue = append(l.queue, replies...)
	l.enqueue(command{line: jsonLine("type", commandTop, "ref", refTick)})
}

// ended reports the end of a run, once.
func (l *Link) ended(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	l.mu.Lock()
	known := l.runs[id] != nil
	delete(l.runs, id)
	l.mu.Unlock()
	if known {
		l.events.RunEnded(id, o, spent, result)
	}
}

// readings reports the gauges. A reading that is no number, or too few of them, is counted and dropped.
func (l *Link) readings(values []*fastjson.Value) {
	if len(values) < len(l.gauges) {
		l.stats.Inc("interpreter", "short_gauges")
		return
	}
	numbers := make([]float64, len(values))
	for i, v := range values {
		n, err := strconv.ParseFloat(v.String(), 64)
		if err != nil || n != n || n < 0 {
			l.stats.Inc("interpreter", "bad_gauge")
			return
		}
		numbers[i] = n
	}
	l.events.Gauges(settings.Gauges(l.gauges, numbers))
}
