package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["early-import"] = earlyImport
	cases["life-without-store"] = lifeWithoutStore
}

// command runs a command of the program to its end and returns its output.
func (r *rig) command(args ...string) (string, error) {
	r.note("bin/silverpath %s", strings.Join(args, " "))
	out, err := exec.Command("bin/silverpath", args...).CombinedOutput()
	r.note("  says: %s", strings.TrimSpace(string(out)))
	if err != nil {
		return "", fmt.Errorf("silverpath %v: %w: %s", args, err, out)
	}
	return strings.TrimSpace(string(out)), nil
}

// importCopy imports a copy of the store of the server whose admin API is at mgmt for another server.
func (r *rig) importCopy(mgmt, name string) error {
	copied, err := r.command("store", "export", "--mgmt", mgmt)
	if err == nil {
		_, err = r.command("store", "import", "--from", copied, "--dir", r.path("keys-"+name), "--name", name)
	}
	return err
}

// earlyImport: a copy of a server's store is imported for a server that stands by. When that one takes over, the window in which it fails
// unknown keys is over, as it counts from the import and not from the end of the first server.
func earlyImport(r *rig) (string, error) {
	addrs, err := freeAddrs(3)
	if err != nil {
		return "", err
	}
	storeEdge := func(name string) object {
		return object{"status": true, "store": object{"dir": r.path("keys-" + name)}}
	}
	if _, err := r.command("store", "init", "--dir", r.path("keys-s1"), "--name", "s1"); err != nil {
		return "", err
	}
	vm1, err := r.interpreter("of s1", 300*time.Millisecond)
	if err != nil {
		return "", err
	}
	s1, err := r.server("s1", "s1", addrs[0], vm1.addr(), storeEdge("s1"), nil, "LB_MGMT="+addrs[2])
	if err != nil {
		return "", err
	}
	if err := r.logged(s1, "phase serving", 10*time.Second); err != nil {
		return "", err
	}
	if err := r.importCopy(addrs[2], "s2"); err != nil {
		return "", err
	}
	importedAt := time.Now()
	// The longest memory_span, the longest deadline and two seconds, after which unknown keys don't fail any more.
	sleepUntil(importedAt.Add(window + patience + 3*time.Second))
	q := sheet("kvizmojster", "31415926535897932384626433832795")
	if outcome, err := r.ask(client.MessagePack, "s1", addrs[0], q); err != nil || outcome != "served" {
		return "", fmt.Errorf("the first try is %s: %w", outcome, err)
	}
	r.note("the connection is reset as this answer comes; the client sends its sheet again")
	vm2, err := r.interpreter("of s2", 300*time.Millisecond)
	if err != nil {
		return "", err
	}
	through, addr := "s1", addrs[0]
	if r.trouble {
		r.signal(s1, syscall.SIGKILL)
		<-s1.done
		s2, err := r.server("s2", "s2", addrs[1], vm2.addr(), storeEdge("s2"), nil)
		if err != nil {
			return "", err
		}
		if err := r.logged(s2, "phase serving", 10*time.Second); err != nil {
			return "", err
		}
		defer r.quote(s2, "store:", "phase")
		through, addr = "s2, which stood by", addrs[1]
	}
	time.Sleep(2 * time.Second)
	if _, err := r.ask(client.MessagePack, through, addr, q); err != nil {
		return "", err
	}
	if n := vm1.ran(string(q.Body)) + vm2.ran(string(q.Body)); n > 1 {
		return fmt.Sprintf("the sheet of key %s has run %d times within its window", q.Key, n), nil
	}
	return "", nil
}

// lifeWithoutStore: a server runs for one life without its store, and then with it again. The store takes itself for whole.
func lifeWithoutStore(r *rig) (string, error) {
	edge := func(server string) object {
		return object{"status": true, "cell": true, "store": object{"dir": r.path("keys-" + server)},
			"life": object{"file": r.path("life-" + server), "valid_ms": 2000}}
	}
	for _, name := range serverNames {
		if _, err := r.command("store", "init", "--dir", r.path("keys-"+name), "--name", name); err != nil {
			return "", err
		}
	}
	f, err := r.startFleet(plan{tenants: tenants(), edge: edge})
	if err != nil {
		return "", err
	}
	again := func(name string, e object) error {
		p := f.procs[0]
		r.signal(p, syscall.SIGTERM)
		<-p.done
		i, err := r.interpreter("of "+name, 300*time.Millisecond)
		if err != nil {
			return err
		}
		f.interpreters = append(f.interpreters, i)
		if f.procs[0], err = r.server(name, "s1", f.servers[0]["addr"].(string), i.addr(), e, nil); err != nil {
			return err
		}
		return r.logged(f.procs[0], "phase serving", 10*time.Second)
	}
	if r.trouble {
		e := edge("s1")
		delete(e, "store")
		if err := again("s1-without-store", e); err != nil {
			return "", err
		}
		r.note("waiting until the window after this start is over")
		time.Sleep(settle + 3*time.Second)
	}
	q := sheet("kvizmojster", "27182818284590452353602874713526")
	if err := r.askAndLeave("router r1", f.routerAddrs[0], q, 150*time.Millisecond); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if f.runs(q) != 1 {
		return "", fmt.Errorf("the first try ran %d times", f.runs(q))
	}
	if r.trouble {
		if err := again("s1-with-store", edge("s1")); err != nil {
			return "", err
		}
		defer r.quote(f.procs[0], "store:", "phase", "heartbeat")
	}
	time.Sleep(3 * time.Second)
	if _, err := r.ask(client.MessagePack, "router r2", f.routerAddrs[1], q); err != nil {
		return "", err
	}
	return f.twice(q), nil
}
