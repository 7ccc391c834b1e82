package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/statemachine"
)

// fleetCommand returns the commands that start, show, pause, resume and abort rollouts.
func fleetCommand() *cobra.Command {
	var g groupOptions
	cmd := &cobra.Command{Use: "fleet", Short: "Take a fleet's servers out and back, one after the other: see docs/duties.md"}
	g.addFlags(cmd)
	cmd.AddCommand(fleetRoll(&g), fleetStatus(&g),
		fleetDirect(&g, controller.DirectivePause, "Send nobody else out; who is out returns"),
		fleetDirect(&g, controller.DirectiveResume, "Go on"),
		fleetDirect(&g, controller.DirectiveAbort, "Send nobody else out, have those return who are, and end"))
	return cmd
}

// fleetRoll returns the command that submits a rollout and prints its item's ID.
func fleetRoll(g *groupOptions) *cobra.Command {
	var spec controller.RolloutSpec
	var minDwell, returnTimeout time.Duration
	var wait bool
	cmd := &cobra.Command{Use: "roll", Short: "Evacuate the servers and have them return, never more than so many out", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			spec.DwellMS, spec.ReturnMS = minDwell.Milliseconds(), returnTimeout.Milliseconds()
			if err := spec.Check(); err != nil {
				return err
			}
			return g.withTimeout(func(ctx context.Context) error {
				id, err := submitItem(ctx, &g.client, controller.RolloutDuty, controller.KindRollout, spec)
				if err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), id)
				if !wait {
					return nil
				}
				it, err := followItem(ctx, &g.client, controller.RolloutDuty, id, func(it controller.Item) { fmt.Fprintln(c.ErrOrStderr(), formatRollout(it)) })
				if err == nil && it.State != controller.Done {
					err = errors.New(it.Note)
				}
				return err
			})
		}}
	f := cmd.Flags()
	f.StringSliceVar(&spec.Servers, "servers", nil, "which (default: all of the map)")
	f.IntVar(&spec.MaxOutPerCell, "cell-most", 1, "out at once in a cell")
	f.IntVar(&spec.MaxOut, "all-most", 1, "out at once in all")
	f.DurationVar(&minDwell, "dwell", 5*time.Second, "how long each is out, at least")
	f.DurationVar(&returnTimeout, "back", 30*time.Second, "within which it has to be ready again, or the roll stops")
	f.Float64Var(&spec.MinServedShare, "worth-least", 0, "part of the worth that has to be served, or the roll stops; 0: not looked at")
	f.BoolVar(&wait, "wait", false, "wait for its end, within --within")
	return cmd
}

// fleetStatus returns the command that prints the latest rollout or, with --at, the recovery state of the given processes.
func fleetStatus(g *groupOptions) *cobra.Command {
	var addrs []string
	cmd := &cobra.Command{Use: "status", Short: "Show the roll under way, or the last one; with --at, how far processes are on their way back", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(addrs) > 0 {
				return showRecoveries(c, addrs, g.asJSON)
			}
			return g.withTimeout(func(ctx context.Context) error {
				v, err := g.client.Read(ctx, controller.RolloutDuty)
				if err != nil {
					return err
				}
				it := latestRollout(v.Journals[controller.RolloutDuty])
				if it == nil {
					return errors.New("no roll yet")
				}
				if g.asJSON {
					return printJSON(c.OutOrStdout(), it)
				}
				return printRollout(c.OutOrStdout(), *it)
			})
		}}
	cmd.Flags().StringSliceVar(&addrs, "at", nil, "addresses of routers and servers that are asked how far they have come: see docs/recovery.md")
	return cmd
}

// latestRollout returns the rollout under way, or the last one if none is, or nil if there has been none.
func latestRollout(j *controller.Journal) *controller.Item {
	if it := j.Current(); it != nil {
		return it
	}
	if len(j.Items) > 0 {
		return &j.Items[len(j.Items)-1]
	}
	return nil
}

// printRollout prints a rollout's line and, once the rollout has begun, a table of its servers.
func printRollout(out io.Writer, it controller.Item) error {
	fmt.Fprintln(out, formatRollout(it))
	p, ok := rolloutProgress(it)
	if !ok {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVER\tCELL\tSTAGE")
	for _, s := range p.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\n", s.Name, s.Cell, s.Stage)
	}
	return w.Flush()
}

// fleetDirect returns a command that sends a directive to the rollout under way.
func fleetDirect(g *groupOptions, directive, short string) *cobra.Command {
	return &cobra.Command{Use: directive, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return g.withTimeout(func(ctx context.Context) error {
			v, err := g.client.Read(ctx, controller.RolloutDuty)
			if err != nil {
				return err
			}
			it := v.Journals[controller.RolloutDuty].Current()
			if it == nil {
				return errors.New("no roll is under way")
			}
			_, err = submitCommand(ctx, &g.client, statemachine.Command{Directive: &statemachine.Directive{Duty: controller.RolloutDuty, ID: it.ID, Directive: directive}})
			return err
		})
	}}
}

// rolloutProgress decodes the progress of a rollout; ok is false if the rollout has not begun.
func rolloutProgress(it controller.Item) (p controller.RolloutProgress, ok bool) {
	ok = it.Plan != "" && json.Unmarshal([]byte(it.Plan), &p) == nil
	return p, ok
}

// formatRollout formats a rollout as one line.
func formatRollout(it controller.Item) string {
	s := fmt.Sprintf("%s: %s, epoch %v, step %d", it.ID, it.State, it.Epoch, it.Step)
	if p, ok := rolloutProgress(it); ok {
		returned := 0
		for _, server := range p.Servers {
			if server.Stage == controller.Returned {
				returned++
			}
		}
		s += fmt.Sprintf(", %d of %d back, %d out", returned, len(p.Servers), p.OutCount())
	}
	if it.Directive != "" {
		s += ", " + it.Directive
	}
	if it.Note != "" {
		s += ": " + it.Note
	}
	return s
}
