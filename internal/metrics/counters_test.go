package metrics

import (
	"bytes"
	"testing"
)

func TestPrint(t *testing.T) {
	var c Counters
	c.Inc("read", "scgi", "krog")
	c.Add(2, "read", "scgi", "krog")
	c.Inc("a class\nwith blanks") // a name off the wire must not forge a line
	var b bytes.Buffer
	c.Print(&b)
	if want := "counter a_class_with_blanks 1\ncounter read.scgi.krog 3\n"; b.String() != want {
		t.Fatalf("%q, want %q", b.String(), want)
	}
	if c.Get("read", "scgi", "krog") != 3 || c.Get("none") != 0 || len(c.Snapshot()) != 2 {
		t.Fatal("counters differ from what is printed")
	}
}
