package service

import (
	"testing"
	"time"

	"silverpath"
)

// Guards against a reload that is undone later: while a class of the group keeps its longer window, a reload changes other settings, and
// the end of the window must not bring the earlier ones back.
func TestReloadDuringAWindowTransition(t *testing.T) {
	s := start(t, func(c *silverpath.Settings) {
		c.Classes = append(c.Classes, silverpath.Class{Name: "mark", Objective: 100 * time.Millisecond, Deadline: 200 * time.Millisecond, Weight: 1,
			Effect: silverpath.Idempotent, IdempotencyWindow: 300 * time.Millisecond})
		c.Tenants = []silverpath.Tenant{{Name: "north", Rate: 1000}}
	})
	window := func() time.Duration {
		class, _ := s.core.Class("mark")
		return class.IdempotencyWindow
	}
	err := s.applyClasses(`{"classes":[{"name":"mark","target":100000,"deadline":200000,"worth":1,"effect":"token","memory_span":50000},
		{"name":"krog","target":9000000,"deadline":30000000,"worth":1,"effect":"pure"}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if w := window(); w != 300*time.Millisecond {
		t.Fatalf("window %v after the change, want 300ms", w)
	}
	next := s.cfg
	next.Server.Tenants = []silverpath.Tenant{{Name: "east", Rate: 1000}}
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); window() != 50*time.Millisecond; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("window %v, want 50ms", window())
		}
	}
	if reply := s.send(t, "krog", "east", "", "a", "x"); reply.Error != "" {
		t.Errorf("the tenant of the reload is unknown: %+v", reply)
	}
}
