// Silverpath is an overload-controlled service edge: see README.md.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"silverpath/internal/service"
	"silverpath/internal/settings"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "silverpath: %v\n", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var config string
	load := func() (settings.Config, error) {
		if config == "" {
			config = os.Getenv("LB_CONFIG")
		}
		if config == "" {
			return settings.Config{}, errors.New("no configuration: set LB_CONFIG or give --config")
		}
		return settings.Load(config)
	}
	cmd := &cobra.Command{
		Use: "silverpath", Short: "An edge service that sheds load by the go-zero adaptive shedder",
		SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	withConfig := func(c *cobra.Command) *cobra.Command {
		c.Args = cobra.NoArgs
		c.Flags().StringVar(&config, "config", "", "configuration file (default: $LB_CONFIG)")
		return c
	}
	cmd.AddCommand(
		withConfig(&cobra.Command{
			Use: "serve", Short: "Run the service until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 prints the counters",
			RunE: func(*cobra.Command, []string) error {
				signals := make(chan os.Signal, 8)
				signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1)
				return service.Main(load, signals, os.Stderr)
			},
		}),
		withConfig(&cobra.Command{
			Use: "check", Short: "Validate a configuration and say what it sets up",
			RunE: func(c *cobra.Command, _ []string) error {
				cfg, err := load()
				if err != nil {
					return err
				}
				fmt.Fprint(c.OutOrStdout(), service.Describe(cfg))
				return nil
			},
		}),
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "silverpath", version()) },
		},
	)
	return cmd
}

// version is what the build recorded: the module's version, or the revision it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && (v == "" || v == "(devel)") {
			v = s.Value
		}
	}
	if v == "" {
		v = "(devel)"
	}
	return v + " " + info.GoVersion
}
