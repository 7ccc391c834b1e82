package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
)

// cellsCommand returns the operator commands that show and change a cell map. A command that fails, because the map is invalid or
// the planner refuses a migration, prints one line and exits with 1.
func cellsCommand() *cobra.Command {
	var o mapOptions
	cmd := &cobra.Command{Use: "cells", Short: "Show and change a cell map: see docs/cells.md"}
	cmd.PersistentFlags().StringVar(&o.file, "map", "deploy/cells.json", "the cell map")
	cmd.PersistentFlags().BoolVar(&o.asJSON, "json", false, "print JSON")
	groupFlags(cmd, &o.group, &o.groupTimeout) // with --group set, move and abort are requests to the placement controller
	cmd.PersistentFlags().DurationVar(&o.lockTimeout, "wait", 5*time.Second, "how long to wait for another change that is under way")
	cmd.AddCommand(o.show(), o.check(), o.abort(), o.publish(), o.move("plan", "Say what a move would do, or why it can't be made", false),
		o.move("move", "Move a tenant to another cell", true))
	cmd.RunE = func(*cobra.Command, []string) error {
		return errors.New("cells: one of show, plan, move, abort, check, publish")
	}
	return cmd
}

// mapOptions holds the options that all commands on a cell map share.
type mapOptions struct {
	file                      string
	asJSON                    bool
	lockTimeout, groupTimeout time.Duration // how long to wait for another writer of the file, and for the group
	group                     quorum.Client // its Group is empty if no --group is given
}

// load reads the map and validates it.
func (o *mapOptions) load() (*cells.Map, error) {
	m, err := proxy.ReadMap(o.file)
	if err != nil {
		err = fmt.Errorf("%s: %w", o.file, err)
	}
	return m, err
}

// print prints v as JSON if --json is set, and otherwise the table that table writes.
func (o *mapOptions) print(w io.Writer, v any, table func(w *tabwriter.Writer)) error {
	if o.asJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t)
	return t.Flush()
}

// planner returns the map that follows m, or an error with the reason why the change is refused.
type planner func(m *cells.Map, now time.Time) (*cells.Map, error)

// dryRun calls plan with the current map and validates the planned map, but does not write it.
func (o *mapOptions) dryRun(plan planner) error {
	m, err := o.load()
	if err != nil {
		return err
	}
	now := time.Now()
	next, err := plan(m, now)
	if err == nil {
		err = next.Check()
	}
	if err == nil {
		err = next.Follows(m, now)
	}
	return err
}

// change calls plan with the current map and writes the planned map to the file. If another change of the file is under way, it
// waits for that one, for up to o.lockTimeout.
func (o *mapOptions) change(c *cobra.Command, plan planner) error {
	next, err := proxy.UpdateMap(o.file, o.lockTimeout, plan)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.ErrOrStderr(), "%s: version %d written; routers read it within a third of the lease\n", o.file, next.Version)
	return nil
}

// move returns a command that plans the migration of a tenant. With write set, the command also carries the migration out: through
// the group's placement controller if a group is given, else by a change of the map's file.
func (o *mapOptions) move(use, short string, write bool) *cobra.Command {
	var tenant, to string
	var shard int
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		if write && o.group.Group != "" {
			return requestPlacement(c, &o.group, o.groupTimeout, controller.KindMove, controller.MoveRequest{Tenant: tenant, To: to, Shard: shard}, o.asJSON)
		}
		plan := func(m *cells.Map, now time.Time) (*cells.Map, error) {
			p, err := m.PlanMove(now, tenant, to, shard)
			if err != nil {
				return nil, err
			}
			return p.Next, o.print(c.OutOrStdout(), newMovePlanView(p), func(w *tabwriter.Writer) { writeMovePlanTable(w, p) })
		}
		if write {
			return o.change(c, plan)
		}
		return o.dryRun(plan)
	}}
	c.Flags().StringVar(&tenant, "tenant", "", "the tenant")
	c.Flags().StringVar(&to, "to", "", "the cell to move to")
	c.Flags().IntVar(&shard, "shard", 0, "so many of its servers, drawn for the tenant; 0: all")
	c.MarkFlagRequired("tenant")
	c.MarkFlagRequired("to")
	return c
}

// writeMovePlanTable writes a planned migration, with the cells' loads before and after it, as a table.
func writeMovePlanTable(w *tabwriter.Writer, p cells.Plan) {
	fmt.Fprintf(w, "tenant\t%s\nfrom\t%s\nto\t%s\nin force\t%s\nsettled\t%s\n", p.Tenant, p.From, p.To,
		p.EffectiveAt.Format(time.DateTime), p.SettledAt.Format(time.DateTime))
	for i, l := range p.After {
		fmt.Fprintf(w, "load of %s\t%.0f of %.0f a second, was %.0f\n", l.Cell, l.Rate, l.Capacity, p.Before[i].Rate)
	}
}

// abort returns the command that takes back a migration which is prepared or in force.
func (o *mapOptions) abort() *cobra.Command {
	var tenant string
	c := &cobra.Command{Use: "abort", Short: "Take a move back that is prepared or in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.group.Group != "" {
				return requestPlacement(c, &o.group, o.groupTimeout, controller.KindAbort, controller.MoveRequest{Tenant: tenant}, o.asJSON)
			}
			return o.change(c, func(m *cells.Map, now time.Time) (*cells.Map, error) { return m.PlanAbort(now, tenant) })
		}}
	c.Flags().StringVar(&tenant, "tenant", "", "the tenant")
	c.MarkFlagRequired("tenant")
	return c
}

// check returns the command that validates a map and, with --after, checks that it may follow the given one.
func (o *mapOptions) check() *cobra.Command {
	var previousFile string
	c := &cobra.Command{Use: "check", Short: "Say whether a map is good, and could follow another one", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := o.load()
			if err != nil {
				return err
			}
			if previousFile != "" {
				if err := o.checkFollows(c.OutOrStdout(), m, previousFile); err != nil {
					return err
				}
			}
			servers, tenants := m.Size()
			fmt.Fprintf(c.OutOrStdout(), "%s: ok, version %d, %d cells, %d servers, %d tenants\n", o.file, m.Version, len(m.Cells),
				servers, tenants)
			return nil
		}}
	c.Flags().StringVar(&previousFile, "after", "", "the map that it is to follow")
	return c
}

// checkFollows checks that m may follow the map in previousFile, and prints the differences between the two.
func (o *mapOptions) checkFollows(w io.Writer, m *cells.Map, previousFile string) error {
	data, err := os.ReadFile(previousFile)
	if err != nil {
		return err
	}
	old, err := settings.ParseCells(data)
	if err != nil {
		return fmt.Errorf("%s: %w", previousFile, err)
	}
	if err := m.Follows(old, time.Now()); err != nil {
		return fmt.Errorf("%s: %w", o.file, err)
	}
	for _, line := range cells.Diff(old, m) {
		fmt.Fprintln(w, line)
	}
	return nil
}

// show returns the command that prints the cells with their servers and loads, and the cell and servers of each tenant.
func (o *mapOptions) show() *cobra.Command {
	return &cobra.Command{Use: "show", Short: "Show who lives where", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		m, err := o.load()
		if err != nil {
			return err
		}
		return o.print(c.OutOrStdout(), newMapView(m), func(w *tabwriter.Writer) { writeMapTable(w, m) })
	}}
}

// publish returns the command that writes the map's file as the first version into an empty version folder. The placement
// controller writes all later versions.
func (o *mapOptions) publish() *cobra.Command {
	var folder string
	c := &cobra.Command{Use: "publish", Short: "Put a map's file into a folder of versions, as the first that the keeper goes on from", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			m, err := o.load()
			if err != nil {
				return err
			}
			dir := proxy.VersionDir{Dir: folder}
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			head, _, err := dir.Head()
			if head != nil {
				return fmt.Errorf("%s: has version %d: from here on the keeper changes it", folder, head.Version)
			}
			if err != nil {
				return err
			}
			return dir.Put(m.Version, settings.FormatCells(m))
		}}
	c.Flags().StringVar(&folder, "to", "", "the folder")
	c.MarkFlagRequired("to")
	return c
}

type cellView struct {
	Cell     string   `json:"cell"`
	Capacity float64  `json:"capacity"`
	Rate     float64  `json:"rate"`
	Servers  []string `json:"servers"`
}

type tenantView struct {
	Tenant  string   `json:"tenant"`
	Cell    string   `json:"cell"`
	State   string   `json:"state"`
	Rate    float64  `json:"rate"`
	Servers []string `json:"servers"`
}

type mapView struct {
	Version int          `json:"version"`
	Overlap float64      `json:"overlap"`
	Cells   []cellView   `json:"cells"`
	Tenants []tenantView `json:"tenants"`
}

func newMapView(m *cells.Map) mapView {
	now := time.Now()
	v := mapView{Version: m.Version, Overlap: m.Overlap(now)}
	for _, l := range m.Loads(now) {
		c := cellView{Cell: l.Cell, Capacity: l.Capacity, Rate: l.Rate}
		for s := range m.AllServers() {
			if s.Cell == l.Cell {
				c.Servers = append(c.Servers, s.Name)
			}
		}
		v.Cells = append(v.Cells, c)
	}
	for t := range m.AllTenants() {
		r, _ := m.Route(now, t.Name, "")
		v.Tenants = append(v.Tenants, tenantView{t.Name, r.Cell, r.State.String(), t.Rate, r.Servers})
	}
	return v
}

func writeMapTable(w *tabwriter.Writer, m *cells.Map) {
	v := newMapView(m)
	fmt.Fprintf(w, "version %d, overlap of tenants in a cell %.2f\n\nCELL\tCAPACITY\tRATE\tSERVERS\n", v.Version, v.Overlap)
	for _, c := range v.Cells {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%v\n", c.Cell, c.Capacity, c.Rate, c.Servers)
	}
	fmt.Fprintf(w, "\nTENANT\tCELL\tSTATE\tRATE\tSERVERS\n")
	for _, t := range v.Tenants {
		name := t.Tenant
		if name == "" {
			name = "(all others)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%v\n", name, t.Cell, t.State, t.Rate, t.Servers)
	}
}

type movePlanView struct {
	Tenant  string       `json:"tenant"`
	From    string       `json:"from"`
	To      string       `json:"to"`
	Shard   int          `json:"shard"`
	At      int64        `json:"at_ms"`
	Settled int64        `json:"settled_ms"`
	Before  []cells.Load `json:"before"`
	After   []cells.Load `json:"after"`
}

func newMovePlanView(p cells.Plan) movePlanView {
	return movePlanView{p.Tenant, p.From, p.To, p.ShardSize, p.EffectiveAt.UnixMilli(), p.SettledAt.UnixMilli(), p.Before, p.After}
}
