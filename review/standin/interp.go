package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"sync"
	"time"
)

// command is a line from the service.
type command struct {
	Type string `json:"type"`
	N    int64  `json:"n"`
	Job  string `json:"job"`
	Kind string `json:"kind"`
	Data []byte `json:"data"`
	Ref  string `json:"ref"`
}

// notice is a line to the service.
type notice struct {
	Type   string    `json:"type"`
	N      int64     `json:"n,omitempty"`
	Job    string    `json:"job,omitempty"`
	State  string    `json:"state,omitempty"`
	Took   int64     `json:"took,omitempty"`
	Data   []byte    `json:"data,omitempty"`
	Ref    string    `json:"ref,omitempty"`
	Gauges []float64 `json:"gauges,omitempty"`
}

// interpreter is a stand-in interpreter: every run takes the same time, makes no call, and succeeds. It prints a line for each run
// that it starts. Unless it is
// cold, it has been up for ten minutes. A new link replaces the previous one; runs continue without a link.
type interpreter struct {
	mu      sync.Mutex
	cold    time.Time // when it started, if it was cold then; zero: it is warm
	runTime time.Duration
	cores   float64
	link    net.Conn
	last    int64    // number of the last notice
	kept    []notice // numbered notices since the service started
	running map[string]bool
	started int // runs so far
}

// interp runs an interpreter until the process is ended.
func interp(args []string) error {
	flags := flag.NewFlagSet("interp", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "address")
	runTime := flags.Duration("run", 300*time.Millisecond, "time that every run takes")
	cold := flags.Bool("cold", false, "starts cold")
	cores := flags.Float64("cores", 6, "cores that the gauges are for")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	i := &interpreter{runTime: *runTime, cores: *cores, running: map[string]bool{}}
	if *cold {
		i.cold = time.Now()
	}
	fmt.Println(stamp(), "LISTENING", ln.Addr())
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go i.serve(conn)
	}
}

// serve reads the commands of a link until it ends.
func (i *interpreter) serve(conn net.Conn) {
	defer conn.Close()
	i.mu.Lock()
	if i.link != nil {
		i.link.Close()
	}
	i.link = conn
	i.mu.Unlock()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var c command
		if err := json.Unmarshal(lines.Bytes(), &c); err != nil {
			return // not a command: the interpreter closes the link
		}
		i.handle(c)
	}
}

// handle carries out a command.
func (i *interpreter) handle(c command) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch c.Type {
	case "CONNECT":
		if c.N == 0 { // the service has started: its notices are numbered from 1
			i.last, i.kept = 0, nil
		}
		i.send(i.banner())
		for _, n := range i.kept {
			if n.N > c.N {
				i.send(n)
			}
		}
	case "TOP":
		n := float64(len(i.running))
		i.send(notice{Type: "TOPS", Ref: c.Ref, Gauges: []float64{min(1, n/i.cores), n, 0.1, 1}})
	case "APPLY":
		if i.running[c.Job] {
			return // it runs already
		}
		i.running[c.Job] = true
		i.started++
		seq := i.started
		fmt.Println(stamp(), "RUN", seq, c.Kind, c.Job, string(c.Data))
		time.AfterFunc(i.runTime, func() { i.end(c, seq) })
	}
}

// banner returns the answer to CONNECT.
func (i *interpreter) banner() notice {
	if i.cold.IsZero() {
		return notice{Type: "BANNER", State: "LOADED", Took: 600_000}
	}
	return notice{Type: "BANNER", State: "EMPTY", Took: max(1, time.Since(i.cold).Milliseconds())}
}

// end ends a run. Its result names the run.
func (i *interpreter) end(c command, seq int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.running, c.Job)
	i.last++
	n := notice{Type: "VALUE", N: i.last, Job: c.Job, State: "PASS", Took: i.runTime.Milliseconds(), Data: fmt.Appendf(nil, "result %d of %s", seq, c.Data)}
	if i.kept = append(i.kept, n); len(i.kept) > 4000 {
		i.kept = i.kept[1:]
	}
	i.send(n)
}

// send writes a notice to the link, if there is one. A link that can't be written to has ended; the service opens another.
func (i *interpreter) send(n notice) {
	if i.link == nil {
		return
	}
	line, err := json.Marshal(n)
	if err == nil {
		_, err = i.link.Write(append(line, '\n'))
	}
	if err != nil {
		i.link.Close()
		i.link = nil
	}
}
