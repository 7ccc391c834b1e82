package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// rulesDiff returns the command that compares a file with the active version, or two versions of a document.
func rulesDiff(g *quorum.Client, read func(func(context.Context, quorum.ConfigView) error) error, asJSON *bool) *cobra.Command {
	var versions []int
	diff := &cobra.Command{Use: "diff DOC [FILE]", Short: "Show in which fields a file differs from what is in force, or two versions from each other, and their kinds",
		Args: cobra.RangeArgs(1, 2), RunE: func(c *cobra.Command, args []string) error {
			return read(func(ctx context.Context, r quorum.ConfigView) error {
				d, err := findDocument(r, args[0])
				if err != nil {
					return err
				}
				var list []configstore.Difference
				switch {
				case len(args) == 2 && len(versions) == 0:
					list, err = diffFile(ctx, g, d, args[1])
				case len(args) == 1 && len(versions) == 2:
					list, err = diffVersions(ctx, g, d, versions)
				default:
					err = errors.New("give either a file or two --versions")
				}
				if err != nil {
					return err
				}
				if *asJSON {
					return json.NewEncoder(c.OutOrStdout()).Encode(list)
				}
				return diffTable(c.OutOrStdout(), list)
			})
		}}
	diff.Flags().IntSliceVar(&versions, "versions", nil, "two versions, the older first")
	return diff
}

// diffFile returns the differences between the active version of a document and a file.
func diffFile(ctx context.Context, g *quorum.Client, d *configstore.Document, file string) ([]configstore.Difference, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	text, _, err := settings.ExtractDocument(d.Name, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	switch {
	case d.Active == nil:
		return configstore.Diff(d.Name, "", text)
	case !d.Active.InParts:
		return configstore.Diff(d.Name, d.Active.Text, text)
	}
	s, err := splitMap(text, d.Active)
	if err != nil {
		return nil, err
	}
	return s.differences(ctx, g, d.Active)
}

// diffVersions returns the differences between two stored versions of a document.
func diffVersions(ctx context.Context, g *quorum.Client, d *configstore.Document, versions []int) ([]configstore.Difference, error) {
	var texts [2]string
	for i, n := range versions {
		r := d.Revision(n)
		if r == nil {
			return nil, fmt.Errorf("version %d of %s is not kept", n, d.Name)
		}
		text, err := readVersionText(ctx, g, d, r)
		if err != nil {
			return nil, err
		}
		texts[i] = text
	}
	return configstore.Diff(d.Name, texts[0], texts[1])
}

// diffTable prints differences as a table.
func diffTable(out io.Writer, list []configstore.Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FIELD\tOLD\tNEW\tKIND")
	for _, d := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.Path, d.Old, d.New, d.Kind)
	}
	return w.Flush()
}
