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
