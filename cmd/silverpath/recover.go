package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"silverpath/internal/storage/inspect"
)

// recoverCommand shows what there is to go by after the dark.
func recoverCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "recover", Short: "See what is left on disks after the dark: see docs/recovery.md"}
	var asJSON bool
	inspect := &cobra.Command{Use: "inspect PATH…", Args: cobra.MinimumNArgs(1),
		Short: "Say whose each file or folder is, of when, and whether it can be trusted; nothing is changed",
		RunE: func(c *cobra.Command, args []string) error {
			var list []inspect.Finding
			wrong := 0
			for _, path := range args {
				f, err := inspect.Inspect(path)
				if err != nil {
					return err
				}
				if f.Problem != "" {
					wrong++
				}
				list = append(list, f)
			}
			if asJSON {
				if err := printJSON(c.OutOrStdout(), list); err != nil {
					return err
				}
			} else {
				for _, f := range list {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s", f.Path, f.Kind)
					if f.Owner != "" {
						fmt.Fprintf(c.OutOrStdout(), " of %s", f.Owner)
					}
					fmt.Fprintf(c.OutOrStdout(), ", trusted: %s\n", f.Trust)
					for _, s := range f.Facts {
						fmt.Fprintf(c.OutOrStdout(), "  %s\n", s)
					}
					if f.Problem != "" {
						fmt.Fprintf(c.OutOrStdout(), "  wrong: %s\n", f.Problem)
					}
				}
			}
			if wrong > 0 {
				return errors.New("some of it can't be trusted: keep it as it is")
			}
			return nil
		}}
	inspect.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.AddCommand(inspect)
	return cmd
}
