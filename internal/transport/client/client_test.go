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
	status := strings.Repeat("x", msgpackrpc.MaxCallBody)
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
		request, err := msgpackrpc.ReadMessage(bufio.NewReader(conn), 1<<10)
		if err != nil {
			return
		}
		answer := []byte{0x94, 1, request[2], 0xc0, 0x92, 0xc6} // response, the request's id, no error, [bin, fields]
		answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(status))), status...)
		conn.Write(append(answer, 0x80))
	}()
	if text, err := Status(MessagePack, ln.Addr().String()); err != nil || string(text) != status {
		t.Errorf("status of %d bytes, %v", len(text), err)
	}
}
