package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
)

// rulesShow returns a command that reads the documents with read and prints them with show. It stores the name that the operator gave
// in requestedDoc, for read to use.
func rulesShow(use, short string, read func(func(context.Context, quorum.ConfigView) error) error, asJSON *bool, requestedDoc *string,
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
		*requestedDoc = name
		return read(func(_ context.Context, r quorum.ConfigView) error {
			if name != "" {
				if _, err := findDocument(r, name); err != nil {
					return err
				}
			}
			return show(c.OutOrStdout(), r, name, *asJSON)
		})
	}}
}

// showDocs prints a table of all documents or, if name is set, the text of one.
func showDocs(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	if name != "" {
		d := r.Store.Documents[name]
		switch {
		case asJSON:
			return printJSON(out, d)
		case d.Active == nil:
			return errors.New("no version of the document is in force yet")
		}
		_, err := io.WriteString(out, d.Active.Text)
		return err
	}
	if asJSON {
		return printJSON(out, r.Store.Documents)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DOC\tIN FORCE\tSINCE\tBY\tUNDER WAY\tSTAGE\tWAITS FOR")
	for _, n := range slices.Sorted(maps.Keys(r.Store.Documents)) {
		d := r.Store.Documents[n]
		active, since, by, proposed := "", "", "", ""
		if d.Active != nil {
			active, since, by = d.Active.ID.String(), formatTime(d.Active.ActiveSince), d.Active.Author
		}
		if d.Proposed != nil {
			proposed = d.Proposed.ID.String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n, active, since, by, proposed, d.Stage, r.Store.WaitingFor(d))
	}
	return w.Flush()
}

// formatTime formats a time in Unix milliseconds as RFC 3339, and 0 as an empty string.
func formatTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// showHistory prints the versions of a document, the active and the proposed one last.
func showHistory(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	d := r.Store.Documents[name]
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
		outcome := e.Outcome
		switch {
		case e == d.Proposed:
			outcome = string(d.Stage)
		case e == d.Active && outcome == "":
			outcome = "in force"
		}
		if n := len(e.ChangedParts); n > 0 {
			outcome += fmt.Sprintf(" (%d parts)", n)
		}
		if e.RevertsTo > 0 {
			outcome += fmt.Sprintf(" (version %d again)", e.RevertsTo)
		}
		fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%s\n", e.ID, formatTime(e.ProposedAt), e.Author, formatTime(e.ActiveSince), outcome)
	}
	return w.Flush()
}

// processRow is the state of one document at one process, as the process reports it.
type processRow struct {
	Process         string `json:"process"`
	Doc             string `json:"doc"`
	ActiveVersion   int    `json:"acts"`
	PreparedVersion int    `json:"holds,omitempty"`
	Format          int    `json:"reads"`
	AgeMS           int64  `json:"heard_ms_ago"` // under 0: the process has not reported to this leader
	StopReason      string `json:"stops,omitempty"`
	RefusalReason   string `json:"refuses,omitempty"`
}

// processRows returns the rows of all processes and documents or, if doc is set, those of one document.
func processRows(r quorum.ConfigView, doc string) (rows []processRow) {
	for _, n := range slices.Sorted(maps.Keys(r.Store.Processes)) {
		p, report := r.Store.Processes[n], r.Reports[n]
		for _, docName := range slices.Sorted(maps.Keys(p.Formats)) {
			if doc != "" && docName != doc {
				continue
			}
			row := processRow{Process: n, Doc: docName, ActiveVersion: report.ActiveVersions[docName], PreparedVersion: p.Prepared[docName], Format: p.Formats[docName], AgeMS: report.AgeMS, StopReason: report.StopReason}
			if report.ActiveVersions == nil {
				row.AgeMS = -1
			}
			if d := r.Store.Documents[docName]; d != nil && d.Proposed != nil && p.Refusals[docName].Version == d.Proposed.ID.Version {
				row.RefusalReason = p.Refusals[docName].Reason
			}
			rows = append(rows, row)
		}
	}
	return rows
}

// showWho prints which process acts on which version, the quota granted in each cell, and what each proposed change waits for.
func showWho(out io.Writer, r quorum.ConfigView, name string, asJSON bool) error {
	rows := processRows(r, name)
	if asJSON {
		return printJSON(out, rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tDOC\tACTS ON\tHOLDS\tREADS\tHEARD AGO\tSTOPS\tREFUSES")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%s\n", row.Process, row.Doc, row.ActiveVersion, row.PreparedVersion, row.Format, time.Duration(row.AgeMS)*time.Millisecond, row.StopReason, row.RefusalReason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, cell := range slices.Sorted(maps.Keys(r.GrantedQuota)) {
		fmt.Fprintf(out, "of cell %s at most %.0f%% of what there is to lend is lent\n", cell, 100*r.GrantedQuota[cell])
	}
	for _, n := range slices.Sorted(maps.Keys(r.Store.Documents)) {
		if d := r.Store.Documents[n]; d.Proposed != nil && (name == "" || n == name) {
			fmt.Fprintf(out, "%s version %d is %s; it waits for: %s\n", n, d.Proposed.ID.Version, d.Stage, r.Store.WaitingFor(d))
		}
	}
	return nil
}
