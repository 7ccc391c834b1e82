package metrics

import (
	"bytes"
	"testing"
)

// Print sorts the counters by name, and whitespace in a name can't forge a line.
func TestPrint(t *testing.T) {
	var c Counters
	c.Inc("read", "scgi", "krog")
	c.Add(2, "read", "scgi", "krog")
	c.Inc("a class\nwith blanks") // a name from a request must not forge a line
	var b bytes.Buffer
	c.Print(&b)
	if want := "counter a_class_with_blanks 1\ncounter read.scgi.krog 3\n"; b.String() != want {
		t.Fatalf("got %q, want %q", b.String(), want)
	}
	if c.Get("read", "scgi", "krog") != 3 || c.Get("none") != 0 || len(c.Snapshot()) != 2 {
		t.Fatal("the counters differ from the printed values")
	}
}
