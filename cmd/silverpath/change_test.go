package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
)

// Concurrent changes of one map file lose no update: each change that a command reports as written is in the
// map.
func TestTwoOperators(t *testing.T) {
	m := &cells.Map{
		Version: 1, KeyWindow: time.Second, MaxClockSkew: 100 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}},
	}
	for i, c := range []string{"a", "b"} {
		m.Servers = append(m.Servers, cells.Server{Name: "s" + c, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Cell: c, Weight: 1})
	}
	const moves = 6
	for i := range moves {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	file := t.TempDir() + "/cells.json"
	if err := proxy.WriteMap(file, m); err != nil {
		t.Fatal(err)
	}
	var operators sync.WaitGroup
	for i := range moves {
		operators.Go(func() {
			if code, out, message := runCommand(t, "", "cells", "move", "--map", file, "--tenant", fmt.Sprint("t", i), "--to", "b"); code != 0 {
				t.Errorf("cells move: output %q, message %q", out, message)
			}
		})
	}
	operators.Wait()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, err := settings.ParseCells(data)
	if err != nil || got.Version != 1+moves {
		t.Fatalf("map version %d, error %v", got.Version, err)
	}
	for _, tenant := range got.Tenants {
		if len(tenant.Homes) != 2 {
			t.Errorf("the move of %s was lost", tenant.Name)
		}
	}
	// A process that holds the lock blocks other changes. Their error message names the process.
	lock, err := os.OpenFile(file+".lock", os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	code, _, message := runCommand(t, "", "cells", "abort", "--map", file, "--wait", "50ms", "--tenant", "t0")
	if code != 1 || !strings.Contains(message, "another change of the map is under way, by process ") {
		t.Errorf("cells abort while the map is locked: exit code %d, message %s", code, message)
	}
}
