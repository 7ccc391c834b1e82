package configstore

import "time"

// Judging goodput. Inputs: what each process was asked for and has served since its start, as it reports it. A change is worse where
// the ratio that was served is lower by more than its policy allows, and enough was asked for on both sides to say so.

// minOffered is the weight of requests under which nothing can be said: of 20 one that fails is 5 %.
const minOffered = 20

// isWorse reports whether the goodput ratio is lower than before by more than a bound.
func isWorse(before, now Goodput, by float64) bool {
	return before.Offered >= minOffered && now.Offered >= minOffered && now.Ratio() < before.Ratio()-by
}

// goodputSince is the goodput of some processes since a stage began. One that came later counts for nothing.
func (w *ProcessMonitor) goodputSince(s stageStart, of func(string) bool) (sum Goodput) {
	for name, h := range w.reports {
		mark, ok := s.baseline[name]
		if !ok || !of(name) || h.Goodput.Offered < mark.Offered {
			continue // it came later
		}
		sum.Offered += h.Goodput.Offered - mark.Offered
		sum.Served += h.Goodput.Served - mark.Served
	}
	return sum
}

// goodputOver is the goodput of some processes over the latest stretch of so long.
func (w *ProcessMonitor) goodputOver(d, now time.Duration, of func(string) bool) (sum Goodput) {
	for name, h := range w.reports {
		if !of(name) {
			continue
		}
		for _, s := range h.past {
			if now-s.at <= d {
				sum.Offered += h.Goodput.Offered - s.goodput.Offered
				sum.Served += h.Goodput.Served - s.goodput.Served
				break
			}
		}
	}
	return sum
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
