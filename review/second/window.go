package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"silverpath/internal/transport/client"
)

func init() {
	cases["read-late"] = readLate
	cases["forwarded-late"] = forwardedLate
}

// application is a stand-in for an SCGI application server. It runs each request once, for a fixed time.
type application struct {
	rig *rig
	ln  net.Listener

	mu   sync.Mutex
	runs map[string]int // by body
}

// application starts an application server.
func (r *rig) application() (*application, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &application{rig: r, ln: ln, runs: map[string]int{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a, nil
}

// serve runs the request of one connection and answers it.
func (a *application) serve(conn net.Conn) {
	defer conn.Close()
	body, err := readSCGI(bufio.NewReader(conn))
	if err != nil {
		return
	}
	a.mu.Lock()
	a.runs[body]++
	run := a.runs[body]
	a.mu.Unlock()
	a.rig.note("run      %d of body %q begins at the application server", run, body)
	time.Sleep(300 * time.Millisecond)
	result := fmt.Sprintf("result of run %d of %s", run, body)
	_, _ = fmt.Fprintf(conn, "Status: 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(result), result)
}

// readSCGI reads a request and returns its body.
func readSCGI(r *bufio.Reader) (string, error) {
	length, err := r.ReadString(':')
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(strings.TrimSuffix(length, ":"))
	if err != nil {
		return "", err
	}
	headers := make([]byte, n+1)
	if _, err := io.ReadFull(r, headers); err != nil {
		return "", err
	}
	fields := strings.Split(string(headers), "\x00")
	if len(fields) < 2 || fields[0] != "CONTENT_LENGTH" {
		return "", fmt.Errorf("no CONTENT_LENGTH: %q", fields)
	}
	size, err := strconv.Atoi(fields[1])
	if err != nil {
		return "", err
	}
	body := make([]byte, size)
	_, err = io.ReadFull(r, body)
	return string(body), err
}

// ran returns how many runs of a body have begun.
func (a *application) ran(body string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.runs[body]
}

// Times of the cases in which a process stands still around the end of a window, counted from when the first try was written.
const (
	stopsAt  = window - 900*time.Millisecond
	repeatAt = window - 500*time.Millisecond // the repeat is written, 0.5 s before the window is over
	goesOnAt = window + 600*time.Millisecond // 1.1 s later
)

// repeatInPause sends the repeat of a sheet shortly before its window is over, while the process stands still for 1.5 s.
func (r *rig) repeatInPause(p *process, front, addr string, q client.Request, firstAt time.Time) {
	if r.trouble {
		sleepUntil(firstAt.Add(stopsAt))
		r.signal(p, syscall.SIGSTOP)
		time.AfterFunc(time.Until(firstAt.Add(goesOnAt)), func() { r.signal(p, syscall.SIGCONT) })
	}
	sleepUntil(firstAt.Add(repeatAt))
	r.note("%v after the first try, so within the window of %v:", time.Since(firstAt).Round(time.Millisecond), window)
	_, _ = r.ask(front, p.name, addr, q) // an error is in the record; what counts is what ran
}

// readLate: a repeat over SCGI reaches the machine within the window, and the process reads it after a pause. The window counts from when
// it is read, so the sheet runs again.
func readLate(r *rig) (string, error) {
	app, err := r.application()
	if err != nil {
		return "", err
	}
	addrs, err := freeAddrs(3)
	if err != nil {
		return "", err
	}
	c, err := deployFile("scgi.json")
	if err != nil {
		return "", err
	}
	scgi := c["scgi"].(object)
	scgi["listen"], scgi["upstream"], c["mgmt"] = addrs[0], app.ln.Addr().String(), addrs[1]
	delete(c, "snmp")
	config, err := r.write("config.json", c)
	if err != nil {
		return "", err
	}
	p, err := r.start("kiosk-edge", "exec bin/silverpath serve", "LB_CONFIG="+config)
	if err != nil {
		return "", err
	}
	if err := r.logged(p, "phase serving", 10*time.Second); err != nil {
		return "", err
	}
	q := sheet("kvizmojster", "kiosk-17-sheet-4")
	firstAt := time.Now()
	if outcome, err := r.ask(client.SCGI, p.name, addrs[0], q); err != nil || outcome != "served" {
		return "", fmt.Errorf("the first try is %s: %w", outcome, err)
	}
	r.note("the web front does not deliver this answer to the kiosk, which sends its sheet again")
	r.repeatInPause(p, client.SCGI, addrs[0], q, firstAt)
	if n := app.ran(string(q.Body)); n > 1 {
		return fmt.Sprintf("the sheet of key %s has run %d times, its repeat came within the window", q.Key, n), nil
	}
	return "", nil
}

// forwardedLate: a repeat reaches a router within the window, and the router forwards it after a pause. It gives it the time of the
// forwarding, so the sheet runs again at its home.
func forwardedLate(r *rig) (string, error) {
	f, err := r.startFleet(plan{tenants: tenants()})
	if err != nil {
		return "", err
	}
	q := sheet("kvizmojster", "77aa0b1c2d3e4f5061728394a5b6c7d8")
	firstAt := time.Now()
	if err := r.askAndLeave("router r1", f.routerAddrs[0], q, 150*time.Millisecond); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if f.runs(q) != 1 {
		return "", fmt.Errorf("the first try ran %d times", f.runs(q))
	}
	r.repeatInPause(f.routers[1], client.MessagePack, f.routerAddrs[1], q, firstAt)
	return f.twice(q), nil
}
