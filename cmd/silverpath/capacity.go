package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"silverpath/deploy"
	"silverpath/docs/results"
	"silverpath/internal/policy/capacity"
	"silverpath/internal/settings"
)

// capacityCommand returns the command that computes the resources that a fleet of the target's size needs, and the size at which it
// reaches a limit. The command prints one line and exits with 1 if the target or results file is missing or invalid.
func capacityCommand() *cobra.Command {
	var targetFile, resultsFile string
	var asJSON bool
	c := &cobra.Command{Use: "capacity", Short: "Compute what a fleet of a size takes, and where it breaks: see docs/CAPACITY.md", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			target, err := settings.ParseTarget(deploy.Target)
			if targetFile != "" {
				target, err = settings.LoadTarget(targetFile)
			}
			if err != nil {
				return err
			}
			measurements, err := results.Read(results.Scale)
			if resultsFile != "" {
				var data []byte
				if data, err = os.ReadFile(resultsFile); err == nil {
					measurements, err = results.Parse(resultsFile, data)
				}
			}
			if err != nil {
				return err
			}
			plan, err := capacity.Compute(target, measurements, capacity.Current)
			if err != nil {
				return err
			}
			if asJSON {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(plan)
			}
			return printPlan(c.OutOrStdout(), plan)
		}}
	c.Flags().StringVar(&targetFile, "target", "", "the target's file, as deploy/target.json (default: that one, which is built in)")
	c.Flags().StringVar(&resultsFile, "results", "", "what was measured, as docs/results/scale.json (default: that one, which is built in)")
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// printPlan prints the tables of a plan as text.
func printPlan(out io.Writer, plan capacity.Plan) error {
	source := plan.Measured
	if source == "" {
		source = "nothing was measured"
	}
	fmt.Fprintf(out, "Results: %s.\n%s\n", source, capacity.Marks)
	for _, t := range plan.Tables() {
		fmt.Fprintf(out, "\n%s\n\n", t.Title)
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Head, "\t")))
		for _, row := range t.Rows {
			fmt.Fprintln(w, strings.Join(row, "\t"))
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return nil
}
