// Package simulator is the adapter to the operators' simulator. Its protocol is batches of text lines. The package passes the events of a
// batch to one Shedder for each instance and encodes the actions of the Shedders in the reply. It makes no decisions of its own.
//
//	server.go  batches and instances
//	decode.go  decodes lines and fields into the module's types
//	host.go    encodes the module's actions as lines
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

// Serve reads batches from in until its end and writes a reply to each to out. For malformed input it returns an error that names the line
// and the field.
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
	out       bytes.Buffer // the reply to the current batch, sent when it is complete
	line      int
	now       time.Duration
	instances map[int64]*instance
	contextID int64 // the instance of the last CONTEXT line of the reply, or noInstance
}

// noInstance is an instance number that does not occur on the wire, where the numbers are 0 or more.
const noInstance = -1

func newServer(in io.Reader) *server {
	return &server{
		in:        bufio.NewReaderSize(in, 1<<16),
		contextID: noInstance,
		instances: map[int64]*instance{},
	}
}

// instance is one simulated server.
type instance struct {
	shedder    *silverpath.Shedder
	gaugeNames []string // names of the gauges, in the order of the settings
}

// nextLine returns the next line without its line ending, or io.EOF at the end of input.
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

// serveBatch reads one batch and builds its reply in s.out. It returns io.EOF if the input ends before the batch begins.
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

// readClock reads the CLOCK line at the start of a batch and sets the time. It returns io.EOF if the input ends before the line, and an
// error if the time moves backwards.
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
	s.now, s.contextID = now, noInstance
	return nil
}

// nextMessage reads the next line within a batch. It returns io.EOF at the end of input.
func (s *server) nextMessage() (*decoder, error) {
	line, err := s.nextLine()
	if errors.Is(err, io.EOF) {
		return nil, err
	}
	if err != nil {
		return nil, fmt.Errorf("reading a batch: %w", err)
	}
	m, err := splitLine(s.line, line)
	if err != nil {
		return nil, err
	}
	return &decoder{message: m}, nil
}

// handleEvent passes one event to its instance. A panic in a decision would end the process and with it the simulated days of all
// instances. It is recovered and reported as a FAULT of this instance, on which the simulator ends the day with the text of the fault.
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

// parseEvent decodes an event and returns a function that delivers it. The caller delivers it only if all fields were valid, so that no
// malformed event reaches a decision.
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
		g := d.gauges(inst.gaugeNames)
		return func() { shedder.Tick(now, g) }
	}
	d.err = fmt.Errorf("line %d: %s: unknown message", d.line, d.name)
	return nil
}

// startInstance creates an instance with the settings and the seed of a LAUNCH message.
func (s *server) startInstance(instanceID int64, d *decoder) {
	salt := d.integer("salt", false)
	cfg, gaugeNames, err := settings.Parse(d.requiredText("params"))
	if err != nil {
		d.fail("params", err.Error())
	}
	if d.err != nil {
		return
	}
	cfg.Seed = salt
	shedder, err := silverpath.New(s.now, cfg, &host{s, instanceID})
	if err != nil {
		d.fail("params", err.Error())
		return
	}
	s.instances[instanceID] = &instance{shedder: shedder, gaugeNames: gaugeNames}
}

// writeLine appends a line to the reply. If the line is of another instance than the one before it, a CONTEXT line precedes it.
func (s *server) writeLine(instanceID int64, line string) {
	if s.contextID != instanceID {
		s.contextID = instanceID
		fmt.Fprintf(&s.out, "CONTEXT\twho=%d\n", instanceID)
	}
	s.out.WriteString(line)
	s.out.WriteByte('\n')
}

// oneLine replaces line breaks and tabs in text by spaces, because they would end the line or the field.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\r", " ", "\t", " ").Replace(text)
}
