package command

import (
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"

	"silverpath/internal/controlplane/quorum"
)

// A server is upgraded while an owner that was replaced long ago still has an order on its way. The server's file of orders was
// written by the build before; the order is refused with the text by which that owner, also one of an earlier build, learns the
// epoch that holds; a copy of the last order does nothing and is a yes.
func TestAnswersToOrdersOfAnEarlierBuild(t *testing.T) {
	b, err := os.ReadFile("testdata/orders")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "orders")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
	group := &quorum.Client{Group: "test", Addrs: []string{"127.0.0.1:1"}} // nobody is there
	t.Cleanup(group.Close)
	o, err := Open(path, "s1", group, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		act, duty   string
		epoch, step uint64
		done, yes   bool
		why         string
	}{
		{"evacuate", "conductor", 1<<32 | 1, 9, false, false, "stale epoch 1.1 of conductor: 1.2 was seen"},
		{"evacuate", "conductor", 1<<32 | 2, 6, false, false, "stale step 6 of conductor in epoch 1.2: 7 was seen"},
		{"evacuate", "conductor", 1<<32 | 2, 7, false, true, "it was done before"},
		{"rejoin", "conductor", 1<<32 | 2, 8, true, true, "ok"},
		{"rejoin", "conductor", 1<<32 | 2, 8, false, true, "it was done before"},
		{"evacuate", "conductor", 1<<32 | 2, 7, false, false, "stale step 7 of conductor in epoch 1.2: 8 was seen"},
	} {
		done := false
		yes, why := o.Execute(c.act, c.duty, c.epoch, c.step, func() (bool, string) { done = true; return true, "ok" })
		if done != c.done || yes != c.yes || why != c.why {
			t.Errorf("%+v: done %v, %v, %q", c, done, yes, why)
		}
	}
}
