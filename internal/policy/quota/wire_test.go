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

// Routers and the group's leader are upgraded one after the other: the words and grants between them are JSON, and what a leader gives
// by a word has to stay, or parts would sum to more than the whole while two builds lead in turn. A play of three routers, one of which
// comes late, a leader that goes and one that comes, stands in testdata as the program wrote it before its names were changed.
func TestRequestsAndGrantsStayWhatTheyWere(t *testing.T) {
	whole := map[string]Capacity{
		"a": {Servers: map[string]float64{"s1": 34, "s2": 34}, Tenants: map[string]Tenant{"kviz": {Rate: 30, Servers: []string{"s1", "s2"}}, "": {Rate: 0, Servers: []string{"s1", "s2"}}}},
		"b": {Servers: map[string]float64{"s3": 20}, Tenants: map[string]Tenant{"glava": {Rate: 10, Servers: []string{"s3"}}}},
	}
	terms := lease.Terms{TTL: 3 * time.Second, Drift: 0.05}
	var got strings.Builder
	leader := NewLedger(terms)
	leader.SetCapacity(whole)
	leader.StartLeading(0, 1)
	routers := map[string]*Holder{}
	for _, name := range []string{"r1", "r2", "r3"} {
		routers[name] = NewHolder(4, name == "r1")
		routers[name].SetCapacity(whole)
	}
	for step := range 30 {
		now := time.Duration(step+1) * time.Second
		if step == 15 {
			leader = NewLedger(terms)
			leader.SetCapacity(whole)
			leader.StartLeading(now, 2)
		}
		for i, name := range []string{"r1", "r2", "r3"} {
			if name == "r3" && step < 6 {
				continue
			}
			h := routers[name]
			for n := range (i + 1) * 9 {
				k := []Key{{"a", "kviz"}, {"a", ""}, {"b", "glava"}}[n%3]
				h.Admit(now+time.Duration(n)*10*time.Millisecond, k)
			}
			now := now + 500*time.Millisecond
			w := h.Request(now)
			for _, list := range [][]Allocation{w.Rates, w.Demand} {
				slices.SortFunc(list, func(a, b Allocation) int {
					return cmp.Or(strings.Compare(a.Cell, b.Cell), strings.Compare(a.Tenant, b.Tenant))
				})
			}
			for j := range w.Demand { // the last digits of a sum of logarithms are the processor's
				w.Demand[j].Rate = float64(int(w.Demand[j].Rate*1e6)) / 1e6
			}
			word, err := json.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			var read Request
			if err := json.Unmarshal(word, &read); err != nil {
				t.Fatal(err)
			}
			g, ok := leader.Lend(now, name, read)
			for j := range g.Rates {
				g.Rates[j].Rate = float64(int(g.Rates[j].Rate*1e4)) / 1e4
			}
			grant, err := json.Marshal(g)
			if err != nil {
				t.Fatal(err)
			}
			h.TakeGrant(now, w.Applied, g, terms)
			c := h.Counts()
			fmt.Fprintf(&got, "%d %s %s\n%v %s granted %v within %d beyond %d lent %.4f\n", step, name, word, ok, grant, h.HasLease(now), c.Within, c.Beyond, leader.LentRatio(now, "a"))
		}
	}
	want, err := os.ReadFile("testdata/words.txt")
	if err != nil {
		t.Fatal(err)
	}
	a, b := strings.Split(string(want), "\n"), strings.Split(got.String(), "\n")
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, strings.Join(b[min(i, len(b)):min(i+1, len(b))], ""), a[i])
		}
	}
	if len(a) != len(b) {
		t.Errorf("%d lines, want %d", len(b), len(a))
	}
}
