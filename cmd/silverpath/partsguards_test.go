package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/standin/faults"
)

// Parts of a change are damaged on their way to two routers. The first compares digests: it does not report
// the change as prepared, and applies the correct version once it receives it undamaged. The second ignores
// digests: it applies and stores a map that is no version of the document.
func TestDamagedParts(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	m := *f.Map
	m.Version++
	addIdleTenants(&m, 700)
	f.put("map", f.writeMap(&m))
	var links [2][]*faults.Proxy
	var states [2]string
	var routers [2]*process
	for i, env := range [][]string{nil, {"SILVERPATH_ANY_TEXT=1"}} {
		var addrs []string
		addrs, links[i] = f.memberLinks()
		states[i] = filepath.Join(t.TempDir(), "state.db")
		name := fmt.Sprint("r", i)
		routers[i] = startServingWithEnv(t, env, "route", "--config", writeServerConfig(t, name, ""), "--edge", writeFile(t, name+"-edge.json", fmt.Sprintf(
			`{"status":true,"fleet":{"state":%q,"probe_ms":100},%s}`, states[i], f.rulesSection(addrs, "map"))))
		if _, err := routers[i].Await(10*time.Second, 0, "config: active: map 2."); err != nil {
			t.Fatal(err)
		}
	}
	damageAfter := func(text string) {
		for _, list := range links {
			for _, w := range list {
				w.SetFault(faults.ToClient, faults.Fault{CorruptAfter: text})
			}
		}
	}
	damageAfter(`\"rate\":`)
	next := m
	next.Version++
	next.Tenants = append([]cells.Tenant(nil), m.Tenants...)
	for i := range 5 {
		next.Tenants[100+i].Rate = 3
	}
	f.expect(0, "version 3 proposed", "put", "map", f.writeMap(&next))
	if _, err := routers[0].Await(10*time.Second, 0, "config: map: what came does not follow"); err != nil {
		t.Fatal(err)
	}
	prepared := func(router string) bool {
		r := must[quorum.ConfigView](t)(f.g.Client.Config(f.g.within(10 * time.Second)))
		for name, u := range r.Store.Processes {
			if strings.HasPrefix(name, router+"#") && u.Prepared["map"] == 3 {
				return true
			}
		}
		return false
	}
	await(t, "the router that ignores digests reports the change as prepared", 20*time.Second, func() bool { return prepared("r1") })
	if prepared("r0") {
		t.Error("the router that compares digests reports the damaged change as prepared")
	}
	if active, stage, waitingFor := f.documentState("map"); active != 2 || stage != configstore.StageProposed {
		t.Errorf("version %d is in force, the next one is in stage %s and waits for %s", active, stage, waitingFor)
	}
	damageAfter("")
	f.awaitActive("map", 3, 60*time.Second)
	for i, p := range routers {
		if _, err := p.Await(20*time.Second, 0, "config: active: map 3."); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Await(20*time.Second, 0, "cells: map version 3"); err != nil {
			t.Fatal(err)
		}
		if err := p.Leave(); err != nil {
			t.Error(err)
		}
		src, err := proxy.OpenGroupSource(states[i])
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = src.Close() }()
		stored, _, err := src.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		digest, ok := src.DigestOf(stored)
		if damaged := configstore.TextsDigest(settings.SplitCells(stored)) != digest; !ok || stored.Version != 3 || damaged != (i == 1) {
			t.Errorf("router %d stored map version %d with digest %016x, in parts %v, damaged %v", i, stored.Version, digest, ok, damaged)
		}
	}
}
