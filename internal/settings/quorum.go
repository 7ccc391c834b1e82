package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/controller"
)

// GroupRef names a group and the addresses of its members.
type GroupRef struct {
	Name    string
	Members []string
}

// Quorum configures a process that is a member of the group, runs leased controllers, or both: see docs/quorum.md and docs/duties.md.
type Quorum struct {
	Name    string
	Group   GroupRef
	Member  *Member // nil: the process is not a member
	Runner  *Runner // nil: the process runs no controllers
	JSONLog bool    // log in JSON
}

// Member configures a member of the group.
type Member struct {
	Listen, Addr string // Addr is the address that other processes dial
	Dir          string // data directory
	Tick         time.Duration
	SNMP         SNMP
}

// Runner configures the controllers that a process runs while it holds their leases (JSON keys "owner" and "duties").
type Runner struct {
	Controllers []string
	Map         string // directory with the versions of the map
	Routers     []string
	DeadAfter   time.Duration // a server is dead once all reporting routers have reported it unreachable for this long
}

// LoadQuorum reads the configuration file of a group process at its start. An error names the file and, if the file can be read, the
// field.
func LoadQuorum(path string) (Quorum, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Quorum{}, err
	}
	q, err := ParseQuorum(data)
	if err != nil {
		return q, fmt.Errorf("%s: %w", path, err)
	}
	return q, nil
}

// ParseQuorum parses and validates the text of a group process's configuration. An unknown field is an error.
func ParseQuorum(data []byte) (Quorum, error) {
	var err error
	f := parseObject(data, &err)
	if err != nil {
		return Quorum{}, err
	}
	f.rejectUnknown("name", "group", "members", "member", "owner", "log")
	q := Quorum{Name: f.text("name"), Group: f.group(), JSONLog: enum(f, "log", map[string]bool{"text": false, "json": true})}
	if q.Name == "" {
		f.fail("name", "missing")
	}
	q.Member = readMember(f.object("member"))
	q.Runner = readRunner(f.object("owner"))
	if q.Member == nil && q.Runner == nil {
		f.fail("member", "missing, and owner too: the process has nothing to do")
	}
	return q, err
}

const (
	defaultTick      = 50 * time.Millisecond // raft tick; elections complete within 500 ms
	defaultDeadAfter = 10 * time.Second      // longer than a warm restart of a server
)

// readMember reads the configuration of a member. It returns nil if the object is absent.
func readMember(f fields) *Member {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("listen", "addr", "dir", "tick_ms", "snmp")
	m := &Member{Listen: f.text("listen"), Addr: f.text("addr"), Dir: f.text("dir"), Tick: f.millisOr("tick_ms", defaultTick)}
	if agent := f.object("snmp"); agent.v != nil {
		agent.rejectUnknown("listen", "community")
		m.SNMP = SNMP{Listen: agent.text("listen"), Community: agent.text("community")}
		agent.address("listen", m.SNMP.Listen)
		if m.SNMP.Community == "" {
			agent.fail("community", "missing")
		}
	}
	f.address("listen", m.Listen)
	if m.Addr == "" {
		m.Addr = m.Listen
	}
	if m.Dir == "" {
		f.fail("dir", "missing")
	}
	return m
}

// readRunner reads the configuration of the leased controllers. It returns nil if the object is absent.
func readRunner(f fields) *Runner {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("duties", "map", "routers", "gone_after_ms")
	r := &Runner{
		Controllers: f.texts("duties"), Map: f.text("map"), Routers: f.texts("routers"),
		DeadAfter: f.millisOr("gone_after_ms", defaultDeadAfter),
	}
	for i, name := range r.Controllers {
		if !slices.Contains(controller.Duties, name) {
			f.fail(fmt.Sprintf("duties[%d]", i), "no such duty: %q", name)
		}
	}
	if len(r.Controllers) == 0 {
		f.fail("duties", "none")
	}
	if r.Map == "" {
		f.fail("map", "missing")
	}
	return r
}

// millisOr returns a member that is a positive number of milliseconds, or the default if it is absent.
func (f fields) millisOr(key string, absent time.Duration) time.Duration {
	if f.get(key, fastjson.TypeNumber) == nil {
		return absent
	}
	d := time.Duration(f.integer(key)) * time.Millisecond
	if d <= 0 {
		f.fail(key, "not above 0: %d", d.Milliseconds())
	}
	return d
}

// address records an error if the value of a member is not an IP address and port.
func (f fields) address(key, value string) {
	if err := checkAddress(key, value); err != nil && *f.err == nil {
		*f.err = fmt.Errorf("%s%w", f.path, err)
	}
}

// group reads the name of the group and the addresses of its members. Both are required if the object is present.
func (f fields) group() GroupRef {
	g := GroupRef{Name: f.text("group"), Members: f.texts("members")}
	if f.v == nil {
		return g
	}
	if g.Name == "" {
		f.fail("group", "missing")
	}
	if len(g.Members) == 0 {
		f.fail("members", "none")
	}
	for i, a := range g.Members {
		f.address(fmt.Sprintf("members[%d]", i), a)
	}
	return g
}

// texts returns a member that is an array of strings.
func (f fields) texts(key string) (list []string) {
	for i, v := range f.array(key) {
		if v.Type() != fastjson.TypeString {
			f.fail(fmt.Sprintf("%s[%d]", key, i), "not a string")
			return nil
		}
		list = append(list, string(v.GetStringBytes()))
	}
	return list
}
