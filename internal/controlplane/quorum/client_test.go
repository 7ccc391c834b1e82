package quorum

import (
	"net"
	"testing"
)

// A word whose connection ends before the member has answered has failed: nobody knows whether it took effect.
func TestWordWithoutAnAnswer(t *testing.T) {
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
		conn.Read(make([]byte, 4<<10)) // the word is here
		conn.Close()
	}()
	c := &Client{}
	defer c.Close()
	if a, err := c.Say(t.Context(), ln.Addr().String(), "order", nil, nil); err == nil {
		t.Errorf("%+v", a)
	}
}
