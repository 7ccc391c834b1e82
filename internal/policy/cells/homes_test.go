package cells

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Guards against a build that computes a score or a shard differently: routers of two builds would then disagree on the home of a key, and
// a keyed request and its repeat would run on two servers. testdata has the routes that an earlier build computed for five keys of six
// tenants through a move, its abort, and servers that join and leave.
func TestRoutesStayWhatTheyWere(t *testing.T) {
	m := &Map{Version: 1, KeyWindow: 10 * time.Second, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: 4 * time.Second,
		Cells: []Cell{{"a", 40}, {"b", 40}}}
	for i := range 9 {
		s := Server{Name: fmt.Sprint("s", i), Addr: fmt.Sprint("127.0.0.1:", i+1), Cell: "a", Weight: 1 + float64(i%2)}
		if i > 5 {
			s.Cell = "b"
		}
		switch i {
		case 2:
			s.JoinsAt = 1020000
		case 4:
			s.LeavesAt = 1025000
		}
		m.Servers = append(m.Servers, s)
	}
	m.Tenants = []Tenant{
		{Name: "settled", Rate: 10, Homes: []Home{{Cell: "a"}}},
		{Name: "moves", Rate: 10, Homes: []Home{{Cell: "a"}, {Cell: "b", Since: 1010000}}},
		{Name: "comes back", Rate: 10, Homes: []Home{{Cell: "a"}, {Cell: "b", Since: 1010000}, {Cell: "a", Since: 1030000, IsAbort: true}}},
		{Name: "shard", Rate: 10, Homes: []Home{{Cell: "a", ShardSize: 2}}},
		{Name: "", Homes: []Home{{Cell: "b", ShardSize: 2}}},
	}
	if err := m.Check(); err != nil {
		t.Fatal(err)
	}
	m.Index()
	var got strings.Builder
	for _, at := range []int64{1000000, 1009999, 1010000, 1019600, 1024500, 1030000, 1041000, 1060000} {
		now := time.UnixMilli(at)
		for _, tenant := range []string{"settled", "moves", "comes back", "shard", "unnamed 1", "unnamed 2"} {
			for k := range 5 {
				r, ok := m.Route(now, tenant, fmt.Sprint("key-", k))
				fmt.Fprintf(&got, "%d %s key-%d: %v %s home %s ask %v among %v %v\n", at, tenant, k, ok, r.Cell, r.Home, r.FormerHomes, r.Servers, r.State)
			}
		}
		next, ok := m.NextChange(now)
		fmt.Fprintf(&got, "next change %d %v, overlap %.6f\n", next.UnixMilli(), ok, m.Overlap(now))
	}
	for _, name := range []string{"", "a", "kvizmojster", "s1", "s17"} {
		fmt.Fprintf(&got, "%q: server part %s, tenant part %s\n", name, ServerPartName(ServerPart(name)), TenantPartName(TenantPart(name)))
	}
	want, err := os.ReadFile("testdata/routes.txt")
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got.String(), "\n")
	for i := range wantLines {
		if i >= len(gotLines) || wantLines[i] != gotLines[i] {
			t.Fatalf("line %d: got %q, want %q", i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""), wantLines[i])
		}
	}
	if len(wantLines) != len(gotLines) {
		t.Errorf("got %d lines, want %d", len(gotLines), len(wantLines))
	}
}
