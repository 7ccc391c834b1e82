package main

import (
	"fmt"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["overlapping-start"] = overlappingStart
}

// tenants are those of deploy/cells.json that live in cell a.
func tenants() []object {
	return []object{{"name": "kvizmojster", "rate": 60, "homes": []object{{"cell": "a"}}}}
}

// overlappingStart: the next process of a server is started while the present one still serves, and waits for its address. The sheets that
// the old process ran until it left are taken for runs of long before, as the start of the new one counts.
func overlappingStart(r *rig) (string, error) {
	f, err := r.startFleet(plan{tenants: tenants()})
	if err != nil {
		return "", err
	}
	q := sheet("kvizmojster", "00f1c2d3e4b5a697887766554433221a")
	startedAt := time.Now()
	if r.trouble {
		next, err := r.interpreter("of s1's next process", 300*time.Millisecond)
		if err != nil {
			return "", err
		}
		f.interpreters = append(f.interpreters, next)
		p, err := r.server("s1-next", "s1", f.servers[0]["addr"].(string), next.addr(), inCell("s1"), nil)
		if err != nil {
			return "", err
		}
		if err := r.logged(p, "tried again for", 5*time.Second); err != nil {
			return "", err
		}
		sleepUntil(startedAt.Add(6 * time.Second))
		r.signal(f.procs[0], syscall.SIGTERM)
		defer r.quote(p, "tried again", "listening", "phase")
	}
	sleepUntil(startedAt.Add(7200 * time.Millisecond)) // 1.2 s after the notice, within its drain window of 2 s
	sentAt := time.Now()
	if err := r.askAndLeave("router r1", f.routerAddrs[0], q, 150*time.Millisecond); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if f.runs(q) != 1 {
		return "", fmt.Errorf("the first try ran %d times", f.runs(q))
	}
	sleepUntil(sentAt.Add(window - 700*time.Millisecond))
	r.note("%v after the first try, so within the window of %v:", time.Since(sentAt).Round(time.Millisecond), window)
	if _, err := r.ask(client.MessagePack, "router r2", f.routerAddrs[1], q); err != nil {
		return "", err
	}
	return f.twice(q), nil
}
