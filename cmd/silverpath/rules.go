package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
)

func rulesCommand() *cobra.Command {
	var g quorum.Client
	var within time.Duration
	var asJSON bool
	var asked string // the document that get shows
	cmd := &cobra.Command{Use: "rules", Short: "Show and change the documents that a group agrees on: see docs/rules.md"}
	groupFlags(cmd, &g, &within)
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	read := func(do func(ctx context.Context, r quorum.ConfigView) error) error {
		return inTime(&g, within, func(ctx context.Context) error {
			r, err := g.Config(ctx)
			if err != nil {
				return err
			}
			return do(ctx, r)
		})
	}
	// get shows a document as a file has it, also one that is in parts.
	get := func(do func(ctx context.Context, r quorum.ConfigView) error) error {
		return read(func(ctx context.Context, r quorum.ConfigView) error {
			for name, d := range r.Book.Documents {
				if d.Active == nil || !d.Active.InParts || name != asked {
					continue
				}
				text, err := versionText(ctx, &g, d, d.Active)
				if err != nil {
					return err
				}
				d.Active.Text = text
			}
			return do(ctx, r)
		})
	}
	cmd.AddCommand(rulesPut(&g, &within, &asJSON), rulesShow("get [DOC]", "Show what is in force and what is under way, or the text of one document", get, &asJSON, &asked, showDocs),
		rulesShow("history DOC", "Show the versions of a document and what became of them", read, &asJSON, &asked, showHistory),
		rulesShow("who [DOC]", "Show which process acts on which version, and what a change waits for", read, &asJSON, &asked, showWho),
		rulesDiff(&g, read, &asJSON))
	for _, c := range []struct {
		use, short string
		op         configstore.Op
	}{
		{"hold DOC", "Have a change wait before its next stage", configstore.OpHold},
		{"release DOC", "Have it go on", configstore.OpRelease},
		{"withdraw DOC", "Withdraw a change that is not in force, or put what was in force before the latest back in force", configstore.OpWithdraw},
	} {
		var why string
		one := &cobra.Command{Use: c.use, Short: c.short, Args: cobra.ExactArgs(1), RunE: func(cc *cobra.Command, args []string) error {
			return inTime(&g, within, func(ctx context.Context) error {
				r, err := g.Config(ctx)
				if err != nil {
					return err
				}
				d, err := doc(r, args[0])
				if err != nil {
					return err
				}
				ask := configstore.Change{Op: c.op, Doc: args[0], Author: whoami(), Reason: why}
				switch {
				case d.Proposed != nil:
					ask.Version = d.Proposed.ID.Version
				case c.op == configstore.OpWithdraw && d.Active != nil:
					ask.Op, ask.Version = configstore.OpRevert, d.Active.ID.Version
				default:
					return errors.New("no change is under way")
				}
				got, err := agreed(ctx, &g, statemachine.Command{Config: &ask})
				if err == nil {
					fmt.Fprintf(cc.ErrOrStderr(), "%s: version %d: %s\n", args[0], got.Version, ask.Op)
				}
				return err
			})
		}}
		one.Flags().StringVar(&why, "why", "", "why, for those who look")
		cmd.AddCommand(one)
	}
	return cmd
}

// whoami is who asks, for those who look later.
func whoami() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

func doc(r quorum.ConfigView, name string) (*configstore.Document, error) {
	if d := r.Book.Documents[name]; d != nil {
		return d, nil
	}
	return nil, fmt.Errorf("no such document yet: %q, of %s", name, strings.Join(configstore.DocumentNames, ", "))
}

// rulesPut puts a document from a file: also from the files of an installation that had no group.
func rulesPut(g *quorum.Client, within *time.Duration, asJSON *bool) *cobra.Command {
	var dry, wait, again bool
	var why, config string
	var part, worse float64
	var watch time.Duration
	put := &cobra.Command{Use: "put DOC FILE", Short: "Change a document; of an edge file or a configuration the part is taken that is it", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			text, format, err := settings.ExtractDocument(args[0], data)
			if err != nil {
				return fmt.Errorf("%s: %w", args[1], err)
			}
			if args[0] == configstore.DocPools || args[0] == configstore.DocClasses {
				if err := checkFor(args[0], text, config); err != nil {
					return err
				}
			}
			return inTime(g, *within, func(ctx context.Context) error {
				r, err := g.Config(ctx)
				if err != nil {
					return err
				}
				ask := configstore.Change{Op: configstore.OpPropose, Doc: args[0], Text: text, Format: format, Author: whoami(), AllowRejected: again, Reason: why}
				old, top := "", 0
				var force *configstore.Revision
				if d := r.Book.Documents[args[0]]; d != nil {
					force, top = d.Active, d.HighestVersion
				}
				if force != nil {
					ask.Version, old = force.ID.Version, force.Text
				}
				digest := configstore.NewID(1, []byte(text)).Digest
				var parts *split
				if inParts(args[0], text, force) {
					s, err := splitMap(text, force)
					if err != nil {
						return fmt.Errorf("%s: %w", args[1], err)
					}
					parts, digest, ask.Format = &s, s.digest, configstore.PartsFormat
				}
				if watch > 0 {
					ask.Rollout = &configstore.RolloutPolicy{CanaryRatio: part, ObserveMS: watch.Milliseconds(), MaxLoss: worse}
				}
				if dry {
					list, err := configstore.Diff(args[0], old, text)
					if parts != nil {
						list, err = parts.differs(ctx, g, force)
					}
					if err != nil {
						return err
					}
					return dryRun(c.OutOrStdout(), r, args[0], ask.Format, list, force == nil, *asJSON)
				}
				if parts != nil {
					if err := parts.load(ctx, g, &ask, force); err != nil {
						return err
					}
				}
				got, err := agreed(ctx, g, statemachine.Command{Config: &ask})
				if n := 0; err != nil {
					if n = putAlready(ctx, g, ask, digest, top); n == 0 {
						return err
					}
					got.Version = n
				}
				if !wait {
					fmt.Fprintf(c.ErrOrStderr(), "%s: version %d proposed\n", args[0], got.Version)
					return nil
				}
				return inForce(ctx, g, c.ErrOrStderr(), args[0], got.Version)
			})
		}}
	f := put.Flags()
	f.BoolVar(&dry, "dry-run", false, "say what would change and for whom, and change nothing")
	f.BoolVar(&wait, "wait", false, "wait until it is in force, within --within, and say what it waits for")
	f.BoolVar(&again, "again", false, "put what was taken back before")
	f.StringVar(&why, "hold", "", "have it wait at once, and why")
	f.DurationVar(&watch, "watch", 0, "watch it for so long and take it back if less worth is served; 0: not")
	f.Float64Var(&part, "part", 0, "the part of the processes that act on it first, for as long as it is watched; 0: all at once")
	f.Float64Var(&worse, "worse", 0.05, "by so much less of the worth it counts as bad")
	f.StringVar(&config, "config", "", "for classes and pools: the configuration of a site that they have to fit")
	return put
}

// checkFor checks a document whole against a site, where one is given. Every process does so against its own.
func checkFor(name, text, config string) error {
	if config == "" {
		return nil
	}
	cfg, err := settings.Load(config)
	if err != nil {
		return err
	}
	if name == configstore.DocPools {
		_, err = settings.ParsePools(text, cfg.Server)
	} else {
		_, err = settings.ParseClasses(text, cfg.Server)
	}
	return err
}

// inForce waits until a change is in force, or will not be.
func inForce(ctx context.Context, g *quorum.Client, out io.Writer, name string, version int) error {
	said := ""
	for {
		r, err := g.Config(ctx)
		if err != nil {
			return fmt.Errorf("%s version %d is under way: %s: %w", name, version, said, err)
		}
		d := r.Book.Documents[name]
		switch {
		case d == nil:
			return fmt.Errorf("%s is gone", name)
		case d.Active != nil && d.Active.ID.Version == version:
			fmt.Fprintf(out, "%s: version %d is in force\n", name, version)
			return nil
		case d.Proposed == nil || d.Proposed.ID.Version != version:
			for _, e := range d.History {
				if e.ID.Version == version {
					return fmt.Errorf("%s: version %d: %s", name, version, e.Outcome)
				}
			}
			return fmt.Errorf("%s: version %d is no more", name, version)
		}
		if line := fmt.Sprintf("%s: version %d is %s: %s", name, version, d.Stage, r.Book.WaitingFor(d)); line != said {
			said = line
			fmt.Fprintln(out, strings.TrimSuffix(line, ": "))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("still under way: %s", said)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// dryRun says what a change would change, and who acts on the document.
func dryRun(w io.Writer, r quorum.ConfigView, name string, format int, list []configstore.Difference, first, asJSON bool) error {
	stops := configstore.HasExclusive(list) && !first
	var touches []string
	if stops {
		touches = configstore.ScopeOf(name, list)
	}
	type user struct {
		Name  string `json:"name"`
		Waits string `json:"waits,omitempty"`
	}
	var users []user
	for _, n := range slices.Sorted(maps.Keys(r.Book.Processes)) {
		reads, uses := r.Book.Processes[n].Formats[name]
		switch {
		case !uses:
		case reads < format:
			users = append(users, user{n, fmt.Sprintf("reads format %d, and this is %d", reads, format)})
		default:
			users = append(users, user{Name: n})
		}
	}
	if asJSON {
		return printJSON(w, map[string]any{"differences": list, "for": users, "stops_sheets": stops, "touches": touches})
	}
	if err := diffTable(w, list); err != nil {
		return err
	}
	for _, u := range users {
		fmt.Fprintf(w, "for %s %s\n", u.Name, u.Waits)
	}
	switch {
	case stops && len(touches) > 0:
		fmt.Fprintf(w, "all stop what is exclusive of %s before anybody begins the new\n", strings.Join(touches, ", "))
	case stops:
		fmt.Fprintln(w, "all stop what is exclusive before anybody begins the new")
	}
	return nil
}

func diffTable(out io.Writer, list []configstore.Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FIELD\tOLD\tNEW\tKIND")
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Path, d.Old, d.New, d.Kind)
	}
	return w.Flush()
}

// rulesShow is a command that only shows.
func rulesShow(use, short string, read func(func(context.Context, quorum.ConfigView) error) error, asJSON *bool, asked *string,
	show func(w io.Writer, r quorum.ConfigView, name string, asJSON bool) error) *cobra.Command {
	args := cobra.MaximumNArgs(1)
	if !strings.Contains(use, "[") {
		args = cobra.ExactArgs(1)
	}
	return &cobra.Command{Use: use, Short: short, Args: args, RunE: func(c *cobra.Command, args []string) error {
		name := ""
		if len(args) > 0 {
			name = args[0]
		}
		*asked = name
		return read(func(_ context.Context, r quorum.ConfigView) error {
			if name != "" {
				if _, err := doc(r, name); err != nil {
					return err
				}
			}
			return show(c.OutOrStdout(), r, name, *asJSON)
		})
	}}
}

func showDocs(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	if name != "" {
		d := r.Book.Documents[name]
		switch {
		case asJSON:
			return printJSON(out, d)
		case d.Active == nil:
			return errors.New("nothing is in force yet")
		}
		_, err := io.WriteString(out, d.Active.Text)
		return err
	}
	if asJSON {
		return printJSON(out, r.Book.Documents)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DOC\tIN FORCE\tSINCE\tBY\tUNDER WAY\tSTAGE\tWAITS FOR")
	for _, n := range slices.Sorted(maps.Keys(r.Book.Documents)) {
		d := r.Book.Documents[n]
		force, since, by, next := "", "", "", ""
		if d.Active != nil {
			force, since, by = d.Active.ID.String(), stamp(d.Active.ActiveSince), d.Active.Author
		}
		if d.Proposed != nil {
			next = d.Proposed.ID.String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n, force, since, by, next, d.Stage, r.Book.WaitingFor(d))
	}
	return w.Flush()
}

func stamp(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func showHistory(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	d := r.Book.Documents[name]
	all := slices.Clone(d.History)
	for _, e := range []*configstore.Revision{d.Active, d.Proposed} {
		if e != nil {
			all = append(all, e)
		}
	}
	if asJSON {
		return printJSON(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VERSION\tPUT\tBY\tIN FORCE\tWHAT BECAME OF IT")
	for _, e := range all {
		became := e.Outcome
		switch {
		case e == d.Proposed:
			became = string(d.Stage)
		case e == d.Active && became == "":
			became = "in force"
		}
		if n := len(e.ChangedParts); n > 0 {
			became += fmt.Sprintf(" (%d parts)", n)
		}
		if e.RevertsTo > 0 {
			became += fmt.Sprintf(" (version %d again)", e.RevertsTo)
		}
		fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%s\n", e.ID, stamp(e.ProposedAt), e.Author, stamp(e.ActiveSince), became)
	}
	return w.Flush()
}

func showWho(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	type row struct {
		Process string `json:"process"`
		Doc     string `json:"doc"`
		Acts    int    `json:"acts"`
		Holds   int    `json:"holds,omitempty"`
		Reads   int    `json:"reads"`
		Ago     int64  `json:"heard_ms_ago"` // under 0: not by this leader
		Stops   string `json:"stops,omitempty"`
		Refuses string `json:"refuses,omitempty"`
	}
	var rows []row
	for _, n := range slices.Sorted(maps.Keys(r.Book.Processes)) {
		u, h := r.Book.Processes[n], r.Heard[n]
		for _, of := range slices.Sorted(maps.Keys(u.Formats)) {
			if name != "" && of != name {
				continue
			}
			one := row{Process: n, Doc: of, Acts: h.ActiveVersions[of], Holds: u.Prepared[of], Reads: u.Formats[of], Ago: h.AgeMS, Stops: h.StopReason}
			if h.ActiveVersions == nil {
				one.Ago = -1
			}
			if d := r.Book.Documents[of]; d != nil && d.Proposed != nil && u.Refusals[of].Version == d.Proposed.ID.Version {
				one.Refuses = u.Refusals[of].Reason
			}
			rows = append(rows, one)
		}
	}
	if asJSON {
		return printJSON(out, rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tDOC\tACTS ON\tHOLDS\tREADS\tHEARD AGO\tSTOPS\tREFUSES")
	for _, x := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%s\n", x.Process, x.Doc, x.Acts, x.Holds, x.Reads, time.Duration(x.Ago)*time.Millisecond, x.Stops, x.Refuses)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, cell := range slices.Sorted(maps.Keys(r.GrantedQuota)) {
		fmt.Fprintf(out, "of cell %s at most %.0f%% of what there is to lend is lent\n", cell, 100*r.GrantedQuota[cell])
	}
	for _, n := range slices.Sorted(maps.Keys(r.Book.Documents)) {
		if d := r.Book.Documents[n]; d.Proposed != nil && (name == "" || n == name) {
			fmt.Fprintf(out, "%s version %d is %s; it waits for: %s\n", n, d.Proposed.ID.Version, d.Stage, r.Book.WaitingFor(d))
		}
	}
	return nil
}

// rulesDiff compares a file with what is in force, or two versions.
func rulesDiff(g *quorum.Client, read func(func(context.Context, quorum.ConfigView) error) error, asJSON *bool) *cobra.Command {
	var versions []int
	diff := &cobra.Command{Use: "diff DOC [FILE]", Short: "Show in which fields a file differs from what is in force, or two versions from each other, and their kinds",
		Args: cobra.RangeArgs(1, 2), RunE: func(c *cobra.Command, args []string) error {
			return read(func(ctx context.Context, r quorum.ConfigView) error {
				d, err := doc(r, args[0])
				if err != nil {
					return err
				}
				var texts [2]string
				show := func(list []configstore.Difference, err error) error {
					if err != nil {
						return err
					}
					if *asJSON {
						return json.NewEncoder(c.OutOrStdout()).Encode(list)
					}
					return diffTable(c.OutOrStdout(), list)
				}
				switch {
				case len(args) == 2 && len(versions) == 0:
					data, err := os.ReadFile(args[1])
					if err != nil {
						return err
					}
					if texts[1], _, err = settings.ExtractDocument(args[0], data); err != nil {
						return fmt.Errorf("%s: %w", args[1], err)
					}
					if d.Active != nil && d.Active.InParts {
						s, err := splitMap(texts[1], d.Active)
						if err != nil {
							return err
						}
						return show(s.differs(ctx, g, d.Active))
					}
					if d.Active != nil {
						texts[0] = d.Active.Text
					}
				case len(args) == 1 && len(versions) == 2:
					for i, n := range versions {
						e := d.Revision(n)
						if e == nil {
							return fmt.Errorf("version %d of %s is not kept", n, args[0])
						}
						if texts[i], err = versionText(ctx, g, d, e); err != nil {
							return err
						}
					}
				default:
					return errors.New("either a file or two --versions")
				}
				return show(configstore.Diff(args[0], texts[0], texts[1]))
			})
		}}
	diff.Flags().IntSliceVar(&versions, "versions", nil, "two versions, the older first")
	return diff
}
