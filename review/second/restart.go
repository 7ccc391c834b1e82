package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["overlapping-start"] = overlappingStart
	cases["refused-after-crash"] = refusedAfterCrash
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

// refusedAfterCrash: a server with a store is killed and comes back cold. Its store knows the sheets that it ran; a router refuses their
// repeats by itself.
func refusedAfterCrash(r *rig) (string, error) {
	edge := func(server string) object {
		return object{"status": true, "cell": true, "store": object{"dir": r.path("keys-" + server)}}
	}
	for _, name := range serverNames {
		p, err := r.start("init-"+name, "exec bin/silverpath store init --dir "+r.path("keys-"+name)+" --name "+name)
		if err != nil {
			return "", err
		}
		<-p.done
	}
	f, err := r.startFleet(plan{tenants: tenants(), edge: edge})
	if err != nil {
		return "", err
	}
	var sheets []client.Request
	for n := range 24 {
		sheets = append(sheets, sheet("kvizmojster", fmt.Sprintf("%032x", 0xabc000+n)))
	}
	for _, q := range sheets {
		if err := r.askAndLeave("router r1", f.routerAddrs[0], q, 100*time.Millisecond); err != nil {
			return "", err
		}
	}
	time.Sleep(time.Second)
	for _, q := range sheets {
		if n := f.runs(q); n != 1 {
			return "", fmt.Errorf("the first try of key %s ran %d times", q.Key, n)
		}
	}
	if r.trouble {
		r.signal(f.procs[0], syscall.SIGKILL)
		<-f.procs[0].done
		time.Sleep(5100 * time.Millisecond)
		next, err := r.interpreter("of s1 after the crash", 300*time.Millisecond)
		if err != nil {
			return "", err
		}
		f.interpreters = append(f.interpreters, next)
		p, err := r.server("s1-back", "s1", f.servers[0]["addr"].(string), next.addr(), edge("s1"), nil)
		if err != nil {
			return "", err
		}
		defer r.quote(p, "phase", "store:", "recovery:")
		if err := r.logged(p, "phase serving", 10*time.Second); err != nil {
			return "", err
		}
		time.Sleep(time.Second) // two health checks of the routers
	}
	return refusals(r, f, sheets)
}

// refusals sends the repeats of sheets that have run, all at once, and returns how many of them were refused.
func refusals(r *rig, f *fleet, sheets []client.Request) (string, error) {
	var repeats sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for _, q := range sheets {
		repeats.Go(func() {
			outcome, _ := r.ask(client.MessagePack, "router r2", f.routerAddrs[1], q)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
		})
	}
	repeats.Wait()
	r.note("%d repeats of sheets that have run: %v", len(sheets), outcomes)
	for _, q := range sheets {
		if violation := f.twice(q); violation != "" {
			return violation, nil
		}
	}
	if n := outcomes["refused"]; n > 0 {
		return fmt.Sprintf("%d of %d sheets that have run were refused", n, len(sheets)), nil
	}
	return "", nil
}
