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

// Quorum sets up a process of the group, or one that only runs controllers: see docs/quorum.md and docs/duties.md.
type Quorum struct {
	Name   string
	Group  GroupRef
	Member *Member // nil: it is no member
	Runner *Runner // nil: it runs no controllers
	JSON   bool    // its log is for machines
}

// Member sets up a member of the group.
type Member struct {
	Listen, Addr string // Addr is by which others reach it
	Dir          string
	Tick         time.Duration
	SNMP         SNMP
}

// Runner sets up the controllers that a process runs while it holds their leases ("owner", "duties").
type Runner struct {
	Controllers []string
	Map         string // the folder with the versions of the map
	Routers     []string
	DeadAfter   time.Duration // a server is dead once all routers that report have said so for this long
}

// LoadQuorum reads the file of such a process. An error names the file, but for one of reading it, and the field.
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

// ParseQuorum reads the text of such a file. An unknown field is an error.
func ParseQuorum(data []byte) (Quorum, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return Quorum{}, err
	}
	f.only("name", "group", "members", "member", "owner", "log")
	q := Quorum{Name: f.text("name"), Group: f.group(), JSON: enum(f, "log", map[string]bool{"text": false, "json": true})}
	if q.Name == "" {
		f.fail("name", "missing")
	}
	q.Member = readMember(f.object("member"))
	q.Runner = readRunner(f.object("owner"))
	if q.Member == nil && q.Runner == nil {
		f.fail("member", "neither it nor owner is there: nothing to do")
	}
	return q, err
}

const (
	defaultTick      = 50 * time.Millisecond // of raft: an election within half a second
	defaultDeadAfter = 10 * time.Second      // longer than a server's warm restart takes
)

// readMember reads how a member of the group is set up; nil: the process is none.
func readMember(f fields) *Member {
	if f.v == nil {
		return nil
	}
	f.only("listen", "addr", "dir", "tick_ms", "snmp")
	m := &Member{Listen: f.text("listen"), Addr: f.text("addr"), Dir: f.text("dir"), Tick: f.millisOr("tick_ms", defaultTick)}
	if agent := f.object("snmp"); agent.v != nil {
		agent.only("listen", "community")
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

// readRunner reads which controllers the process runs while it leads them; nil: none.
func readRunner(f fields) *Runner {
	if f.v == nil {
		return nil
	}
	f.only("duties", "map", "routers", "gone_after_ms")
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

// millisOr returns a member that is a number of milliseconds above 0, or a default where it is absent.
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

// address fails where the value of a member is no address and port.
func (f fields) address(key, value string) {
	if err := address(key, value); err != nil && *f.err == nil {
		*f.err = fmt.Errorf("%s%w", f.path, err)
	}
}

// group reads the group and the addresses of its members.
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

// texts reads an array of strings.
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
