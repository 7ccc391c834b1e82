package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
)

// rulesCommand returns the operator commands that show and change the documents that a group agrees on.
func rulesCommand() *cobra.Command {
	var g quorum.Client
	var within time.Duration
	var asJSON bool
	var requestedDoc string // the document named on the command line; empty: all
	cmd := &cobra.Command{Use: "rules", Short: "Show and change the documents that a group agrees on: see docs/rules.md"}
	groupFlags(cmd, &g, &within)
	cmd.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	read := func(fn func(ctx context.Context, r quorum.ConfigView) error) error {
		return withGroupTimeout(&g, within, func(ctx context.Context) error {
			r, err := g.Config(ctx)
			if err != nil {
				return err
			}
			return fn(ctx, r)
		})
	}
	// get is read, but first joins the parts of the requested document into one text.
	get := func(fn func(ctx context.Context, r quorum.ConfigView) error) error {
		return read(func(ctx context.Context, r quorum.ConfigView) error {
			for name, d := range r.Store.Documents {
				if d.Active == nil || !d.Active.InParts || name != requestedDoc {
					continue
				}
				text, err := readVersionText(ctx, &g, d, d.Active)
				if err != nil {
					return err
				}
				d.Active.Text = text
			}
			return fn(ctx, r)
		})
	}
	cmd.AddCommand(rulesPut(&g, &within, &asJSON), rulesShow("get [DOC]", "Show what is in force and what is under way, or the text of one document", get, &asJSON, &requestedDoc, showDocs),
		rulesShow("history DOC", "Show the versions of a document and what became of them", read, &asJSON, &requestedDoc, showHistory),
		rulesShow("who [DOC]", "Show which process acts on which version, and what a change waits for", read, &asJSON, &requestedDoc, showWho),
		rulesDiff(&g, read, &asJSON))
	cmd.AddCommand(
		rulesControl(&g, &within, configstore.OpHold, "hold DOC", "Have a change wait before its next stage"),
		rulesControl(&g, &within, configstore.OpRelease, "release DOC", "Have it go on"),
		rulesControl(&g, &within, configstore.OpWithdraw, "withdraw DOC", "Withdraw a change that is not in force, or put what was in force before the latest back in force"),
	)
	return cmd
}

// rulesControl returns a command that holds, releases or withdraws the proposed change of a document. If no change is proposed,
// withdraw reverts the active version.
func rulesControl(g *quorum.Client, within *time.Duration, op configstore.Op, use, short string) *cobra.Command {
	var reason string
	c := &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return withGroupTimeout(g, *within, func(ctx context.Context) error {
			r, err := g.Config(ctx)
			if err != nil {
				return err
			}
			d, err := findDocument(r, args[0])
			if err != nil {
				return err
			}
			change := configstore.Change{Op: op, Doc: args[0], Author: currentUser(), Reason: reason}
			switch {
			case d.Proposed != nil:
				change.Version = d.Proposed.ID.Version
			case op == configstore.OpWithdraw && d.Active != nil:
				change.Op, change.Version = configstore.OpRevert, d.Active.ID.Version
			default:
				return errors.New("no change is under way")
			}
			result, err := submitCommand(ctx, g, statemachine.Command{Config: &change})
			if err == nil {
				fmt.Fprintf(c.ErrOrStderr(), "%s: version %d: %s\n", args[0], result.Version, change.Op)
			}
			return err
		})
	}}
	c.Flags().StringVar(&reason, "why", "", "why, for those who look")
	return c
}

// currentUser returns the name of the current user, which is recorded as the author of a change.
func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

// findDocument returns the document of a name. If it does not exist, the error lists all valid names.
func findDocument(r quorum.ConfigView, name string) (*configstore.Document, error) {
	if d := r.Store.Documents[name]; d != nil {
		return d, nil
	}
	return nil, fmt.Errorf("document %q does not exist yet; the names are %s", name, strings.Join(configstore.DocumentNames, ", "))
}
