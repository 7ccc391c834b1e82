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

// Guards against a process that dies during a run that the other was not notified of: a retry would run again there. The run
// starts only after the required notice is written. If that fails, a mark is left; if that fails too, the run does not start.
func TestPeerIsNotifiedBeforeARun(t *testing.T) {
	errWrite := errors.New("write failed")
	for name, tc := range map[string]struct {
		notice                 hotrestart.Notice
		flushErr, markErr      error
		starts                 bool
		wantFlushes, wantMarks int
	}{
		"no notice is required":        {hotrestart.NoNotice, errWrite, errWrite, true, 0, 0},
		"the notice is written":        {hotrestart.NoticeByLink, nil, errWrite, true, 1, 0},
		"the notice cannot be written": {hotrestart.NoticeByLink, errWrite, nil, true, 1, 1},
		"neither notice nor mark":      {hotrestart.NoticeByLink, errWrite, errWrite, false, 1, 1},
		"the mark is written":          {hotrestart.NoticeByMark, nil, nil, true, 0, 1},
		"the mark cannot be written":   {hotrestart.NoticeByMark, nil, errWrite, false, 0, 1},
	} {
		flushes, marks := 0, 0
		c, err := New(Config{Name: "n", MemoryMB: 64, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
			Settings: silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{idempotentClass}},
			Pair: &PairConfig{Wake: func() {}, Shared: func(bool) {},
				Flush: func(link int) error {
					if flushes++; link != 7 {
						t.Errorf("%s: flushed on link %d", name, link)
					}
					return tc.flushErr
				},
				MarkUnnotified: func() error { marks++; return tc.markErr }}})
		if err != nil {
			t.Fatal(err)
		}
		if starts := c.ensureNotified(tc.notice, 7); starts != tc.starts || flushes != tc.wantFlushes || marks != tc.wantMarks {
			t.Errorf("%s: starts %v after %d flushes and %d marks", name, starts, flushes, marks)
		}
	}
}

// Guards against one service that modifies the classes of another. Both services of a process had the same slice of classes.
func TestSupportedSettingsCopyTheClasses(t *testing.T) {
	original := silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{
		{Name: "x", Objective: time.Second, Deadline: time.Second, Weight: 1, DegradedWeight: 0.5}}}
	if copied := supportedSettings(original); copied.Classes[0].DegradedWeight != 0 || original.Classes[0].DegradedWeight != 0.5 {
		t.Errorf("copy %+v of %+v", copied, original)
	}
}
