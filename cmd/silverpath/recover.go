package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"silverpath/internal/storage/inspect"
)

// recoverCommand returns the commands that show which data on disk can be trusted after an outage.
func recoverCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "recover", Short: "See what is left on disks after the dark: see docs/recovery.md"}
	var asJSON bool
	c := &cobra.Command{Use: "inspect PATH…", Args: cobra.MinimumNArgs(1),
		Short: "Say whose each file or folder is, of when, and whether it can be trusted; nothing is changed",
		RunE:  func(c *cobra.Command, paths []string) error { return inspectPaths(c.OutOrStdout(), paths, asJSON) }}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.AddCommand(c)
	return cmd
}

// inspectPaths prints the finding for each path. It returns an error if some of the data can't be trusted.
func inspectPaths(out io.Writer, paths []string, asJSON bool) error {
	var findings []inspect.Finding
	problems := 0
	for _, path := range paths {
		f, err := inspect.Inspect(path)
		if err != nil {
			return err
		}
		if f.Problem != "" {
			problems++
		}
		findings = append(findings, f)
	}
	if asJSON {
		if err := printJSON(out, findings); err != nil {
			return err
		}
	} else {
		for _, f := range findings {
			printFinding(out, f)
		}
	}
	if problems > 0 {
		return errors.New("some of it can't be trusted: keep it as it is")
	}
	return nil
}

// printFinding prints the finding for one path as text.
func printFinding(out io.Writer, f inspect.Finding) {
	fmt.Fprintf(out, "%s: %s", f.Path, f.Kind)
	if f.Owner != "" {
		fmt.Fprintf(out, " of %s", f.Owner)
	}
	fmt.Fprintf(out, ", trusted: %s\n", f.Trust)
	for _, fact := range f.Facts {
		fmt.Fprintf(out, "  %s\n", fact)
	}
	if f.Problem != "" {
		fmt.Fprintf(out, "  wrong: %s\n", f.Problem)
	}
}
