// Command standin has the small programs that the scripts of the review start beside the project's own: an interpreter, a client
// and a search for free ports. All of them use loopback addresses only and write to their standard output.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}

// run starts one of the programs.
func run(args []string) error {
	if len(args) == 0 {
		return errors.New("one of ports, interp, ask, probe")
	}
	switch args[0] {
	case "ports":
		return ports(args[1:])
	case "interp":
		return interp(args[1:])
	case "ask":
		return ask(args[1:])
	case "probe":
		return probe(args[1:])
	}
	return fmt.Errorf("no such program: %q", args[0])
}

// ports prints as many free ports of 127.0.0.1 as it is asked for, each on a line.
func ports(args []string) error {
	if len(args) != 1 {
		return errors.New("ports: how many")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return fmt.Errorf("ports: %w", err)
	}
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer ln.Close() // all are held until the last one is found, so that no port is printed twice
		fmt.Println(ln.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

// stamp returns the present time in Unix milliseconds, for the record.
func stamp() int64 { return time.Now().UnixMilli() }
