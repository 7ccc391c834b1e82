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

// cellsCommand has the operator's commands on a cell map. They exit with 0 where they did what they say, and with 1 and one
// line where not: a map that is no good, a move that the planner refuses.
func cellsCommand() *cobra.Command {
	var file string
	var asJSON bool
	var wait, within time.Duration
	var g quorum.Client
	cmd := &cobra.Command{Use: "cells", Short: "Show and change a cell map: see docs/cells.md"}
	cmd.PersistentFlags().StringVar(&file, "map", "deploy/cells.json", "the cell map")
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	groupFlags(cmd, &g, &within) // given: the change is a request to the owner of the map
	cmd.PersistentFlags().DurationVar(&wait, "wait", 5*time.Second, "how long to wait for another change that is under way")
	load := func() (*cells.Map, error) {
		m, err := proxy.ReadMap(file)
		if err != nil {
			err = fmt.Errorf("%s: %w", file, err)
		}
		return m, err
	}
	print := func(w io.Writer, v any, table func(w *tabwriter.Writer)) error {
		if asJSON {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			return e.Encode(v)
		}
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		table(t)
		return t.Flush()
	}
	// change plans with the map, and writes what was planned where that is asked for. Of two at once the second one waits.
	change := func(c *cobra.Command, write bool, plan func(m *cells.Map, now time.Time) (*cells.Map, error)) error {
		if !write {
			m, err := load()
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
		next, err := proxy.Change(file, wait, plan)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.ErrOrStderr(), "%s: version %d written; routers read it within a third of the lease\n", file, next.Version)
		return nil
	}
	var tenant, to string
	var shard int
	move := func(use, short string, write bool) *cobra.Command {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if write && g.Group != "" {
				return requestPlacement(c, &g, within, controller.KindMove, controller.MoveRequest{Tenant: tenant, To: to, Shard: shard}, asJSON)
			}
			return change(c, write, func(m *cells.Map, now time.Time) (*cells.Map, error) {
				p, err := m.PlanMove(now, tenant, to, shard)
				if err != nil {
					return nil, err
				}
				return p.Next, print(c.OutOrStdout(), planView(p), func(w *tabwriter.Writer) {
					fmt.Fprintf(w, "tenant\t%s\nfrom\t%s\nto\t%s\nin force\t%s\nsettled\t%s\n", p.Tenant, p.From, p.To,
						p.At.Format(time.DateTime), p.Settled.Format(time.DateTime))
					for i, l := range p.After {
						fmt.Fprintf(w, "load of %s\t%.0f of %.0f a second, was %.0f\n", l.Cell, l.Rate, l.Capacity, p.Before[i].Rate)
					}
				})
			})
		}}
		c.Flags().StringVar(&tenant, "tenant", "", "the tenant")
		c.Flags().StringVar(&to, "to", "", "the cell to move to")
		c.Flags().IntVar(&shard, "shard", 0, "so many of its servers, drawn for the tenant; 0: all")
		c.MarkFlagRequired("tenant")
		c.MarkFlagRequired("to")
		return c
	}
	abort := &cobra.Command{Use: "abort", Short: "Take a move back that is prepared or in force", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if g.Group != "" {
				return requestPlacement(c, &g, within, controller.KindAbort, controller.MoveRequest{Tenant: tenant}, asJSON)
			}
			return change(c, true, func(m *cells.Map, now time.Time) (*cells.Map, error) { return m.PlanAbort(now, tenant) })
		}}
	abort.Flags().StringVar(&tenant, "tenant", "", "the tenant")
	abort.MarkFlagRequired("tenant")
	var against string
	check := &cobra.Command{Use: "check", Short: "Say whether a map is good, and could follow another one", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := load()
			if err != nil {
				return err
			}
			if against != "" {
				data, err := os.ReadFile(against)
				if err != nil {
					return err
				}
				old, err := settings.ParseCells(data)
				if err != nil {
					return fmt.Errorf("%s: %w", against, err)
				}
				if err := m.Follows(old, time.Now()); err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				for _, line := range cells.Diff(old, m) {
					fmt.Fprintln(c.OutOrStdout(), line)
				}
			}
			servers, tenants := m.Size()
			fmt.Fprintf(c.OutOrStdout(), "%s: ok, version %d, %d cells, %d servers, %d tenants\n", file, m.Version, len(m.Cells),
				servers, tenants)
			return nil
		}}
	check.Flags().StringVar(&against, "after", "", "the map that it is to follow")
	show := &cobra.Command{Use: "show", Short: "Show who lives where", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		m, err := load()
		if err != nil {
			return err
		}
		return print(c.OutOrStdout(), showView(m), func(w *tabwriter.Writer) { showTable(w, m) })
	}}
	var folder string
	publish := &cobra.Command{Use: "publish", Short: "Put a map's file into a folder of versions, as the first that the keeper goes on from", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := load()
			if err != nil {
				return err
			}
			series := proxy.VersionDir{Dir: folder}
			if err := os.MkdirAll(folder, 0o755); err != nil {
				return err
			}
			head, _, err := series.Head()
			if head != nil {
				return fmt.Errorf("%s: has version %d: from here on the keeper changes it", folder, head.Version)
			}
			if err != nil {
				return err
			}
			return series.Put(m.Version, settings.FormatCells(m))
		}}
	publish.Flags().StringVar(&folder, "to", "", "the folder")
	publish.MarkFlagRequired("to")
	cmd.AddCommand(show, check, abort, publish, move("plan", "Say what a move would do, or why it can't be made", false),
		move("move", "Move a tenant to another cell", true))
	cmd.RunE = func(*cobra.Command, []string) error {
		return errors.New("cells: one of show, plan, move, abort, check, publish")
	}
	return cmd
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

func showView(m *cells.Map) mapView {
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

func showTable(w *tabwriter.Writer, m *cells.Map) {
	v := showView(m)
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

type plan struct {
	Tenant  string       `json:"tenant"`
	From    string       `json:"from"`
	To      string       `json:"to"`
	Shard   int          `json:"shard"`
	At      int64        `json:"at_ms"`
	Settled int64        `json:"settled_ms"`
	Before  []cells.Load `json:"before"`
	After   []cells.Load `json:"after"`
}

func planView(p cells.Plan) plan {
	return plan{p.Tenant, p.From, p.To, p.Shard, p.At.UnixMilli(), p.Settled.UnixMilli(), p.Before, p.After}
}
