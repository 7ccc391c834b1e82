package controller

import (
	"errors"
	"fmt"
	"testing"

	"silverpath/internal/policy/lease"
)

// heldBy returns a table in which a process holds duty "d".
func heldBy(epoch lease.Epoch, process string) *lease.Table {
	t := lease.NewTable(0)
	t.Duties["d"] = &lease.Duty{Name: "d", Epoch: epoch, Holder: process}
	return t
}

// A holder that was suspended and replaced writes after its successor, and a holder that lost a response repeats its write. The journal
// accepts only the next step of the present epoch, and a repetition of the last one. It rejects stale writes, wrong steps, finished
// items and paused duties with the matching error and stays unchanged. It prunes finished items, never open ones.
func TestJournalRefusesStaleAndOutOfStepWrites(t *testing.T) {
	j := &Journal{Duty: "d"}
	if _, err := j.Submit("a", "k", nil); err != nil {
		t.Fatal(err)
	}
	submit(t, j, "a", "k", nil)
	table := heldBy(7, "o")
	intent := JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "a", State: Intended, Plan: "p"}
	for _, c := range []struct {
		name string
		w    JournalWrite
		want error
	}{
		{"an older epoch", JournalWrite{Duty: "d", Process: "o", Epoch: 6, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"another process", JournalWrite{Duty: "d", Process: "x", Epoch: 7, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"a step ahead", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 2, Item: "a"}, ErrOutOfStep},
		{"no such item", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "b"}, ErrItemNotFound},
		{"the intent", intent, nil},
		{"the intent again", intent, nil},
		{"another write at the same step", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "a", State: Done}, ErrOutOfStep},
		{"its outcome", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 2, Item: "a", State: Done, Document: "x"}, nil},
		{"an intent after the outcome", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 3, Item: "a", State: Intended}, ErrOutOfStep},
	} {
		if err := j.Apply(c.w, table); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v", c.name, err)
		}
	}
	if item := j.Item("a"); item.State != Done || j.Document != "x" || j.Step != 2 || len(j.Items) != 1 {
		t.Errorf("journal after the outcome: %+v", j)
	}
	submit(t, j, "b", "k", nil)
	table.Duties["d"].PauseReason = "by an operator"
	if err := j.Apply(JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 3, Item: "b", State: Intended}, table); !errors.Is(err, ErrPaused) {
		t.Error(err)
	}
	table.Duties["d"].PauseReason = ""
	for i := range 3 * maxFinishedItems {
		id := fmt.Sprint("x", i)
		submit(t, j, id, "k", nil)
		if err := j.Apply(JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: j.Step + 1, Item: id, State: Done, Plan: "p"}, table); err != nil {
			t.Fatal(err)
		}
	}
	if len(j.Items) != maxFinishedItems+1 || j.Item("b") == nil || j.Items[1].Plan != "" {
		t.Errorf("%d items left, or an item or a plan wrongly pruned", len(j.Items))
	}
	for i := 0; ; i++ {
		if _, err := j.Submit(fmt.Sprint("q", i), "k", nil); err != nil {
			if !errors.Is(err, ErrJournalFull) || i != maxOpenItems-1 {
				t.Error(i, err)
			}
			break
		}
	}
}

func submit(t *testing.T, j *Journal, id, kind string, args []byte) {
	t.Helper()
	if _, err := j.Submit(id, kind, args); err != nil {
		t.Fatal(err)
	}
}
