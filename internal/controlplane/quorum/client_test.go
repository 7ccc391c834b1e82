package quorum

import (
	"net"
	"testing"
)

// A member or its connection may fail between a call and the reply. The call may have been executed, so the client must return an
// error: a caller that took this for a rejection would send another request although the first may have been executed.
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
		if _, err := conn.Read(make([]byte, 4<<10)); err != nil { // the call has arrived
			t.Error(err)
		}
		conn.Close()
	}()
	c := &Client{}
	defer c.Close()
	if reply, err := c.Call(t.Context(), ln.Addr().String(), "order", nil, nil); err == nil {
		t.Errorf("Call returned %+v and no error after the connection closed without a reply", reply)
	}
}
