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

// Config is the configuration of one process: its place on the platform, and the module's settings, which are the module's own type.
type Config struct {
	Name          string
	Listen        string        // where balancers connect; empty: no such front
	Admin         string        // where operators call; empty: nowhere
	Interpreter   string        // the interpreter
	Announce      string        // the announce service; empty: none
	Vault         string        // what lies below; empty in the last tier
	Seed          int64         // for random numbers
	StopTimeout   time.Duration // from the notice to leave to the end of the process
	MemoryMB      float64
	Descriptors   int
	SCGI          SCGI
	SNMP          SNMP
	JSONLog       bool // its log is for machines: set by the command line
	BuiltinWorker bool // the built-in worker does the work: set by a start without a configuration
	Edge          Edge
	Server        silverpath.Settings
	Gauges        []string // the order of the gauges
	ListenFD      int      // descriptor of the listening socket that other processes of this service share; 0: none
	shape         shape    // of the file
}

// SCGI sets up the second front and the second runner; both are off while their address is empty.
type SCGI struct {
	Listen    string // where web fronts connect
	Upstream  string // an application server that does the work in place of the interpreter
	MaxBody   int
	Class     string        // for requests that name none; empty: the path's first part names it
	Tenant    string        // likewise
	Deadline  time.Duration // likewise; 0: the class's own
	RequestKB float64       // memory booked for a held request
	HalfClose bool          // a caller that closes its sending half still waits for its answer
	Timeout   time.Duration // after which a run upstream is taken to have failed
}

// SNMP sets up the agent, which is off while its address is empty.
type SNMP struct {
	Listen    string
	Community string // the one that is answered
}

// Load reads a server's configuration file. LB_NAME, LB_LISTEN and LB_MGMT stand in for what it leaves out; LB_SOCKET_FD is the
// descriptor of an inherited listening socket. An error names the file and the field.
func Load(path string) (Config, error) { return load(path, false) }

// LoadRouter is Load for a router, which has no interpreter.
func LoadRouter(path string) (Config, error) { return load(path, true) }

// load is Load for either role.
func load(path string, router bool) (Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	c, err := parseConfig(data, os.Getenv("LB_NAME"), os.Getenv("LB_LISTEN"), router)
	if mgmt := os.Getenv("LB_MGMT"); err == nil && c.Admin == "" && mgmt != "" {
		c.Admin, err = mgmt, address("LB_MGMT", mgmt)
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

// ParseConfig reads the text of a server's configuration; name and listen stand in for what it leaves out.
func ParseConfig(data []byte, name, listen string) (Config, error) {
	return parseConfig(data, name, listen, false)
}

// parseConfig is ParseConfig for either role.
func parseConfig(data []byte, name, listen string, router bool) (Config, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return Config{}, err
	}
	limits, s, agent := f.object("limits"), f.object("scgi"), f.object("snmp")
	c := Config{
		Name: f.text("name"), Listen: f.text("listen"), Interpreter: f.text("vm"), Announce: f.text("announce"),
		Vault: f.text("vault"), Admin: f.text("mgmt"), shape: shapeOf(f.v), StopTimeout: time.Duration(f.integer("stop_ms")) * time.Millisecond,
		MemoryMB: limits.number("memory_mb"), Descriptors: int(limits.integer("sockets")),
		SCGI: SCGI{
			Listen: s.text("listen"), Upstream: s.text("upstream"), MaxBody: int(s.integer("max_body")),
			Class: s.text("class"), Tenant: s.text("tenant"),
			Deadline: time.Duration(s.integer("deadline_ms")) * time.Millisecond, RequestKB: s.number("held_kb"),
			HalfClose: s.flag("half_close"),
			Timeout:   time.Duration(s.integer("upstream_timeout_ms")) * time.Millisecond,
		},
	}
	c.SNMP = SNMP{Listen: agent.text("listen"), Community: agent.text("community")}
	c.Server, c.Gauges = read(f.object("settings"))
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
	minMemoryMB      = 16 // what the runtime and one busy front take
	minDescriptors   = 64 // below, no front has a connection to give
	defaultStop      = 3 * time.Second
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultMaxBody   = 2048 // bytes: the platform's
	defaultTimeout   = 30 * time.Second
	defaultRequestKB = 32   // a request's buffers on the way through the SCGI front
	maxRequestKB     = 2000 // as on the MessagePack-RPC front
)

// complete sets defaults and returns an error of the first field that no service can do with.
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
	setDefault(&c.StopTimeout, defaultStop)
	setDefault(&c.MemoryMB, defaultMemoryMB)
	setDefault(&c.Descriptors, defaultSockets)
	setDefault(&c.SCGI.MaxBody, defaultMaxBody)
	setDefault(&c.SCGI.Timeout, defaultTimeout)
	setDefault(&c.SCGI.RequestKB, defaultRequestKB)
	if _, err := silverpath.New(0, c.Server, silent{}); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// setDefault sets what is zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// checkAddresses checks every address that is given or needed. A server needs a front, and somebody who does the work.
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
		if err := address(a.field, a.addr); err != nil {
			return err
		}
	}
	return nil
}

// checkSettings checks that the module's settings have what has no default.
func (c *Config) checkSettings(v *fastjson.Value) error {
	for _, need := range [][]string{{"settings"}, {"settings", "classes"}, {"settings", "family_info"},
		{"settings", "family_info", "cpus"}, {"settings", "family_info", "memory_kb"}} {
		if !v.Exists(need...) {
			return fmt.Errorf("%s: missing", strings.Join(need, "."))
		}
	}
	for i, k := range c.Server.Classes {
		if k.Deadline <= 0 {
			return fmt.Errorf("settings.classes[%d].deadline: not a number above 0", i)
		}
	}
	return nil
}

// checkBounds checks name, limits and SNMP.
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

// checkSCGI checks the bounds of the SCGI front and its application server.
func (c *Config) checkSCGI() error {
	switch set := c.SCGI; {
	case set.MaxBody < 0:
		return fmt.Errorf("scgi.max_body: negative: %v", set.MaxBody)
	case set.Deadline < 0:
		return fmt.Errorf("scgi.deadline_ms: negative: %v", set.Deadline.Milliseconds())
	case set.Timeout < 0:
		return fmt.Errorf("scgi.upstream_timeout_ms: negative: %v", set.Timeout.Milliseconds())
	case !(set.RequestKB >= 0 && set.RequestKB < maxRequestKB):
		return fmt.Errorf("scgi.held_kb: not from 0 to %d: %v", maxRequestKB, set.RequestKB)
	}
	return nil
}

// address checks that a field is an address and port.
func address(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: not an address and port: %q", field, addr)
	}
	return nil
}

// Differs returns the names of the fields in which another configuration differs from this one and which hold from a start to the
// end of a process: all but the module's settings, the pools and the addresses of the interpreter, the vault and the announce
// service. Service.Reload logs each.
func (c Config) Differs(d Config) []string {
	var list []string
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == d.Name}, {"listen", c.Listen == d.Listen}, {"mgmt", c.Admin == d.Admin}, {"stop_ms", c.StopTimeout == d.StopTimeout},
		{"vm", (c.Interpreter == "") == (d.Interpreter == "")}, {"vault", (c.Vault == "") == (d.Vault == "")},
		{"limits", c.MemoryMB == d.MemoryMB && c.Descriptors == d.Descriptors},
		{"scgi", c.SCGI == d.SCGI}, {"snmp", c.SNMP == d.SNMP},
		{"edge", c.Edge.sameExceptPools(d.Edge)},
		{"settings.family_info.gauges", slices.Equal(c.Gauges, d.Gauges)},
	} {
		if !f.same {
			list = append(list, f.name)
		}
	}
	return list
}

// Retuned reports whether another configuration has other settings of the module, but for the seed, which a file that is written
// anew may give anew.
func (c Config) Retuned(d Config) bool {
	c.Server.Seed = d.Server.Seed
	return !reflect.DeepEqual(c.Server, d.Server)
}
