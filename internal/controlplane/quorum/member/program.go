package member

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/settings"
)

// Signals are those that a process of the group acts on: SIGTERM and SIGINT end it, SIGUSR1 prints its counters, SIGHUP is logged.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	return signals
}

// Command is the program of members and of runners of duties, which "silverpath quorum" and "silverpath duty run" start.
func Command() *cobra.Command {
	cmd := &cobra.Command{Use: "silverpath-quorum", Short: "Members of the group, and owners of duties: started by silverpath",
		SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	run := func(use, short string, pick func(*settings.Quorum) error) {
		var config string
		c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			set, err := settings.LoadQuorum(config)
			if err == nil {
				err = pick(&set)
			}
			if err != nil {
				return err
			}
			return Run(set, Signals(), os.Stderr)
		}}
		c.Flags().StringVar(&config, "config", "", "its settings")
		c.MarkFlagRequired("config")
		cmd.AddCommand(c)
	}
	run("member", "Run a member of the group", func(s *settings.Quorum) error {
		if s.Member == nil {
			return errors.New("member: missing")
		}
		return nil
	})
	run("owner", "Own duties, and be no member", func(s *settings.Quorum) error {
		if s.Member = nil; s.Runner == nil {
			return errors.New("owner: missing")
		}
		return nil
	})
	var dir string
	try := &cobra.Command{Use: "try", Short: "Run a whole group of three in one process, to look at", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runTrialGroup(c, dir) }}
	try.Flags().StringVar(&dir, "dir", "", "a folder that lasts (default: one that does not)")
	cmd.AddCommand(try)
	return cmd
}

// runTrialGroup runs three members in this process, founds a group of them, and ends with a signal.
func runTrialGroup(c *cobra.Command, dir string) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "silverpath-group"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	}
	addrs := []string{"127.0.0.1:4301", "127.0.0.1:4302", "127.0.0.1:4303"}
	if err := os.MkdirAll(filepath.Join(dir, "map"), 0o755); err != nil {
		return err
	}
	signals := Signals()
	var each []chan os.Signal
	var all sync.WaitGroup
	failed := make(chan error, len(addrs))
	for i, a := range addrs {
		set := settings.Quorum{Name: fmt.Sprint("q", i+1), Group: settings.GroupRef{Name: "try", Members: addrs},
			Member: &settings.Member{Listen: a, Addr: a, Dir: filepath.Join(dir, fmt.Sprint("q", i+1)), Tick: 50 * time.Millisecond},
			Runner: &settings.Runner{Controllers: []string{controller.PlacementDuty, controller.RolloutDuty}, Map: filepath.Join(dir, "map"), DeadAfter: 10 * time.Second}}
		ch := make(chan os.Signal, 1)
		each = append(each, ch)
		all.Go(func() {
			if err := Run(set, ch, c.ErrOrStderr()); err != nil {
				failed <- err
			}
		})
	}
	leave := func() {
		for _, ch := range each {
			ch <- syscall.SIGTERM
		}
		all.Wait()
	}
	if err := foundTrialGroup(addrs, failed); err != nil {
		leave()
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "a group of three; look with: silverpath duty list --group try --members %s\n", addrs[0])
	var err error
	select {
	case err = <-failed:
	case <-signals:
	}
	leave()
	return err
}

// foundTrialGroup founds a group of members once all of them listen, or returns the error of one that failed meanwhile.
func foundTrialGroup(addrs []string, failed <-chan error) (err error) {
	g := quorum.Client{Group: "try", Addrs: addrs}
	defer g.Close()
	for range trialFoundings {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err = g.Found(ctx, lease.Terms{TTL: 3 * time.Second, Drift: 0.05})
		cancel()
		if err == nil {
			return nil
		}
		select {
		case e := <-failed:
			return e
		case <-time.After(trialPause):
		}
	}
	return err
}

// A trial group is founded as soon as its members listen, which takes a moment.
const (
	trialFoundings = 50
	trialPause     = 100 * time.Millisecond
)
