package lease

import (
	"testing"
	"time"
)

// If the holder counted its lease for as long as the leader does, a holder with a slow clock would still act after its successor began.
// With the slowest clock that the terms allow, a holder's lease ends within TTL of true time; with the fastest one, the leader waits
// for at least TTL.
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
			t.Errorf("%+v: HolderTTL is %v, want %v", c.terms, got, c.holder)
		}
		if got := c.terms.LeaderTTL(); got != c.leader {
			t.Errorf("%+v: LeaderTTL is %v, want %v", c.terms, got, c.leader)
		}
	}
}

// Guards against granting a renewal that arrives just after the leader proposed to end the holder's lease. The holder would continue for
// another lease while the end is applied and its successor begins. The leader refuses the renewal. If its proposal failed, it grants
// renewals again.
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
		t.Error("a renewal within the lease was refused")
	}
	if due := lessor.Overdue(table, 1599*time.Millisecond); len(due) != 0 {
		t.Errorf("Overdue returned %+v before the lease ended", due)
	}
	due := lessor.Overdue(table, 1600*time.Millisecond)
	if len(due) != 1 || due[0].Op != Expire || due[0].Epoch != d.Epoch {
		t.Fatalf("Overdue returned %+v, want one Expire of the holding", due)
	}
	if lessor.Renew("d", d.Epoch, false, 1601*time.Millisecond) {
		t.Error("a holding was renewed after its end was proposed")
	}
	if due := lessor.Overdue(table, 1602*time.Millisecond); len(due) != 0 {
		t.Errorf("Overdue returned an end again: %+v", due)
	}
	lessor.ProposalDropped(due[0])
	if !lessor.Renew("d", d.Epoch, false, 1603*time.Millisecond) {
		t.Error("a renewal was refused although the proposal of its end was dropped")
	}
}
