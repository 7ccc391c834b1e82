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

// recoveryReport is the progress of a process towards full service, as its own status reports it.
type recoveryReport struct {
	Addr  string         `json:"addr"`
	Name  string         `json:"name,omitempty"`
	State string         `json:"state"` // "away": the process does not answer; "unknown": its status has no recovery state
	ForMS int64          `json:"for_ms,omitempty"`
	Waits []recoveryWait `json:"waits,omitempty"`
	Steps []recoveryStep `json:"steps,omitempty"`
	Why   string         `json:"why,omitempty"`
}

// recoveryWait is an unmet prerequisite of a process's recovery, how long the process has waited for it, and its maximum wait.
type recoveryWait struct {
	For     string `json:"for"`
	SinceMS int64  `json:"since_ms"`
	MaxMS   int64  `json:"at_most_ms,omitempty"`
}

// recoveryStep is a state that a process entered, and how long after its start it did.
type recoveryStep struct {
	State   string `json:"state"`
	AfterMS int64  `json:"after_ms"`
}

// readRecovery reads the recovery state of one process from its status.
func readRecovery(addr string) recoveryReport {
	r := recoveryReport{Addr: addr, State: "away"}
	text, err := client.Status(client.MessagePack, addr)
	if err != nil {
		r.Why = err.Error()
		return r
	}
	var s struct {
		Name     string
		Recovery *struct {
			State string
			ForMS int64 `json:"for_ms"`
			Waits []recoveryWait
			Steps []recoveryStep
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

// showRecoveries reads the recovery states of processes in parallel and prints them in the order of addrs.
func showRecoveries(c *cobra.Command, addrs []string, asJSON bool) error {
	list := make([]recoveryReport, len(addrs))
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() { list[i] = readRecovery(a) })
	}
	wg.Wait()
	if asJSON {
		return printJSON(c.OutOrStdout(), list)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tADDRESS\tSTATE\tFOR\tWAITS FOR")
	for _, r := range list {
		var waits []string
		for _, wait := range r.Waits {
			text := fmt.Sprintf("%s since %v", wait.For, (time.Duration(wait.SinceMS) * time.Millisecond).Round(100*time.Millisecond))
			if wait.MaxMS > 0 {
				text += fmt.Sprintf(" of at most %v", (time.Duration(wait.MaxMS) * time.Millisecond).Round(100*time.Millisecond))
			}
			waits = append(waits, text)
		}
		if r.Why != "" {
			waits = append(waits, r.Why)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", r.Name, r.Addr, r.State, (time.Duration(r.ForMS) * time.Millisecond).Round(100*time.Millisecond), strings.Join(waits, ", "))
	}
	return w.Flush()
}
