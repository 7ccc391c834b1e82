package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/lease"
)

// groupFlags adds the flags that say which group is asked.
func groupFlags(c *cobra.Command, g *quorum.Client, within *time.Duration) {
	c.PersistentFlags().StringVar(&g.Group, "group", "", "the group's name")
	c.PersistentFlags().StringSliceVar(&g.Addrs, "members", nil, "addresses of its members")
	c.PersistentFlags().DurationVar(within, "within", 10*time.Second, "how long to wait for the group")
}

// inTime calls with the time that a command has.
func inTime(g *quorum.Client, within time.Duration, do func(ctx context.Context) error) error {
	if g.Group == "" || len(g.Addrs) == 0 {
		return errors.New("--group and --members: both say which group is asked")
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	defer g.Close()
	return do(ctx)
}

// runMember runs the program of members in this one's place. It is a program of its own beside this one, so that servers and
// routers carry nothing of it. Tests, whose program has both, run it as it is.
var runMember = func(args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	program := filepath.Join(filepath.Dir(self), "silverpath-quorum")
	if err := syscall.Exec(program, append([]string{program}, args...), os.Environ()); err != nil {
		return fmt.Errorf("%s: %w", program, err)
	}
	return nil
}

func quorumCommand() *cobra.Command {
	var config string
	var g quorum.Client
	var within time.Duration
	cmd := &cobra.Command{Use: "quorum", Short: "Run a member of the group that agrees on the fleet's work: see docs/quorum.md", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runMember("member", "--config", config) }}
	cmd.Flags().StringVar(&config, "config", "deploy/quorum.json", "settings of the member")
	groupFlags(cmd, &g, &within)
	terms := lease.Terms{}
	found := &cobra.Command{Use: "found", Short: "Make a group of members whose disks are empty", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := terms.Check(); err != nil {
				return err
			}
			return inTime(&g, within, func(ctx context.Context) error {
				f, err := g.Found(ctx, terms)
				if err == nil {
					fmt.Fprintf(c.OutOrStdout(), "group %s, number %s, of %d members\n", f.Group, f.ID(), len(f.Members))
				}
				return err
			})
		}}
	found.Flags().DurationVar(&terms.TTL, "lease", 3*time.Second, "how long a lease on a duty is, for good")
	found.Flags().Float64Var(&terms.Drift, "drift", 0.05, "by which a clock may run fast or slow, as a share")
	var addr, name string
	add := &cobra.Command{Use: "add", Short: "Add a member whose disk is empty: it listens, catches up, and then has a vote", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error { return g.Add(ctx, addr) })
		}}
	add.Flags().StringVar(&addr, "addr", "", "its address")
	add.MarkFlagRequired("addr")
	remove := &cobra.Command{Use: "remove", Short: "Take a member out, for good", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error { return g.Remove(ctx, name) })
		}}
	remove.Flags().StringVar(&name, "name", "", "its name")
	remove.MarkFlagRequired("name")
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Show what each member is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return inTime(&g, within, func(ctx context.Context) error { return groupStatus(ctx, c, &g, asJSON) })
		}}
	status.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var dir string
	try := &cobra.Command{Use: "try", Short: "Run a whole group of three in one process, to look at", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runMember("try", "--dir", dir) }}
	try.Flags().StringVar(&dir, "dir", "", "a folder that lasts (default: one that does not)")
	cmd.AddCommand(found, add, remove, status, try)
	return cmd
}

func groupStatus(ctx context.Context, c *cobra.Command, g *quorum.Client, asJSON bool) error {
	addrs := slices.Clone(g.Addrs)
	type line struct {
		Addr   string         `json:"addr"`
		Error  string         `json:"error,omitempty"`
		Status *quorum.Status `json:"status,omitempty"`
	}
	var list []line
	leads := 0
	for _, a := range addrs {
		s, err := g.StatusOf(ctx, a)
		if err != nil {
			list = append(list, line{a, err.Error(), nil})
			continue
		}
		if s.State == "leader" {
			leads++
		}
		list = append(list, line{a, "", &s})
	}
	if asJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		if err := e.Encode(list); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ADDR\tNAME\tSTATE\tVOTE\tTERM\tAPPLIED\tSTARTS\tGROUP")
		for _, l := range list {
			if s := l.Status; s != nil {
				fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%s\n", l.Addr, s.Name, s.State, s.Voter, s.Term, s.Applied, s.Starts, s.GroupID)
			} else {
				fmt.Fprintf(w, "%s\t\t%s\n", l.Addr, l.Error)
			}
		}
		_ = w.Flush()
	}
	if leads == 0 {
		return errors.New("no member leads")
	}
	return nil
}
