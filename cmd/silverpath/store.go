package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/transport/admin"
)

// storeCommand returns the commands that maintain the files in which servers store the runs of idempotent requests.
func storeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "Look after the runs of keyed requests that are kept on a disk: see docs/durable.md"}
	cmd.AddCommand(storeInitCommand(), storeCheckCommand(), storeDumpCommand(), storeCompactCommand(), storeExportCommand(), storeImportCommand())
	return cmd
}

// storeSubcommand returns a command that calls run with the value of the required flag --dir, the store's folder or file.
func storeSubcommand(use, short string, run func(c *cobra.Command, dir string) error) *cobra.Command {
	var dir string
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return run(c, dir) }}
	c.Flags().StringVar(&dir, "dir", "", "the store's folder, or the file of one")
	c.MarkFlagRequired("dir")
	return c
}

// nameFlag adds the required flag --name, the name of the service that owns the store.
func nameFlag(c *cobra.Command, name *string) {
	c.Flags().StringVar(name, "name", "", "the name of the service that it is for")
	c.MarkFlagRequired("name")
}

func storeInitCommand() *cobra.Command {
	var name string
	c := storeSubcommand("init", "Make the store of a service that has run no sheet that could come again", func(_ *cobra.Command, dir string) error {
		return idempotencystore.Init(dir, name)
	})
	nameFlag(c, &name)
	return c
}

func storeCheckCommand() *cobra.Command {
	return storeSubcommand("check", "Read a store that no service has open, and say what stands in it", func(c *cobra.Command, dir string) error {
		return checkStore(c, idempotencystore.FilePath(dir))
	})
}

func storeDumpCommand() *cobra.Command {
	return storeSubcommand("dump", "Print every record of a store that no service has open, a JSON object a line", func(c *cobra.Command, dir string) error {
		return idempotencystore.Dump(idempotencystore.FilePath(dir), func(r idempotency.Record) error { return printRecord(c, r) })
	})
}

func storeCompactCommand() *cobra.Command {
	return storeSubcommand("compact", "Write a store that no service has open anew, without room that nobody uses", func(c *cobra.Command, dir string) error {
		before, after, err := idempotencystore.Compact(dir)
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%d KB, were %d\n", after>>10, before>>10)
		}
		return err
	})
}

func storeImportCommand() *cobra.Command {
	var name, from string
	var closedForGood bool
	c := storeSubcommand("import", "Make a store from a copy of another one", func(c *cobra.Command, dir string) error {
		n, err := idempotencystore.Import(from, dir, name, closedForGood)
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", n)
		}
		return err
	})
	nameFlag(c, &name)
	c.Flags().StringVar(&from, "from", "", "the copy")
	c.MarkFlagRequired("from")
	c.Flags().BoolVar(&closedForGood, "whole", false, "its service closed it for good and has run nothing since")
	return c
}

// snapshotTimeout limits how long a service may take to copy its open store, whose size limits.memory_mb bounds.
const snapshotTimeout = time.Minute

func storeExportCommand() *cobra.Command {
	var addr, dir, to string
	c := &cobra.Command{Use: "export", Short: "Copy a store: of a service that runs by its management front, else from its folder", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if (addr == "") == (dir == "") || (dir == "") != (to == "") {
				return errors.New("export: give --mgmt ADDR, or --dir DIR and --to FILE")
			}
			if dir != "" {
				return idempotencystore.Export(dir, to)
			}
			return exportInUse(c, addr)
		}}
	c.Flags().StringVar(&addr, "mgmt", "", "the management front of the service that has it open; the copy lies in the store's folder")
	c.Flags().StringVar(&dir, "dir", "", "the folder of a store that no service has open")
	c.Flags().StringVar(&to, "to", "", "with --dir: the file to write")
	return c
}

// exportInUse calls the management front at addr to have the service copy its open store, and prints the copy's path.
func exportInUse(c *cobra.Command, addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	ok, message, err := admin.Call(ctx, addr, "POST /api/snapshot")
	if err != nil {
		return err
	}
	if !ok {
		return errors.New(message)
	}
	fmt.Fprintln(c.OutOrStdout(), message)
	return nil
}

// checkStore prints a summary of a store's file. It returns an error if the file is damaged or has unreadable records.
func checkStore(c *cobra.Command, path string) error {
	s, err := idempotencystore.Check(path)
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%s: store %s of %s, format %d, %d KB\n", path, s.ID, s.Name, s.Format, s.FileSize>>10)
	fmt.Fprintf(out, "  whole: %v, closed in good order: %v, from the machine's present start: %v\n", s.Complete, s.ClosedCleanly, s.SameBoot)
	fmt.Fprintf(out, "  %d records, %d KB\n", s.Records, s.RecordBytes>>10)
	for _, state := range slices.Sorted(maps.Keys(s.ByState)) {
		fmt.Fprintf(out, "  %s: %d\n", state, s.ByState[state])
	}
	if s.Unreadable > 0 || s.Damage != "" {
		return fmt.Errorf("%s: %d records can't be read; %s", path, s.Unreadable, s.Damage)
	}
	return nil
}

// printRecord prints a record as a JSON object on one line. It prints the size of the result, not the result.
func printRecord(c *cobra.Command, r idempotency.Record) error {
	text, err := json.Marshal(struct {
		Seq     uint64 `json:"seq"`
		State   string `json:"state"`
		Key     string `json:"key"`
		ID      string `json:"id"`
		Window  int64  `json:"window_ms"`
		Reached int64  `json:"reached_ms"` // since the machine's boot
		Until   int64  `json:"until_ms"`
		Result  int    `json:"result_bytes"`
	}{r.Seq, r.State.String(), r.Key, r.ID, r.Window.Milliseconds(), r.ReceivedAt.Milliseconds(), r.ExpiresAt.Milliseconds(), len(r.Result)})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", text)
	return err
}
