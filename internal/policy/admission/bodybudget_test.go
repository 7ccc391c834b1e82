package admission

import (
	"testing"

	"pgregory.net/rapid"
)

// All reservations together never exceed the budget, a refused one keeps what it has, and released ones give everything back.
func TestBodyBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBodyBudget(1000)
		reservations, sizes := make([]*BodyReservation, 5), make([]int, 5)
		for i := range reservations {
			reservations[i] = b.Reserve()
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i, size := rapid.IntRange(0, 4).Draw(t, "reservation"), rapid.IntRange(0, 700).Draw(t, "size")
			fits := b.Held()-sizes[i]+size <= 1000 || size <= sizes[i]
			if got := reservations[i].Resize(size); got != fits {
				t.Fatalf("Resize(%d) of %v: %v, want %v", size, sizes, got, fits)
			}
			if fits {
				sizes[i] = size
			}
			if sum := sizes[0] + sizes[1] + sizes[2] + sizes[3] + sizes[4]; b.Held() != sum || sum > 1000 {
				t.Fatalf("held %d, want %d", b.Held(), sum)
			}
		}
		for _, r := range reservations {
			r.Release()
			r.Release()
		}
		if b.Held() != 0 {
			t.Fatalf("%d bytes held after the last release", b.Held())
		}
	})
}

// A reservation over a limit that shrank stays, and may shrink but not grow.
func TestBodyBudgetShrinks(t *testing.T) {
	b := NewBodyBudget(1000)
	r := b.Reserve()
	if !r.Resize(800) {
		t.Fatal("no room for 800 of 1000 bytes")
	}
	b.SetLimit(500)
	if r.Resize(801) || !r.Resize(700) || b.Reserve().Resize(1) || b.Held() != 700 {
		t.Errorf("held %d of a limit of 500, want 700 and no growth", b.Held())
	}
}
