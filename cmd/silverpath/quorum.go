package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

// groupOptions holds the group flags of a command: the group's client, the timeout and the output format.
type groupOptions struct {
	client quorum.Client
	within time.Duration
	asJSON bool
}

// addFlags adds the flags of groupFlags and --json.
func (g *groupOptions) addFlags(c *cobra.Command) {
	groupFlags(c, &g.client, &g.within)
	c.PersistentFlags().BoolVar(&g.asJSON, "json", false, "print JSON")
}

// withTimeout calls fn with a context that ends after the command's --within.
func (g *groupOptions) withTimeout(fn func(ctx context.Context) error) error {
	return withGroupTimeout(&g.client, g.within, fn)
}

// groupFlags adds the flags --group, --members and --within.
func groupFlags(c *cobra.Command, g *quorum.Client, within *time.Duration) {
	c.PersistentFlags().StringVar(&g.Group, "group", "", "the group's name")
	c.PersistentFlags().StringSliceVar(&g.Addrs, "members", nil, "addresses of its members")
	c.PersistentFlags().DurationVar(within, "within", 10*time.Second, "how long to wait for the group")
}

// withGroupTimeout calls fn with a context that ends after timeout, and closes the client afterwards. It returns an error if --group or
// --members is not set.
func withGroupTimeout(g *quorum.Client, timeout time.Duration, fn func(ctx context.Context) error) error {
	if g.Group == "" || len(g.Addrs) == 0 {
		return errors.New("--group and --members: both say which group is asked")
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	defer g.Close()
	return fn(ctx)
}

// submitCommand submits a command to the group and waits for its result. A refusal by the group is returned as an error.
func submitCommand(ctx context.Context, g *quorum.Client, c statemachine.Command) (statemachine.Result, error) {
	r, err := g.Do(ctx, c)
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return r, err
}

// submitItem queues an item in a duty's journal and returns the item's ID.
func submitItem(ctx context.Context, g *quorum.Client, duty, kind string, args any) (id string, err error) {
	raw, err := json.Marshal(args)
	if err != nil {
		return "", err
	}
	id = kind + "-" + newID()
	_, err = submitCommand(ctx, g, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: duty, ID: id, Kind: kind, Args: raw}})
	return id, err
}

// newID returns a random hexadecimal ID of 48 bits.
func newID() string {
	var b [6]byte
	rand.Read(b[:]) // never returns an error: a failure of the system's generator ends the program
	return hex.EncodeToString(b[:])
}

// printJSON prints v as indented JSON.
func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// runQuorumProgram replaces this process by silverpath-quorum, which is in the folder of this program. It is a separate program so that
// servers and routers do not link its code. Tests replace runQuorumProgram by a call, as the test binary contains both programs.
var runQuorumProgram = func(args ...string) error {
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

// quorumCommand returns the commands that run, found, change and show the members of a group.
func quorumCommand() *cobra.Command {
	var config string
	var g quorum.Client
	var within time.Duration
	cmd := &cobra.Command{Use: "quorum", Short: "Run a member of the group that agrees on the fleet's work: see docs/quorum.md", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runQuorumProgram("member", "--config", config) }}
	cmd.Flags().StringVar(&config, "config", "deploy/quorum.json", "settings of the member")
	groupFlags(cmd, &g, &within)
	terms := lease.Terms{}
	found := &cobra.Command{Use: "found", Short: "Make a group of members whose disks are empty", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := terms.Check(); err != nil {
				return err
			}
			return withGroupTimeout(&g, within, func(ctx context.Context) error {
				f, err := g.CreateGroup(ctx, terms)
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
			return withGroupTimeout(&g, within, func(ctx context.Context) error { return g.Add(ctx, addr) })
		}}
	add.Flags().StringVar(&addr, "addr", "", "its address")
	add.MarkFlagRequired("addr")
	remove := &cobra.Command{Use: "remove", Short: "Take a member out, for good", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withGroupTimeout(&g, within, func(ctx context.Context) error { return g.Remove(ctx, name) })
		}}
	remove.Flags().StringVar(&name, "name", "", "its name")
	remove.MarkFlagRequired("name")
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Show what each member is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return withGroupTimeout(&g, within, func(ctx context.Context) error { return showGroupStatus(ctx, c, &g, asJSON) })
		}}
	status.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	var dir string
	try := &cobra.Command{Use: "try", Short: "Run a whole group of three in one process, to look at", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runQuorumProgram("try", "--dir", dir) }}
	try.Flags().StringVar(&dir, "dir", "", "a folder that lasts (default: one that does not)")
	cmd.AddCommand(found, add, remove, status, try)
	return cmd
}

// memberEntry is one member's entry in the output of quorum status.
type memberEntry struct {
	Addr   string         `json:"addr"`
	Error  string         `json:"error,omitempty"` // why its status could not be read
	Status *quorum.Status `json:"status,omitempty"`
}

// showGroupStatus prints the status of each member. It returns an error if no member is the leader.
func showGroupStatus(ctx context.Context, c *cobra.Command, g *quorum.Client, asJSON bool) error {
	var list []memberEntry
	hasLeader := false
	for _, addr := range g.Addrs {
		s, err := g.StatusOf(ctx, addr)
		if err != nil {
			list = append(list, memberEntry{addr, err.Error(), nil})
			continue
		}
		hasLeader = hasLeader || s.State == quorum.StateLeader
		list = append(list, memberEntry{addr, "", &s})
	}
	show := printMembers
	if asJSON {
		show = func(w io.Writer, list []memberEntry) error { return printJSON(w, list) }
	}
	if err := show(c.OutOrStdout(), list); err != nil {
		return err
	}
	if !hasLeader {
		return errors.New("no member leads")
	}
	return nil
}

// printMembers prints the members' status as a table.
func printMembers(out io.Writer, list []memberEntry) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDR\tNAME\tSTATE\tVOTE\tTERM\tAPPLIED\tSTARTS\tGROUP")
	for _, entry := range list {
		if s := entry.Status; s != nil {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%d\t%d\t%d\t%s\n", entry.Addr, s.Name, s.State, s.Voter, s.Term, s.Applied, s.Starts, s.GroupID)
		} else {
			fmt.Fprintf(w, "%s\t\t%s\n", entry.Addr, entry.Error)
		}
	}
	return w.Flush()
}
