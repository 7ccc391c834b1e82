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

// Quorum sets up a process of the group, or one that only owns duties: see docs/quorum.md and docs/duties.md.
type Quorum struct {
	Name   string
	Group  GroupRef
	Member *Member // nil: it is no member
	Runner *Runner // nil: it owns no duties
	JSON   bool    // its log is for machines
}

// Member sets up a member of the group.
type Member struct {
	Listen, Addr string // Addr is by which others reach it
	Dir          string
	Tick         time.Duration
	SNMP         SNMP
}

// Runner sets up the ownership of duties.
type Runner struct {
	Controllers []string
	Map         string // the folder with the versions of the map
	Routers     []string
	DeadAfter   time.Duration // all routers that report have to have said dead for so long
}

// LoadQuorum reads such a file. It is checked whole: a field that is not known is an error.
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

// ParseQuorum reads the text of such a file.
func ParseQuorum(data []byte) (Quorum, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return Quorum{}, err
	}
	f.only("name", "group", "members", "member", "owner", "log")
	ms := func(f fields, key string, def time.Duration) time.Duration {
		if f.get(key, fastjson.TypeNumber) == nil {
			return def
		}
		d := time.Duration(f.integer(key)) * time.Millisecond
		if d <= 0 {
			f.fail(key, "not above 0: %d", d.Milliseconds())
		}
		return d
	}
	q := Quorum{Name: f.text("name"), Group: f.group(), JSON: word(f, "log", map[string]bool{"text": false, "json": true})}
	if q.Name == "" {
		f.fail("name", "missing")
	}
	if m := f.object("member"); m.v != nil {
		m.only("listen", "addr", "dir", "tick_ms", "snmp")
		q.Member = &Member{Listen: m.text("listen"), Addr: m.text("addr"), Dir: m.text("dir"), Tick: ms(m, "tick_ms", 50*time.Millisecond)}
		if agent := m.object("snmp"); agent.v != nil {
			agent.only("listen", "community")
			q.Member.SNMP = SNMP{Listen: agent.text("listen"), Community: agent.text("community")}
			if err := address("listen", q.Member.SNMP.Listen); err != nil && *f.err == nil {
				*f.err = fmt.Errorf("member.snmp.%w", err)
			}
			if q.Member.SNMP.Community == "" {
				agent.fail("community", "missing")
			}
		}
		if err := address("listen", q.Member.Listen); err != nil && *f.err == nil {
			*f.err = fmt.Errorf("member.%w", err)
		}
		if q.Member.Addr == "" {
			q.Member.Addr = q.Member.Listen
		}
		if q.Member.Dir == "" {
			m.fail("dir", "missing")
		}
	}
	if o := f.object("owner"); o.v != nil {
		o.only("duties", "map", "routers", "gone_after_ms")
		q.Runner = &Runner{Controllers: o.texts("duties"), Map: o.text("map"), Routers: o.texts("routers"),
			DeadAfter: ms(o, "gone_after_ms", 10*time.Second)}
		for i, d := range q.Runner.Controllers {
			if !slices.Contains(controller.Duties, d) {
				o.fail(fmt.Sprintf("duties[%d]", i), "no such duty: %q", d)
			}
		}
		if len(q.Runner.Controllers) == 0 {
			o.fail("duties", "none")
		}
		if q.Runner.Map == "" {
			o.fail("map", "missing")
		}
	}
	if q.Member == nil && q.Runner == nil {
		f.fail("member", "neither it nor owner is there: nothing to do")
	}
	return q, err
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
		if err := address(fmt.Sprintf("members[%d]", i), a); err != nil && *f.err == nil {
			*f.err = fmt.Errorf("%s%w", f.path, err)
		}
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
