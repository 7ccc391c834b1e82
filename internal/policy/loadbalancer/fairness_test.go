package loadbalancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// floodCell plays a cell of four servers that holds so many requests and rejects the rest: two tenants of the same rate, one
// of which sends ten times as much. It returns the share of each that was served.
func floodCell(limiter *TenantLimiter, seconds int) (quiet, flooding float64) {
	const capacity, duration = 100, 300 * time.Millisecond
	type request struct {
		tenant  string
		end     time.Duration
		outcome Outcome
	}
	var inFlight []request
	running := 0
	served, sent := map[string]float64{}, map[string]float64{}
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; now += 5 * time.Millisecond {
		unfinished := inFlight[:0]
		for _, r := range inFlight {
			if r.end > now {
				unfinished = append(unfinished, r)
				continue
			}
			limiter.Done(now, "a", r.tenant, r.outcome)
			if r.outcome == Served {
				served[r.tenant]++
				running--
			}
		}
		inFlight = unfinished
		for n := range 11 { // quiet 100 a second of the 333 that the cell does, loud 1000
			tenant := "loud"
			if n == 0 {
				tenant = "quiet"
			}
			if n == 0 && now%(10*time.Millisecond) != 0 || n > 0 && n%2 == 0 {
				continue
			}
			sent[tenant]++
			if !limiter.Admit(now, "a", tenant, 100, 4) {
				continue
			}
			r := request{tenant, now + duration, Served}
			if running >= capacity {
				r.end, r.outcome = now+time.Millisecond, Rejected
			} else {
				running++
			}
			inFlight = append(inFlight, r)
		}
	}
	return served["quiet"] / sent["quiet"], served["loud"] / sent["loud"]
}

// A tenant that keeps within its share hardly notices one that floods the cell, and the flood gets what is left over.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	quiet, flooding := floodCell(NewTenantLimiter(), 60)
	if quiet < 0.95 || flooding < 0.15 {
		t.Errorf("%.3f of the quiet tenant's is served, %.3f of the loud one's", quiet, flooding)
	}
}

// Over random events a tenant within its share is admitted unless the cell is far over its window, nothing goes negative, and
// the window keeps its least.
func TestTenantLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, now := NewTenantLimiter(), time.Duration(0)
		inFlight := map[string]int{}
		total := 0
		names := []string{"x", "y", "z"}
		for range rapid.IntRange(0, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			tenant := rapid.SampledFrom(names).Draw(t, "tenant")
			if rapid.Bool().Draw(t, "admit") {
				limit, windowInFlight := limiter.Window("a")
				if limiter.Admit(now, "a", tenant, 10, 2) {
					inFlight[tenant]++
					total++
				} else if float64(inFlight[tenant]) < limit/3-1 && float64(windowInFlight) < limit {
					t.Fatalf("%s with %d out there of %v is turned away, %d in all", tenant, inFlight[tenant], limit, windowInFlight)
				}
			} else if inFlight[tenant] > 0 {
				inFlight[tenant]--
				total--
				limiter.Done(now, "a", tenant, Outcome(rapid.IntRange(0, int(NotSent)).Draw(t, "outcome")))
			}
			if limit, windowInFlight := limiter.Window("a"); windowInFlight != total || limit < 0 {
				t.Fatalf("%d out there, counted %d; window %v", windowInFlight, total, limit)
			}
		}
	})
}
