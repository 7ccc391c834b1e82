package silverpath

import (
	"testing"
	"time"
)

func TestDuplicateJoinsRememberedRequest(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "book"))
	duplicate := testRequest("b", "book")
	duplicate.DuplicateOf = "a"
	s.Arrive(time.Millisecond, duplicate)
	if !h.called("keep a") || !h.called("join b") || h.called("run b") {
		t.Error(h.lines)
	}
	s, h = newTestShedder(t, func(set *Settings) { set.KeyKB = 9500 })
	s.Arrive(0, testRequest("a", "book"))
	if !h.called("refuse a") || h.called("run a") {
		t.Errorf("no memory for its key: %v", h.lines)
	}
}

// Guards against memory that is counted as free while the host still uses it: after a reload that lengthens
// the window of a class, the host keeps earlier keys for longer.
func TestMemoryOfKeysFollowsALongerWindow(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.KeyKB = 9 })
	s.Arrive(0, testRequest("a", "book"))
	longer := testSettings()
	longer.Classes[1].IdempotencyWindow *= 10
	if err := s.Reconfigure(time.Millisecond, longer); err != nil {
		t.Fatal(err)
	}
	s.remembered.expire(longer.Classes[1].IdempotencyWindow)
	if s.remembered.memoryKB != 9 {
		t.Errorf("%v KB are counted for the key, want 9", s.remembered.memoryKB)
	}
	s.remembered.expire(longer.Classes[1].IdempotencyWindow + time.Second)
	if s.remembered.memoryKB != 0 {
		t.Errorf("%v KB are counted after the longer window, want none", s.remembered.memoryKB)
	}
}
