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

// Config is what one service is told of its place. The module's part of it is the module's own type.
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
	HeldKB    float64       // memory booked for a held request
	HalfClose bool          // a caller that closes its sending half still waits for its answer
	Timeout   time.Duration // after which a run upstream is taken to have failed
}

// SNMP sets up the agent, which is off while its address is empty.
type SNMP struct {
	Listen    string
	Community string // the one that is answered
}

// Load reads the configuration file and lets LB_NAME and LB_LISTEN stand in for what it leaves out.
func Load(path string) (Config, error) { return load(path, false) }

// LoadRouter reads the configuration file of a router, which has no interpreter.
func LoadRouter(path string) (Config, error) { return load(path, true) }

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

// ParseConfig reads a configuration; name and listen stand in for what it leaves out.
func ParseConfig(data []byte, name, listen string) (Config, error) {
	return parseConfig(data, name, listen, false)
}

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
			Deadline: time.Duration(s.integer("deadline_ms")) * time.Millisecond, HeldKB: s.number("held_kb"),
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

// complete sets defaults and names the first field that no service can do with.
func (c *Config) complete(v *fastjson.Value, router bool) error {
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
	switch {
	case c.Name == "":
		return errors.New("name: missing")
	case v.Exists("stop_ms") && c.StopTimeout <= 0:
		return fmt.Errorf("stop_ms: not above 0: %v", v.Get("stop_ms"))
	case v.Exists("limits", "memory_mb") && c.MemoryMB < 16:
		return fmt.Errorf("limits.memory_mb: under 16: %v", c.MemoryMB)
	case v.Exists("limits", "sockets") && c.Descriptors < 64:
		return fmt.Errorf("limits.sockets: under 64: %v", c.Descriptors)
	case c.SNMP.Listen != "" && c.SNMP.Community == "":
		return errors.New("snmp.community: missing")
	case c.SCGI.MaxBody < 0:
		return fmt.Errorf("scgi.max_body: negative: %v", c.SCGI.MaxBody)
	case c.SCGI.Deadline < 0:
		return fmt.Errorf("scgi.deadline_ms: negative: %v", c.SCGI.Deadline.Milliseconds())
	case c.SCGI.Timeout < 0:
		return fmt.Errorf("scgi.upstream_timeout_ms: negative: %v", c.SCGI.Timeout.Milliseconds())
	case !(c.SCGI.HeldKB >= 0 && c.SCGI.HeldKB < 2000):
		return fmt.Errorf("scgi.held_kb: not from 0 to 2000: %v", c.SCGI.HeldKB)
	}
	if c.StopTimeout == 0 {
		c.StopTimeout = 3 * time.Second
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = 192
	}
	if c.Descriptors == 0 {
		c.Descriptors = 1024
	}
	if c.SCGI.MaxBody == 0 {
		c.SCGI.MaxBody = 2048
	}
	if c.SCGI.Timeout == 0 {
		c.SCGI.Timeout = 30 * time.Second
	}
	if c.SCGI.HeldKB == 0 {
		c.SCGI.HeldKB = 32
	}
	if _, err := silverpath.New(0, c.Server, silent{}); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func address(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: not an address and port: %q", field, addr)
	}
	return nil
}

// Differs names the fields, but for the addresses of the platform's other parties, in which another
// configuration differs from this one.
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
		{"edge", c.Edge.On == d.Edge.On && c.Edge.Status == d.Edge.Status && c.Edge.Cell == d.Edge.Cell && c.Edge.PoolsOn() == d.Edge.PoolsOn() &&
			reflect.DeepEqual(c.Edge.Reserve, d.Edge.Reserve) && reflect.DeepEqual(c.Edge.Router, d.Edge.Router) &&
			reflect.DeepEqual(c.Edge.ConfigWatch, d.Edge.ConfigWatch) && reflect.DeepEqual(c.Edge.Store, d.Edge.Store) &&
			reflect.DeepEqual(c.Edge.Heartbeat, d.Edge.Heartbeat)},
		{"settings.family_info.gauges", slices.Equal(c.Gauges, d.Gauges)},
	} {
		if !f.same {
			list = append(list, f.name)
		}
	}
	return list
}

// Retuned reports whether another configuration has other settings, but for the seed, which a file that is written
// anew may give anew.
func (c Config) Retuned(d Config) bool {
	c.Server.Seed = d.Server.Seed
	return !reflect.DeepEqual(c.Server, d.Server)
}

// silent is a host for a module that is only asked whether it takes its settings.
type silent struct{}

func (silent) Run(string)                         {}
func (silent) Reject(string, time.Duration, bool) {}
func (silent) Fail(string)                        {}
func (silent) Join(string)                        {}
func (silent) Stop(string)                        {}
func (silent) Call(string, time.Duration)         {}
func (silent) SkipCall(string)                    {}
func (silent) RememberKey(string, time.Duration)  {}
func (silent) ForgetKey(string)                   {}
func (silent) Health(bool)                        {}
func (silent) Signal(float64)                     {}
func (silent) CloseIdle(time.Duration)            {}
func (silent) Wake(time.Duration)                 {}
func (silent) Log(string)                         {}
