// Command second runs the cases of the second review. It starts the project's programs as separate processes on loopback addresses, plays
// their clients, interpreters and application servers, and writes what was sent, answered and run to a record. It exits with 1 if the rule
// of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit ends a case that takes too long; it is below the 120 seconds that a case may take.
const limit = 110 * time.Second

// cases are the cases by their name. Each returns what broke the rule, or an empty text if the rule held.
var cases = map[string]func(*rig) (string, error){}

// exit codes
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case in a temporary folder and ends all processes that it started.
func run(play func(*rig) (string, error), record string) int {
	dir, err := os.MkdirTemp("", "second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left is in a temporary folder
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	r := &rig{dir: dir, record: file, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	defer r.endAll()
	type outcome struct {
		violation string
		err       error
	}
	done := make(chan outcome, 1)
	go func() {
		violation, err := play(r)
		done <- outcome{violation, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-done:
	case <-time.After(limit):
		o.err = errors.New("the case takes too long")
	case <-interrupted:
		o.err = errors.New("interrupted")
	}
	switch {
	case o.err != nil:
		r.note("the case could not run: %v", o.err)
		return cannotRun
	case o.violation != "":
		r.note("BROKEN: %s", o.violation)
		return broken
	}
	r.note("held")
	return held
}

// path returns the path of a file in the case's temporary folder.
func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }
