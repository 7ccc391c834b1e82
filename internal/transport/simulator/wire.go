// Package simulator speaks the bench's dialect: it parses batches of events, hands them to one Shedder for each
// instance, and encodes their actions. It decides nothing.
package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"silverpath"
	"silverpath/internal/settings"
)

// A message is one line, split into its name and values.
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

// decoder reads the fields of a message and keeps the first error.
type decoder struct {
	message
	err error
}

func (d *decoder) fail(field, what string) {
	if d.err == nil {
		d.err = fmt.Errorf("line %d: %s: field %s: %s", d.line, d.name, field, what)
	}
}

// text returns a field that must be there.
func (d *decoder) text(field string) string {
	v, ok := d.fields[field]
	if !ok || v == "" {
		d.fail(field, "missing")
	}
	return v
}

// optional returns a field that may be absent or 0.
func (d *decoder) optional(field string) string {
	if v := d.fields[field]; v != "0" {
		return v
	}
	return ""
}

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

// micros returns a time in microseconds as a Duration.
func (d *decoder) micros(field string, required bool) time.Duration {
	n := d.integer(field, required)
	if n < 0 || n > int64(1<<63-1)/1000 {
		d.fail(field, "out of range")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (d *decoder) number(field string, required bool) float64 {
	v, ok := d.fields[field]
	if !ok {
		if required {
			d.fail(field, "missing")
		}
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || f != f || f < 0 || f > 1e300 {
		d.fail(field, "not a number of 0 or more: "+strconv.Quote(v))
		return 0
	}
	return f
}

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

var outcomes = map[string]silverpath.Outcome{
	"Ok": silverpath.OK, "Failed": silverpath.Failed, "QueueFull": silverpath.Overloaded,
	"TimedOut": silverpath.TimedOut, "ConnectError": silverpath.Unreachable, "ResetByPeer": silverpath.Disconnected,
	"Canceled": silverpath.Canceled, "Ignored": silverpath.NotStarted,
}

func (d *decoder) outcome() silverpath.Outcome {
	v := d.text("state_code")
	o, ok := outcomes[v]
	if !ok {
		d.fail("state_code", "unknown: "+strconv.Quote(v))
	}
	return o
}

func (d *decoder) request() silverpath.Request {
	return silverpath.Request{
		ID:           d.text("corr"),
		Class:        d.text("class"),
		Tenant:       d.optional("account"),
		Key:          d.optional("target_key"),
		DuplicateOf:  d.optional("repeats"),
		Caller:       int(d.integer("from", false)),
		QueuedKB:     d.number("footprint", true),
		Unread:       d.micros("unread_for", false),
		Deadline:     d.micros("drop_dead", false),
		ExpectedWork: d.micros("expected", false),
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

// Serve reads batches from in until its end and writes a reply to each. The error tells the line and the
// field of input that can't be read.
func Serve(in io.Reader, out io.Writer) error {
	s := newServer(in)
	for {
		err := s.batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := s.out.WriteTo(out); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// server hosts the instances of one connection to the bench.
type server struct {
	in        *bufio.Reader
	out       bytes.Buffer // the reply to the batch, written when it is whole
	line      int
	now       time.Duration
	instances map[int64]*instance
	speaking  int64 // the instance whose actions are being written, -1 for none yet
}

func newServer(in io.Reader) *server {
	return &server{
		in:        bufio.NewReaderSize(in, 1<<16),
		speaking:  -1,
		instances: map[int64]*instance{},
	}
}

// instance is one Shedder with what its host must remember.
type instance struct {
	shedder *silverpath.Shedder
	gauges  []string
}

// next returns the next line, without its end.
func (s *server) next() (string, error) {
	line, err := s.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	s.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// batch reads one batch and writes its reply; it returns io.EOF at a clean end of input.
func (s *server) batch() error {
	line, err := s.next()
	if err != nil {
		return err
	}
	m, err := splitLine(s.line, line)
	if err != nil {
		return err
	}
	d := &decoder{message: m}
	if m.name != "CLOCK" {
		return fmt.Errorf("line %d: %s: a batch must begin with CLOCK", s.line, m.name)
	}
	now := d.micros("sim_time", true)
	if d.err == nil && now < s.now {
		d.fail("sim_time", "moved backwards")
	}
	if d.err != nil {
		return d.err
	}
	s.now, s.speaking = now, -1
	selected := int64(-1)
	for {
		line, err := s.next()
		if err == io.EOF {
			return fmt.Errorf("line %d: end of input within a batch", s.line)
		}
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		m, err := splitLine(s.line, line)
		if err != nil {
			return err
		}
		d := &decoder{message: m}
		switch m.name {
		case "GO":
			s.out.WriteString("EOR\n")
			return nil
		case "SELECT":
			selected = d.integer("who", true)
			if d.err == nil && selected < 0 {
				d.fail("who", "negative")
			}
		default:
			if selected < 0 {
				return fmt.Errorf("line %d: %s: no instance selected: field who", s.line, m.name)
			}
			s.event(selected, d)
		}
		if d.err != nil {
			return d.err
		}
	}
}

// event hands one event to its instance. A panic in a decision is reported to the bench as a FAULT.
func (s *server) event(who int64, d *decoder) {
	defer func() {
		if p := recover(); p != nil {
			s.write(who, "FAULT\ttext="+oneLine(fmt.Sprint(p)))
		}
	}()
	if d.name == "LAUNCH" {
		s.launch(who, d)
		return
	}
	inst := s.instances[who]
	if inst == nil {
		d.fail("who", fmt.Sprintf("instance %d is not started", who))
		return
	}
	deliver := s.parse(who, inst, d)
	if d.err == nil {
		deliver()
	}
}

// parse reads an event completely and returns its delivery, so that nothing malformed reaches a decision.
func (s *server) parse(who int64, inst *instance, d *decoder) func() {
	now, shedder := s.now, inst.shedder
	switch d.name {
	case "KILL":
		return func() { delete(s.instances, who) }
	case "SUBMIT":
		r := d.request()
		return func() { shedder.Arrive(now, r) }
	case "CANCELLED_BY_CLIENT":
		id := d.text("corr")
		return func() { shedder.Cancelled(now, id) }
	case "WOUND_UP":
		id, outcome, spent := d.text("corr"), d.outcome(), d.micros("spent", false)
		return func() { shedder.RunEnded(now, id, outcome, spent) }
	case "BLOCKED":
		id := d.text("corr")
		return func() { shedder.NeedsCall(now, id) }
	case "CALL_ENDED":
		id, outcome, spent := d.text("corr"), d.outcome(), d.micros("spent", false)
		return func() { shedder.CallEnded(now, id, outcome, spent) }
	case "QUIESCE":
		stop := d.micros("drop_dead", true)
		return func() { shedder.Drain(now, stop) }
	case "TIMER":
		d.text("handle")
		g := d.gauges(inst.gauges)
		return func() { shedder.Tick(now, g) }
	}
	d.err = fmt.Errorf("line %d: %s: unknown message", d.line, d.name)
	return nil
}

func (s *server) launch(who int64, d *decoder) {
	salt := d.integer("salt", false)
	set, gauges, err := settings.Parse(d.text("params"))
	if err != nil {
		d.fail("params", err.Error())
	}
	if d.err != nil {
		return
	}
	set.Seed = salt
	shedder, err := silverpath.New(s.now, set, &host{s, who})
	if err != nil {
		d.fail("params", err.Error())
		return
	}
	s.instances[who] = &instance{shedder: shedder, gauges: gauges}
}

// write adds one line to the reply, naming the instance first where it changes.
func (s *server) write(who int64, line string) {
	if s.speaking != who {
		s.speaking = who
		fmt.Fprintf(&s.out, "CONTEXT\twho=%d\n", who)
	}
	s.out.WriteString(line)
	s.out.WriteByte('\n')
}

func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text)
}

// host writes the actions of one instance.
type host struct {
	server *server
	who    int64
}

func (h *host) act(name, id, rest string) { h.server.write(h.who, name+"\tcorr="+id+rest) }

func micros(field string, d time.Duration) string {
	return "\t" + field + "=" + strconv.FormatInt(d.Microseconds(), 10)
}

func bit(field string, v bool) string {
	if v {
		return "\t" + field + "=1"
	}
	return "\t" + field + "=0"
}

func (h *host) Run(id string) { h.act("EXECUTE", id, "") }

func (h *host) Reject(id string, after time.Duration, final bool) {
	rest := ""
	if after > 0 {
		rest = micros("not_before_for", after)
	}
	if final {
		rest += bit("give_up", true)
	}
	h.act("PUSH_BACK", id, rest)
}

func (h *host) Fail(id string) { h.act("REPORT_FAILURE", id, "") }
func (h *host) Join(id string) { h.act("ECHO", id, "") }
func (h *host) Stop(id string) { h.act("TAKE_OFF", id, "") }
func (h *host) Call(id string, patience time.Duration) {
	h.act("ASK_BELOW", id, micros("patience", patience))
}
func (h *host) SkipCall(id string)                     { h.act("DO_WITHOUT", id, "") }
func (h *host) RememberKey(id string, d time.Duration) { h.act("STORE_KEY", id, micros("hold_for", d)) }
func (h *host) ForgetKey(id string)                    { h.act("DROP_KEY", id, "") }

func (h *host) Health(good bool) {
	h.server.write(h.who, "REPORT_HEALTH"+bit("shallow", true)+bit("enable", good))
}

func (h *host) Signal(value float64) {
	h.server.write(h.who, "PUBLISH\tamount="+strconv.FormatFloat(value, 'f', -1, 64))
}

func (h *host) CloseIdle(after time.Duration) {
	h.server.write(h.who, "KEEPALIVE"+micros("hold_for", after))
}

func (h *host) Wake(after time.Duration) {
	h.server.write(h.who, "DEFER"+micros("span", after)+"\thandle=tick")
}

func (h *host) Log(text string) { h.server.write(h.who, "NOTE_DOWN\ttext="+oneLine(text)) }
