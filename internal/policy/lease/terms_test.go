package lease

import (
	"testing"
	"time"
)

// If a holder counted its lease for as long as the leader does, a slow clock would have it act after its successor has begun. On the
// slowest clock that the terms allow for, a holder ends within TTL of true time; on the fastest, the leader waits for TTL at least.
func TestHolderCountsShortAndLeaderCountsLong(t *testing.T) {
	for _, c := range []struct {
		terms          Terms
		holder, leader time.Duration
	}{
		{Terms{3 * time.Second, 0.05}, 2850 * time.Millisecond, 3150 * time.Millisecond},
		{Terms{300 * time.Millisecond, 0.1}, 270 * time.Millisecond, 330 * time.Millisecond},
		{Terms{time.Second, 0}, time.Second, time.Second},
	} {
		if got := c.terms.HolderTTL(); got != c.holder {
			t.Errorf("%+v: the holder counts %v, want %v", c.terms, got, c.holder)
		}
		if got := c.terms.LeaderTTL(); got != c.leader {
			t.Errorf("%+v: the leader counts %v, want %v", c.terms, got, c.leader)
		}
	}
}

// A renewal comes just after the leader has proposed the end of its holding. Renewed, the holder would go on for a lease, while the
// end is applied and its successor begins. It is not renewed by this leader any more, but for an end that could not be proposed.
func TestHoldingWhoseEndWasProposedIsNotRenewed(t *testing.T) {
	terms := Terms{TTL: time.Second, Drift: 0.1}
	table, lessor := NewTable(1), NewLessor(terms)
	lessor.Promote(0)
	d, err := table.Apply(Request{Op: Acquire, Duty: "d", Process: "a"})
	if err != nil {
		t.Fatal(err)
	}
	lessor.RecordGrant("d", d.Epoch, 0)
	if !lessor.Renew("d", d.Epoch, false, 500*time.Millisecond) {
		t.Error("not renewed in time")
	}
	if due := lessor.Overdue(table, 1599*time.Millisecond); len(due) != 0 {
		t.Errorf("%+v before the lease is over", due)
	}
	due := lessor.Overdue(table, 1600*time.Millisecond)
	if len(due) != 1 || due[0].Op != Expire || due[0].Epoch != d.Epoch {
		t.Fatalf("%+v", due)
	}
	if lessor.Renew("d", d.Epoch, false, 1601*time.Millisecond) {
		t.Error("renewed although its end was proposed")
	}
	if due := lessor.Overdue(table, 1602*time.Millisecond); len(due) != 0 {
		t.Errorf("proposed twice: %+v", due)
	}
	lessor.ProposalDropped(due[0])
	if !lessor.Renew("d", d.Epoch, false, 1603*time.Millisecond) {
		t.Error("not renewed although its end was not proposed after all")
	}
}
