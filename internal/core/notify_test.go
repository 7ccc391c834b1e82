package core

import (
	"errors"
	"io"
	"log"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/hotrestart"
)

// A process that dies with a run of which the other knows nothing would let a retry run again there. Before a run begins the other
// process has been notified as far as it has to: what is to be written is written, where that fails a mark is left, and where that
// fails too the run does not begin.
func TestPeerIsNotifiedBeforeARun(t *testing.T) {
	no := errors.New("no")
	for name, x := range map[string]struct {
		note            hotrestart.Notice
		flush, mark     error
		begins          bool
		flushes, leaves int
	}{
		"nobody has to know":   {hotrestart.NoNotice, no, no, true, 0, 0},
		"it is written":        {hotrestart.NoticeByLink, nil, no, true, 1, 0},
		"it can't be written":  {hotrestart.NoticeByLink, no, nil, true, 1, 1},
		"nor is a mark left":   {hotrestart.NoticeByLink, no, no, false, 1, 1},
		"a mark is left":       {hotrestart.NoticeByMark, nil, nil, true, 0, 1},
		"a mark can't be left": {hotrestart.NoticeByMark, nil, no, false, 0, 1},
	} {
		flushes, leaves := 0, 0
		c, err := New(Config{Name: "n", MemoryMB: 64, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
			Settings: silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{sheets}},
			Pair: &PairConfig{Wake: func() {}, Shared: func(bool) {},
				Flush: func(link int) error {
					if flushes++; link != 7 {
						t.Errorf("%s: flushed on link %d", name, link)
					}
					return x.flush
				},
				MarkUnnotified: func() error { leaves++; return x.mark }}})
		if err != nil {
			t.Fatal(err)
		}
		if begins := c.ensureNotified(x.note, 7); begins != x.begins || flushes != x.flushes || leaves != x.leaves {
			t.Errorf("%s: begins %v after %d writings and %d marks", name, begins, flushes, leaves)
		}
	}
}

// Two services of one process had the same slice of classes, and one changed the other's. What a core changes of its settings is
// its own.
func TestSupportedSettingsCopyTheClasses(t *testing.T) {
	given := silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{
		{Name: "x", Objective: time.Second, Deadline: time.Second, Weight: 1, DegradedWeight: 0.5}}}
	if own := supportedSettings(given); own.Classes[0].DegradedWeight != 0 || given.Classes[0].DegradedWeight != 0.5 {
		t.Errorf("%+v of %+v", own, given)
	}
}
