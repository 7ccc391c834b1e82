package announce

import (
	"context"
	"net"
	"testing"
	"time"
)

// Reports come in one datagram each, again and again, and say what the health is then.
func TestKeep(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	n := 0
	go func() {
		done <- Keep(ctx, conn.LocalAddr().String(), "n3", func() bool { n++; return n == 1 })
	}()
	conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	b := make([]byte, 100)
	for _, want := range []string{"announce n3 true", "announce n3 false"} {
		size, _, err := conn.ReadFrom(b)
		if err != nil || string(b[:size]) != want {
			t.Fatalf("report %q, %v, want %q", b[:size], err, want)
		}
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// A lost report or two must not take the service off the list, where it stays for 3 s.
func TestOften(t *testing.T) {
	if 4*Every >= 3*time.Second {
		t.Fatalf("a report every %v", Every)
	}
}
