package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// interpreter is a stand-in for the platform's interpreter, by the protocol page: it runs each job once for a fixed time and answers with
// a result of its own. It records each run in the case's record.
type interpreter struct {
	rig       *rig
	name      string
	ln        net.Listener
	work      time.Duration
	startedAt time.Time

	mu      sync.Mutex
	conn    net.Conn
	jobs    map[string]bool
	notices []string // numbered from 1
	active  int
	runs    map[string]int // by body
}

// command is a command of a service.
type command struct {
	Type string `json:"type"`
	N    int    `json:"n"`
	Job  string `json:"job"`
	Kind string `json:"kind"`
	Data string `json:"data"`
	Ref  string `json:"ref"`
}

// interpreter starts an interpreter whose runs take the time work.
func (r *rig) interpreter(name string, work time.Duration) (*interpreter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &interpreter{rig: r, name: name, ln: ln, work: work, startedAt: time.Now(), jobs: map[string]bool{}, runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go i.serve(conn)
		}
	}()
	return i, nil
}

// addr returns the address for a service's configuration.
func (i *interpreter) addr() string { return i.ln.Addr().String() }

// serve reads the commands of one link.
func (i *interpreter) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var c command
		if json.Unmarshal(lines.Bytes(), &c) != nil {
			return
		}
		i.handle(conn, c)
	}
}

// handle carries out one command.
func (i *interpreter) handle(conn net.Conn, c command) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch c.Type {
	case "CONNECT":
		if i.conn != nil {
			i.conn.Close() // a new link replaces the previous one
		}
		i.conn = conn
		i.send(fmt.Sprintf(`{"type":"BANNER","state":"EMPTY","took":%d}`, time.Since(i.startedAt).Milliseconds()))
		for n := c.N; n < len(i.notices); n++ {
			i.send(i.notices[n])
		}
	case "APPLY":
		if i.jobs[c.Job] {
			return // a request that runs or ran already: nothing happens
		}
		body, err := base64.StdEncoding.DecodeString(c.Data)
		if err != nil {
			return
		}
		i.jobs[c.Job] = true
		i.active++
		i.runs[string(body)]++
		run := i.runs[string(body)]
		i.rig.note("run      %d of body %q begins at the interpreter %s (%s, job %s)", run, body, i.name, c.Kind, c.Job)
		time.AfterFunc(i.work, func() { i.end(c.Job, fmt.Sprintf("result of run %d of %s by the interpreter %s", run, body, i.name)) })
	case "TOP":
		busy := min(1, float64(i.active)/6)
		i.send(fmt.Sprintf(`{"type":"TOPS","ref":%q,"gauges":[%.2f,%d,0.1,1]}`, c.Ref, busy, i.active))
	}
}

// end ends a run with its result.
func (i *interpreter) end(job, result string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.active--
	line := fmt.Sprintf(`{"type":"VALUE","n":%d,"job":%q,"state":"PASS","took":%d,"data":%q}`, len(i.notices)+1, job, i.work.Milliseconds(),
		base64.StdEncoding.EncodeToString([]byte(result)))
	i.notices = append(i.notices, line)
	i.send(line)
}

// send writes a line on the present link. A failure shows as a link that ends.
func (i *interpreter) send(line string) {
	if i.conn == nil {
		return
	}
	i.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = i.conn.Write([]byte(line + "\n"))
}

// ran returns how many runs of a body have begun.
func (i *interpreter) ran(body string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runs[body]
}
