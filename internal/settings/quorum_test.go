package settings

import (
	"os"
	"strings"
	"testing"
	"time"

	"silverpath"
)

// The group files under deploy are valid, and an error names the field that is not.
func TestQuorum(t *testing.T) {
	data, err := os.ReadFile("../../deploy/quorum.json")
	if err != nil {
		t.Fatal(err)
	}
	q, err := ParseQuorum(data)
	if err != nil || q.Member.Addr != "127.0.0.1:4301" || q.Member.Tick != 50*time.Millisecond || len(q.Runner.Controllers) != 3 || q.Runner.DeadAfter != 10*time.Second {
		t.Errorf("%+v, %v", q, err)
	}
	if q, err := LoadQuorum("../../deploy/owner.json"); err != nil || q.Member != nil {
		t.Errorf("%+v, %v", q, err)
	}
	edge, err := os.ReadFile("../../deploy/orders.json")
	if err != nil {
		t.Fatal(err)
	}
	if e, err := ParseEdge(edge, silverpath.Settings{}); err != nil || e.Commands == nil || e.Commands.Group.Name != "kviz" {
		t.Errorf("%+v, %v", e.Commands, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"name": "q1"`, `"name": ""`, "name: missing"},
		{`"group": "kviz"`, `"group": ""`, "group: missing"},
		{`"127.0.0.1:4302"`, `"here"`, `members[1]: not an address and port: "here"`},
		{`"dir": "/var/lib/silverpath/q1"`, `"dir": ""`, "member.dir: missing"},
		{`"tick_ms": 50`, `"tick_ms": 0`, "member.tick_ms: not above 0"},
		{`"tick_ms": 50`, `"ticks": 1`, "member.ticks: unknown"},
		{`"listen": "127.0.0.1:4301"`, `"listen": ""`, "member.listen"},
		{`"conductor"`, `"nobody"`, `owner.duties[1]: no such duty: "nobody"`},
		{`"map": "/var/lib/silverpath/map"`, `"map": ""`, "owner.map: missing"},
		{`"log": "text"`, `"log": "loud"`, `log: unknown: "loud"`},
		{`"gone_after_ms": 10000`, `"gone_after_ms": -1`, "owner.gone_after_ms: not above 0"},
		{`"tick_ms": 50`, `"snmp": {"listen": "127.0.0.1:1161"}`, "member.snmp.community: missing"},
	} {
		text := strings.Replace(string(data), c.old, c.new, 1)
		if _, err := ParseQuorum([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
	for _, bad := range []string{`{"orders":{"group":"k","members":["127.0.0.1:1"]}}`, `{"orders":{"state":"f","members":["127.0.0.1:1"]}}`, `{"orders":{"state":"f","group":"k"}}`} {
		if _, err := ParseEdge([]byte(bad), silverpath.Settings{}); err == nil || !strings.HasPrefix(err.Error(), "orders.") {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
