// Package simulator is the adapter to the operators' simulator: it speaks its wire, which is lines of text in batches, hands the
// events to one Shedder for each instance, and encodes their actions. It decides nothing.
//
//	server.go  batches and instances
//	decode.go  lines and fields to the module's types
//	host.go    the module's actions to lines
package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"silverpath"
	"silverpath/internal/settings"
)

// Serve reads batches from in until its end and writes a reply to each. The error tells the line and the
// field of input that can't be read.
func Serve(in io.Reader, out io.Writer) error {
	s := newServer(in)
	for {
		err := s.serveBatch()
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

// server hosts the instances of one connection to the simulator.
type server struct {
	in        *bufio.Reader
	out       bytes.Buffer // the reply to the batch, written when it is whole
	line      int
	now       time.Duration
	instances map[int64]*instance
	current   int64 // the instance whose actions are written, or noInstance
}

// noInstance is the number of no instance: those on the wire are 0 or more.
const noInstance = -1

func newServer(in io.Reader) *server {
	return &server{
		in:        bufio.NewReaderSize(in, 1<<16),
		current:   noInstance,
		instances: map[int64]*instance{},
	}
}

// instance is one Shedder, with the order in which its settings named the gauges.
type instance struct {
	shedder *silverpath.Shedder
	gauges  []string
}

// nextLine returns the next line, without its end, or io.EOF.
func (s *server) nextLine() (string, error) {
	line, err := s.in.ReadString('\n')
	if errors.Is(err, io.EOF) && line != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	s.line++
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// serveBatch reads one batch and writes its reply; it returns io.EOF at a clean end of input.
func (s *server) serveBatch() error {
	if err := s.readClock(); err != nil {
		return err
	}
	selected := int64(noInstance)
	for {
		d, err := s.nextMessage()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: end of input within a batch", s.line)
		}
		if err != nil {
			return err
		}
		switch d.name {
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
				return fmt.Errorf("line %d: %s: no instance selected: field who", s.line, d.name)
			}
			s.handleEvent(selected, d)
		}
		if d.err != nil {
			return d.err
		}
	}
}

// readClock reads the line that begins a batch; it returns io.EOF at a clean end of input.
func (s *server) readClock() error {
	line, err := s.nextLine()
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
	now := d.duration("sim_time", true)
	if d.err == nil && now < s.now {
		d.fail("sim_time", "moved backwards")
	}
	if d.err != nil {
		return d.err
	}
	s.now, s.current = now, noInstance
	return nil
}

// nextMessage reads a line within a batch; it returns io.EOF at the end of input.
func (s *server) nextMessage() (*decoder, error) {
	line, err := s.nextLine()
	if errors.Is(err, io.EOF) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("reading: %w", err)
	}
	m, err := splitLine(s.line, line)
	if err != nil {
		return nil, err
	}
	return &decoder{message: m}, nil
}

// handleEvent hands one event to its instance. A panic in a decision would end the process, and with it the days of all other
// instances; it is reported as a FAULT of this instance instead, by which the simulator ends the day with its text.
func (s *server) handleEvent(instanceID int64, d *decoder) {
	defer func() {
		if p := recover(); p != nil {
			s.writeLine(instanceID, "FAULT\ttext="+oneLine(fmt.Sprint(p)))
		}
	}()
	if d.name == "LAUNCH" {
		s.startInstance(instanceID, d)
		return
	}
	inst := s.instances[instanceID]
	if inst == nil {
		d.fail("who", fmt.Sprintf("instance %d is not started", instanceID))
		return
	}
	deliver := s.parseEvent(instanceID, inst, d)
	if d.err == nil {
		deliver()
	}
}

// parseEvent reads an event completely and returns its delivery, so that nothing malformed reaches a decision.
func (s *server) parseEvent(instanceID int64, inst *instance, d *decoder) func() {
	now, shedder := s.now, inst.shedder
	switch d.name {
	case "KILL":
		return func() { delete(s.instances, instanceID) }
	case "SUBMIT":
		r := d.request()
		return func() { shedder.Arrive(now, r) }
	case "CANCELLED_BY_CLIENT":
		id := d.requiredText("corr")
		return func() { shedder.Cancelled(now, id) }
	case "WOUND_UP":
		id, outcome, spent := d.requiredText("corr"), d.outcome(), d.duration("spent", false)
		return func() { shedder.RunEnded(now, id, outcome, spent) }
	case "BLOCKED":
		id := d.requiredText("corr")
		return func() { shedder.NeedsCall(now, id) }
	case "CALL_ENDED":
		id, outcome, spent := d.requiredText("corr"), d.outcome(), d.duration("spent", false)
		return func() { shedder.CallEnded(now, id, outcome, spent) }
	case "QUIESCE":
		stopTime := d.duration("drop_dead", true)
		return func() { shedder.Drain(now, stopTime) }
	case "TIMER":
		d.requiredText("handle")
		g := d.gauges(inst.gauges)
		return func() { shedder.Tick(now, g) }
	}
	d.err = fmt.Errorf("line %d: %s: unknown message", d.line, d.name)
	return nil
}

// startInstance makes an instance with the settings that it is launched with.
func (s *server) startInstance(instanceID int64, d *decoder) {
	salt := d.integer("salt", false)
	set, gauges, err := settings.Parse(d.requiredText("params"))
	if err != nil {
		d.fail("params", err.Error())
	}
	if d.err != nil {
		return
	}
	set.Seed = salt
	shedder, err := silverpath.New(s.now, set, &host{s, instanceID})
	if err != nil {
		d.fail("params", err.Error())
		return
	}
	s.instances[instanceID] = &instance{shedder: shedder, gauges: gauges}
}

// writeLine adds one line to the reply, naming the instance first where it changes.
func (s *server) writeLine(instanceID int64, line string) {
	if s.current != instanceID {
		s.current = instanceID
		fmt.Fprintf(&s.out, "CONTEXT\twho=%d\n", instanceID)
	}
	s.out.WriteString(line)
	s.out.WriteByte('\n')
}

// oneLine keeps text from ending its line or its field.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text)
}
