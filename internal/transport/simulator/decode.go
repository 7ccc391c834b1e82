package simulator

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"silverpath"
	"silverpath/internal/settings"
)

// message is one line, split into its name and values.
type message struct {
	line   int
	name   string
	fields map[string]string
}

// splitLine parses one line. The value of a text field (params) extends to the end of the line.
func splitLine(number int, line string) (message, error) {
	name, rest, more := strings.Cut(line, "\t")
	m := message{line: number, name: name, fields: map[string]string{}}
	for more {
		var key, value string
		var ok bool
		if strings.HasPrefix(rest, "params=") {
			key, value, ok, more = "params", strings.TrimPrefix(rest, "params="), true, false
		} else {
			var part string
			part, rest, more = strings.Cut(rest, "\t")
			key, value, ok = strings.Cut(part, "=")
		}
		if !ok || key == "" {
			return m, fmt.Errorf("line %d: %s: field without a name", number, name)
		}
		if _, twice := m.fields[key]; twice {
			return m, fmt.Errorf("line %d: %s: field %s given twice", number, name, key)
		}
		m.fields[key] = value
	}
	return m, nil
}

const (
	// maxMicroseconds is the longest time that fits a Duration, in microseconds.
	maxMicroseconds = math.MaxInt64 / int64(time.Microsecond)
	// maxNumber keeps sums of a few numbers finite.
	maxNumber = 1e300
)

// decoder reads the fields of a message and keeps the first error.
type decoder struct {
	message
	err error
}

// fail keeps an error that names the line, the message and the field, if there is none yet.
func (d *decoder) fail(field, reason string) {
	if d.err == nil {
		d.err = fmt.Errorf("line %d: %s: field %s: %s", d.line, d.name, field, reason)
	}
}

// text returns a field that must be there.
func (d *decoder) requiredText(field string) string {
	v, ok := d.fields[field]
	if !ok || v == "" {
		d.fail(field, "missing")
	}
	return v
}

// optional returns a field that may be absent or 0, which means the same.
func (d *decoder) optionalText(field string) string {
	if v := d.fields[field]; v != "0" {
		return v
	}
	return ""
}

// integer returns a whole number, 0 where the field is absent.
func (d *decoder) integer(field string, required bool) int64 {
	v, ok := d.fields[field]
	if !ok {
		if required {
			d.fail(field, "missing")
		}
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		d.fail(field, "not an integer: "+strconv.Quote(v))
	}
	return n
}

// duration returns a time in microseconds as a Duration.
func (d *decoder) duration(field string, required bool) time.Duration {
	n := d.integer(field, required)
	if n < 0 || n > maxMicroseconds {
		d.fail(field, "out of range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// number returns a number of 0 or more, 0 where the field is absent.
func (d *decoder) number(field string, required bool) float64 {
	v, ok := d.fields[field]
	if !ok {
		if required {
			d.fail(field, "missing")
		}
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f || f < 0 || f > maxNumber {
		d.fail(field, "not a number of 0 or more: "+strconv.Quote(v))
		return 0
	}
	return f
}

// flag returns a bool, false where the field is absent.
func (d *decoder) flag(field string) bool {
	switch v := d.fields[field]; v {
	case "", "0":
		return false
	case "1":
		return true
	default:
		d.fail(field, "not 0 or 1: "+strconv.Quote(v))
		return false
	}
}

// outcomes are the wire's names of outcomes.
var outcomes = map[string]silverpath.Outcome{
	"Ok": silverpath.OK, "Failed": silverpath.Failed, "QueueFull": silverpath.Overloaded,
	"TimedOut": silverpath.TimedOut, "ConnectError": silverpath.Unreachable, "ResetByPeer": silverpath.Disconnected,
	"Canceled": silverpath.Canceled, "Ignored": silverpath.NotStarted,
}

// outcome returns how a run or a call ended.
func (d *decoder) outcome() silverpath.Outcome {
	v := d.requiredText("state_code")
	o, ok := outcomes[v]
	if !ok {
		d.fail("state_code", "unknown: "+strconv.Quote(v))
	}
	return o
}

// request returns an attempt that was just read: here the wire's names become the module's.
func (d *decoder) request() silverpath.Request {
	return silverpath.Request{
		ID:           d.requiredText("corr"),
		Class:        d.requiredText("class"),
		Tenant:       d.optionalText("account"),
		Key:          d.optionalText("target_key"),
		DuplicateOf:  d.optionalText("repeats"),
		Caller:       int(d.integer("from", false)),
		QueuedKB:     d.number("footprint", true),
		Unread:       d.duration("unread_for", false),
		Deadline:     d.duration("drop_dead", false),
		ExpectedWork: d.duration("expected", false),
		Retry:        d.flag("again_by_client"),
		Rank:         d.number("standing", false),
	}
}

// gauges reads the values of a timer, ordered as the settings named them.
func (d *decoder) gauges(names []string) silverpath.Gauges {
	var g silverpath.Gauges
	row, ok := d.fields["metrics"]
	if !ok {
		d.fail("metrics", "missing")
		return g
	}
	values := strings.Split(row, ",")
	if len(names) == 0 && row == "" {
		return g
	}
	if len(values) < len(names) {
		d.fail("metrics", "fewer values than gauges")
		return g
	}
	readings := make([]float64, len(names))
	for i := range names {
		v, err := strconv.ParseFloat(values[i], 64)
		if err != nil || v != v {
			d.fail("metrics", "not a number: "+strconv.Quote(values[i]))
			return g
		}
		readings[i] = v
	}
	return settings.Gauges(names, readings)
}
