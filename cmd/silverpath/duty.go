package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

// dutyCommand returns the commands that show and change the owners of the duties, and the one that runs an owner process.
func dutyCommand() *cobra.Command {
	var g groupOptions
	var config string
	cmd := &cobra.Command{Use: "duty", Short: "Show and change who owns the fleet's work: see docs/duties.md"}
	g.addFlags(cmd)
	run := &cobra.Command{Use: "run", Short: "Own duties, in a process that is no member of the group", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runQuorumProgram("owner", "--config", config) }}
	run.Flags().StringVar(&config, "config", "deploy/owner.json", "settings of the owner")
	cmd.AddCommand(run, dutyList(&g), dutyShow(&g), dutyHand(&g), dutyPause(&g),
		dutyChange(&g, "resume", "End a pause", func() lease.Request { return lease.Request{Op: lease.Resume} }))
	return cmd
}

// dutyList returns the command that prints a line for each duty.
func dutyList(g *groupOptions) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Show every duty: its owner, epoch, who waits and what is under way", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return g.withTimeout(func(ctx context.Context) error {
				v, err := g.client.Read(ctx, "*")
				if err != nil {
					return err
				}
				if g.asJSON {
					return printJSON(c.OutOrStdout(), v)
				}
				return printDuties(c.OutOrStdout(), v)
			})
		}}
}

// printDuties prints a table of all duties. A duty that the group has not recorded yet has an empty line.
func printDuties(out io.Writer, v quorum.StateView) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tOWNER\tEPOCH\tAGE\tSTEP\tOPEN\tPAUSED\tWAITING")
	for _, name := range controller.Duties {
		d, j, unfinished := v.Table.Duties[name], v.Journals[name], 0
		if d == nil {
			d = &lease.Duty{Name: name}
		}
		for _, it := range j.Items {
			if !it.State.Finished() {
				unfinished++
			}
		}
		age := ""
		if d.Holder != "" && d.HeldSince > 0 {
			age = time.Since(time.UnixMilli(d.HeldSince)).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%d\t%s\t%s\n", name, d.Holder, d.Epoch, age, j.Step, unfinished, d.PauseReason, strings.Join(d.Queue, " "))
	}
	return w.Flush()
}

// dutyFlag adds the required flag --duty.
func dutyFlag(c *cobra.Command, name *string) {
	c.Flags().StringVar(name, "duty", "", "the duty: "+strings.Join(controller.Duties, ", "))
	c.MarkFlagRequired("duty")
}

// dutyShow returns the command that prints the journal of one duty.
func dutyShow(g *groupOptions) *cobra.Command {
	var name string
	cmd := &cobra.Command{Use: "show", Short: "Show the journal of a duty", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return g.withTimeout(func(ctx context.Context) error {
				v, err := g.client.Read(ctx, name)
				if err != nil {
					return err
				}
				j := v.Journals[name]
				if j == nil {
					return fmt.Errorf("no such duty: %q", name)
				}
				if g.asJSON {
					return printJSON(c.OutOrStdout(), j)
				}
				return printJournal(c.OutOrStdout(), j)
			})
		}}
	dutyFlag(cmd, &name)
	return cmd
}

func printJournal(out io.Writer, j *controller.Journal) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ITEM\tKIND\tSTATE\tEPOCH\tSTEP\tTRIES\tWISH\tNOTE")
	for _, it := range j.Items {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%s\t%s\n", it.ID, it.Kind, it.State, it.Epoch, it.Step, it.Attempts, it.Directive, it.Note)
	}
	return w.Flush()
}

// dutyChange returns a command that submits one lease request for a duty and prints the duty's new state.
func dutyChange(g *groupOptions, use, short string, request func() lease.Request) *cobra.Command {
	var name string
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		return g.withTimeout(func(ctx context.Context) error {
			r := request()
			r.Duty = name
			result, err := submitCommand(ctx, &g.client, statemachine.Command{Lease: &r})
			if err != nil {
				return err
			}
			d := result.Duty
			fmt.Fprintf(c.OutOrStdout(), "%s: owner %q, epoch %v, next %q, paused %q\n", name, d.Holder, d.Epoch, d.Successor, d.PauseReason)
			return nil
		})
	}}
	dutyFlag(cmd, &name)
	return cmd
}

// dutyHand returns the command that transfers a duty to another process.
func dutyHand(g *groupOptions) *cobra.Command {
	var to string
	cmd := dutyChange(g, "hand", "Have the owner hand a duty to another process that waits for it",
		func() lease.Request { return lease.Request{Op: lease.Transfer, Process: to} })
	cmd.Flags().StringVar(&to, "to", "", "who is to have it, as 'list' names it")
	cmd.MarkFlagRequired("to")
	return cmd
}

// dutyPause returns the command that pauses a duty: its owner begins no new items.
func dutyPause(g *groupOptions) *cobra.Command {
	var reason string
	cmd := dutyChange(g, "pause", "Have nothing new begun of a duty",
		func() lease.Request { return lease.Request{Op: lease.Pause, Reason: reason} })
	cmd.Flags().StringVar(&reason, "why", "by an operator", "why, for those who look")
	return cmd
}

// followItem polls an item of a duty's journal until it is finished, and calls report whenever its state, note or step changes. It
// returns the item as last read, with an error if the group can't be read or the journal no longer lists the item.
func followItem(ctx context.Context, g *quorum.Client, duty, id string, report func(controller.Item)) (controller.Item, error) {
	var last controller.Item
	for {
		v, err := g.Read(ctx, duty)
		if err != nil {
			return last, fmt.Errorf("duty %s: item %s is queued (last state %q), but reading it failed: %w", duty, id, last.State, err)
		}
		it := v.Journals[duty].Item(id)
		if it == nil {
			return last, fmt.Errorf("duty %s: item %s is no longer in the journal", duty, id)
		}
		if it.State != last.State || it.Note != last.Note || it.Step != last.Step {
			report(*it)
		}
		if last = *it; it.State.Finished() {
			return last, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(followInterval):
		}
	}
}

// followInterval is the pause between two polls of a followed item.
const followInterval = 50 * time.Millisecond

// requestPlacement submits a request to the placement duty, waits until it is finished, and prints the outcome. It returns an error
// if the request was not carried out.
func requestPlacement(c *cobra.Command, g *quorum.Client, within time.Duration, kind string, args any, asJSON bool) error {
	return withGroupTimeout(g, within, func(ctx context.Context) error {
		id, err := submitItem(ctx, g, controller.PlacementDuty, kind, args)
		if err != nil {
			return err
		}
		it, err := followItem(ctx, g, controller.PlacementDuty, id, func(controller.Item) {})
		if err != nil {
			return err
		}
		if asJSON {
			if err := printJSON(c.OutOrStdout(), it); err != nil {
				return err
			}
		}
		if it.State != controller.Done {
			return errors.New(it.Note)
		}
		fmt.Fprintf(c.ErrOrStderr(), "%s: %s, by epoch %v\n", id, it.Note, it.Epoch)
		return nil
	})
}
