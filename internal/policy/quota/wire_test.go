package quota

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// Routers and the group's leader are upgraded one after the other. Requests and grants between them are JSON, and the grant for a given
// request must stay the same: if builds computed different grants, rates could sum to more than the capacity while leaders of two builds
// alternate. The test compares three routers, one of which joins late, and a change of leader with the output of an earlier build in
// testdata.
func TestRequestsAndGrantsStayWhatTheyWere(t *testing.T) {
	capacities := map[string]Capacity{
		"a": {Servers: map[string]float64{"s1": 34, "s2": 34}, Tenants: map[string]Tenant{"kviz": {Rate: 30, Servers: []string{"s1", "s2"}}, "": {Rate: 0, Servers: []string{"s1", "s2"}}}},
		"b": {Servers: map[string]float64{"s3": 20}, Tenants: map[string]Tenant{"glava": {Rate: 10, Servers: []string{"s3"}}}},
	}
	terms := lease.Terms{TTL: 3 * time.Second, Drift: 0.05}
	var got strings.Builder
	ledger := NewLedger(terms)
	ledger.SetCapacity(capacities)
	ledger.StartLeading(0, 1)
	holders := map[string]*Holder{}
	for _, name := range []string{"r1", "r2", "r3"} {
		holders[name] = NewHolder(4, name == "r1")
		holders[name].SetCapacity(capacities)
	}
	for step := range 30 {
		now := time.Duration(step+1) * time.Second
		if step == 15 {
			ledger = NewLedger(terms)
			ledger.SetCapacity(capacities)
			ledger.StartLeading(now, 2)
		}
		for i, name := range []string{"r1", "r2", "r3"} {
			if name == "r3" && step < 6 {
				continue
			}
			holder := holders[name]
			for n := range (i + 1) * 9 {
				k := []Key{{"a", "kviz"}, {"a", ""}, {"b", "glava"}}[n%3]
				holder.Admit(now+time.Duration(n)*10*time.Millisecond, k)
			}
			now := now + 500*time.Millisecond
			request := holder.Request(now)
			for _, list := range [][]Allocation{request.Rates, request.Demand} {
				slices.SortFunc(list, func(a, b Allocation) int {
					return cmp.Or(strings.Compare(a.Cell, b.Cell), strings.Compare(a.Tenant, b.Tenant))
				})
			}
			for j := range request.Demand { // the last digits of the moving average depend on the processor
				request.Demand[j].Rate = float64(int(request.Demand[j].Rate*1e6)) / 1e6
			}
			requestJSON, err := json.Marshal(request)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Request
			if err := json.Unmarshal(requestJSON, &decoded); err != nil {
				t.Fatal(err)
			}
			grant, ok := ledger.Grant(now, name, decoded)
			for j := range grant.Rates {
				grant.Rates[j].Rate = float64(int(grant.Rates[j].Rate*1e4)) / 1e4
			}
			grantJSON, err := json.Marshal(grant)
			if err != nil {
				t.Fatal(err)
			}
			holder.ApplyGrant(now, request.Applied, grant, terms)
			counts := holder.Counts()
			fmt.Fprintf(&got, "%d %s %s\n%v %s granted %v within %d beyond %d lent %.4f\n", step, name, requestJSON, ok, grantJSON, holder.HasLease(now), counts.Admitted, counts.Rejected, ledger.GrantedRatio(now, "a"))
		}
	}
	want, err := os.ReadFile("testdata/words.txt")
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got.String(), "\n")
	for i := range wantLines {
		if i >= len(gotLines) || wantLines[i] != gotLines[i] {
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""), wantLines[i])
		}
	}
	if len(wantLines) != len(gotLines) {
		t.Errorf("%d lines, want %d", len(gotLines), len(wantLines))
	}
}
