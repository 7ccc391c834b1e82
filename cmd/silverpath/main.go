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

// parts wraps parts of the service. The program leaves it empty; tests set it to inject faults.
var parts service.Hooks

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "silverpath: %v\n", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	var config, edge, listen, web, logs string
	router := false
	load := func() (settings.Config, error) {
		cfg, err := read(config, router)
		if err == nil && listen != "" {
			cfg.Listen = listen
		}
		if err == nil && web != "" {
			cfg.SCGI.Listen = web
		}
		if err == nil && logs != "text" && logs != "json" {
			err = fmt.Errorf("--log: %q is neither text nor json", logs)
		}
		cfg.JSONLog = logs == "json"
		if err == nil && edge != "" {
			cfg.Edge, err = settings.LoadEdge(edge, cfg.Server)
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
		c.Flags().StringVar(&config, "config", "", "configuration file (default: $LB_CONFIG, else a built-in one)")
		c.Flags().StringVar(&edge, "edge", "", "file that sets up pools, reserve and status requests")
		c.Flags().StringVar(&listen, "listen", "", "address of the MessagePack-RPC front, in place of the file's")
		c.Flags().StringVar(&logs, "log", "text", "the log's form: text for people, json for machines")
		c.Flags().StringVar(&web, "scgi", "", "address of the SCGI front, in place of the file's")
		return c
	}
	cmd.AddCommand(
		withConfig(&cobra.Command{
			Use:   "serve",
			Short: "Run the service until SIGTERM; SIGHUP reloads the configuration, SIGUSR1 prints the counters",
			RunE: func(*cobra.Command, []string) error {
				return service.Main(load, service.NotifySignals(), os.Stderr, parts)
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
				return service.Main(load, signals, os.Stderr, parts)
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

// read loads the configuration from file, or from the file that LB_CONFIG names if file is empty. Without either it returns the
// built-in configuration, whose requests a built-in worker executes. With router set it loads the configuration of a router.
func read(file string, router bool) (settings.Config, error) {
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

// front adds the flags --front and --addr, which select the front that a command sends its requests to. Before the command runs, it
// validates --front and fills in the default address.
func front(c *cobra.Command, name, addr *string) {
	c.Args = cobra.NoArgs
	c.Flags().StringVar(name, "front", client.Platform, "the front to ask: "+client.Platform+" or "+client.SCGI)
	c.Flags().StringVar(addr, "addr", "", "its address (default: that of a start without a configuration)")
	c.PreRunE = func(*cobra.Command, []string) error {
		known := map[string]string{client.Platform: "127.0.0.1:4001", client.SCGI: "127.0.0.1:4000"}
		if known[*name] == "" {
			return fmt.Errorf("--front: %q is neither %s nor %s", *name, client.Platform, client.SCGI)
		}
		if *addr == "" {
			*addr = known[*name]
		}
		return nil
	}
}

func askCommand() *cobra.Command {
	var p client.Plan
	var body string
	c := &cobra.Command{
		Use: "ask", Short: "Send requests to a running service and show the answers; fails where none is served",
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Count < 1 {
				return fmt.Errorf("--count: not above 0: %d", p.Count)
			}
			p.Request.Body = []byte(body)
			served, err := client.Run(p, c.OutOrStdout())
			if served == 0 && err == nil {
				err = errors.New("nothing was served")
			}
			return err
		},
	}
	front(c, &p.Front, &p.Addr)
	f := c.Flags()
	f.StringVar(&p.Request.Class, "class", "krog", "the class")
	f.StringVar(&p.Request.Tenant, "tenant", "", "the tenant")
	f.StringVar(&p.Request.Key, "key", "", "the key that makes all that is sent tries of one request")
	f.StringVar(&body, "body", "hello", "the body")
	f.DurationVar(&p.Request.Timeout, "wait", 4*time.Second, "how long to wait for an answer")
	f.IntVar(&p.Count, "count", 1, "how many requests")
	f.DurationVar(&p.Interval, "every", 0, "one each so often, whatever becomes of the others (default: one after the other)")
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
	front(c, &name, &addr)
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
