package harness

import (
	"net"
	"testing"
)

// Without a reservation, a free address that is looked up before a process starts may be taken by another program in the meantime. The
// kernel must not assign a reserved address to a socket that asks for any port, but a listener that names the port must get it, repeatedly.
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
			t.Fatal("a listener on any port got the reserved address")
		}
	}
	for range 3 { // a process that starts and restarts
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
			t.Error("two sockets listen at the same address")
		}
		ln.Close()
	}
}
