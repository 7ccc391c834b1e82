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

// Signals returns a channel of the signals that Run handles: SIGTERM and SIGINT end the process, SIGUSR1 prints its counters, and SIGHUP
// is only logged.
func Signals() <-chan os.Signal {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
	return signals
}

// Command returns the root command of the silverpath-quorum program, which "silverpath quorum" and "silverpath duty run" start.
func Command() *cobra.Command {
	cmd := &cobra.Command{Use: "silverpath-quorum", Short: "Run members of the group and owners of duties: started by silverpath",
		SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	addCommand := func(use, short string, check func(*settings.Quorum) error) {
		var path string
		sub := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			set, err := settings.LoadQuorum(path)
			if err == nil {
				err = check(&set)
			}
			if err != nil {
				return err
			}
			return Run(set, Signals(), os.Stderr)
		}}
		sub.Flags().StringVar(&path, "config", "", "settings file")
		sub.MarkFlagRequired("config")
		cmd.AddCommand(sub)
	}
	addCommand("member", "Run a member of the group", func(s *settings.Quorum) error {
		if s.Member == nil {
			return errors.New("member: missing")
		}
		return nil
	})
	addCommand("owner", "Own duties, in a process that is no member of the group", func(s *settings.Quorum) error {
		if s.Member = nil; s.Runner == nil {
			return errors.New("owner: missing")
		}
		return nil
	})
	var dir string
	trial := &cobra.Command{Use: "try", Short: "Run a whole group of three in one process, to look at", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runTrialGroup(c, dir) }}
	trial.Flags().StringVar(&dir, "dir", "", "folder of the disks, which is kept (default: a temporary folder)")
	cmd.AddCommand(trial)
	return cmd
}

// runTrialGroup runs three members in this process, creates a group of them, and returns after a terminating signal or the first error.
// If dir is empty, the disks are in a temporary folder.
func runTrialGroup(c *cobra.Command, dir string) error {
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "silverpath-group"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a leftover temporary folder is harmless
	}
	addrs := []string{"127.0.0.1:4301", "127.0.0.1:4302", "127.0.0.1:4303"}
	if err := os.MkdirAll(filepath.Join(dir, "map"), 0o755); err != nil {
		return err
	}
	signals := Signals()
	var signalChans []chan os.Signal
	var running sync.WaitGroup
	failed := make(chan error, len(addrs))
	for i, addr := range addrs {
		cfg := settings.Quorum{Name: fmt.Sprint("q", i+1), Group: settings.GroupRef{Name: "try", Members: addrs},
			Member: &settings.Member{Listen: addr, Addr: addr, Dir: filepath.Join(dir, fmt.Sprint("q", i+1)), Tick: 50 * time.Millisecond},
			Runner: &settings.Runner{Controllers: []string{controller.PlacementDuty, controller.RolloutDuty}, Map: filepath.Join(dir, "map"), DeadAfter: 10 * time.Second}}
		memberSignals := make(chan os.Signal, 1)
		signalChans = append(signalChans, memberSignals)
		running.Go(func() {
			if err := Run(cfg, memberSignals, c.ErrOrStderr()); err != nil {
				failed <- err
			}
		})
	}
	stopAll := func() {
		for _, ch := range signalChans {
			ch <- syscall.SIGTERM
		}
		running.Wait()
	}
	if err := bootstrapTrialGroup(addrs, failed); err != nil {
		stopAll()
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "a group of three members is running; to inspect it: silverpath duty list --group try --members %s\n", addrs[0])
	var err error
	select {
	case err = <-failed:
	case <-signals:
	}
	stopAll()
	return err
}

// bootstrapTrialGroup creates a group of the members once all of them listen. If a member fails first, it returns that member's error.
func bootstrapTrialGroup(addrs []string, failed <-chan error) (err error) {
	group := quorum.Client{Group: "try", Addrs: addrs}
	defer group.Close()
	for range trialBootstrapAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err = group.CreateGroup(ctx, lease.Terms{TTL: 3 * time.Second, Drift: 0.05})
		cancel()
		if err == nil {
			return nil
		}
		select {
		case e := <-failed:
			return e
		case <-time.After(trialRetryPause):
		}
	}
	return err
}

// Attempts to create a trial group, whose members need a moment until they listen.
const (
	trialBootstrapAttempts = 50
	trialRetryPause        = 100 * time.Millisecond
)
