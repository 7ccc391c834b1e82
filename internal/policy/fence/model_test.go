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

// A holder that is suspended after its lease check resumes and sends its command after its successor has sent others, and two servers
// are out at once. This file searches all short interleavings of a holder, its successor, the end of the lease, two servers of which one
// may restart, and commands in flight that arrive late or twice. Table, journal and fence are the real implementations. A holder can be
// suspended between any two steps: check, intent, action and outcome.
//
// The invariants: no command of an old epoch takes effect after one of a newer epoch, the servers are never both out, and no process
// starts an action while another process holds the duty.

// guards are the rules of the protocol. A search with one of them off must find a violation.
type guards struct {
	fence       bool // servers reject commands that are older than the latest
	persistent  bool // a restarted server has its latest commands, or asks the group
	holderStops bool // a holder stops by its own clock before its successor starts
	intentFirst bool // the intent is in the journal before the command is sent
}

// sentCommand is a command in flight to a server.
type sentCommand struct {
	Command
	server int // index of the server
	copies int // deliveries that are left
}

// process is a holder or its successor.
type process struct {
	name  string
	epoch lease.Epoch
	holds bool
	// The pending action, decided at the last lease check: empty, "write" or "send".
	pending      string
	write        controller.JournalWrite
	command      sentCommand
	acknowledged [2]uint64 // by server: step of the last command that it acknowledged to this process
}

// state is one state of the search.
type state struct {
	duty         lease.Duty
	journal      controller.Journal
	item         controller.Item
	processes    [2]process
	latest       [2]map[string]Command
	incomplete   [2]bool
	evacuated    [2]bool
	inFlight     []sentCommand
	highestEpoch lease.Epoch // highest epoch of the commands that took effect
	restarts     int
	violation    string // the invariant that was violated; empty: none
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

// clone returns a copy that shares no mutable data with s, except the duty, journal and plan, which are replaced as a whole.
func (s state) clone() state {
	s.inFlight = append([]sentCommand(nil), s.inFlight...)
	for i, latest := range s.latest {
		copied := map[string]Command{}
		for k, v := range latest {
			copied[k] = v
		}
		s.latest[i] = copied
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
	var key strings.Builder
	key.Write(b)
	for _, p := range s.processes {
		encoded, _ := json.Marshal([]any{p.epoch, p.holds, p.pending, p.write, p.command.Command, p.command.server, p.acknowledged})
		key.Write(encoded)
	}
	for _, sent := range s.inFlight {
		encoded, _ := json.Marshal([]any{sent.Command, sent.server, sent.copies})
		key.Write(encoded)
	}
	return key.String()
}

// decideNext sets the pending action of a holder by the journal. Work that was started comes before new work.
func (s *state) decideNext(holder *process, g guards) {
	var p controller.RolloutProgress
	if err := json.Unmarshal([]byte(s.item.Plan), &p); err != nil {
		panic(err) // the plan was written by this test
	}
	write := func(i int, stage controller.Stage) {
		p.Servers[i].Stage = stage
		raw, _ := json.Marshal(p)
		holder.pending = "write"
		holder.write = controller.JournalWrite{Duty: controller.RolloutDuty, Process: holder.name, Epoch: holder.epoch, Step: s.journal.Step + 1, Item: "r", State: controller.Intended, Plan: string(raw)}
	}
	send := func(i int, action string, step uint64) {
		holder.pending, holder.command = "send", sentCommand{Command{controller.RolloutDuty, holder.epoch, step, action}, i, 2}
	}
	for i, server := range p.Servers {
		action, doneStage := "evacuate", controller.Evacuated
		if server.Stage == controller.Rejoining {
			action, doneStage = "rejoin", controller.Returned
		}
		switch {
		case server.Stage != controller.Evacuating && server.Stage != controller.Rejoining:
		case s.item.Epoch != holder.epoch:
			write(i, server.Stage)
			return
		case holder.acknowledged[i] == s.item.Step:
			write(i, doneStage)
			return
		default:
			send(i, action, s.item.Step)
			return
		}
	}
	for i, server := range p.Servers {
		if server.Stage == controller.Evacuated {
			write(i, controller.Rejoining)
			return
		}
	}
	for k := range p.Servers {
		i := k
		if holder.name == "two" {
			i = len(p.Servers) - 1 - k // the successor may observe another server as ready first
		}
		if server := p.Servers[i]; server.Stage == controller.NotStarted {
			if !g.intentFirst {
				if holder.acknowledged[i] != s.journal.Step+1 {
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

// deliver handles a command on its server.
func (s *state) deliver(c sentCommand, g guards) {
	f := New(s.latest[c.server], s.incomplete[c.server])
	if !f.CanCheck(c.Duty) {
		f.SetFloor(c.Duty, s.duty.Epoch, s.journal.Step) // the server reads the floor from the group
		s.incomplete[c.server] = false
	}
	fresh, err := f.Check(c.Command)
	if err != nil && g.fence {
		s.latest[c.server] = f.Latest()
		return
	}
	f.Record(c.Command)
	s.latest[c.server] = f.Latest()
	if err == nil && !fresh {
		return // carried out before
	}
	if c.Epoch < s.highestEpoch && s.evacuated[c.server] != (c.Action == "evacuate") {
		s.violation = "a command of an old epoch took effect after one of a newer one"
	}
	s.highestEpoch = max(s.highestEpoch, c.Epoch)
	if s.evacuated[c.server] = c.Action == "evacuate"; s.evacuated[0] && s.evacuated[1] {
		s.violation = "both servers are out"
	}
	for i := range s.processes {
		if s.processes[i].epoch == c.Epoch {
			s.processes[i].acknowledged[c.server] = c.Step
		}
	}
}

func (s state) successors(g guards) (next []state) {
	add := func(change func(n *state)) {
		n := s.clone()
		change(&n)
		next = append(next, n)
	}
	for i := range s.processes {
		p := s.processes[i]
		switch {
		case p.pending == "" && p.holds:
			add(func(n *state) {
				n.decideNext(&n.processes[i], g)
				if n.processes[i].pending != "" && n.duty.Holder != p.name {
					n.violation = "a process starts an action while another one holds the duty"
				}
			})
		case p.pending == "write":
			add(func(n *state) {
				t, j := n.tableAndJournal()
				if j.Apply(p.write, t) == nil {
					n.item, n.journal = j.Items[0], controller.Journal{Duty: j.Duty, Step: j.Step, LastWrite: j.LastWrite}
				}
				n.processes[i].pending, n.processes[i].write = "", controller.JournalWrite{}
			})
		case p.pending == "send":
			add(func(n *state) {
				n.processes[i].pending, n.processes[i].command = "", sentCommand{}
				for _, c := range n.inFlight {
					if c.Command == p.command.Command && c.server == p.command.server {
						return // an equal command is in flight
					}
				}
				n.inFlight = append(n.inFlight, p.command)
			})
		}
	}
	for k, c := range s.inFlight {
		add(func(n *state) {
			n.deliver(c, g)
			if n.inFlight[k].copies--; n.inFlight[k].copies == 0 {
				n.inFlight = append(n.inFlight[:k:k], n.inFlight[k+1:]...)
			}
		})
	}
	if s.processes[0].holds {
		add(func(n *state) { n.processes[0].holds = false }) // the lease ends by the holder's own clock
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
			add(func(n *state) { // the server restarts, and serves
				n.restarts++
				n.evacuated[i] = false
				n.latest[i] = map[string]Command{}
				n.incomplete[i] = g.persistent // the file is lost: the server asks the group, or without the guard accepts any command
			})
		}
	}
	return next
}

// search visits up to maxStates states in breadth-first order. It returns the first violation, or an empty string, and the number of states.
func search(g guards, maxStates int) (violation string, states int) {
	seen := map[string]bool{}
	queue := []state{initialState()}
	for len(queue) > 0 && len(seen) < maxStates {
		s := queue[0]
		queue = queue[1:]
		for _, n := range s.successors(g) {
			if n.violation != "" {
				return n.violation, len(seen)
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
	violation, n := search(guards{true, true, true, true}, 150000)
	if violation != "" {
		t.Error(violation)
	}
	t.Logf("%d states", n)
	for name, g := range map[string]guards{
		"no fence":                           {false, true, true, true},
		"the file is lost":                   {true, false, true, true},
		"the holder does not stop by itself": {true, true, false, true},
		"no intent before the command":       {true, true, true, false},
	} {
		violation, n := search(g, 60000)
		if violation == "" {
			t.Errorf("%s: no violation found in %d states", name, n)
		}
		t.Logf("%s: %s, after %d states", name, violation, n)
	}
}

// A restarted server must still reject stale commands. The fence file persists; a torn file, or that of another service, is rejected and
// stays unchanged; a command that could not be stored is not recorded, so that it is not carried out.
func TestFileLastsAndRefusesDamage(t *testing.T) {
	path := filepath.Join(t.TempDir(), "orders")
	f, err := Open(path, "s1")
	if err != nil || f.CanCheck("d") {
		t.Fatal(err)
	}
	f.SetFloor("d", 4, 7)
	command := Command{"d", 5, 1, "evacuate"}
	if fresh, err := f.Check(command); !fresh || err != nil {
		t.Fatal(fresh, err)
	}
	if err := f.Persist(command, "s1"); err != nil {
		t.Fatal(err)
	}
	if f, err = Open(path, "s1"); err != nil {
		t.Fatal(err)
	}
	if fresh, err := f.Check(command); fresh || err != nil {
		t.Errorf("the same command after a restart: fresh %v, error %v", fresh, err)
	}
	for _, old := range []Command{{"d", 4, 9, "evacuate"}, {"d", 5, 0, "rejoin"}, {"d", 5, 1, "rejoin"}} {
		if _, err := f.Check(old); !errors.Is(err, ErrStaleEpoch) && !errors.Is(err, ErrStaleStep) {
			t.Errorf("stale command %+v: got %v", old, err)
		}
	}
	if _, err := Open(path, "s2"); err == nil || !strings.Contains(err.Error(), `of another service, "s1"`) {
		t.Error(err)
	}
	realSync := atomicfile.Sync
	defer func() { atomicfile.Sync = realSync }()
	atomicfile.Sync = func(*os.File) error { return errors.New("full") }
	if err := f.Persist(Command{"d", 6, 1, "rejoin"}, "s1"); err == nil {
		t.Error("Persist succeeded although the sync failed")
	}
	if fresh, _ := f.Check(Command{"d", 5, 2, "rejoin"}); !fresh {
		t.Error("a command that was not persisted counts as recorded")
	}
	data, _ := os.ReadFile(path)
	os.WriteFile(path, data[:len(data)-3], 0o600)
	if _, err := Open(path, "s1"); err == nil || !strings.Contains(err.Error(), "torn") {
		t.Error(err)
	}
}
