// Silverpath is an overload-controlled service edge: see README.md.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"silverpath/deploy"
	"silverpath/internal/service"
	"silverpath/internal/settings"
	"silverpath/internal/transport/client"
)

// hooks wraps parts of the service. The program leaves it empty; tests set it to inject faults.
var hooks service.Hooks

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "silverpath: %v\n", err)
		os.Exit(1)
	}
}

// rootCommand returns the silverpath command with its subcommands.
func rootCommand() *cobra.Command {
	var configFile, edgeFile, listenAddr, scgiAddr, logFormat string
	router := false
	load := func() (settings.Config, error) {
		cfg, err := loadConfig(configFile, router)
		if err == nil && listenAddr != "" {
			cfg.Listen = listenAddr
		}
		if err == nil && scgiAddr != "" {
			cfg.SCGI.Listen = scgiAddr
		}
		if err == nil && logFormat != "text" && logFormat != "json" {
			err = fmt.Errorf("--log: %q is neither text nor json", logFormat)
		}
		cfg.JSONLog = logFormat == "json"
		if err == nil && edgeFile != "" {
			cfg.Edge, err = settings.LoadEdge(edgeFile, cfg.Server)
		}
		return cfg, err
	}
	cmd := &cobra.Command{
		Use: "silverpath", Short: "An edge service that sheds load by the go-zero adaptive shedder",
		SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	withConfig := func(c *cobra.Command) *cobra.Command {
		c.Args = cobra.NoArgs
		c.Flags().StringVar(&configFile, "config", "", "configuration file (default: $LB_CONFIG, else a built-in one)")
		c.Flags().StringVar(&edgeFile, "edge", "", "file that sets up pools, reserve and status requests")
		c.Flags().StringVar(&listenAddr, "listen", "", "address of the MessagePack-RPC front, in place of the file's")
		c.Flags().StringVar(&logFormat, "log", "text", "the log's form: text for people, json for machines")
		c.Flags().StringVar(&scgiAddr, "scgi", "", "address of the SCGI front, in place of the file's")
		return c
	}
	cmd.AddCommand(
		withConfig(&cobra.Command{
			Use:   "serve",
			Short: "Run the service until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 prints the counters",
			RunE: func(*cobra.Command, []string) error {
				return service.Main(load, service.NotifySignals(), os.Stderr, hooks)
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
		withConfig(&cobra.Command{
			Use:   "route",
			Short: "Run a router in front of a fleet, whose map the edge file names, until SIGTERM; SIGHUP reads the map again",
			RunE: func(*cobra.Command, []string) error {
				signals := service.NotifySignals()
				router = true
				cfg, err := load()
				if err == nil && cfg.Edge.Router == nil {
					err = errors.New("route: no fleet is configured: give --edge FILE with one")
				}
				if err != nil {
					return err
				}
				return service.Main(load, signals, os.Stderr, hooks)
			},
		}),
		askCommand(), statusCommand(), cellsCommand(), quorumCommand(), dutyCommand(), fleetCommand(), rulesCommand(), storeCommand(), recoverCommand(), capacityCommand(),
		&cobra.Command{
			Use: "version", Short: "Print the version", Args: cobra.NoArgs,
			Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "silverpath", version()) },
		},
	)
	return cmd
}

// loadConfig loads the configuration from file, or from the file that LB_CONFIG names if file is empty. Without either it returns the
// built-in configuration, whose requests a built-in worker executes. With router set it loads the configuration of a router.
func loadConfig(file string, router bool) (settings.Config, error) {
	if file == "" {
		file = os.Getenv("LB_CONFIG")
	}
	switch {
	case file != "" && router:
		return settings.LoadRouter(file)
	case file != "":
		return settings.Load(file)
	}
	cfg, err := settings.ParseConfig(deploy.Try, os.Getenv("LB_NAME"), "")
	if err != nil {
		return cfg, err
	}
	cfg.BuiltinWorker = !router
	cfg.Edge, err = settings.ParseEdge(deploy.Edge, cfg.Server)
	return cfg, err
}

// addFrontFlags adds the flags --front and --addr, which select the front that a command sends its requests to. Before the command runs, it
// validates --front and fills in the default address.
func addFrontFlags(c *cobra.Command, frontName, addr *string) {
	c.Args = cobra.NoArgs
	c.Flags().StringVar(frontName, "front", client.MessagePack, "the front to ask: "+client.MessagePack+" or "+client.SCGI)
	c.Flags().StringVar(addr, "addr", "", "its address (default: that of a start without a configuration)")
	c.PreRunE = func(*cobra.Command, []string) error {
		defaultAddrs := map[string]string{client.MessagePack: "127.0.0.1:4001", client.SCGI: "127.0.0.1:4000"}
		if defaultAddrs[*frontName] == "" {
			return fmt.Errorf("--front: %q is neither %s nor %s", *frontName, client.MessagePack, client.SCGI)
		}
		if *addr == "" {
			*addr = defaultAddrs[*frontName]
		}
		return nil
	}
}

func askCommand() *cobra.Command {
	var plan client.Plan
	var body string
	c := &cobra.Command{
		Use: "ask", Short: "Send requests to a running service and show the answers; fails where none is served",
		RunE: func(c *cobra.Command, _ []string) error {
			if plan.Count < 1 {
				return fmt.Errorf("--count: not above 0: %d", plan.Count)
			}
			plan.Request.Body = []byte(body)
			served, err := client.Run(plan, c.OutOrStdout())
			if served == 0 && err == nil {
				err = errors.New("nothing was served")
			}
			return err
		},
	}
	addFrontFlags(c, &plan.Front, &plan.Addr)
	f := c.Flags()
	f.StringVar(&plan.Request.Class, "class", "krog", "the class")
	f.StringVar(&plan.Request.Tenant, "tenant", "", "the tenant")
	f.StringVar(&plan.Request.Key, "key", "", "the key that makes all that is sent tries of one request")
	f.StringVar(&body, "body", "hello", "the body")
	f.DurationVar(&plan.Request.Timeout, "wait", 4*time.Second, "how long to wait for an answer")
	f.IntVar(&plan.Count, "count", 1, "how many requests")
	f.DurationVar(&plan.Interval, "every", 0, "one each so often, whatever becomes of the others (default: one after the other)")
	return c
}

func statusCommand() *cobra.Command {
	var name, addr string
	c := &cobra.Command{
		Use: "status", Short: "Show the state of a running service as JSON",
		RunE: func(c *cobra.Command, _ []string) error {
			body, err := client.Status(name, addr)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s\n", body)
			}
			return err
		},
	}
	addFrontFlags(c, &name, &addr)
	return c
}

// version returns the module version that the build recorded, or the VCS revision if there is no version, followed by the Go version.
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
