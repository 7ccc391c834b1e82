package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["renamed-class"] = renamedClass
}

// nextClass is the name to which the class oddaja is changed.
const nextClass = "oddaja-next"

// withNext adds the class under its next name to settings, and removes it under its present one if replace is set.
func withNext(settings object, replace bool) {
	var classes []any
	for _, c := range settings["classes"].([]any) {
		class := c.(object)
		if class["name"] == "oddaja" {
			next := object{}
			for k, v := range class {
				next[k] = v
			}
			next["name"] = nextClass
			classes = append(classes, next)
			if replace {
				continue
			}
		}
		classes = append(classes, class)
	}
	settings["classes"] = classes
}

// renamedClass: a class gets another name, first at the servers, which have both, then at the routers by SIGHUP. The sheets that wait in a
// router at that moment are forwarded like reads, to any server.
func renamedClass(r *rig) (string, error) {
	const atOnce, inFlight = 36, 18 // sheets, and how many of them a router has in flight for the three servers of 6 cores
	cpus := func(settings object) { settings["family_info"].(object)["cpus"] = inFlight }
	f, err := r.startFleet(plan{tenants: tenants(), inA: 3, changeServer: func(settings object) { withNext(settings, false) }, changeRouter: cpus})
	if err != nil {
		return "", err
	}
	var sheets []client.Request
	for n := range atOnce {
		sheets = append(sheets, sheet("kvizmojster", fmt.Sprintf("%032x", 0xdef000+n)))
	}
	var tries sync.WaitGroup
	for _, q := range sheets {
		tries.Go(func() { _, _ = r.ask(client.MessagePack, "router r1", f.routerAddrs[0], q) })
	}
	if r.trouble {
		time.Sleep(100 * time.Millisecond)
		for n, p := range f.routers {
			if _, err := r.routerConfig(p.name, f.routerAddrs[n], func(settings object) { cpus(settings); withNext(settings, true) }); err != nil {
				return "", err
			}
			r.signal(p, syscall.SIGHUP)
			defer r.quote(p, "reload:")
		}
	}
	tries.Wait()
	r.note("the routers' connections to the clients are reset as the answers come; the clients send their sheets again, by the class's name of now")
	time.Sleep(1500 * time.Millisecond)
	for _, q := range sheets {
		if r.trouble {
			q.Class = nextClass
		}
		tries.Go(func() { _, _ = r.ask(client.MessagePack, "router r2", f.routerAddrs[1], q) })
		time.Sleep(20 * time.Millisecond)
	}
	tries.Wait()
	twice := 0
	for _, q := range sheets {
		if n := f.runs(q); n > 1 {
			twice++
			r.note("key %s has run %d times", q.Key, n)
		}
	}
	if twice > 0 {
		return fmt.Sprintf("%d of %d sheets have run more than once within their window", twice, len(sheets)), nil
	}
	return "", nil
}
