package controller

import (
	"errors"
	"fmt"
	"testing"

	"silverpath/internal/policy/lease"
)

// heldBy is a table whose duty "d" is held.
func heldBy(epoch lease.Epoch, who string) *lease.Table {
	t := lease.NewTable(0)
	t.Duties["d"] = &lease.Duty{Name: "d", Epoch: epoch, Holder: who}
	return t
}

// A holder that was replaced while it was stopped writes what it had meant; one whose answer was lost writes twice. A journal takes the
// next step of the holder's epoch, and the last one again; what is stale, out of step, finished or paused is refused by name and
// changes nothing. It drops what has long been finished, and never what is open.
func TestJournalRefusesStaleAndOutOfStepWrites(t *testing.T) {
	j := &Journal{Duty: "d"}
	if _, err := j.Submit("a", "k", nil); err != nil {
		t.Fatal(err)
	}
	submit(t, j, "a", "k", nil)
	tab := heldBy(7, "o")
	w := JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "a", State: Intended, Plan: "p"}
	for _, c := range []struct {
		name string
		w    JournalWrite
		want error
	}{
		{"an older epoch", JournalWrite{Duty: "d", Process: "o", Epoch: 6, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"another process", JournalWrite{Duty: "d", Process: "x", Epoch: 7, Step: 1, Item: "a"}, lease.ErrStaleEpoch},
		{"a step ahead", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 2, Item: "a"}, ErrOutOfStep},
		{"no such item", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "b"}, ErrItemNotFound},
		{"the intent", w, nil},
		{"the intent again", w, nil},
		{"another at its step", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 1, Item: "a", State: Done}, ErrOutOfStep},
		{"its outcome", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 2, Item: "a", State: Done, Document: "x"}, nil},
		{"once more", JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 3, Item: "a", State: Intended}, ErrOutOfStep},
	} {
		if err := j.Apply(c.w, tab); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if it := j.Item("a"); it.State != Done || j.Document != "x" || j.Step != 2 || len(j.Items) != 1 {
		t.Errorf("%+v", j)
	}
	submit(t, j, "b", "k", nil)
	tab.Duties["d"].PauseReason = "by an operator"
	if err := j.Apply(JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: 3, Item: "b", State: Intended}, tab); !errors.Is(err, ErrPaused) {
		t.Error(err)
	}
	tab.Duties["d"].PauseReason = ""
	for i := range 3 * maxFinishedItems {
		id := fmt.Sprint("x", i)
		submit(t, j, id, "k", nil)
		if err := j.Apply(JournalWrite{Duty: "d", Process: "o", Epoch: 7, Step: j.Step + 1, Item: id, State: Done, Plan: "p"}, tab); err != nil {
			t.Fatal(err)
		}
	}
	if len(j.Items) != maxFinishedItems+1 || j.Item("b") == nil || j.Items[1].Plan != "" {
		t.Errorf("%d items", len(j.Items))
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
