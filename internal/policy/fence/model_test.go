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

// This file searches all short interleavings of an owner, its successor, the orders under way, given late and twice, two
// servers, one of which may start anew, and the end of the lease. Table, journal and book are the real ones. An owner may be
// stopped anywhere: between its check and its act, and between intent, act and outcome. Never is an act of an old epoch done
// after one of a newer one, never are both servers out, and nobody begins an act once another one owns the duty.

type guards struct {
	fence   bool // servers refuse what is older than what they have seen
	durable bool // and know it after a start
	early   bool // a holder stops by itself before the duty is another's
	intent  bool // what is meant is written before it is done
}

type order struct {
	Order
	server int
	copies int
}

type actor struct {
	who   string
	epoch lease.Epoch
	owns  bool
	// What it is about to do: nothing, write, or send; decided at its check.
	doing string
	write controller.Write
	send  order
	given [2]uint64 // the step of the order that a server has acknowledged
}

type state struct {
	table   lease.Table
	duty    lease.Duty
	journal controller.Journal
	item    controller.Item
	actors  [2]actor
	books   [2]map[string]Order
	blank   [2]bool
	out     [2]bool
	orders  []order
	highest lease.Epoch // of what took effect
	starts  int
	harm    string
}

func start() state {
	s := state{duty: lease.Duty{Name: controller.Conducts, Epoch: 1, Holder: "one", Queue: []string{"two"}}}
	s.actors[0] = actor{who: "one", epoch: 1, owns: true}
	s.actors[1] = actor{who: "two"}
	p, _ := json.Marshal(controller.Progress{Members: []controller.Member{{Name: "0", Stage: controller.In}, {Name: "1", Stage: controller.In}}})
	s.item = controller.Item{ID: "r", Kind: controller.KindRoll, State: controller.Intent, Plan: string(p)}
	s.books = [2]map[string]Order{{}, {}}
	return s
}

// clone copies what changes in place.
func (s state) clone() state {
	s.orders = append([]order(nil), s.orders...)
	for i, b := range s.books {
		n := map[string]Order{}
		for k, v := range b {
			n[k] = v
		}
		s.books[i] = n
	}
	return s
}

func (s *state) real() (*lease.Table, *controller.Journal) {
	d := s.duty
	d.Queue = append([]string(nil), d.Queue...)
	j := s.journal
	j.Items = []controller.Item{s.item}
	return &lease.Table{Generation: 0, Duties: map[string]*lease.Duty{d.Name: &d}}, &j
}

func (s *state) key() string {
	b, _ := json.Marshal([]any{s.duty, s.journal.Step, s.item, s.books, s.blank, s.out, s.highest, s.starts})
	var x strings.Builder
	x.Write(b)
	for _, a := range s.actors {
		c, _ := json.Marshal([]any{a.epoch, a.owns, a.doing, a.write, a.send.Order, a.send.server, a.given})
		x.Write(c)
	}
	for _, o := range s.orders {
		c, _ := json.Marshal([]any{o.Order, o.server, o.copies})
		x.Write(c)
	}
	return x.String()
}

// decide is what an owner does next by the journal: what was begun before what is new.
func (s *state) decide(a *actor, g guards) {
	var p controller.Progress
	json.Unmarshal([]byte(s.item.Plan), &p)
	write := func(i int, st controller.Stage) {
		p.Members[i].Stage = st
		raw, _ := json.Marshal(p)
		a.doing = "write"
		a.write = controller.Write{Duty: controller.Conducts, Who: a.who, Epoch: a.epoch, Step: s.journal.Step + 1, Item: "r", State: controller.Intent, Plan: string(raw)}
	}
	send := func(i int, act string, step uint64) {
		a.doing, a.send = "send", order{Order{controller.Conducts, a.epoch, step, act}, i, 2}
	}
	for i, m := range p.Members {
		act, done := "evacuate", controller.IsOut
		if m.Stage == controller.GoingBack {
			act, done = "rejoin", controller.IsBack
		}
		switch {
		case m.Stage != controller.GoingOut && m.Stage != controller.GoingBack:
		case s.item.Epoch != a.epoch:
			write(i, m.Stage)
			return
		case a.given[i] == s.item.Step:
			write(i, done)
			return
		default:
			send(i, act, s.item.Step)
			return
		}
	}
	for i, m := range p.Members {
		if m.Stage == controller.IsOut {
			write(i, controller.GoingBack)
			return
		}
	}
	for k := range p.Members {
		i := k
		if a.who == "two" {
			i = len(p.Members) - 1 - k // whom it sees ready may differ
		}
		if m := p.Members[i]; m.Stage == controller.In {
			if !g.intent {
				if a.given[i] != s.journal.Step+1 {
					send(i, "evacuate", s.journal.Step+1)
				} else {
					write(i, controller.IsOut)
				}
				return
			}
			write(i, controller.GoingOut)
			return
		}
	}
}

// take is what a server does with an order.
func (s *state) take(o order, g guards) {
	b := NewBook(s.books[o.server], s.blank[o.server])
	if !b.Knows(o.Duty) {
		b.Learn(o.Duty, s.duty.Epoch, s.journal.Step) // it asks the group
		s.blank[o.server] = false
	}
	fresh, err := b.Judge(o.Order)
	if err != nil && g.fence {
		s.books[o.server] = b.Seen()
		return
	}
	b.Note(o.Order)
	s.books[o.server] = b.Seen()
	if err == nil && !fresh {
		return // it was done, and is not done again
	}
	if o.Epoch < s.highest && s.out[o.server] != (o.Act == "evacuate") {
		s.harm = "an act of an old epoch after one of a newer one"
	}
	s.highest = max(s.highest, o.Epoch)
	if s.out[o.server] = o.Act == "evacuate"; s.out[0] && s.out[1] {
		s.harm = "both servers are out"
	}
	for i := range s.actors {
		if s.actors[i].epoch == o.Epoch {
			s.actors[i].given[o.server] = o.Step
		}
	}
}

func (s state) nexts(g guards) (list []state) {
	add := func(change func(n *state)) {
		n := s.clone()
		change(&n)
		list = append(list, n)
	}
	for i := range s.actors {
		a := s.actors[i]
		switch {
		case a.doing == "" && a.owns:
			add(func(n *state) {
				n.decide(&n.actors[i], g)
				if n.actors[i].doing != "" && n.duty.Holder != a.who {
					n.harm = "one begins that does not own it"
				}
			})
		case a.doing == "write":
			add(func(n *state) {
				t, j := n.real()
				if j.Write(a.write, t) == nil {
					n.item, n.journal = j.Items[0], controller.Journal{Duty: j.Duty, Step: j.Step, Last: j.Last}
				}
				n.actors[i].doing, n.actors[i].write = "", controller.Write{}
			})
		case a.doing == "send":
			add(func(n *state) {
				n.actors[i].doing, n.actors[i].send = "", order{}
				for _, o := range n.orders {
					if o.Order == a.send.Order && o.server == a.send.server {
						return // one and the same, whenever it comes
					}
				}
				n.orders = append(n.orders, a.send)
			})
		}
	}
	for k, o := range s.orders {
		add(func(n *state) {
			n.take(o, g)
			if n.orders[k].copies--; n.orders[k].copies == 0 {
				n.orders = append(n.orders[:k:k], n.orders[k+1:]...)
			}
		})
	}
	if s.actors[0].owns {
		add(func(n *state) { n.actors[0].owns = false }) // its lease is over, by its own count
	}
	if s.duty.Holder == "one" && (!s.actors[0].owns || !g.early) {
		add(func(n *state) {
			t, _ := n.real()
			d, err := t.Apply(lease.Ask{Op: lease.Expire, Duty: controller.Conducts, Epoch: 1})
			if err == nil {
				n.duty = d
				n.actors[1].epoch, n.actors[1].owns = d.Epoch, true
			}
		})
	}
	if s.starts < 1 {
		for i := range s.books {
			add(func(n *state) { // it starts anew, in and serving
				n.starts++
				n.out[i] = false
				n.books[i] = map[string]Order{}
				n.blank[i] = g.durable // its book is lost: it asks the group, or trusts whoever comes
			})
		}
	}
	return list
}

func search(g guards, most int) (harm string, states int) {
	seen := map[string]bool{}
	queue := []state{start()}
	for len(queue) > 0 && len(seen) < most {
		s := queue[0]
		queue = queue[1:]
		for _, n := range s.nexts(g) {
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

func TestInterleavings(t *testing.T) {
	harm, n := search(guards{true, true, true, true}, 150000)
	if harm != "" {
		t.Error(harm)
	}
	t.Logf("%d states", n)
	for name, g := range map[string]guards{
		"no fence":             {false, true, true, true},
		"the book is lost":     {true, false, true, true},
		"the holder goes on":   {true, true, false, true},
		"no intent before act": {true, true, true, false},
	} {
		harm, n := search(g, 60000)
		if harm == "" {
			t.Errorf("%s: no harm found in %d states", name, n)
		}
		t.Logf("%s: %s, after %d states", name, harm, n)
	}
}

// A book lasts; one that is torn or another service's is refused and left as it is; what could not be kept is not done.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "orders")
	f, err := Open(path, "s1")
	if err != nil || f.Knows("d") {
		t.Fatal(err)
	}
	f.Learn("d", 4, 7)
	o := Order{"d", 5, 1, "evacuate"}
	if fresh, err := f.Judge(o); !fresh || err != nil {
		t.Fatal(fresh, err)
	}
	if err := f.Keep(o, "s1"); err != nil {
		t.Fatal(err)
	}
	if f, err = Open(path, "s1"); err != nil {
		t.Fatal(err)
	}
	if fresh, err := f.Judge(o); fresh || err != nil {
		t.Errorf("again: %v, %v", fresh, err)
	}
	for _, old := range []Order{{"d", 4, 9, "evacuate"}, {"d", 5, 0, "rejoin"}, {"d", 5, 1, "rejoin"}} {
		if _, err := f.Judge(old); !errors.Is(err, ErrStale) && !errors.Is(err, ErrStep) {
			t.Errorf("%+v: %v", old, err)
		}
	}
	if _, err := Open(path, "s2"); err == nil || !strings.Contains(err.Error(), `of another service, "s1"`) {
		t.Error(err)
	}
	sync := atomicfile.Sync
	defer func() { atomicfile.Sync = sync }()
	atomicfile.Sync = func(*os.File) error { return errors.New("full") }
	if err := f.Keep(Order{"d", 6, 1, "rejoin"}, "s1"); err == nil {
		t.Error("kept without a sync")
	}
	if fresh, _ := f.Judge(Order{"d", 5, 2, "rejoin"}); !fresh {
		t.Error("what was not kept counts as seen")
	}
	data, _ := os.ReadFile(path)
	os.WriteFile(path, data[:len(data)-3], 0o600)
	if _, err := Open(path, "s1"); err == nil || !strings.Contains(err.Error(), "torn") {
		t.Error(err)
	}
}
