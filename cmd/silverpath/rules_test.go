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

// unfencedEnv disables config fencing in a process. A test that sets it expects the failure that fencing
// prevents.
const unfencedEnv = "SILVERPATH_UNFENCED=1"

// sendToAll sends each of n requests to all routers, one router after the other, and counts the outcomes.
func sendToAll(n int, name string, routers ...*process) map[string]int {
	count := map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			for _, r := range routers {
				key := fmt.Sprintf("%s-%d", name, i)
				a, err := client.Do(client.MessagePack, r.addr, client.Request{Class: "oddaja", Tenant: "brand", Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
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

// countRunTwice returns the number of requests that ran more than once.
func countRunTwice(runs map[string]int) (n int) {
	for _, count := range runs {
		if count > 1 {
			n++
		}
	}
	return n
}

// mapStatus returns a router's status of the map version that it uses.
func mapStatus(t testing.TB, p *process) (rules struct {
	Standing, Contradiction, Newest string
	Quiet                           int `json:"quiet_ms"`
	Bound                           int `json:"bound_ms"`
	Longest                         int `json:"longest_ms"`
}) {
	t.Helper()
	status, err := client.Status(client.MessagePack, p.addr)
	if err != nil {
		t.Fatal(err)
	}
	var s struct {
		Fleet struct{ Rules json.RawMessage }
	}
	if err := json.Unmarshal(status, &s); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(s.Fleet.Rules, &rules); err != nil {
		t.Fatalf("failed to decode the fleet status %q: %v", status, err)
	}
	return rules
}

// Two map files of one version place a tenant in different cells. The first process that sees both logs the
// conflict, and no request is accepted under either. The next version resolves the conflict once no request
// that was accepted under either can be retried. Without fencing, requests run in both cells.
func TestTwoMapsOfOneVersion(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		env  []string
	}{{"fenced", nil}, {"unfenced", []string{unfencedEnv}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, keyWindow, c.env...)
			other := *f.Map
			other.Tenants = []cells.Tenant{{Name: "brand", Rate: 10, Homes: []cells.Home{{Cell: "b"}}}}
			files := []string{f.writeMap(f.Map), f.writeMap(&other)}
			one := f.startRouter("r1", files[0], "", c.env...)
			if c.env == nil {
				if got := sendToAll(10, "before", one); got["served"] != 10 {
					t.Fatalf("outcomes with one router: %v, want 10 served", got)
				}
			}
			two := f.startRouter("r2", files[1], "", c.env...)
			time.Sleep(300 * time.Millisecond) // until the first router has probed its servers again
			got := sendToAll(20, "both", one, two)
			if c.env != nil {
				if n := countRunTwice(f.runsByBody()); n < 15 {
					t.Errorf("without fencing %d of 20 requests ran twice, want at least 15", n)
				}
				return
			}
			if got["failed"] != 40 || countRunTwice(f.runsByBody()) != 0 {
				t.Errorf("outcomes with conflicting maps: %v, %d ran twice; want 40 failed, 0 twice", got, countRunTwice(f.runsByBody()))
			}
			// Retries of earlier requests still get their results.
			if got := sendToAll(10, "before", one); got["served"] != 10 || countRunTwice(f.runsByBody()) != 0 {
				t.Errorf("retries with conflicting maps: %v, want 10 served and none run twice", got)
			}
			for _, p := range []*process{one, two, f.servers["s1"], f.servers["s4"]} {
				line, err := p.Await(time.Second, 0, "config: version 1: ", " by r1", " by r2", "nothing that is exclusive begins")
				if err != nil || strings.Count(line[strings.Index(line, "config:"):], " 1.") != 2 {
					t.Errorf("log line of the conflict: %q, %v", line, err)
				}
			}
			if s := mapStatus(t, one); s.Standing != "contradicted" || !strings.Contains(s.Contradiction, "by r2") || s.Bound < 900 || s.Longest == 0 {
				t.Errorf("status of the first router: %+v", s)
			}
			// Version 2 is based on the first map. The second router restarts with the file of version 2.
			next := *f.Map
			next.Version = 2
			if err := proxy.WriteMap(files[0], &next); err != nil {
				t.Fatal(err)
			}
			two.Kill()
			two = f.startRouter("r2", files[0], "")
			if _, err := one.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if got := sendToAll(5, "soon", one, two); got["failed"] != 10 || mapStatus(t, two).Standing != "quiet" {
				t.Errorf("right after version 2: %v, %+v; want 10 failed and quiet", got, mapStatus(t, two))
			}
			for end := time.Now().Add(20 * time.Second); mapStatus(t, one).Standing != "good" || mapStatus(t, two).Standing != "good"; {
				if time.Now().After(end) {
					t.Fatalf("routers are not good within 20 s: %+v, %+v", mapStatus(t, one), mapStatus(t, two))
				}
				time.Sleep(50 * time.Millisecond)
			}
			if got := sendToAll(20, "after", one, two); got["served"] != 40 || countRunTwice(f.runsByBody()) != 0 {
				t.Errorf("outcomes with version 2: %v, %d ran twice; want 40 served, 0 twice", got, countRunTwice(f.runsByBody()))
			}
		})
	}
}

// A tenant moves, but the map file of one router is not updated, so the router keeps reading the old map. It
// learns of the newer version from its servers, and after a lease no request is accepted under the old map,
// also by a router that is restarted with it. Without fencing, requests run in both cells once routers no
// longer look up results at the old home.
func TestForgottenFile(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		env  []string
	}{{"fenced", nil}, {"unfenced", []string{unfencedEnv}}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 500*time.Millisecond, c.env...)
			files := []string{f.writeMap(f.Map), f.writeMap(f.Map)}
			stale, updated := f.startRouter("old", files[0], "", c.env...), f.startRouter("newer", files[1], "", c.env...)
			if got := sendToAll(10, "before", stale, updated); got["served"] != 20 {
				t.Fatalf("outcomes before the move: %v, want 20 served", got)
			}
			if code, out, message := runCommand(t, "", "cells", "--map", files[1], "move", "--tenant", "brand", "--to", "b"); code != 0 {
				t.Fatal(out, message)
			}
			if _, err := updated.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if c.env == nil {
				if _, err := stale.Await(2*time.Second, 0, "config: 2.", " is newer than 1."); err != nil {
					t.Error(err)
				}
				if got := sendToAll(5, "within", stale); got["served"] != 5 {
					t.Errorf("outcomes by the old map within the lease: %v, want 5 served", got)
				}
			}
			// Wait until the move is in force and the old home is no longer asked for results: two leases and
			// the skew, then the key window, the caller timeout and twice the skew.
			time.Sleep(2*900*time.Millisecond + 200*time.Millisecond + 500*time.Millisecond + time.Second + 400*time.Millisecond + 300*time.Millisecond)
			got := sendToAll(20, "after", updated, stale)
			restarted := f.startRouter("again", files[0], "", c.env...)
			gotRestarted := sendToAll(20, "anew", restarted, updated)
			if c.env != nil {
				if n := countRunTwice(f.runsByBody()); n < 30 {
					t.Errorf("without fencing %d of 40 requests ran twice, want at least 30", n)
				}
				return
			}
			if got["served"] != 20 || got["failed"] != 20 || gotRestarted["served"] != 20 || gotRestarted["failed"] != 20 || countRunTwice(f.runsByBody()) != 0 {
				t.Errorf("outcomes after the lease: %v, with a restarted router: %v, %d ran twice; want 20 served and 20 failed each, 0 twice",
					got, gotRestarted, countRunTwice(f.runsByBody()))
			}
			if s := mapStatus(t, stale); s.Standing != "behind" {
				t.Errorf("status of the router with the old map: %+v, want behind", s)
			}
			// The router recovers at once when its file is updated.
			data, err := os.ReadFile(files[1])
			if err == nil {
				err = os.WriteFile(files[0], data, 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
			_ = stale.Signal(syscall.SIGHUP)
			if _, err := stale.Await(3*time.Second, 0, "cells: map version 2"); err != nil {
				t.Fatal(err)
			}
			if got := sendToAll(10, "healed", stale, updated); got["served"] != 20 {
				t.Errorf("outcomes with the updated file: %v, want 20 served", got)
			}
		})
	}
}

// A router is suspended after it has found the home of a request, and resumed after the tenant has moved. The
// old home rejects the request, as its map version is old. The router then reloads the map and sends the
// request to the new home.
func TestWokenRouter(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 500*time.Millisecond)
	file := f.writeMap(f.Map)
	suspended, other := f.startRouter("woken", file, "", "SILVERPATH_STOP_ROUTED=1"), f.startRouter("other", file, filepath.Join(t.TempDir(), "other.db"))
	done := make(chan client.Reply, 1)
	go func() {
		a, _ := client.Do(client.MessagePack, suspended.addr, client.Request{Class: "oddaja", Tenant: "brand", Key: "held", Body: []byte("held"), Timeout: 20 * time.Second})
		done <- a
	}()
	if _, err := suspended.Await(3*time.Second, 0, "stopped routed"); err != nil {
		t.Fatal(err)
	}
	if code, out, message := runCommand(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", "b"); code != 0 {
		t.Fatal(out, message)
	}
	time.Sleep(5 * time.Second)
	if got := sendToAll(5, "other", other); got["served"] != 5 {
		t.Fatalf("outcomes of the other router: %v, want 5 served", got)
	}
	suspended.Resume()
	if a := <-done; a.Outcome != "served" {
		t.Errorf("request of the suspended router: %+v, want served\n%s", a, suspended.Log())
	}
	if runs := f.interpreters["s1"].Runs()["held"] + f.interpreters["s2"].Runs()["held"]; runs != 0 || f.runsByBody()["held"] != 1 {
		t.Errorf("request of the suspended router ran %d times in its old cell, %d times in all; want 0 and 1", runs, f.runsByBody()["held"])
	}
}

// A router ignores a map file that is truncated, has the active version with other content, or is older than
// the active version. A router that was down during a move loads the new map when it restarts with its old
// state. Two routers cannot share one state file.
func TestStateFromLastWeek(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 400*time.Millisecond)
	f.Map.Lease, f.Map.MaxClockSkew, f.Map.CallerTimeout = 400*time.Millisecond, 50*time.Millisecond, 800*time.Millisecond
	file, states := f.writeMap(f.Map), t.TempDir()
	absent, present := f.startRouter("away", file, filepath.Join(states, "away.db")), f.startRouter("here", file, filepath.Join(states, "here.db"))
	if got := sendToAll(10, "before", absent, present); got["served"] != 20 {
		t.Fatalf("outcomes before the moves: %v, want 20 served", got)
	}
	absent.Kill()
	move := func(to string) {
		t.Helper()
		if code, out, message := runCommand(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", to); code != 0 {
			t.Fatal(out, message)
		}
		time.Sleep(3200 * time.Millisecond) // until the move is complete
	}
	move("b")
	old := readFile(t, file)
	move("a")
	newest := readFile(t, file)
	for name, text := range map[string]string{"not JSON": newest[:len(newest)/2], "version: 2 is not above that in force, 3": old,
		"version: 3 is not above that in force, 3": strings.Replace(newest, `"rate": 10`, `"rate": 11`, 1)} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		from := present.LineCount()
		_ = present.Signal(syscall.SIGHUP)
		if _, err := present.Await(3*time.Second, from, "reload: done"); err != nil {
			t.Error(err)
		}
		if !strings.Contains(present.Log(), "cells: the old map holds, version 3") {
			t.Errorf("%s: the rejected map was not logged", name)
		}
		if got := sendToAll(3, name, present); got["served"] != 3 {
			t.Errorf("%s: outcomes %v, want 3 served", name, got)
		}
		if err := os.WriteFile(file, []byte(newest), 0o600); err != nil {
			t.Fatal(err)
		}
		_ = present.Signal(syscall.SIGHUP)
	}
	absent = f.startRouter("away", file, filepath.Join(states, "away.db"))
	if got := sendToAll(10, "after", absent, present); got["served"] != 20 || countRunTwice(f.runsByBody()) != 0 {
		t.Errorf("outcomes after the restart: %v, %d ran twice; want 20 served, 0 twice\n%s", got, countRunTwice(f.runsByBody()), absent.Log())
	}
	if f.interpreters["s1"].Runs()["after-1"]+f.interpreters["s2"].Runs()["after-1"] != 1 {
		t.Error("the restarted router does not use the newest map")
	}
	second := startProgram(t, []string{"route", "--config", writeServerConfig(t, "away", ""), "--edge", writeFile(t, "route.json", fmt.Sprintf(
		`{"fleet":{"map":%q,"state":%q}}`, file, filepath.Join(states, "away.db")))})
	if err := second.Wait(); err == nil || !strings.Contains(second.Log(), "fleet.state") {
		t.Errorf("second router on one state file: %v, want a fleet.state error: %s", err, second.Log())
	}
}
