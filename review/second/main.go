// Command second runs the cases of the second review. It starts the project's programs as separate processes on loopback addresses, plays
// their clients and interpreters, and prints what was sent, answered and run: the record of the case. It exits with 1 if the rule of the
// case was broken, with 0 if it held, and with 2 if the case could not run.
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
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]]))
}

// run runs a case in a temporary folder and ends all processes that it started.
func run(play func(*rig) (string, error)) int {
	dir, err := os.MkdirTemp("", "second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left is in a temporary folder
	r := &rig{dir: dir, startedAt: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
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
	verdict, code := "held", held
	switch {
	case o.err != nil:
		verdict, code = fmt.Sprintf("the case could not run: %v", o.err), cannotRun
	case o.violation != "":
		verdict, code = "BROKEN: "+o.violation, broken
	}
	r.note("%s", verdict)
	fmt.Fprintln(os.Stderr, verdict)
	return code
}

// path returns the path of a file in the case's temporary folder.
func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }
