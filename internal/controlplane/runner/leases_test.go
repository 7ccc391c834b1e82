package runner

import (
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// A process is stopped after it has read the journal, for longer than its lease. Waking up it must not make the action that it had
// decided on: it looks at its lease once more before each action, and while one is under way the duty is not released to a successor.
func TestNoActionBeginsOnceTheLeaseIsOver(t *testing.T) {
	r := New(Config{Name: "p"})
	d := &duty{Runner: r, name: "keeper", holder: lease.NewHolder("keeper", r.process, lease.Terms{TTL: time.Second, Drift: 0.05})}
	if d.beginAction() {
		t.Error("an action begins without a lease")
	}
	request, ok := d.holder.NextRequest(r.clock())
	if !ok {
		t.Fatal("nothing is asked")
	}
	d.holder.HandleAnswer(r.clock(), request, lease.Duty{Name: "keeper", Epoch: 1, Holder: r.process, Successor: "q"}, false, r.clock())
	if !d.beginAction() {
		t.Fatal("no action begins with a lease")
	}
	if s := d.checkLease(); !s.holds {
		t.Error("the duty is released in the middle of an action")
	}
	r.startedAt = r.startedAt.Add(-time.Second) // a second passes
	if d.beginAction() {
		t.Error("an action begins although the lease is over")
	}
	d.endAction()
}
