package command

import (
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"

	"silverpath/internal/controlplane/quorum"
)

// A server is upgraded while a command of a former lease holder is still on its way. The new build must read the fence file of
// the earlier build and refuse the command with the text from which the holder, possibly also of an earlier build, learns the
// current epoch. A repeat of the last command is accepted and not executed again.
func TestAnswersToOrdersOfAnEarlierBuild(t *testing.T) {
	b, err := os.ReadFile("testdata/orders")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "orders")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	group := &quorum.Client{Group: "test", Addrs: []string{"127.0.0.1:1"}} // no member listens here
	t.Cleanup(group.Close)
	executor, err := Open(path, "s1", group, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		action, duty       string
		epoch, step        uint64
		executed, accepted bool
		reason             string
	}{
		{"evacuate", "conductor", 1<<32 | 1, 9, false, false, "stale epoch 1.1 of conductor: 1.2 was seen"},
		{"evacuate", "conductor", 1<<32 | 2, 6, false, false, "stale step 6 of conductor in epoch 1.2: 7 was seen"},
		{"evacuate", "conductor", 1<<32 | 2, 7, false, true, "it was done before"},
		{"rejoin", "conductor", 1<<32 | 2, 8, true, true, "ok"},
		{"rejoin", "conductor", 1<<32 | 2, 8, false, true, "it was done before"},
		{"evacuate", "conductor", 1<<32 | 2, 7, false, false, "stale step 7 of conductor in epoch 1.2: 8 was seen"},
	} {
		executed := false
		accepted, reason := executor.Execute(c.action, c.duty, c.epoch, c.step, func() (bool, string) { executed = true; return true, "ok" })
		if executed != c.executed || accepted != c.accepted || reason != c.reason {
			t.Errorf("%+v: executed %v, accepted %v, %q", c, executed, accepted, reason)
		}
	}
}
