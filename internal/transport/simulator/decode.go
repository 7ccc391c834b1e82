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

// message is one line of input, split into the message name and its fields.
type message struct {
	line   int
	name   string
	fields map[string]string
}

// splitLine parses one line into a message. The value of the field params is JSON and extends to the end of the line. A field without a
// name or a duplicate field is an error.
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
	// maxMicroseconds is the longest duration, in microseconds, that fits a time.Duration.
	maxMicroseconds = math.MaxInt64 / int64(time.Microsecond)
	// maxNumber bounds a number so that sums of a few of them stay finite.
	maxNumber = 1e300
)

// decoder reads the fields of a message and keeps the first error. The results of its methods are valid only while err is nil.
type decoder struct {
	message
	err error
}

// fail records an error that names the line, the message and the field. It does nothing if an error is already recorded.
func (d *decoder) fail(field, reason string) {
	if d.err == nil {
		d.err = fmt.Errorf("line %d: %s: field %s: %s", d.line, d.name, field, reason)
	}
}

// requiredText returns a text field. A missing or empty field is an error.
func (d *decoder) requiredText(field string) string {
	v, ok := d.fields[field]
	if !ok || v == "" {
		d.fail(field, "missing")
	}
	return v
}

// optionalText returns a text field, or "" if it is absent or "0".
func (d *decoder) optionalText(field string) string {
	if v := d.fields[field]; v != "0" {
		return v
	}
	return ""
}

// integer returns an integer field, or 0 if it is absent and not required.
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

// duration returns a field in microseconds as a time.Duration, or 0 if it is absent and not required. A negative value is an error.
func (d *decoder) duration(field string, required bool) time.Duration {
	n := d.integer(field, required)
	if n < 0 || n > maxMicroseconds {
		d.fail(field, "out of range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

// number returns a non-negative decimal field, or 0 if it is absent and not required.
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

// flag returns a boolean field, or false if it is absent.
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

// outcomes maps the names of outcomes on the wire to those of the module.
var outcomes = map[string]silverpath.Outcome{
	"Ok": silverpath.OK, "Failed": silverpath.Failed, "QueueFull": silverpath.Overloaded,
	"TimedOut": silverpath.TimedOut, "ConnectError": silverpath.Unreachable, "ResetByPeer": silverpath.Disconnected,
	"Canceled": silverpath.Canceled, "Ignored": silverpath.NotStarted,
}

// outcome returns the outcome of a run or a call from the field state_code.
func (d *decoder) outcome() silverpath.Outcome {
	v := d.requiredText("state_code")
	o, ok := outcomes[v]
	if !ok {
		d.fail("state_code", "unknown: "+strconv.Quote(v))
	}
	return o
}

// request returns the attempt that a SUBMIT message describes. It maps the field names of the wire to those of the module.
func (d *decoder) request() silverpath.Request {
	return silverpath.Request{
		ID:           d.requiredText("corr"),
		Class:        d.requiredText("class"),
		Tenant:       d.optionalText("account"),
		Key:          d.optionalText("target_key"),
		DuplicateOf:  d.optionalText("repeats"),
		Caller:       int(d.integer("from", false)),
		QueuedKB:     d.number("footprint", true),
		ReadDelay:    d.duration("unread_for", false),
		Deadline:     d.duration("drop_dead", false),
		ExpectedWork: d.duration("expected", false),
		Retry:        d.flag("again_by_client"),
		Rank:         d.number("standing", false),
	}
}

// gauges returns the readings of a TIMER message. The field metrics lists them in the order of names, which is the order in the settings.
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
