package fence

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/storage/atomicfile"
)

// A holder that is stopped after its check wakes up and sends its command when its successor has sent others: two servers would be out
// at once. This file searches all short interleavings of a holder, its successor, the commands in flight, delivered late and twice, two
// servers, one of which may start anew, and the end of the lease. Table, journal and fence are the real ones. A holder may be stopped
// anywhere: between its check and its action, and between intent, action and outcome. Never does a command of an old epoch take
// effect after one of a newer one, never are both servers out, and nobody begins an action once another one holds the duty.

type guards struct {
	fence       bool // servers refuse commands that are older than the latest
	persistent  bool // and know the latest after a start
	holderStops bool // a holder stops by itself before the duty is another's
	intentFirst bool // the intent is in the journal before the command is sent
}

type sentCommand struct {
	Command
	server int
	copies int
}

type process struct {
	name  string
	epoch lease.Epoch
	holds bool
	// What it is about to do: nothing, write, or send; decided at its check.
	doing        string
	write        controller.JournalWrite
	command      sentCommand
	acknowledged [2]uint64 // by server: the step of the command that it has acknowledged
}

type state struct {
	duty         lease.Duty
	journal      controller.Journal
	item         controller.Item
	processes    [2]process
	latest       [2]map[string]Command
	incomplete   [2]bool
	evacuated    [2]bool
	inFlight     []sentCommand
	highestEpoch lease.Epoch // of what took effect
	restarts     int
	harm         string
}

func initialState() state {
	s := state{duty: lease.Duty{Name: controller.RolloutDuty, Epoch: 1, Holder: "one", Queue: []string{"two"}}}
	s.processes[0] = process{name: "one", epoch: 1, holds: true}
	s.processes[1] = process{name: "two"}
	p, _ := json.Marshal(controller.RolloutProgress{Servers: []controller.RolloutServer{{Name: "0", Stage: controller.NotStarted}, {Name: "1", Stage: controller.NotStarted}}})
	s.item = controller.Item{ID: "r", Kind: controller.KindRollout, State: controller.Intended, Plan: string(p)}
	s.latest = [2]map[string]Command{{}, {}}
	return s
}

// clone copies what changes in place.
func (s state) clone() state {
	s.inFlight = append([]sentCommand(nil), s.inFlight...)
	for i, b := range s.latest {
		n := map[string]Command{}
		for k, v := range b {
			n[k] = v
		}
		s.latest[i] = n
	}
	return s
}

func (s *state) tableAndJournal() (*lease.Table, *controller.Journal) {
	d := s.duty
	d.Queue = append([]string(nil), d.Queue...)
	j := s.journal
	j.Items = []controller.Item{s.item}
	return &lease.Table{Generation: 0, Duties: map[string]*lease.Duty{d.Name: &d}}, &j
}

func (s *state) key() string {
	b, _ := json.Marshal([]any{s.duty, s.journal.Step, s.item, s.latest, s.incomplete, s.evacuated, s.highestEpoch, s.restarts})
	var x strings.Builder
	x.Write(b)
	for _, a := range s.processes {
		c, _ := json.Marshal([]any{a.epoch, a.holds, a.doing, a.write, a.command.Command, a.command.server, a.acknowledged})
		x.Write(c)
	}
	for _, o := range s.inFlight {
		c, _ := json.Marshal([]any{o.Command, o.server, o.copies})
		x.Write(c)
	}
	return x.String()
}

// decide is what a holder does next by the journal: what was begun before what is new.
func (s *state) decide(a *process, g guards) {
	var p controller.RolloutProgress
	if err := json.Unmarshal([]byte(s.item.Plan), &p); err != nil {
		panic(err) // a plan of this file's own
	}
	write := func(i int, st controller.Stage) {
		p.Servers[i].Stage = st
		raw, _ := json.Marshal(p)
		a.doing = "write"
		a.write = controller.JournalWrite{Duty: controller.RolloutDuty, Process: a.name, Epoch: a.epoch, Step: s.journal.Step + 1, Item: "r", State: controller.Intended, Plan: string(raw)}
	}
	send := func(i int, act string, step uint64) {
		a.doing, a.command = "send", sentCommand{Command{controller.RolloutDuty, a.epoch, step, act}, i, 2}
	}
	for i, m := range p.Servers {
		act, done := "evacuate", controller.Evacuated
		if m.Stage == controller.Rejoining {
			act, done = "rejoin", controller.Returned
		}
		switch {
		case m.Stage != controller.Evacuating && m.Stage != controller.Rejoining:
		case s.item.Epoch != a.epoch:
			write(i, m.Stage)
			return
		case a.acknowledged[i] == s.item.Step:
			write(i, done)
			return
		default:
			send(i, act, s.item.Step)
			return
		}
	}
	for i, m := range p.Servers {
		if m.Stage == controller.Evacuated {
			write(i, controller.Rejoining)
			return
		}
	}
	for k := range p.Servers {
		i := k
		if a.name == "two" {
			i = len(p.Servers) - 1 - k // whom it sees ready may differ
		}
		if m := p.Servers[i]; m.Stage == controller.NotStarted {
			if !g.intentFirst {
				if a.acknowledged[i] != s.journal.Step+1 {
					send(i, "evacuate", s.journal.Step+1)
				} else {
					write(i, controller.Evacuated)
				}
				return
			}
			write(i, controller.Evacuating)
			return
		}
	}
}

// deliver is what a server does with a command.
func (s *state) deliver(o sentCommand, g guards) {
	f := New(s.latest[o.server], s.incomplete[o.server])
	if !f.Knows(o.Duty) {
		f.SetFloor(o.Duty, s.duty.Epoch, s.journal.Step) // it asks the group
		s.incomplete[o.server] = false
	}
	fresh, err := f.Check(o.Command)
	if err != nil && g.fence {
		s.latest[o.server] = f.Latest()
		return
	}
	f.Record(o.Command)
	s.latest[o.server] = f.Latest()
	if err == nil && !fresh {
		return // it was done, and is not done again
	}
	if o.Epoch < s.highestEpoch && s.evacuated[o.server] != (o.Action == "evacuate") {
		s.harm = "a command of an old epoch took effect after one of a newer one"
	}
	s.highestEpoch = max(s.highestEpoch, o.Epoch)
	if s.evacuated[o.server] = o.Action == "evacuate"; s.evacuated[0] && s.evacuated[1] {
		s.harm = "both servers are out"
	}
	for i := range s.processes {
		if s.processes[i].epoch == o.Epoch {
			s.processes[i].acknowledged[o.server] = o.Step
		}
	}
}

func (s state) successors(g guards) (list []state) {
	add := func(change func(n *state)) {
		n := s.clone()
		change(&n)
		list = append(list, n)
	}
	for i := range s.processes {
		a := s.processes[i]
		switch {
		case a.doing == "" && a.holds:
			add(func(n *state) {
				n.decide(&n.processes[i], g)
				if n.processes[i].doing != "" && n.duty.Holder != a.name {
					n.harm = "a process begins that does not hold the duty"
				}
			})
		case a.doing == "write":
			add(func(n *state) {
				t, j := n.tableAndJournal()
				if j.Apply(a.write, t) == nil {
					n.item, n.journal = j.Items[0], controller.Journal{Duty: j.Duty, Step: j.Step, LastWrite: j.LastWrite}
				}
				n.processes[i].doing, n.processes[i].write = "", controller.JournalWrite{}
			})
		case a.doing == "send":
			add(func(n *state) {
				n.processes[i].doing, n.processes[i].command = "", sentCommand{}
				for _, o := range n.inFlight {
					if o.Command == a.command.Command && o.server == a.command.server {
						return // one and the same, whenever it comes
					}
				}
				n.inFlight = append(n.inFlight, a.command)
			})
		}
	}
	for k, o := range s.inFlight {
		add(func(n *state) {
			n.deliver(o, g)
			if n.inFlight[k].copies--; n.inFlight[k].copies == 0 {
				n.inFlight = append(n.inFlight[:k:k], n.inFlight[k+1:]...)
			}
		})
	}
	if s.processes[0].holds {
		add(func(n *state) { n.processes[0].holds = false }) // its lease is over, by its own count
	}
	if s.duty.Holder == "one" && (!s.processes[0].holds || !g.holderStops) {
		add(func(n *state) {
			t, _ := n.tableAndJournal()
			d, err := t.Apply(lease.Request{Op: lease.Expire, Duty: controller.RolloutDuty, Epoch: 1})
			if err == nil {
				n.duty = d
				n.processes[1].epoch, n.processes[1].holds = d.Epoch, true
			}
		})
	}
	if s.restarts < 1 {
		for i := range s.latest {
			add(func(n *state) { // it starts anew, in and serving
				n.restarts++
				n.evacuated[i] = false
				n.latest[i] = map[string]Command{}
				n.incomplete[i] = g.persistent // its file is lost: it asks the group, or trusts any command
			})
		}
	}
	return list
}

func search(g guards, most int) (harm string, states int) {
	seen := map[string]bool{}
	queue := []state{initialState()}
	for len(queue) > 0 && len(seen) < most {
		s := queue[0]
		queue = queue[1:]
		for _, n := range s.successors(g) {
			if n.harm != "" {
				return n.harm, len(seen)
			}
			if k := n.key(); !seen[k] {
				seen[k] = true
				queue = append(queue, n)
			}
		}
	}
	return "", len(seen)
}

func TestNoStaleCommandInAnyInterleaving(t *testing.T) {
	harm, n := search(guards{true, true, true, true}, 150000)
	if harm != "" {
		t.Error(harm)
	}
	t.Logf("%d states", n)
	for name, g := range map[string]guards{
		"no fence":                           {false, true, true, true},
		"the file is lost":                   {true, false, true, true},
		"the holder does not stop by itself": {true, true, false, true},
		"no intent before the command":       {true, true, true, false},
	} {
		harm, n := search(g, 60000)
		if harm == "" {
			t.Errorf("%s: no harm found in %d states", name, n)
		}
		t.Logf("%s: %s, after %d states", name, harm, n)
	}
}

// A server that restarts must still refuse what it refused before. Its file lasts; one that is torn or another service's is refused and
// left as it is; a command that could not be stored is not recorded, so that it is not carried out.
func TestFileLastsAndRefusesDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "orders")
	f, err := Open(path, "s1")
	if err != nil || f.Knows("d") {
		t.Fatal(err)
	}
	f.SetFloor("d", 4, 7)
	o := Command{"d", 5, 1, "evacuate"}
	if fresh, err := f.Check(o); !fresh || err != nil {
		t.Fatal(fresh, err)
	}
	if err := f.Persist(o, "s1"); err != nil {
		t.Fatal(err)
	}
	if f, err = Open(path, "s1"); err != nil {
		t.Fatal(err)
	}
	if fresh, err := f.Check(o); fresh || err != nil {
		t.Errorf("again: %v, %v", fresh, err)
	}
	for _, old := range []Command{{"d", 4, 9, "evacuate"}, {"d", 5, 0, "rejoin"}, {"d", 5, 1, "rejoin"}} {
		if _, err := f.Check(old); !errors.Is(err, ErrStaleEpoch) && !errors.Is(err, ErrStaleStep) {
			t.Errorf("%+v: %v", old, err)
		}
	}
	if _, err := Open(path, "s2"); err == nil || !strings.Contains(err.Error(), `of another service, "s1"`) {
		t.Error(err)
	}
	sync := atomicfile.Sync
	defer func() { atomicfile.Sync = sync }()
	atomicfile.Sync = func(*os.File) error { return errors.New("full") }
	if err := f.Persist(Command{"d", 6, 1, "rejoin"}, "s1"); err == nil {
		t.Error("kept without a sync")
	}
	if fresh, _ := f.Check(Command{"d", 5, 2, "rejoin"}); !fresh {
		t.Error("what was not kept counts as seen")
	}
	data, _ := os.ReadFile(path)
	os.WriteFile(path, data[:len(data)-3], 0o600)
	if _, err := Open(path, "s1"); err == nil || !strings.Contains(err.Error(), "torn") {
		t.Error(err)
	}
}
