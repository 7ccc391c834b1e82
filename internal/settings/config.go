package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
)

// Config is the configuration of one process: its addresses and limits on the platform, and the settings of the module.
type Config struct {
	Name          string
	Listen        string        // address of the MessagePack-RPC front, where load balancers connect; empty: no such front
	Admin         string        // address of the admin API; empty: disabled
	Interpreter   string        // address of the interpreter
	Announce      string        // address of the announce service; empty: none
	Vault         string        // address of the tier below; empty in the last tier
	Seed          int64         // of the random number generator
	StopTimeout   time.Duration // from the shutdown notice to the exit of the process
	MemoryMB      float64
	Descriptors   int
	SCGI          SCGI
	SNMP          SNMP
	JSONLog       bool // log in JSON; set by the command line
	BuiltinWorker bool // run requests on the built-in worker; set when the process starts without a configuration
	Edge          Edge
	Server        silverpath.Settings
	Gauges        []string // names of the gauges, in the order of the interpreter's readings
	ListenFD      int      // descriptor of a listening socket shared with other processes of this service; 0: none
	keys          keySet   // keys that the file contains
}

// SCGI configures the SCGI front and the SCGI application server. Each is off if its address is empty.
type SCGI struct {
	Listen    string // address of the front, where web servers connect
	Upstream  string // address of an application server that runs requests in place of the interpreter
	MaxBody   int
	Class     string        // class of requests that name none; empty: the first segment of the path names it
	Tenant    string        // tenant of requests that name none
	Deadline  time.Duration // deadline of requests that set none; 0: that of the class
	RequestKB float64       // memory booked for a queued request
	HalfClose bool          // a caller that closes its sending half still waits for its answer
	Timeout   time.Duration // after which a run on the application server has failed
}

// SNMP configures the SNMP agent, which is off if its address is empty.
type SNMP struct {
	Listen    string
	Community string // the only community that the agent answers
}

// Load reads a server's configuration file at the start and at each reload. The environment variables LB_NAME, LB_LISTEN and LB_MGMT
// supply the fields that the file omits. LB_SOCKET_FD is the descriptor of an inherited listening socket. An error names the file and
// the field.
func Load(path string) (Config, error) { return load(path, false) }

// LoadRouter reads a router's configuration file. It is Load, except that the address of the interpreter is optional.
func LoadRouter(path string) (Config, error) { return load(path, true) }

// load implements Load and LoadRouter.
func load(path string, router bool) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parseConfig(data, os.Getenv("LB_NAME"), os.Getenv("LB_LISTEN"), router)
	if mgmt := os.Getenv("LB_MGMT"); err == nil && c.Admin == "" && mgmt != "" {
		c.Admin, err = mgmt, checkAddress("LB_MGMT", mgmt)
	}
	if fd := os.Getenv("LB_SOCKET_FD"); err == nil && fd != "" && c.Listen != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < 3 {
			err = fmt.Errorf("LB_SOCKET_FD: no descriptor above 2: %q", fd)
		}
	}
	if err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses and validates the text of a server's configuration. If the text omits the name or the listen address, name and
// listen take their place.
func ParseConfig(data []byte, name, listen string) (Config, error) {
	return parseConfig(data, name, listen, false)
}

// parseConfig implements ParseConfig for a server or a router.
func parseConfig(data []byte, name, listen string, router bool) (Config, error) {
	var err error
	f := parseObject(data, &err)
	if err != nil {
		return Config{}, err
	}
	limits, scgi, snmp := f.object("limits"), f.object("scgi"), f.object("snmp")
	c := Config{
		Name: f.text("name"), Listen: f.text("listen"), Interpreter: f.text("vm"), Announce: f.text("announce"),
		Vault: f.text("vault"), Admin: f.text("mgmt"), keys: keySetOf(f.v), StopTimeout: time.Duration(f.integer("stop_ms")) * time.Millisecond,
		MemoryMB: limits.number("memory_mb"), Descriptors: int(limits.integer("sockets")),
		SCGI: SCGI{
			Listen: scgi.text("listen"), Upstream: scgi.text("upstream"), MaxBody: int(scgi.integer("max_body")),
			Class: scgi.text("class"), Tenant: scgi.text("tenant"),
			Deadline: time.Duration(scgi.integer("deadline_ms")) * time.Millisecond, RequestKB: scgi.number("held_kb"),
			HalfClose: scgi.boolean("half_close"),
			Timeout:   time.Duration(scgi.integer("upstream_timeout_ms")) * time.Millisecond,
		},
	}
	c.SNMP = SNMP{Listen: snmp.text("listen"), Community: snmp.text("community")}
	c.Server, c.Gauges = readSettings(f.object("settings"))
	seed := f.text("seed")
	if err != nil {
		return c, err
	}
	if seed != "" {
		n, err := strconv.ParseUint(seed, 16, 64)
		if err != nil {
			return c, fmt.Errorf("seed: not a hexadecimal number: %q", seed)
		}
		c.Seed = int64(n)
	}
	c.Server.Seed = c.Seed
	if c.Name == "" {
		c.Name = name
	}
	if c.Listen == "" {
		c.Listen = listen
	}
	return c, c.complete(f.v, router)
}

// Bounds and defaults of a configuration.
const (
	minMemoryMB            = 16 // used by the runtime and one front under load
	minDescriptors         = 64 // with fewer, no front can accept a connection
	defaultStopTimeout     = 3 * time.Second
	defaultMemoryMB        = 192
	defaultDescriptors     = 1024
	defaultMaxBodyBytes    = 2048 // limit of the platform
	defaultUpstreamTimeout = 30 * time.Second
	defaultRequestKB       = 32   // buffers of one request in the SCGI front
	maxRequestKB           = 2000 // same as for the MessagePack-RPC front
)

// complete validates the configuration and sets defaults. An error names the first field that is not valid.
func (c *Config) complete(v *fastjson.Value, router bool) error {
	for _, check := range []func() error{
		func() error { return c.checkAddresses(router) },
		func() error { return c.checkSettings(v) },
		func() error { return c.checkBounds(v) },
		c.checkSCGI,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	setDefault(&c.StopTimeout, defaultStopTimeout)
	setDefault(&c.MemoryMB, defaultMemoryMB)
	setDefault(&c.Descriptors, defaultDescriptors)
	setDefault(&c.SCGI.MaxBody, defaultMaxBodyBytes)
	setDefault(&c.SCGI.Timeout, defaultUpstreamTimeout)
	setDefault(&c.SCGI.RequestKB, defaultRequestKB)
	if _, err := silverpath.New(0, c.Server, noopHost{}); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// setDefault sets *v to value if it is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// checkAddresses validates the required addresses and the optional ones that are set. A server requires a front, and either an
// interpreter or an application server.
func (c *Config) checkAddresses(router bool) error {
	for _, a := range []struct {
		field, addr string
		required    bool
	}{
		{"listen", c.Listen, c.SCGI.Listen == ""}, {"vm", c.Interpreter, c.SCGI.Upstream == "" && !router},
		{"announce", c.Announce, false}, {"vault", c.Vault, false},
		{"scgi.listen", c.SCGI.Listen, false}, {"scgi.upstream", c.SCGI.Upstream, false},
		{"snmp.listen", c.SNMP.Listen, false}, {"mgmt", c.Admin, false},
	} {
		if a.addr == "" && !a.required {
			continue
		}
		if err := checkAddress(a.field, a.addr); err != nil {
			return err
		}
	}
	return nil
}

// checkSettings checks that the fields of the module's settings that have no default are present, and that class deadlines are above 0.
func (c *Config) checkSettings(v *fastjson.Value) error {
	for _, path := range [][]string{{"settings"}, {"settings", "classes"}, {"settings", "family_info"},
		{"settings", "family_info", "cpus"}, {"settings", "family_info", "memory_kb"}} {
		if !v.Exists(path...) {
			return fmt.Errorf("%s: missing", strings.Join(path, "."))
		}
	}
	for i, k := range c.Server.Classes {
		if k.Deadline <= 0 {
			return fmt.Errorf("settings.classes[%d].deadline: not a number above 0", i)
		}
	}
	return nil
}

// checkBounds validates the name, the stop timeout, the limits and the SNMP agent.
func (c *Config) checkBounds(v *fastjson.Value) error {
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case v.Exists("stop_ms") && c.StopTimeout <= 0:
		return fmt.Errorf("stop_ms: not above 0: %v", v.Get("stop_ms"))
	case v.Exists("limits", "memory_mb") && c.MemoryMB < minMemoryMB:
		return fmt.Errorf("limits.memory_mb: under %d: %v", minMemoryMB, c.MemoryMB)
	case v.Exists("limits", "sockets") && c.Descriptors < minDescriptors:
		return fmt.Errorf("limits.sockets: under %d: %v", minDescriptors, c.Descriptors)
	case c.SNMP.Listen != "" && c.SNMP.Community == "":
		return errors.New("snmp.community: missing")
	}
	return nil
}

// checkSCGI validates the SCGI front and its application server.
func (c *Config) checkSCGI() error {
	switch scgi := c.SCGI; {
	case scgi.MaxBody < 0:
		return fmt.Errorf("scgi.max_body: negative: %v", scgi.MaxBody)
	case scgi.Deadline < 0:
		return fmt.Errorf("scgi.deadline_ms: negative: %v", scgi.Deadline.Milliseconds())
	case scgi.Timeout < 0:
		return fmt.Errorf("scgi.upstream_timeout_ms: negative: %v", scgi.Timeout.Milliseconds())
	case !(scgi.RequestKB >= 0 && scgi.RequestKB < maxRequestKB):
		return fmt.Errorf("scgi.held_kb: not from 0 to %d: %v", maxRequestKB, scgi.RequestKB)
	}
	return nil
}

// checkAddress checks that the value of a field is an IP address and port.
func checkAddress(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: not an address and port: %q", field, addr)
	}
	return nil
}

// RestartOnlyChanges returns the names of the changed fields that take effect only at a restart: all except the module's settings, the pools and
// the addresses of the interpreter, the vault and the announce service. Service.Reload logs each of them.
func (c Config) RestartOnlyChanges(o Config) []string {
	var list []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == o.Name}, {"listen", c.Listen == o.Listen}, {"mgmt", c.Admin == o.Admin}, {"stop_ms", c.StopTimeout == o.StopTimeout},
		{"vm", (c.Interpreter == "") == (o.Interpreter == "")}, {"vault", (c.Vault == "") == (o.Vault == "")},
		{"limits", c.MemoryMB == o.MemoryMB && c.Descriptors == o.Descriptors},
		{"scgi", c.SCGI == o.SCGI}, {"snmp", c.SNMP == o.SNMP},
		{"edge", c.Edge.sameExceptPools(o.Edge)},
		{"settings.family_info.gauges", slices.Equal(c.Gauges, o.Gauges)},
	} {
		if !f.same {
			list = append(list, f.name)
		}
	}
	return list
}

// SettingsChanged reports whether the module's settings of another configuration differ from these. The seed is not compared, because a
// regenerated file may contain a new one.
func (c Config) SettingsChanged(next Config) bool {
	c.Server.Seed = next.Server.Seed
	return !reflect.DeepEqual(c.Server, next.Server)
}
