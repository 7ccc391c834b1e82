package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

// rig is the set-up of one case: its folder and the processes that it started.
type rig struct {
	dir       string
	startedAt time.Time
	trouble   bool

	mu    sync.Mutex
	procs []*process
}

// process is a process of the program.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// note prints a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf("%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// sleepUntil waits until a time.
func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// freeAddrs returns n addresses whose ports are free, on a loopback host of this run. No outgoing connection has that host as its source,
// so none takes such a port before a process listens on it.
func freeAddrs(n int) (addrs []string, err error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f)
	for range n {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close() // all are held until the last is chosen, so they differ
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// object is a JSON object.
type object = map[string]any

// deployFile reads a file of the folder deploy, whose values a case keeps except for names, addresses and folders.
func deployFile(name string) (o object, err error) {
	text, err := os.ReadFile("deploy/" + name)
	if err != nil {
		return nil, err
	}
	return o, json.Unmarshal(text, &o)
}

// write writes a JSON file into the case's folder, replacing it as a whole, and returns its path. The shell does it, as an operator would: no
// code of the module but that of the product's state writes to the disk, which TestEveryFileThatWritesHasItsTrust watches.
func (r *rig) write(name string, o any) (string, error) {
	text, err := json.MarshalIndent(o, "", "  ")
	if err != nil {
		return "", err
	}
	path := r.path(name)
	cmd := exec.Command("/bin/sh", "-c", `cat >"$1.new" && mv "$1.new" "$1"`, "sh", path)
	cmd.Stdin = bytes.NewReader(text)
	return path, cmd.Run()
}

// start starts a program by a command line of the deploy file's form, with its output in a log of the given name.
func (r *rig) start(name, command string, env ...string) (*process, error) {
	log := r.path(name + ".log")
	cmd := exec.Command("/bin/sh", "-c", command+" >"+log+" 2>&1")
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended is in its log
		close(p.done)
	}()
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.note("started %s (process %d): %s", name, cmd.Process.Pid, command)
	return p, nil
}

// server starts a server with the settings of deploy/scgi.json behind MessagePack-RPC at listen. Change, if it is not nil, changes settings.
func (r *rig) server(process, name, listen, interpreter string, edge object, change func(settings object), env ...string) (*process, error) {
	c, err := deployFile("scgi.json")
	if err != nil {
		return nil, err
	}
	delete(c, "scgi")
	delete(c, "snmp")
	delete(c, "mgmt")
	c["name"], c["listen"], c["vm"] = name, listen, interpreter
	if change != nil {
		change(c["settings"].(object))
	}
	config, err := r.write(process+".json", c)
	if err != nil {
		return nil, err
	}
	edgeFile, err := r.write(process+".edge.json", edge)
	if err != nil {
		return nil, err
	}
	return r.start(process, "exec bin/silverpath serve --edge "+edgeFile, append(env, "LB_CONFIG="+config)...)
}

// routerConfig writes the configuration of a router, with the settings of deploy/router.json, and returns its path.
func (r *rig) routerConfig(name, listen string, change func(settings object)) (string, error) {
	c, err := deployFile("router.json")
	if err != nil {
		return "", err
	}
	delete(c, "scgi")
	c["name"], c["listen"] = name, listen
	if change != nil {
		change(c["settings"].(object))
	}
	return r.write(name+".json", c)
}

// router starts a router with the settings of deploy/router.json and deploy/route.json.
func (r *rig) router(name, listen, cellMap string, change func(settings object)) (*process, error) {
	config, err := r.routerConfig(name, listen, change)
	if err != nil {
		return nil, err
	}
	edge, err := deployFile("route.json")
	if err != nil {
		return nil, err
	}
	edge["fleet"].(object)["map"] = cellMap
	edgeFile, err := r.write(name+".edge.json", edge)
	if err != nil {
		return nil, err
	}
	return r.start(name, "exec bin/silverpath route --config "+config+" --edge "+edgeFile)
}

// signal sends a signal to the process.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.note("%v to %s (process %d)", s, p.name, p.cmd.Process.Pid)
	if err := p.cmd.Process.Signal(s); err != nil {
		r.note("%s: %v", p.name, err)
	}
}

// logged waits until the process has logged a text.
func (r *rig) logged(p *process, text string, within time.Duration) error {
	for deadline := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		content, err := os.ReadFile(p.log)
		if err == nil && strings.Contains(string(content), text) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not log %q within %v:\n%s", p.name, text, within, content)
		}
	}
}

// quote copies the lines of a process's log that contain one of the texts to the record.
func (r *rig) quote(p *process, texts ...string) {
	content, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(content), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				r.note("log of %s: %s", p.name, line)
				break
			}
		}
	}
}

// endAll ends all processes that the case started.
func (r *rig) endAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	}
}

// sheet is an oddaja of a tenant.
func sheet(tenant, key string) client.Request {
	return client.Request{Class: "oddaja", Tenant: tenant, Key: key, Body: []byte("sheet " + key), Timeout: 4400 * time.Millisecond}
}

// ask sends a request on a new connection and records the answer. The client stamps it when it writes it.
func (r *rig) ask(front, through, addr string, q client.Request) (string, error) {
	r.note("sent     %s of key %s, body %q, to %s", q.Class, q.Key, q.Body, through)
	a, err := client.Do(front, addr, q)
	if err != nil {
		r.note("answered key %s by %s: none (%v)", q.Key, through, err)
		return "none", err
	}
	r.note("answered key %s by %s: %s %q", q.Key, through, a.Outcome, a.Body)
	return a.Outcome, nil
}

// askAndLeave sends a request over MessagePack-RPC and closes the connection after the given time, as a device on a poor link does.
func (r *rig) askAndLeave(through, addr string, q client.Request, after time.Duration) error {
	r.note("sent     %s of key %s, body %q, to %s", q.Class, q.Key, q.Body, through)
	c, err := client.Dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	select {
	case a, ok := <-c.Do(q):
		return fmt.Errorf("key %s is answered too early: %v %v", q.Key, a.Outcome, ok)
	case <-time.After(after):
		r.note("the client's connection to %s breaks before the answer", through)
	}
	return nil
}
