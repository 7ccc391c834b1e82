package loadbalancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// floodCell simulates a cell of four servers that runs up to 100 requests at once and rejects the rest. Two tenants have the same agreed
// rate, and one sends ten times as much. It returns the ratio of each tenant's requests that were served.
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
		for n := range 11 { // the cell serves 333 requests a second; quiet sends 100 and flooding 1000
			tenant := "flooding"
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
	return served["quiet"] / sent["quiet"], served["flooding"] / sent["flooding"]
}

// A flooding tenant must not cause rejections for a tenant within its share, and must still get the remaining capacity.
func TestFloodLeavesOthersTheirShare(t *testing.T) {
	quiet, flooding := floodCell(NewTenantLimiter(), 60)
	if quiet < 0.95 || flooding < 0.15 {
		t.Errorf("served ratio: quiet tenant %.3f, want at least 0.95; flooding tenant %.3f, want at least 0.15", quiet, flooding)
	}
}

// Over random events, a tenant within its share is admitted while the cell is within its window, the requests in flight are counted
// correctly, and the window never becomes negative.
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
					t.Fatalf("tenant %s with %d requests in flight was rejected; window %v, %d in flight in the cell", tenant, inFlight[tenant], limit, windowInFlight)
				}
			} else if inFlight[tenant] > 0 {
				inFlight[tenant]--
				total--
				limiter.Done(now, "a", tenant, Outcome(rapid.IntRange(0, int(NotSent)).Draw(t, "outcome")))
			}
			if limit, windowInFlight := limiter.Window("a"); windowInFlight != total || limit < 0 {
				t.Fatalf("%d requests in flight, want %d; window %v", windowInFlight, total, limit)
			}
		}
	})
}
