package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
)

// rulesPut returns the command that proposes a document from a file. The file may also be an edge file or a configuration, as used by
// installations without a group.
func rulesPut(g *quorum.Client, within *time.Duration, asJSON *bool) *cobra.Command {
	p := proposal{group: g}
	var dry, wait bool
	var config string
	put := &cobra.Command{Use: "put DOC FILE", Short: "Change a document; of an edge file or a configuration the part is taken that is it", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if err := p.read(args[0], args[1], config); err != nil {
				return err
			}
			return withGroupTimeout(g, *within, func(ctx context.Context) error {
				if err := p.prepare(ctx); err != nil {
					return err
				}
				if dry {
					return p.dryRun(ctx, c.OutOrStdout(), *asJSON)
				}
				version, err := p.propose(ctx)
				if err != nil {
					return err
				}
				if !wait {
					fmt.Fprintf(c.ErrOrStderr(), "%s: version %d proposed\n", p.doc, version)
					return nil
				}
				return waitActive(ctx, g, c.ErrOrStderr(), p.doc, version)
			})
		}}
	f := put.Flags()
	f.BoolVar(&dry, "dry-run", false, "say what would change and for whom, and change nothing")
	f.BoolVar(&wait, "wait", false, "wait until it is in force, within --within, and say what it waits for")
	f.BoolVar(&p.allowRejected, "again", false, "put what was taken back before")
	f.StringVar(&p.holdReason, "hold", "", "have it wait at once, and why")
	f.DurationVar(&p.observe, "watch", 0, "watch it for so long and take it back if less worth is served; 0: not")
	f.Float64Var(&p.canaryRatio, "part", 0, "the part of the processes that act on it first, for as long as it is watched; 0: all at once")
	f.Float64Var(&p.maxLoss, "worse", 0.05, "by so much less of the worth it counts as bad")
	f.StringVar(&config, "config", "", "for classes and pools: the configuration of a site that they have to fit")
	return put
}

// proposal is a change of a document, built from a file and flags by read and prepare.
type proposal struct {
	group *quorum.Client

	allowRejected        bool
	holdReason           string
	observe              time.Duration
	canaryRatio, maxLoss float64

	doc, file, text string
	format          int
	config          quorum.ConfigView
	active          *configstore.Revision // nil: the document is new
	highest         int                   // highest version number of the document so far
	parts           *mapParts             // nil: the document is proposed as one text
}

// read reads the document from a file. It checks pools and classes against the configuration file site, if one is given.
func (p *proposal) read(doc, file, site string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	p.doc, p.file = doc, file
	if p.text, p.format, err = settings.ExtractDocument(doc, data); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if doc == configstore.DocPools || doc == configstore.DocClasses {
		return checkAgainstSite(doc, p.text, site)
	}
	return nil
}

// prepare reads the active version, and splits the document if it is proposed in parts.
func (p *proposal) prepare(ctx context.Context) (err error) {
	if p.config, err = p.group.Config(ctx); err != nil {
		return err
	}
	if d := p.config.Store.Documents[p.doc]; d != nil {
		p.active, p.highest = d.Active, d.HighestVersion
	}
	if sentInParts(p.doc, p.text, p.active) {
		s, err := splitMap(p.text, p.active)
		if err != nil {
			return fmt.Errorf("%s: %w", p.file, err)
		}
		p.parts, p.format = &s, configstore.PartsFormat
	}
	return nil
}

// dryRun prints the differences from the active version and the processes that the change affects, without proposing it.
func (p *proposal) dryRun(ctx context.Context, w io.Writer, asJSON bool) error {
	old := ""
	if p.active != nil {
		old = p.active.Text
	}
	list, err := configstore.Diff(p.doc, old, p.text)
	if p.parts != nil {
		list, err = p.parts.differences(ctx, p.group, p.active)
	}
	if err != nil {
		return err
	}
	return printDryRun(w, p.config, p.doc, p.format, list, p.active == nil, asJSON)
}

// propose proposes the change and returns its version. If the group refuses it because an earlier attempt was accepted, it returns
// the version of that attempt.
func (p *proposal) propose(ctx context.Context) (version int, err error) {
	change := configstore.Change{Op: configstore.OpPropose, Doc: p.doc, Text: p.text, Format: p.format, Author: currentUser(),
		AllowRejected: p.allowRejected, Reason: p.holdReason}
	if p.active != nil {
		change.Version = p.active.ID.Version
	}
	if p.observe > 0 {
		change.Rollout = &configstore.RolloutPolicy{CanaryRatio: p.canaryRatio, ObserveMS: p.observe.Milliseconds(), MaxLoss: p.maxLoss}
	}
	digest := configstore.NewID(1, []byte(p.text)).Digest
	if p.parts != nil {
		digest = p.parts.digest
		if err := p.parts.upload(ctx, p.group, &change, p.active); err != nil {
			return 0, err
		}
	}
	result, err := submitCommand(ctx, p.group, statemachine.Command{Config: &change})
	if err != nil {
		if version = findProposedVersion(ctx, p.group, change, digest, p.highest); version == 0 {
			return 0, err
		}
		return version, nil
	}
	return result.Version, nil
}

// checkAgainstSite validates a document against the configuration file of a site, or returns nil if site is empty. Each process makes the
// same check against its own configuration.
func checkAgainstSite(name, text, site string) error {
	if site == "" {
		return nil
	}
	cfg, err := settings.Load(site)
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

// activePollInterval is the pause between two polls of a change that waitActive waits for.
const activePollInterval = 20 * time.Millisecond

// waitActive polls a change until its version is active and prints each stage. It returns an error if the change ended otherwise or
// ctx ends first.
func waitActive(ctx context.Context, g *quorum.Client, out io.Writer, name string, version int) error {
	lastPrinted := ""
	for {
		r, err := g.Config(ctx)
		if err != nil {
			return fmt.Errorf("%s version %d is under way (%s), but reading its state failed: %w", name, version, lastPrinted, err)
		}
		d := r.Store.Documents[name]
		switch {
		case d == nil:
			return fmt.Errorf("document %s no longer exists", name)
		case d.Active != nil && d.Active.ID.Version == version:
			fmt.Fprintf(out, "%s: version %d is in force\n", name, version)
			return nil
		case d.Proposed == nil || d.Proposed.ID.Version != version:
			for _, e := range d.History {
				if e.ID.Version == version {
					return fmt.Errorf("%s: version %d: %s", name, version, e.Outcome)
				}
			}
			return fmt.Errorf("%s: version %d no longer exists", name, version)
		}
		if line := fmt.Sprintf("%s: version %d is %s: %s", name, version, d.Stage, r.Store.WaitingFor(d)); line != lastPrinted {
			lastPrinted = line
			fmt.Fprintln(out, strings.TrimSuffix(line, ": "))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("still under way: %s", lastPrinted)
		case <-time.After(activePollInterval):
		}
	}
}

// printDryRun prints the differences that a change makes, the processes that use the document with the reason why they can't take
// the change, and whether exclusive work stops for it.
func printDryRun(w io.Writer, r quorum.ConfigView, name string, format int, list []configstore.Difference, isNew, asJSON bool) error {
	stopsExclusive := configstore.HasExclusive(list) && !isNew
	var scope []string
	if stopsExclusive {
		scope = configstore.ScopeOf(name, list)
	}
	type affectedProcess struct {
		Name  string `json:"name"`
		Waits string `json:"waits,omitempty"`
	}
	var users []affectedProcess
	for _, n := range slices.Sorted(maps.Keys(r.Store.Processes)) {
		reads, uses := r.Store.Processes[n].Formats[name]
		switch {
		case !uses:
		case reads < format:
			users = append(users, affectedProcess{n, fmt.Sprintf("reads format %d, and this is %d", reads, format)})
		default:
			users = append(users, affectedProcess{Name: n})
		}
	}
	if asJSON {
		return printJSON(w, map[string]any{"differences": list, "for": users, "stops_sheets": stopsExclusive, "touches": scope})
	}
	if err := diffTable(w, list); err != nil {
		return err
	}
	for _, u := range users {
		fmt.Fprintf(w, "for %s %s\n", u.Name, u.Waits)
	}
	switch {
	case stopsExclusive && len(scope) > 0:
		fmt.Fprintf(w, "every process stops exclusive work of %s before any begins to use the new version\n", strings.Join(scope, ", "))
	case stopsExclusive:
		fmt.Fprintln(w, "every process stops exclusive work before any begins to use the new version")
	}
	return nil
}
