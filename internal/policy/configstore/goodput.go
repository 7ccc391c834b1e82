package configstore

import "time"

// Judging goodput. Inputs: what each process was asked for and has served since its start, as it reports it. A change is worse where
// the ratio that was served is lower by more than its policy allows, and enough was asked for on both sides to say so.

// minOffered is the weight of requests under which nothing can be said: of 20 one that fails is 5 %.
const minOffered = 20

// isWorse reports whether the goodput ratio is lower than before by more than a bound.
func isWorse(before, now Goodput, maxLoss float64) bool {
	return before.Offered >= minOffered && now.Offered >= minOffered && now.Ratio() < before.Ratio()-maxLoss
}

// goodputSince is the goodput of some processes since a stage began. One that came later counts for nothing.
func (m *ProcessMonitor) goodputSince(start stageStart, include func(string) bool) (total Goodput) {
	for name, report := range m.reports {
		baseline, ok := start.baseline[name]
		if !ok || !include(name) || report.Goodput.Offered < baseline.Offered {
			continue // it came later
		}
		total.Offered += report.Goodput.Offered - baseline.Offered
		total.Served += report.Goodput.Served - baseline.Served
	}
	return total
}

// goodputOver is the goodput of some processes over the latest stretch of so long.
func (m *ProcessMonitor) goodputOver(span, now time.Duration, include func(string) bool) (total Goodput) {
	for name, report := range m.reports {
		if !include(name) {
			continue
		}
		for _, sample := range report.past {
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
