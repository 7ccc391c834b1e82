package controller

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
)

func owned(epoch lease.Epoch, who string) *lease.Table {
	t := lease.NewTable(0)
	t.Duties["d"] = &lease.Duty{Name: "d", Epoch: epoch, Holder: who}
	return t
}

// A journal takes the next step of the owner's epoch and the last one again; what is stale, out of step, over or paused is
// refused by name and changes nothing; it forgets what has long been over, and never what is open.
func TestJournal(t *testing.T) {
	j := &Journal{Duty: "d"}
	if _, err := j.Submit("a", "k", nil); err != nil {
		t.Fatal(err)
	}
	j.Submit("a", "k", nil)
	tab := owned(7, "o")
	w := Write{Duty: "d", Who: "o", Epoch: 7, Step: 1, Item: "a", State: Intent, Plan: "p"}
	for _, c := range []struct {
		name string
		w    Write
		want error
	}{
		{"an older epoch", Write{Duty: "d", Who: "o", Epoch: 6, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"another owner", Write{Duty: "d", Who: "x", Epoch: 7, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"a step ahead", Write{Duty: "d", Who: "o", Epoch: 7, Step: 2, Item: "a"}, ErrStep},
		{"no such item", Write{Duty: "d", Who: "o", Epoch: 7, Step: 1, Item: "b"}, ErrNoItem},
		{"the intent", w, nil},
		{"the intent again", w, nil},
		{"another at its step", Write{Duty: "d", Who: "o", Epoch: 7, Step: 1, Item: "a", State: Done}, ErrStep},
		{"its outcome", Write{Duty: "d", Who: "o", Epoch: 7, Step: 2, Item: "a", State: Done, Doc: "x"}, nil},
		{"once more", Write{Duty: "d", Who: "o", Epoch: 7, Step: 3, Item: "a", State: Intent}, ErrStep},
	} {
		if err := j.Write(c.w, tab); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if it := j.Item("a"); it.State != Done || j.Doc != "x" || j.Step != 2 || len(j.Items) != 1 {
		t.Errorf("%+v", j)
	}
	j.Submit("b", "k", nil)
	tab.Duties["d"].PauseReason = "by an operator"
	if err := j.Write(Write{Duty: "d", Who: "o", Epoch: 7, Step: 3, Item: "b", State: Intent}, tab); !errors.Is(err, ErrPaused) {
		t.Error(err)
	}
	tab.Duties["d"].PauseReason = ""
	for i := range 3 * keptOver {
		id := fmt.Sprint("x", i)
		j.Submit(id, "k", nil)
		if err := j.Write(Write{Duty: "d", Who: "o", Epoch: 7, Step: j.Step + 1, Item: id, State: Done, Plan: "p"}, tab); err != nil {
			t.Fatal(err)
		}
	}
	if len(j.Items) != keptOver+1 || j.Item("b") == nil || j.Items[1].Plan != "" {
		t.Errorf("%d items", len(j.Items))
	}
	for i := 0; ; i++ {
		if _, err := j.Submit(fmt.Sprint("q", i), "k", nil); err != nil {
			if !errors.Is(err, ErrFull) || i != mostOpen-1 {
				t.Error(i, err)
			}
			break
		}
	}
}

// A server is dead where a majority of the routers report, and all who report have said so for long enough; one that some
// reach is not, and silence of the routers says nothing.
func TestWatcher(t *testing.T) {
	w := &Watcher{Routers: []string{"r1", "r2", "r3"}, After: 4 * time.Second, Fresh: 3 * time.Second}
	at := time.Duration(0)
	say := func(who string, dead ...string) {
		r := Report{Router: who, At: at, Dead: map[string]bool{}}
		for _, d := range dead {
			r.Dead[d] = true
		}
		w.Told(r)
	}
	want := func(v Verdict) {
		t.Helper()
		if got := w.Verdicts([]string{"s"}, at)["s"]; got != v {
			t.Errorf("at %v: %s, want %s", at, got, v)
		}
	}
	want(Unsure)
	say("r1", "s")
	want(Unsure) // one router alone may be the one that is cut off
	say("r2")
	want(PartlyAlive)
	for range 5 {
		at += time.Second
		say("r1", "s")
		say("r2", "s")
		if at < 5*time.Second {
			want(Dying)
		}
	}
	want(Dead)
	if id, g, ok := Request("s", 3, Dead, w.After); !ok || id != "gone-s-3" || g.Server != "s" {
		t.Error(id, g, ok)
	}
	say("r3")
	want(PartlyAlive)
	say("r3", "s")
	want(Dying) // from the beginning
	at += 4 * time.Second
	want(Unsure)
}

// A roll stops where too little is served, and says so; who is out returns.
func TestRollOfWorth(t *testing.T) {
	j := &Journal{Duty: Conducts}
	args, _ := json.Marshal(Roll{CellMost: 1, AllMost: 1, BackMS: 1000, WorthLeast: 0.9})
	j.Submit("r", KindRoll, args)
	servers := []Member{{Name: "s0", Cell: "a", Mgmt: "x"}, {Name: "s1", Cell: "b", Mgmt: "y"}}
	var c Conductor
	tab := lease.NewTable(0)
	tab.Duties[Conducts] = &lease.Duty{Name: Conducts, Epoch: 1, Holder: "o"}
	now, orders := time.Duration(0), ""
	for range 100 {
		now += 100 * time.Millisecond
		seen := map[string]Seen{}
		for _, s := range servers {
			seen[s.Name] = Seen{At: now, Reachable: true, Ready: !strings.HasSuffix(orders, s.Name+" out ")}
		}
		switch a := c.Next(j, 1, servers, seen, now); a.Kind {
		case WriteDown:
			a.Write.Duty, a.Write.Who, a.Write.Epoch, a.Write.Step = Conducts, "o", 1, j.Step+1
			if err := j.Write(a.Write, tab); err != nil {
				t.Fatal(err)
			}
		case Send:
			orders += a.Order.Server + map[bool]string{true: " out ", false: " back "}[a.Order.Evacuate]
			c.Told(a.Order.Server, true)
			if a.Order.Evacuate {
				c.Look(Worth{30, 0}, 0.9) // too little was asked to say anything
				for range mostLow {
					c.Look(Worth{100, 80}, 0.9)
				}
			}
		}
	}
	it := j.Item("r")
	if it.State != Failed || it.Note != "80% of the worth was served, at least 90% has to be" || orders != "s0 out s0 back " {
		t.Errorf("%s: %s, after %q", it.State, it.Note, orders)
	}
	for _, bad := range []Roll{{}, {CellMost: 1}, {CellMost: 1, AllMost: 1}, {CellMost: 1, AllMost: 1, BackMS: 1, WorthLeast: 2}, {CellMost: 1, AllMost: 1, BackMS: 1, DwellMS: -1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// A plan that came too late has its place withdrawn, and the next one takes the place after it.
func TestKeeperTooLate(t *testing.T) {
	k := Keeper{Codec: Codec{
		Format: func(m *cells.Map) []byte { b, _ := json.Marshal(m); return b },
		Parse:  func(b []byte) (m *cells.Map, err error) { return m, json.Unmarshal(b, &m) },
	}}
	m := &cells.Map{Version: 4, Window: time.Second, Lease: time.Second, Patient: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s", Addr: "x", Cell: "a", Weight: 1}, {Name: "u", Addr: "y", Cell: "b", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	raw := k.Codec.Format(m)
	j := &Journal{Duty: MapKeeper, Doc: string(raw)}
	j.Submit("m", KindMove, []byte(`{"tenant":"t","to":"b"}`))
	tab := lease.NewTable(0)
	tab.Duties[MapKeeper] = &lease.Duty{Name: MapKeeper, Epoch: 3, Holder: "o"}
	h, now, did := Head{Map: m, Raw: raw, Top: 4}, time.UnixMilli(1e12), ""
	for !j.Items[0].State.Over() {
		a := k.Next(j, h, 3, now)
		switch a.Kind {
		case WriteDown:
			a.Write.Duty, a.Write.Who, a.Write.Epoch, a.Write.Step = MapKeeper, "o", 3, j.Step+1
			if err := j.Write(a.Write, tab); err != nil {
				t.Fatal(err)
			}
			if did == "" {
				now = now.Add(time.Hour) // it was stopped after its intent
			}
			if a.Write.State == Queued {
				h.Place = nil
			}
			did += string(a.Write.State) + " "
		case Withdraw:
			h.Place, h.Top = []byte("withdrawn"), a.Version
			did += fmt.Sprint("withdraw ", a.Version, " ")
		case Publish:
			h.Place, h.Top = a.Raw, a.Version
			did += fmt.Sprint("publish ", a.Version, " ")
		}
	}
	if want := "intent withdraw 5 queued intent publish 6 done "; did != want {
		t.Errorf("%q, want %q", did, want)
	}
}

// Who is not there counts as out: one of the cell that is no part of the roll, and one that was seen long ago.
func TestRoom(t *testing.T) {
	servers := []Member{{Name: "s0", Cell: "a", Mgmt: "x"}, {Name: "s1", Cell: "a", Mgmt: "y"}, {Name: "s2", Cell: "b", Mgmt: "z"}}
	p := Progress{Members: []Member{servers[0]}}
	now := time.Minute
	ready := Seen{At: now - time.Second, Reachable: true, Ready: true}
	for name, c := range map[string]struct {
		all  int
		seen map[string]Seen
		want bool
	}{
		"all there":                {1, map[string]Seen{"s0": ready, "s1": ready, "s2": ready}, true},
		"another of the cell gone": {2, map[string]Seen{"s0": ready, "s1": {At: now}, "s2": ready}, false},
		"one elsewhere gone":       {2, map[string]Seen{"s0": ready, "s1": ready, "s2": {At: now}}, true},
		"and one in all":           {1, map[string]Seen{"s0": ready, "s1": ready, "s2": {At: now}}, false},
		"never seen":               {2, map[string]Seen{"s0": ready, "s2": ready}, false},
		"seen long ago":            {2, map[string]Seen{"s0": ready, "s1": {At: time.Second, Reachable: true, Ready: true}, "s2": ready}, false},
		"itself not there":         {2, map[string]Seen{"s1": ready, "s2": ready}, false},
	} {
		if got := room(Roll{CellMost: 1, AllMost: c.all}, p, servers[0], servers, c.seen, now); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
