package client

import (
	"bufio"
	"encoding/binary"
	"net"
	"strings"
	"testing"

	"silverpath/internal/transport/msgpackrpc"
)

// Status reads an answer of MaxCallBody bytes completely. The status of a router has a line for each of hundreds of servers.
func TestLongStatus(t *testing.T) {
	long := strings.Repeat("x", msgpackrpc.MaxCallBody)
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
		defer conn.Close()
		asked, err := msgpackrpc.ReadMessage(bufio.NewReader(conn), 1<<10)
		if err != nil {
			return
		}
		answer := []byte{0x94, 1, asked[2], 0xc0, 0x92, 0xc6} // response with the request's id, no error, and an array of two: a bin and the fields
		answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(long))), long...)
		conn.Write(append(answer, 0x80))
	}()
	if text, err := Status(Platform, ln.Addr().String()); err != nil || string(text) != long {
		t.Errorf("status of %d bytes, %v", len(text), err)
	}
}
