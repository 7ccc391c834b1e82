package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
	"silverpath/internal/transport/client"
)

// unfenced has a process run without the fence of the rules: the harm that it keeps away must then be found.
const unfenced = "SILVERPATH_UNFENCED=1"

// toAll sends each of n sheets to every router, one after the other, and counts outcomes.
func toAll(n int, name string, routers ...*process) map[string]int {
	count := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for _, r := range routers {
				key := fmt.Sprintf("%s-%d", name, i)
				a, err := client.Do(client.Platform, r.addr, client.Request{Class: "oddaja", Tenant: "brand", Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
				if err != nil {
					a.Outcome = "lost"
				}
				mu.Lock()
				count[a.Outcome]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return count
}

func twice(runs map[string]int) (n int) {
	for _, times := range runs {
		if times > 1 {
			n++
		}
	}
	return n
}

// standing is what a router says of the rules that it goes by.
func standing(t testing.TB, p *process) (rules struct {
	Standing, Contradiction, Newest string
	Quiet                           int `json:"quiet_ms"`
	Bound                           int `json:"bound_ms"`
	Longest                         int `json:"longest_ms"`
}) {
	t.Helper()
	a, err := client.Status(client.Platform, p.addr)
	if err != nil {
		t.Fatal(err)
	}
	var s struct {
		Fleet struct{ Rules json.RawMessage }
	}
	if err := json.Unmarshal(a, &s); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(s.Fleet.Rules, &rules); err != nil {
		t.Fatalf("%s: %v", a, err)
	}
	return rules
}

// Two maps of one version differ in where a tenant lives. Whoever first sees both names both, and no sheet begins by either;
// the next version ends it, once what either began can't come again. Without the fence sheets run in both cells.
func TestTwoMapsOfOneVersion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		env  []string
	}{{"fenced", nil}, {"unfenced", []string{unfenced}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, sheetWindow, c.env...)
			other := *f.Map
			other.Tenants = []cells.Tenant{{Name: "brand", Rate: 10, Homes: []cells.Home{{Cell: "b"}}}}
			files := []string{f.write(f.Map), f.write(&other)}
			one := f.route("r1", files[0], "", c.env...)
			if c.env == nil {
				if got := toAll(10, "before", one); got["served"] != 10 {
					t.Fatalf("one router alone: %v", got)
				}
			}
			two := f.route("r2", files[1], "", c.env...)
			time.Sleep(300 * time.Millisecond) // until the first has looked after its servers once more
			got := toAll(20, "both", one, two)
			if c.env != nil {
				if n := twice(f.ran()); n < 15 {
					t.Errorf("without the fence %d of 20 sheets ran twice: this test finds no harm", n)
				}
				return
			}
			if got["failed"] != 40 || twice(f.ran()) != 0 {
				t.Errorf("by either map: %v, %d ran twice", got, twice(f.ran()))
			}
			// What is known is answered as before.
			if got := toAll(10, "before", one); got["served"] != 10 || twice(f.ran()) != 0 {
				t.Errorf("repeats by a map that is contradicted: %v", got)
			}
			for _, p := range []*process{one, two, f.servers["s1"], f.servers["s4"]} {
				line, err := p.Await(time.Second, 0, "config: version 1: ", " by r1", " by r2", "nothing that is exclusive begins")
				if err != nil || strings.Count(line[strings.Index(line, "config:"):], " 1.") != 2 {
					t.Errorf("%q, %v", line, err)
				}
			}
			if s := standing(t, one); s.Standing != "contradicted" || !strings.Contains(s.Contradiction, "by r2") || s.Bound < 900 || s.Longest == 0 {
				t.Errorf("%+v", s)
			}
			// The next version follows the first map; the other router's is set aside.
			next := *f.Map
			next.Version = 2
			if err := proxy.WriteMap(files[0], &next); err != nil {
				t.Fatal(err)
			}
			two.Kill()
			two = f.route("r2", files[0], "")
			if _, err := one.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if got := toAll(5, "soon", one, two); got["failed"] != 10 || standing(t, two).Standing != "quiet" {
				t.Errorf("at once after: %v, %+v", got, standing(t, two))
			}
			for end := time.Now().Add(20 * time.Second); standing(t, one).Standing != "good" || standing(t, two).Standing != "good"; {
				if time.Now().After(end) {
					t.Fatalf("still %+v, %+v", standing(t, one), standing(t, two))
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := toAll(20, "after", one, two); got["served"] != 40 || twice(f.ran()) != 0 {
				t.Errorf("by the next version: %v, %d ran twice", got, twice(f.ran()))
			}
		})
	}
}

// A tenant moves, and one router's file is forgotten: it reads the old map, which is well-formed, again and again. Its servers
// tell it of a newer one, and after a lease no sheet begins by the old map, also not by a router that is started anew with it.
// Without the fence sheets run in both cells, once nobody asks the old home any more.
func TestForgottenFile(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		env  []string
	}{{"fenced", nil}, {"unfenced", []string{unfenced}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 500*time.Millisecond, c.env...)
			files := []string{f.write(f.Map), f.write(f.Map)}
			old, newer := f.route("old", files[0], "", c.env...), f.route("newer", files[1], "", c.env...)
			if got := toAll(10, "before", old, newer); got["served"] != 20 {
				t.Fatalf("before: %v", got)
			}
			if code, out, message := run(t, "", "cells", "--map", files[1], "move", "--tenant", "brand", "--to", "b"); code != 0 {
				t.Fatal(out, message)
			}
			if _, err := newer.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if c.env == nil {
				if _, err := old.Await(2*time.Second, 0, "config: 2.", " is newer than 1."); err != nil {
					t.Error(err)
				}
				if got := toAll(5, "within", old); got["served"] != 5 {
					t.Errorf("within the lease: %v", got)
				}
			}
			// In force, and the old home is asked no more: two leases and the skew ahead, then the window, a patience and twice the skew.
			time.Sleep(2*900*time.Millisecond + 200*time.Millisecond + 500*time.Millisecond + time.Second + 400*time.Millisecond + 300*time.Millisecond)
			got := toAll(20, "after", newer, old)
			again := f.route("again", files[0], "", c.env...)
			anew := toAll(20, "anew", again, newer)
			if c.env != nil {
				if n := twice(f.ran()); n < 30 {
					t.Errorf("without the fence %d of 40 sheets ran twice: this test finds no harm", n)
				}
				return
			}
			if got["served"] != 20 || got["failed"] != 20 || anew["served"] != 20 || anew["failed"] != 20 || twice(f.ran()) != 0 {
				t.Errorf("%v, started anew: %v, %d ran twice", got, anew, twice(f.ran()))
			}
			if s := standing(t, old); s.Standing != "behind" {
				t.Errorf("%+v", s)
			}
			// Nothing is lost by it: with the file in its place it goes on, at once.
			data, err := os.ReadFile(files[1])
			if err == nil {
				err = os.WriteFile(files[0], data, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			_ = old.Signal(syscall.SIGHUP)
			if _, err := old.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if got := toAll(10, "healed", old, newer); got["served"] != 20 {
				t.Errorf("with the newer file: %v", got)
			}
		})
	}
}

// A router is stopped with a sheet in hand that it has found its home for, and wakes when the tenant has long lived elsewhere:
// its old home lets nothing begin by the old map. The router then reads the map and asks where the sheet belongs now.
func TestWokenRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 500*time.Millisecond)
	file := f.write(f.Map)
	woken, other := f.route("woken", file, "", "SILVERPATH_STOP_ROUTED=1"), f.route("other", file, filepath.Join(t.TempDir(), "other.db"))
	done := make(chan client.Reply, 1)
	go func() {
		a, _ := client.Do(client.Platform, woken.addr, client.Request{Class: "oddaja", Tenant: "brand", Key: "held", Body: []byte("held"), Timeout: 20 * time.Second})
		done <- a
	}()
	if _, err := woken.Await(3*time.Second, 0, "stopped routed"); err != nil {
		t.Fatal(err)
	}
	if code, out, message := run(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", "b"); code != 0 {
		t.Fatal(out, message)
	}
	time.Sleep(5 * time.Second)
	if got := toAll(5, "other", other); got["served"] != 5 {
		t.Fatalf("by the other router: %v", got)
	}
	woken.Wake()
	if a := <-done; a.Outcome != "served" {
		t.Errorf("the sheet in hand: %+v\n%s", a, woken.Log())
	}
	if runs := f.machines["s1"].Runs()["held"] + f.machines["s2"].Runs()["held"]; runs != 0 || f.ran()["held"] != 1 {
		t.Errorf("the sheet in hand ran %d times in its old cell, of %d in all", runs, f.ran()["held"])
	}
}

// Files that are half written, of the same version and another content, or older than what is in force, change nothing; a router that
// was away past a move takes it up as it starts, by the state that it had; and two can't run on one state.
func TestStateFromLastWeek(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 400*time.Millisecond)
	f.Map.Lease, f.Map.MaxClockSkew, f.Map.CallerTimeout = 400*time.Millisecond, 50*time.Millisecond, 800*time.Millisecond
	file, states := f.write(f.Map), t.TempDir()
	away, here := f.route("away", file, filepath.Join(states, "away.db")), f.route("here", file, filepath.Join(states, "here.db"))
	if got := toAll(10, "before", away, here); got["served"] != 20 {
		t.Fatalf("before: %v", got)
	}
	away.Kill()
	move := func(to string) {
		t.Helper()
		if code, out, message := run(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", to); code != 0 {
			t.Fatal(out, message)
		}
		time.Sleep(3200 * time.Millisecond) // until it is over
	}
	move("b")
	old := textOf(t, file)
	move("a")
	newest := textOf(t, file)
	for name, text := range map[string]string{"not JSON": newest[:len(newest)/2], "version: 2 is not above that in force, 3": old,
		"version: 3 is not above that in force, 3": strings.Replace(newest, `"rate": 10`, `"rate": 11`, 1)} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		from := here.Lines()
		_ = here.Signal(syscall.SIGHUP)
		if _, err := here.Await(3*time.Second, from, "reload: done"); err != nil {
			t.Error(err)
		}
		if !strings.Contains(here.Log(), "cells: the old map holds, version 3") {
			t.Errorf("%s: nothing is said", name)
		}
		if got := toAll(3, name, here); got["served"] != 3 {
			t.Errorf("%s: %v", name, got)
		}
		if err := os.WriteFile(file, []byte(newest), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = here.Signal(syscall.SIGHUP)
	}
	away = f.route("away", file, filepath.Join(states, "away.db"))
	if got := toAll(10, "after", away, here); got["served"] != 20 || twice(f.ran()) != 0 {
		t.Errorf("started anew: %v, %d ran twice\n%s", got, twice(f.ran()), away.Log())
	}
	if f.machines["s1"].Runs()["after-1"]+f.machines["s2"].Runs()["after-1"] != 1 {
		t.Error("it goes by the map of last week")
	}
	second := begin(t, []string{"route", "--config", siteFile(t, "away", ""), "--edge", write(t, "route.json", fmt.Sprintf(
		`{"fleet":{"map":%q,"state":%q}}`, file, filepath.Join(states, "away.db")))})
	if err := second.Wait(); err == nil || !strings.Contains(second.Log(), "fleet.state") {
		t.Errorf("two on one state: %v, %s", err, second.Log())
	}
}
