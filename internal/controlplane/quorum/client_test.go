package quorum

import (
	"net"
	"testing"
)

// A member ends, or its link does, between a call and the reply: a client that took that for a no would ask for something else, when
// the first may have been done. A call whose connection ends without a reply has failed, and nobody knows whether it took effect.
func TestCallWithoutAReplyFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err := conn.Read(make([]byte, 4<<10)); err != nil { // the call is here
			t.Error(err)
		}
		conn.Close()
	}()
	c := &Client{}
	defer c.Close()
	if a, err := c.Call(t.Context(), ln.Addr().String(), "order", nil, nil); err == nil {
		t.Errorf("%+v", a)
	}
}
