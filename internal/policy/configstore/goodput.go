package configstore

import (
	"time"
)

// minOffered is the worth under which nothing can be said.
const minOffered = 20

// isWorse reports whether less was served than before by more than a bound, and enough was asked for to say so.
func isWorse(before, now Goodput, by float64) bool {
	return before.Offered >= minOffered && now.Offered >= minOffered && now.Ratio() < before.Ratio()-by
}

// goodputSince sums what processes were asked for and have served since a stage began.
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

// goodputOver sums what was asked for and served in the latest stretch.
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
