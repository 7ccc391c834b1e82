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

// storeCommand looks after the files in which servers keep the runs of keyed requests.
func storeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "store", Short: "Look after the runs of keyed requests that are kept on a disk: see docs/durable.md"}
	var dir, name, from, to, addr string
	var whole bool
	add := func(use, short string, flags func(c *cobra.Command), do func(c *cobra.Command) error) {
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return do(c) }}
		flags(c)
		cmd.AddCommand(c)
	}
	inDir := func(c *cobra.Command) {
		c.Flags().StringVar(&dir, "dir", "", "the store's folder, or the file of one")
		c.MarkFlagRequired("dir")
	}
	named := func(c *cobra.Command) {
		inDir(c)
		c.Flags().StringVar(&name, "name", "", "the name of the service that it is for")
		c.MarkFlagRequired("name")
	}
	add("init", "Make the store of a service that has run no sheet that could come again", named, func(c *cobra.Command) error {
		return idempotencystore.Init(dir, name)
	})
	add("check", "Read a store that no service has open, and say what stands in it", inDir, func(c *cobra.Command) error {
		return checkStore(c, idempotencystore.FileOf(dir))
	})
	add("dump", "Print every record of a store that no service has open, a JSON object a line", inDir, func(c *cobra.Command) error {
		return idempotencystore.Dump(idempotencystore.FileOf(dir), func(r idempotency.Record) error { return printRecord(c, r) })
	})
	add("compact", "Write a store that no service has open anew, without room that nobody uses", inDir, func(c *cobra.Command) error {
		before, after, err := idempotencystore.Compact(dir)
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%d KB, were %d\n", after>>10, before>>10)
		}
		return err
	})
	add("export", "Copy a store: of a service that runs by its management front, else from its folder", func(c *cobra.Command) {
		c.Flags().StringVar(&addr, "mgmt", "", "the management front of the service that has it open; the copy lies in the store's folder")
		c.Flags().StringVar(&dir, "dir", "", "the folder of a store that no service has open")
		c.Flags().StringVar(&to, "to", "", "with --dir: the file to write")
	}, func(c *cobra.Command) error {
		if (addr == "") == (dir == "") || (dir == "") != (to == "") {
			return errors.New("export: give --mgmt ADDR, or --dir DIR and --to FILE")
		}
		if dir != "" {
			return idempotencystore.Export(dir, to)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		yes, why, err := admin.Call(ctx, addr, "POST /api/snapshot")
		if err == nil && !yes {
			err = errors.New(why)
		}
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), why)
		}
		return err
	})
	add("import", "Make a store from a copy of another one", func(c *cobra.Command) {
		named(c)
		c.Flags().StringVar(&from, "from", "", "the copy")
		c.MarkFlagRequired("from")
		c.Flags().BoolVar(&whole, "whole", false, "its service closed it for good and has run nothing since")
	}, func(c *cobra.Command) error {
		n, err := idempotencystore.Import(from, dir, name, whole)
		if err == nil {
			fmt.Fprintf(c.OutOrStdout(), "%d records\n", n)
		}
		return err
	})
	return cmd
}

// checkStore says what stands in a file, and fails where some of it can't be read.
func checkStore(c *cobra.Command, path string) error {
	s, err := idempotencystore.Check(path)
	if err != nil {
		return err
	}
	out := c.OutOrStdout()
	fmt.Fprintf(out, "%s: store %s of %s, format %d, %d KB\n", path, s.ID, s.Name, s.Format, s.File>>10)
	fmt.Fprintf(out, "  whole: %v, closed in good order: %v, from the machine's present start: %v\n", s.Complete, s.ClosedCleanly, s.SameBoot)
	fmt.Fprintf(out, "  %d records, %d KB\n", s.Records, s.Bytes>>10)
	for _, state := range slices.Sorted(maps.Keys(s.ByState)) {
		fmt.Fprintf(out, "  %s: %d\n", state, s.ByState[state])
	}
	if s.Unreadable > 0 || s.Damage != "" {
		return fmt.Errorf("%s: %d records can't be read; %s", path, s.Unreadable, s.Damage)
	}
	return nil
}

func printRecord(c *cobra.Command, r idempotency.Record) error {
	text, err := json.Marshal(struct {
		Seq     uint64 `json:"seq"`
		State   string `json:"state"`
		Key     string `json:"key"`
		ID      string `json:"id"`
		Window  int64  `json:"window_ms"`
		Reached int64  `json:"reached_ms"` // since the machine was switched on
		Until   int64  `json:"until_ms"`
		Result  int    `json:"result_bytes"`
	}{r.Seq, r.State.String(), r.Key, r.ID, r.Window.Milliseconds(), r.ReceivedAt.Milliseconds(), r.ExpiresAt.Milliseconds(), len(r.Result)})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s\n", text)
	return err
}
