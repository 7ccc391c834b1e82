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

// commandNames are the commands that an ERROR is counted under. Any other name is counted as "other", since a counter for each name that
// the network delivers would make the number of counters unbounded.
var commandNames = []string{commandConnect, commandApply, commandResolve, commandTop}

// outcomeOf maps the "state" of a VALUE to the outcome of the run.
var outcomeOf = map[string]silverpath.Outcome{
	"PASS": silverpath.OK, "FAIL": silverpath.Failed, "KILLED": silverpath.Canceled, "NOOP": silverpath.NotStarted,
}

// handleNotice handles one notice. It ignores a notice whose number shows that an earlier link has delivered it. An error closes the link.
func (l *Link) handleNotice(conn net.Conn, v *fastjson.Value) error {
	kind, id := string(v.GetStringBytes("type")), string(v.GetStringBytes("job"))
	if v.Exists("n") && kind != noticeBanner && !l.isNew(v.GetInt64("n")) {
		return nil
	}
	data, err := decodeData(v.GetStringBytes("data"))
	if err != nil {
		l.reportEnd(id, silverpath.Failed, 0, nil) // the interpreter does not resend this notice, as its number has been read
		return fmt.Errorf("%s: malformed data: %w", kind, err)
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
			l.reportEnd(id, silverpath.Failed, 0, nil) // likewise: no other notice reports the end of the run
			return fmt.Errorf("VALUE: unknown state %q", v.GetStringBytes("state"))
		}
		l.reportEnd(id, outcome, time.Duration(v.GetFloat64("took")*float64(time.Millisecond)), data)
	case noticeError:
		l.handleError(id, string(v.GetStringBytes("state")))
	case noticeTrace:
	default:
		l.stats.Inc("interpreter", "unknown_notice")
	}
	return nil
}

// isNew reports whether a notice's number is higher than that of every earlier notice, and records it.
func (l *Link) isNew(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newer := n > l.lastNotice
	l.lastNotice = max(l.lastNotice, n)
	return newer
}

// decodeData decodes the base64 data of a notice. It returns nil if there is none.
func decodeData(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, nil
	}
	data := make([]byte, base64.StdEncoding.DecodedLen(len(encoded)))
	n, err := base64.StdEncoding.Decode(data, encoded)
	return data[:n], err
}

// handleBanner handles the first notice of a link. It sends a TOP whose answer shows that all notices from before this link have been read.
func (l *Link) handleBanner(conn net.Conn, v *fastjson.Value) error {
	state := string(v.GetStringBytes("state"))
	events.Log(l.log, "interpreter.up", state, v.GetInt64("took"))
	ago := time.Duration(min(max(0, v.GetInt64("took")), maxUptimeMs)) * time.Millisecond
	l.detectRestart(ago)
	l.events.Started(state == "EMPTY", ago)
	return writeWithTimeout(conn, jsonLine("type", commandTop, "ref", refSync))
}

// handleTops handles the gauges and the reference of the TOP that requested them. It returns errRedirected if the reference is that of a
// redirect.
func (l *Link) handleTops(v *fastjson.Value) error {
	switch string(v.GetStringBytes("ref")) {
	case refSync:
		l.becomeLive()
		l.events.RunnerReady()
	case refRedirect:
		return errRedirected
	}
	l.reportGauges(v.GetArray("gauges"))
	return nil
}

// handleError handles a refused command. A run whose only start was refused never ran. A run whose start was sent on more than one link may
// have been started by an earlier one.
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
	l.reportEnd(id, outcome, 0, nil)
}

// detectRestart checks whether the interpreter, whose uptime is ago, restarted after the last link broke. A restarted interpreter
// has lost all runs and numbers its notices from 1. The lost runs may have taken effect and will report no end, so they fail: starting them
// again could apply an effect twice.
func (l *Link) detectRestart(ago time.Duration) {
	l.mu.Lock()
	var lost []string
	if !l.brokeAt.IsZero() && ago < time.Since(l.brokeAt) {
		l.lastNotice = 0
		l.queue = nil // replies for runs that are lost
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
		l.reportEnd(id, silverpath.Failed, 0, nil)
	}
}

// becomeLive marks the link live and resends the start of every run that has not ended. All notices of earlier links have been read, so
// such a run either is in progress, and the repeated start has no effect, or its start was lost.
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

// reportEnd reports the end of a run. It ignores an unknown run or one whose end was reported before.
func (l *Link) reportEnd(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	l.mu.Lock()
	known := l.runs[id] != nil
	delete(l.runs, id)
	l.mu.Unlock()
	if known {
		l.events.RunEnded(id, o, spent, result)
	}
}

// reportGauges reports the gauge values. If there are too few values or one is not a valid number, it counts the fault and reports none.
func (l *Link) reportGauges(values []*fastjson.Value) {
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
