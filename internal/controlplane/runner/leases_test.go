package runner

import (
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// A process is suspended for longer than its lease after it has read the journal. When it resumes it must not perform the
// action that it had decided on: it checks its lease again before each action. While an action is in progress the duty must
// not be released to a successor.
func TestNoActionBeginsOnceTheLeaseIsOver(t *testing.T) {
	r := New(Config{Name: "p"})
	d := &duty{Runner: r, name: "keeper", holder: lease.NewHolder("keeper", r.process, lease.Terms{TTL: time.Second, Drift: 0.05})}
	if d.beginAction() {
		t.Error("an action began without a lease")
	}
	request, ok := d.holder.NextRequest(r.clock())
	if !ok {
		t.Fatal("no lease request is due")
	}
	d.holder.HandleAnswer(r.clock(), request, lease.Duty{Name: "keeper", Epoch: 1, Holder: r.process, Successor: "q"}, false, r.clock())
	if !d.beginAction() {
		t.Fatal("no action began although the lease is held")
	}
	if s := d.checkLease(); !s.holds {
		t.Error("the duty was released during an action")
	}
	r.startedAt = r.startedAt.Add(-time.Second) // advances the clock by a second
	if d.beginAction() {
		t.Error("an action began although the lease has expired")
	}
	d.endAction()
}
