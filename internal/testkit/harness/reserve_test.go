package harness

import (
	"net"
	"testing"
)

// A member of a group was started at an address that had been looked up a moment before, and beside other programs of the machine
// somebody else had taken it by then. A reserved address is given to nobody who asks for any, and to who names it.
func TestReservedAddressIsGivenToWhoNamesIt(t *testing.T) {
	r, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	for range 500 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		if ln.Addr().String() == r.Addr {
			t.Fatal("somebody else got the reserved address")
		}
	}
	for range 3 { // a process that starts, and starts again
		ln, err := net.Listen("tcp", r.Addr)
		if err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", r.Addr)
		if err != nil {
			t.Error(err)
		} else {
			c.Close()
		}
		if second, err := net.Listen("tcp", r.Addr); err == nil {
			second.Close()
			t.Error("two listen at one address")
		}
		ln.Close()
	}
}
