package benchmarks

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Takeover measures the replacement of a service under keyed load: by a process that starts beside the old one on the
// listening socket that both inherit, and, for comparison, by a process that starts on the address after the old one has
// ended.
func Takeover(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println("\n| replaced | times | tries | not answered | refused or failed | wrong | p50 ms | p99 ms | longest ms | ready after ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for range 2 {
		for _, overlap := range []bool{false, true} {
			measureTakeover(b, bin, overlap)
		}
	}
}

func measureTakeover(b *testing.B, bin string, overlap bool) {
	const restarts, interval = 5, 3 * time.Second
	s := NewShared(b, bin, nil, overlap)
	old := s.Start()
	old.AwaitReady(b)
	load := s.Load(8, 2, 60*time.Millisecond, 1)
	readyTime := time.Duration(0)
	for range restarts {
		time.Sleep(interval)
		startedAt := time.Now()
		if !overlap {
			old.Leave(b)
		}
		next := s.Start()
		next.AwaitReady(b)
		readyTime += time.Since(startedAt)
		if overlap {
			time.Sleep(500 * time.Millisecond)
			old.Leave(b)
		}
		old = next
	}
	time.Sleep(interval)
	wrong := load.End()
	old.Leave(b)
	slices.Sort(load.Times)
	ms := func(q float64) float64 {
		return float64(load.Times[int(q*float64(len(load.Times)-1))].Microseconds()) / 1000
	}
	name := "started anew"
	if overlap {
		name = "beside the old one"
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f | %d |\n", name, restarts, len(load.Times), load.Unanswered, load.Refused, len(wrong),
		ms(0.5), ms(0.99), ms(1), readyTime.Milliseconds()/restarts)
}
