package loadbalancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// floodCell plays a cell of four servers that holds so many requests and rejects the rest: two tenants of the same rate, one
// of which sends ten times as much. It returns the share of each that was served.
func floodCell(f *TenantLimiter, seconds int) (quiet, loud float64) {
	const room, takes = 100, 300 * time.Millisecond
	type out struct {
		tenant string
		end    time.Duration
		o      Outcome
	}
	var flying []out
	held := 0
	served, sent := map[string]float64{}, map[string]float64{}
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += 5 * time.Millisecond {
		kept := flying[:0]
		for _, x := range flying {
			if x.end > now {
				kept = append(kept, x)
				continue
			}
			f.Done(now, "a", x.tenant, x.o)
			if x.o == Served {
				served[x.tenant]++
				held--
			}
		}
		flying = kept
		for n := range 11 { // quiet 100 a second of the 333 that the cell does, loud 1000
			tenant := "loud"
			if n == 0 {
				tenant = "quiet"
			}
			if n == 0 && now%(10*time.Millisecond) != 0 || n > 0 && n%2 == 0 {
				continue
			}
			sent[tenant]++
			if !f.Admit(now, "a", tenant, 100, 4) {
				continue
			}
			x := out{tenant, now + takes, Served}
			if held >= room {
				x.end, x.o = now+time.Millisecond, Rejected
			} else {
				held++
			}
			flying = append(flying, x)
		}
	}
	return served["quiet"] / sent["quiet"], served["loud"] / sent["loud"]
}

// A tenant that keeps within its share hardly notices one that floods the cell, and the flood gets what is left over.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	quiet, loud := floodCell(NewTenantLimiter(), 60)
	if quiet < 0.95 || loud < 0.15 {
		t.Errorf("%.3f of the quiet tenant's is served, %.3f of the loud one's", quiet, loud)
	}
}

// Over random events a tenant within its share is admitted unless the cell is far over its window, nothing goes negative, and
// the window keeps its least.
func TestTenantLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, now := NewTenantLimiter(), time.Duration(0)
		out := map[string]int{}
		total := 0
		names := []string{"x", "y", "z"}
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			tenant := rapid.SampledFrom(names).Draw(t, "tenant")
			if rapid.Bool().Draw(t, "admit") {
				limit, flying := f.Window("a")
				if f.Admit(now, "a", tenant, 10, 2) {
					out[tenant]++
					total++
				} else if float64(out[tenant]) < limit/3-1 && float64(flying) < limit {
					t.Fatalf("%s with %d out there of %v is turned away, %d in all", tenant, out[tenant], limit, flying)
				}
			} else if out[tenant] > 0 {
				out[tenant]--
				total--
				f.Done(now, "a", tenant, Outcome(rapid.IntRange(0, int(NotSent)).Draw(t, "outcome")))
			}
			if limit, flying := f.Window("a"); flying != total || limit < 0 {
				t.Fatalf("%d out there, counted %d; window %v", flying, total, limit)
			}
		}
	})
}
