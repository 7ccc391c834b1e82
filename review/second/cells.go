package main

import (
	"fmt"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["named-tenant"] = namedTenant
}

const (
	window   = 13170 * time.Millisecond // window_ms of deploy/cells.json, memory_span of deploy/scgi.json
	patience = 4400 * time.Millisecond
	skew     = 500 * time.Millisecond
	lease    = 5 * time.Second
	// settle is how long after the start of a server routers send it no keyed request that an earlier process may have run.
	settle = window + patience + 2*skew
)

// ms returns a time in Unix milliseconds.
func ms(t time.Time) int64 { return t.UnixMilli() }

// fleetMap returns a map with the times of deploy/cells.json.
func fleetMap(version int, servers, tenants []object) object {
	return object{"version": version, "window_ms": window.Milliseconds(), "skew_ms": skew.Milliseconds(), "lease_ms": lease.Milliseconds(),
		"patience_ms": patience.Milliseconds(), "cells": []object{{"name": "a", "capacity": 40}, {"name": "b", "capacity": 40}},
		"servers": servers, "tenants": tenants}
}

// fleet is a cell a with server s1, a cell b with servers s2 to s6, and two routers.
type fleet struct {
	rig          *rig
	mapPath      string
	servers      []object // entries of the map
	interpreters []*interpreter
	procs        []*process // the servers
	routers      []*process
	routerAddrs  []string
}

// serverNames are the servers of a fleet: the loss or the restart of one is that of a sixth of them.
var serverNames = []string{"s1", "s2", "s3", "s4", "s5", "s6"}

// plan is how a fleet is set up, beyond the settings of the folder deploy.
type plan struct {
	tenants      []object
	inA          int                        // servers in cell a, of which s1 is the first; 0: one
	edge         func(server string) object // edge file of a server; nil: that of a server in a cell
	changeServer func(settings object)      // of servers; nil: none
	changeRouter func(settings object)      // of routers; nil: none
}

// startFleet starts a fleet and waits until its routers send keyed requests.
func (r *rig) startFleet(set plan) (*fleet, error) {
	if set.edge == nil {
		set.edge = inCell
	}
	addrs, err := freeAddrs(len(serverNames) + 2)
	if err != nil {
		return nil, err
	}
	f := &fleet{rig: r}
	for n, name := range serverNames {
		cell := "b"
		if n < max(1, set.inA) {
			cell = "a"
		}
		f.servers = append(f.servers, object{"name": name, "addr": addrs[n], "cell": cell})
		i, err := r.interpreter("of "+name, 300*time.Millisecond)
		if err != nil {
			return nil, err
		}
		p, err := r.server(name, name, addrs[n], i.addr(), set.edge(name), set.changeServer)
		if err != nil {
			return nil, err
		}
		f.interpreters, f.procs = append(f.interpreters, i), append(f.procs, p)
	}
	for _, p := range f.procs {
		if err := r.logged(p, "phase serving", 10*time.Second); err != nil {
			return nil, err
		}
	}
	if f.mapPath, err = r.write("cells.json", fleetMap(1, f.servers, set.tenants)); err != nil {
		return nil, err
	}
	for n, name := range []string{"r1", "r2"} {
		p, err := r.router(name, addrs[len(serverNames)+n], f.mapPath, set.changeRouter)
		if err != nil {
			return nil, err
		}
		f.routers, f.routerAddrs = append(f.routers, p), append(f.routerAddrs, addrs[len(serverNames)+n])
	}
	for _, p := range f.routers {
		if err := r.logged(p, "phase serving", 10*time.Second); err != nil {
			return nil, err
		}
	}
	r.note("waiting until the window after the servers' starts is over")
	time.Sleep(settle + time.Second)
	return f, nil
}

// runs returns the number of runs of a sheet in the fleet.
func (f *fleet) runs(q client.Request) (n int) {
	for _, i := range f.interpreters {
		n += i.ran(string(q.Body))
	}
	return n
}

// twice returns the violation if a sheet has run more than once in the fleet.
func (f *fleet) twice(q client.Request) string {
	if n := f.runs(q); n > 1 {
		return fmt.Sprintf("the sheet of key %s has run %d times within its window", q.Key, n)
	}
	return ""
}

func inCell(string) object { return object{"status": true, "cell": true} }

// namedTenant: the tenants that the map does not name moved from cell b to cell a a day ago. A map that names one of them is taken up, and
// sends that tenant's requests to b at once.
func namedTenant(r *rig) (string, error) {
	yesterday := time.Now().Add(-24 * time.Hour)
	unnamed := object{"name": "", "rate": 38, "homes": []object{{"cell": "b"}, {"cell": "a", "from_ms": ms(yesterday)}}}
	main := object{"name": "kvizmojster", "rate": 60, "homes": []object{{"cell": "a"}}}
	f, err := r.startFleet(plan{tenants: []object{main, unnamed}})
	if err != nil {
		return "", err
	}
	q := sheet("krcmarski-kviz", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	if err := r.askAndLeave("router r1", f.routerAddrs[0], q, 150*time.Millisecond); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if f.runs(q) != 1 {
		return "", fmt.Errorf("the first try ran %d times", f.runs(q))
	}
	if r.trouble {
		named := object{"name": q.Tenant, "rate": 13, "homes": []object{{"cell": "b"}}}
		if _, err := r.write("cells.json", fleetMap(2, f.servers, []object{main, named, unnamed})); err != nil {
			return "", err
		}
		r.note("the map's version 2 names the tenant, with homes[0] of the unnamed: %v", named)
		for _, p := range f.routers {
			r.signal(p, syscall.SIGHUP)
		}
		time.Sleep(time.Second)
		for _, p := range f.routers {
			r.quote(p, "cells:", "reload:")
		}
	}
	if _, err := r.ask(client.MessagePack, "router r2", f.routerAddrs[1], q); err != nil {
		return "", err
	}
	return f.twice(q), nil
}
