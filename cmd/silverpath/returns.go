package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/transport/client"
)

// returnOf is the progress of a process towards full service, as its own status reports it.
type returnOf struct {
	Addr  string     `json:"addr"`
	Name  string     `json:"name,omitempty"`
	State string     `json:"state"` // "away": the process does not answer; "unknown": its status has no recovery state
	ForMS int64      `json:"for_ms,omitempty"`
	Waits []waitFor  `json:"waits,omitempty"`
	Steps []stepThen `json:"steps,omitempty"`
	Why   string     `json:"why,omitempty"`
}

// waitFor is a condition that a process waits for, since when, and for how long at most.
type waitFor struct {
	For     string `json:"for"`
	SinceMS int64  `json:"since_ms"`
	MostMS  int64  `json:"at_most_ms,omitempty"`
}

// stepThen is a state that a process entered, and the time that it took to reach it.
type stepThen struct {
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
}

// returnAt reads the recovery state of one process from its status.
func returnAt(addr string) returnOf {
	r := returnOf{Addr: addr, State: "away"}
	text, err := client.Status(client.Platform, addr)
	if err != nil {
		r.Why = err.Error()
		return r
	}
	var s struct {
		Name     string
		Recovery *struct {
			State string
			ForMS int64 `json:"for_ms"`
			Waits []waitFor
			Steps []stepThen
		}
	}
	if err := json.Unmarshal(text, &s); err != nil {
		r.Why = err.Error()
		return r
	}
	if r.Name, r.State = s.Name, "unknown"; s.Recovery != nil {
		r.State, r.ForMS, r.Waits, r.Steps = s.Recovery.State, s.Recovery.ForMS, s.Recovery.Waits, s.Recovery.Steps
	}
	return r
}

// showReturns reads the recovery states of processes in parallel and prints them in the order of addrs.
func showReturns(c *cobra.Command, addrs []string, asJSON bool) error {
	list := make([]returnOf, len(addrs))
	var all sync.WaitGroup
	for i, a := range addrs {
		all.Go(func() { list[i] = returnAt(a) })
	}
	all.Wait()
	if asJSON {
		return printJSON(c.OutOrStdout(), list)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tADDRESS\tSTATE\tFOR\tWAITS FOR")
	for _, r := range list {
		var waits []string
		for _, x := range r.Waits {
			one := fmt.Sprintf("%s since %v", x.For, (time.Duration(x.SinceMS) * time.Millisecond).Round(100*time.Millisecond))
			if x.MostMS > 0 {
				one += fmt.Sprintf(" of at most %v", (time.Duration(x.MostMS) * time.Millisecond).Round(100*time.Millisecond))
			}
			waits = append(waits, one)
		}
		if r.Why != "" {
			waits = append(waits, r.Why)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", r.Name, r.Addr, r.State, (time.Duration(r.ForMS) * time.Millisecond).Round(100*time.Millisecond), strings.Join(waits, ", "))
	}
	return w.Flush()
}
