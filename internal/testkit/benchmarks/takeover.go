package benchmarks

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Takeover measures a service that is replaced under keyed load: by a process that starts beside the old one on the
// listening socket that both inherit, and, for comparison, by one that is started on the address once the old one has left.
func Takeover(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println("\n| replaced | times | tries | not answered | refused or failed | wrong | p50 ms | p99 ms | longest ms | ready after ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for range 2 {
		for _, held := range []bool{false, true} {
			takeover(b, bin, held)
		}
	}
}

func takeover(b *testing.B, bin string, held bool) {
	const times, every = 5, 3 * time.Second
	s := Inherit(b, bin, nil, held)
	old := s.Start()
	old.Ready(b)
	l := s.Load(8, 2, 60*time.Millisecond, 1)
	ready := time.Duration(0)
	for range times {
		time.Sleep(every)
		began := time.Now()
		if !held {
			old.Leave(b)
		}
		next := s.Start()
		next.Ready(b)
		ready += time.Since(began)
		if held {
			time.Sleep(500 * time.Millisecond)
			old.Leave(b)
		}
		old = next
	}
	time.Sleep(every)
	wrong := l.End()
	old.Leave(b)
	slices.Sort(l.Times)
	ms := func(q float64) float64 {
		return float64(l.Times[int(q*float64(len(l.Times)-1))].Microseconds()) / 1000
	}
	name := "started anew"
	if held {
		name = "beside the old one"
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f | %d |\n", name, times, len(l.Times), l.Unheard, l.Refused, len(wrong),
		ms(0.5), ms(0.99), ms(1), ready.Milliseconds()/times)
}
