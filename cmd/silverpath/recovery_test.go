package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silverpath/internal/ask"
	"silverpath/internal/lab"
)

// alive has a service leave signs of life, valid for so long, and keep its runs if it is to.
func (d *durable) alive(valid time.Duration, keeps bool) {
	parts := []string{fmt.Sprintf(`"life":{"file":%q,"valid_ms":%d}`, filepath.Join(filepath.Dir(d.dir), "life"), valid.Milliseconds())}
	if keeps {
		parts = append(parts, fmt.Sprintf(`"store":{"dir":%q,"size_mb":8}`, d.dir))
	}
	d.Args = []string{"--edge", write(d.t, "edge.json", "{"+strings.Join(parts, ",")+"}")}
}

// state is how far a process has come, and what it waits for.
func (d *durable) state() (state string, waits map[string]bool, steps []string) {
	var s struct {
		Recovery struct {
			State string
			Waits []struct{ For string }
			Steps []struct{ State string }
		}
	}
	text, err := ask.Status(ask.Platform, d.Addr)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		d.t.Fatalf("%s: %v", text, err)
	}
	waits = map[string]bool{}
	for _, w := range s.Recovery.Waits {
		waits[w.For] = true
	}
	for _, st := range s.Recovery.Steps {
		steps = append(steps, st.State)
	}
	return s.Recovery.State, waits, steps
}

// full waits until the service is whole again, and returns how long that took.
func (d *durable) full(g *lab.Generation) time.Duration {
	d.t.Helper()
	began := time.Now()
	if _, err := g.Await(20*time.Second, 0, "recovery: full after "); err != nil {
		d.t.Fatal(err)
	}
	return time.Since(began)
}

// bare starts the service without waiting for a store.
func (d *durable) bare(env ...string) *lab.Generation {
	d.t.Helper()
	d.Env = env
	g := d.Start()
	g.Ready(d.t)
	return g
}

// Without a store: the window of what may have run counts from the last sign of life and not from the start, and where the machine
// was switched on since, from that at the latest. A first start, a disk from another machine, and a sign that is torn count from the start.
func TestWindowCountsFromTheLoss(t *testing.T) {
	t.Parallel()
	d := newDurable(t)
	d.span = 500 * time.Millisecond // so that what may have run can come again for 3.55 s
	const whole = 3550 * time.Millisecond
	d.alive(400*time.Millisecond, false)
	on := "SILVERPATH_BOOT=one 1h m1"
	g := d.bare(on)
	if _, err := g.Await(5*time.Second, 0, "recovery: reads after "); err != nil {
		t.Fatal(err)
	}
	if state, waits, _ := d.state(); state != "reads" || !waits["window"] || len(waits) != 1 {
		t.Errorf("a first start: %s, waits for %v", state, waits)
	}
	if a := d.ask("early", "early"); a.Outcome != "failed" {
		t.Errorf("a sheet that may have run: %s", a.Outcome)
	}
	if a, err := ask.Once(ask.Platform, d.Addr, ask.Request{Class: "krog", Body: []byte("x"), Wait: time.Second}); err != nil || a.Outcome != "served" {
		t.Errorf("a read: %s, %v", a.Outcome, err)
	}
	if took := d.full(g); took < whole/2 {
		t.Errorf("a first start was whole after %v", took)
	}
	d.serve("before", 3)
	if _, _, steps := d.state(); strings.Join(steps, " ") != "reads full" && strings.Join(steps, " ") != "reads sheets full" {
		t.Errorf("steps %v", steps)
	}
	g.Kill()
	time.Sleep(2 * time.Second)
	// The clock of the tests goes on from what the environment says.
	g = d.bare("SILVERPATH_BOOT=one 1h10s m1")
	if took := d.full(g); took > time.Second {
		t.Errorf("dead for 10 s by the machine's clock, whole after %v", took)
	}
	g.Kill()
	g = d.bare("SILVERPATH_BOOT=two 2s m1")
	if took := d.full(g); took > 2500*time.Millisecond || took < 500*time.Millisecond {
		t.Errorf("switched on 2 s ago, whole after %v", took)
	}
	g.Kill()
	g = d.bare("SILVERPATH_BOOT=three 1h m2")
	if took := d.full(g); took < whole/2 {
		t.Errorf("a disk of another machine, whole after %v", took)
	}
}

// A sheet begins only while signs of life last. The disk stops taking them, the window of the last one ends, and the process goes on;
// then it is killed: what it ran meanwhile is not run again. Where the rule is left out it is.
func TestNoSignNoSheet(t *testing.T) {
	t.Parallel()
	for _, unruled := range []bool{false, true} {
		t.Run(fmt.Sprint(unruled), func(t *testing.T) {
			t.Parallel()
			d := newDurable(t)
			d.span = 500 * time.Millisecond
			d.alive(400*time.Millisecond, false)
			var env []string
			if unruled {
				env = []string{"SILVERPATH_UNSIGNED=1"}
			}
			g := d.bare(env...)
			d.full(g)
			d.disk("sign input/output error")
			time.Sleep(4200 * time.Millisecond)
			a := d.ask("late", "late")
			if !unruled && (a.Outcome != "refused" || d.Runs()["late"] != 0) {
				t.Errorf("without signs that last: %s", a.Outcome)
			}
			g.Kill()
			d.disk("")
			g = d.bare()
			for end := time.Now().Add(6 * time.Second); d.ask("late", "late").Outcome != "served"; time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("nothing is served")
				}
			}
			if n := d.Runs()["late"]; unruled != (n > 1) {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// Power is lost with everything on: what a store knows is answered at once, and new sheets run at once, on a machine that was dark for
// no time that anybody knows.
func TestPowerComesBackToAStore(t *testing.T) {
	t.Parallel()
	d := newDurable(t)
	d.alive(time.Second, true)
	g := d.up("SILVERPATH_BOOT=one 1h m1")
	d.full(g)
	served := d.serve("before", 10)
	for i, on := range []string{"two 1s m1", "three 1s m1", "four 500h m2"} {
		g.Kill()
		began := time.Now()
		g = d.up("SILVERPATH_BOOT=" + on)
		if w := d.again(served); len(w) > 0 {
			t.Error(on, w)
		}
		d.serve(fmt.Sprint("new-", i), 3)
		d.full(g)
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("%s: %v from the start to all of it", on, took)
		}
	}
}
