package configstore

import "time"

// Comparing goodput. Inputs: the offered and the served load that each process reports since its start. A change is worse if the ratio
// of served load is lower by more than its policy allows, and both sides were offered enough load for a comparison.

// minOffered is the smallest weight of requests that is compared: one failure of 20 is 5 %.
const minOffered = 20

// isWorse reports whether the goodput ratio fell by more than maxLoss.
func isWorse(before, now Goodput, maxLoss float64) bool {
	return before.Offered >= minOffered && now.Offered >= minOffered && now.Ratio() < before.Ratio()-maxLoss
}

// goodputSince returns the goodput of the included processes since a stage began. A process that had not
// reported by then is left out.
func (m *ProcessMonitor) goodputSince(start stageStart, include func(string) bool) (total Goodput) {
	for name, report := range m.reports {
		baseline, ok := start.baseline[name]
		if !ok || !include(name) || report.Goodput.Offered < baseline.Offered {
			continue // no baseline, or the counter went back
		}
		total.Offered += report.Goodput.Offered - baseline.Offered
		total.Served += report.Goodput.Served - baseline.Served
	}
	return total
}

// goodputOver returns the goodput of the included processes over the latest span.
func (m *ProcessMonitor) goodputOver(span, now time.Duration, include func(string) bool) (total Goodput) {
	for name, report := range m.reports {
		if !include(name) {
			continue
		}
		for _, sample := range report.samples {
			if now-sample.at <= span {
				total.Offered += report.Goodput.Offered - sample.goodput.Offered
				total.Served += report.Goodput.Served - sample.goodput.Served
				break
			}
		}
	}
	return total
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
