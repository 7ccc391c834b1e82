package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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

func newID() string {
	var b [6]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// agreed has the group agree on a command and makes its no an error.
func agreed(ctx context.Context, g *quorum.Client, c statemachine.Command) (statemachine.Result, error) {
	r, err := g.Do(ctx, c)
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return r, err
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func dutyCommand() *cobra.Command {
	var g quorum.Client
	var within time.Duration
	var config, name, to, why string
	var asJSON bool
	cmd := &cobra.Command{Use: "duty", Short: "Show and change who owns the fleet's work: see docs/duties.md"}
	groupFlags(cmd, &g, &within)
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	run := &cobra.Command{Use: "run", Short: "Own duties, in a process that is no member of the group", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runMember("owner", "--config", config) }}
	run.Flags().StringVar(&config, "config", "deploy/owner.json", "settings of the owner")
	list := &cobra.Command{Use: "list", Short: "Show every duty: its owner, epoch, who waits and what is under way", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error {
				v, err := g.Read(ctx, "*")
				if err != nil {
					return err
				}
				if asJSON {
					return printJSON(c.OutOrStdout(), v)
				}
				w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "DUTY\tOWNER\tEPOCH\tAGE\tSTEP\tOPEN\tPAUSED\tWAITING")
				for _, n := range controller.Duties {
					d, j, open := v.Table.Duties[n], v.Journals[n], 0
					if d == nil {
						d = &lease.Duty{Name: n}
					}
					for _, it := range j.Items {
						if !it.State.Finished() {
							open++
						}
					}
					age := ""
					if d.Holder != "" && d.HeldSince > 0 {
						age = time.Since(time.UnixMilli(d.HeldSince)).Round(time.Second).String()
					}
					fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%d\t%s\t%s\n", n, d.Holder, d.Epoch, age, j.Step, open, d.PauseReason, strings.Join(d.Queue, " "))
				}
				return w.Flush()
			})
		}}
	show := &cobra.Command{Use: "show", Short: "Show the journal of a duty", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error {
				v, err := g.Read(ctx, name)
				if err != nil {
					return err
				}
				j := v.Journals[name]
				if j == nil {
					return fmt.Errorf("no such duty: %q", name)
				}
				if asJSON {
					return printJSON(c.OutOrStdout(), j)
				}
				w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "ITEM\tKIND\tSTATE\tEPOCH\tSTEP\tTRIES\tWISH\tNOTE")
				for _, it := range j.Items {
					fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%s\t%s\n", it.ID, it.Kind, it.State, it.Epoch, it.Step, it.Attempts, it.Directive, it.Note)
				}
				return w.Flush()
			})
		}}
	one := func(use, short string, ask func() lease.Request) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error {
				a := ask()
				a.Duty = name
				r, err := agreed(ctx, &g, statemachine.Command{Lease: &a})
				if err == nil {
					fmt.Fprintf(c.OutOrStdout(), "%s: owner %q, epoch %v, next %q, paused %q\n", name, r.Duty.Holder, r.Duty.Epoch, r.Duty.Successor, r.Duty.PauseReason)
				}
				return err
			})
		}}
		return c
	}
	hand := one("hand", "Have the owner hand a duty to another process that waits for it", func() lease.Request { return lease.Request{Op: lease.Transfer, Process: to} })
	hand.Flags().StringVar(&to, "to", "", "who is to have it, as 'list' names it")
	hand.MarkFlagRequired("to")
	hold := one("pause", "Have nothing new begun of a duty", func() lease.Request { return lease.Request{Op: lease.Pause, Reason: why} })
	hold.Flags().StringVar(&why, "why", "by an operator", "why, for those who look")
	resume := one("resume", "End a pause", func() lease.Request { return lease.Request{Op: lease.Resume} })
	for _, c := range []*cobra.Command{show, hand, hold, resume} {
		c.Flags().StringVar(&name, "duty", "", "the duty: "+strings.Join(controller.Duties, ", "))
		c.MarkFlagRequired("duty")
	}
	cmd.AddCommand(run, list, show, hand, hold, resume)
	return cmd
}

// followItem waits until nothing more becomes of an item, and says each change.
func followItem(ctx context.Context, g *quorum.Client, duty, id string, say func(controller.Item)) (controller.Item, error) {
	var last controller.Item
	for {
		v, err := g.Read(ctx, duty)
		if err != nil {
			return last, fmt.Errorf("%s is queued as %s, and was last %s: %w", duty, id, last.State, err)
		}
		it := v.Journals[duty].Item(id)
		if it == nil {
			return last, fmt.Errorf("%s has forgotten %s", duty, id)
		}
		if it.State != last.State || it.Note != last.Note || it.Step != last.Step {
			say(*it)
		}
		if last = *it; it.State.Finished() {
			return last, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// request queues a request of the keeper's, and reports what became of it.
func request(c *cobra.Command, g *quorum.Client, within time.Duration, kind string, args any, asJSON bool) error {
	return inTime(g, within, func(ctx context.Context) error {
		raw, err := json.Marshal(args)
		if err != nil {
			return err
		}
		id := kind + "-" + newID()
		if _, err := agreed(ctx, g, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.PlacementDuty, ID: id, Kind: kind, Args: raw}}); err != nil {
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

func fleetCommand() *cobra.Command {
	var g quorum.Client
	var within time.Duration
	var asJSON, wait bool
	var r controller.RolloutSpec
	var dwell, back time.Duration
	cmd := &cobra.Command{Use: "fleet", Short: "Take a fleet's servers out and back, one after the other: see docs/duties.md"}
	groupFlags(cmd, &g, &within)
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	roll := &cobra.Command{Use: "roll", Short: "Evacuate the servers and have them return, never more than so many out", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r.DwellMS, r.ReturnMS = dwell.Milliseconds(), back.Milliseconds()
			if err := r.Check(); err != nil {
				return err
			}
			return inTime(&g, within, func(ctx context.Context) error {
				args, err := json.Marshal(r)
				if err != nil {
					return err
				}
				id := "roll-" + newID()
				if _, err := agreed(ctx, &g, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: controller.RolloutDuty, ID: id, Kind: controller.KindRollout, Args: args}}); err != nil {
					return err
				}
				fmt.Fprintln(c.OutOrStdout(), id)
				if !wait {
					return nil
				}
				it, err := followItem(ctx, &g, controller.RolloutDuty, id, func(it controller.Item) { fmt.Fprintln(c.ErrOrStderr(), rollLine(it)) })
				if err == nil && it.State != controller.Done {
					err = errors.New(it.Note)
				}
				return err
			})
		}}
	f := roll.Flags()
	f.StringSliceVar(&r.Servers, "servers", nil, "which (default: all of the map)")
	f.IntVar(&r.MaxOutPerCell, "cell-most", 1, "out at once in a cell")
	f.IntVar(&r.MaxOut, "all-most", 1, "out at once in all")
	f.DurationVar(&dwell, "dwell", 5*time.Second, "how long each is out, at least")
	f.DurationVar(&back, "back", 30*time.Second, "within which it has to be ready again, or the roll stops")
	f.Float64Var(&r.MinServedShare, "worth-least", 0, "part of the worth that has to be served, or the roll stops; 0: not looked at")
	f.BoolVar(&wait, "wait", false, "wait for its end, within --within")
	var at []string
	status := &cobra.Command{Use: "status", Short: "Show the roll under way, or the last one; with --at, how far processes are on their way back", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(at) > 0 {
				return showReturns(c, at, asJSON)
			}
			return inTime(&g, within, func(ctx context.Context) error {
				v, err := g.Read(ctx, controller.RolloutDuty)
				if err != nil {
					return err
				}
				j := v.Journals[controller.RolloutDuty]
				it := j.Current()
				if it == nil && len(j.Items) > 0 {
					it = &j.Items[len(j.Items)-1]
				}
				if it == nil {
					return errors.New("no roll yet")
				}
				if asJSON {
					return printJSON(c.OutOrStdout(), it)
				}
				fmt.Fprintln(c.OutOrStdout(), rollLine(*it))
				var p controller.RolloutProgress
				if it.Plan != "" && json.Unmarshal([]byte(it.Plan), &p) == nil {
					w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
					fmt.Fprintln(w, "SERVER\tCELL\tSTAGE")
					for _, m := range p.Servers {
						fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Cell, m.Stage)
					}
					return w.Flush()
				}
				return nil
			})
		}}
	status.Flags().StringSliceVar(&at, "at", nil, "addresses of routers and servers that are asked how far they have come: see docs/recovery.md")
	wish := func(use, short string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error {
				v, err := g.Read(ctx, controller.RolloutDuty)
				if err != nil {
					return err
				}
				it := v.Journals[controller.RolloutDuty].Current()
				if it == nil {
					return errors.New("no roll is under way")
				}
				_, err = agreed(ctx, &g, statemachine.Command{Directive: &statemachine.Directive{Duty: controller.RolloutDuty, ID: it.ID, Directive: use}})
				return err
			})
		}}
	}
	cmd.AddCommand(roll, status, wish("pause", "Send nobody else out; who is out returns"), wish("resume", "Go on"),
		wish("abort", "Send nobody else out, have those return who are, and end"))
	return cmd
}

func rollLine(it controller.Item) string {
	var p controller.RolloutProgress
	s := fmt.Sprintf("%s: %s, epoch %v, step %d", it.ID, it.State, it.Epoch, it.Step)
	if it.Plan != "" && json.Unmarshal([]byte(it.Plan), &p) == nil {
		back := 0
		for _, m := range p.Servers {
			if m.Stage == controller.Returned {
				back++
			}
		}
		s += fmt.Sprintf(", %d of %d back, %d out", back, len(p.Servers), p.OutCount())
	}
	if it.Directive != "" {
		s += ", " + it.Directive
	}
	if it.Note != "" {
		s += ": " + it.Note
	}
	return s
}
