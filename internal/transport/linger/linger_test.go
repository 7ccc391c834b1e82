package linger

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// recordingConn is a connection that records the calls made on it. Its reads return the bytes of input.
type recordingConn struct {
	net.Conn
	mu        sync.Mutex
	calls     []string
	deadline  time.Time
	input     io.Reader
	bytesRead int
}

func (c *recordingConn) record(call string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 || c.calls[len(c.calls)-1] != call {
		c.calls = append(c.calls, call)
	}
}

func (c *recordingConn) CloseWrite() error { c.record("CloseWrite"); return nil }
func (c *recordingConn) Close() error      { c.record("Close"); return nil }

func (c *recordingConn) SetReadDeadline(t time.Time) error {
	c.record("SetReadDeadline")
	c.deadline = t
	return nil
}

func (c *recordingConn) Read(b []byte) (int, error) {
	c.record("Read")
	n, err := c.input.Read(b)
	c.bytesRead += n
	return n, err
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// Between the half-close and the close, Close reads input until the peer closes its side, the timeout expires or the byte limit is
// reached.
func TestReadsBeforeTheClose(t *testing.T) {
	const maxBytes = 10000
	for name, c := range map[string]struct {
		input     io.Reader
		bytesRead int
	}{
		"the peer closes":      {strings.NewReader(strings.Repeat("x", 3000)), 3000},
		"the timeout expires":  {io.MultiReader(strings.NewReader("xyz"), errReader{os.ErrDeadlineExceeded}), 3},
		"the connection fails": {io.MultiReader(strings.NewReader("xyz"), errReader{net.ErrClosed}), 3},
		"endless input":        {endlessReader{}, maxBytes},
		"no input":             {strings.NewReader(""), 0},
	} {
		conn := &recordingConn{input: c.input}
		before := time.Now()
		Close(conn, nil, time.Hour, maxBytes)
		if want := []string{"CloseWrite", "SetReadDeadline", "Read", "Close"}; !slices.Equal(conn.calls, want) {
			t.Errorf("%s: calls %v, want %v", name, conn.calls, want)
		}
		if conn.bytesRead != c.bytesRead {
			t.Errorf("%s: read %d bytes, want %d", name, conn.bytesRead, c.bytesRead)
		}
		if conn.deadline.Before(before.Add(time.Hour)) || conn.deadline.After(time.Now().Add(time.Hour)) {
			t.Errorf("%s: read deadline %v, want one hour from the call", name, conn.deadline)
		}
	}
}

type endlessReader struct{}

func (endlessReader) Read(b []byte) (int, error) { return len(b), nil }

// Bytes that the reader has already buffered count towards the byte limit.
func TestReadsThroughTheBuffer(t *testing.T) {
	conn := &recordingConn{input: strings.NewReader(strings.Repeat("x", 3000))}
	r := bufio.NewReaderSize(conn, 1000)
	_, _ = r.Peek(1)
	Close(conn, r, time.Hour, 1000)
	if conn.bytesRead != 1000 {
		t.Errorf("read %d bytes from the connection, want the 1000 that were buffered", conn.bytesRead)
	}
}

// A connection without half-close is closed at once: the peer would not see that it should close its side.
func TestWithoutHalves(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	Close(conn, nil, time.Hour, 1000)
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("peer's read: %v, want EOF", err)
	}
}

// signalingConn is a TCP connection that closes the channel readOrClosed at its first Read or at its Close.
type signalingConn struct {
	*net.TCPConn
	once         sync.Once
	readOrClosed chan struct{}
}

func (c *signalingConn) Read(b []byte) (int, error) {
	c.once.Do(func() { close(c.readOrClosed) })
	return c.TCPConn.Read(b)
}

func (c *signalingConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { close(c.readOrClosed) })
	return err
}

// An answer that is larger than a slow reader's buffer is still partly unsent when the connection is closed, and received bytes are unread.
// A plain close would reset the connection and discard the unsent bytes. With a lingering close the whole answer must arrive.
func TestAnswerOfASlowReaderOverUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	client := dialed.(*net.TCPConn)
	_ = client.SetReadBuffer(32 << 10)
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server := &signalingConn{TCPConn: accepted.(*net.TCPConn), readOrClosed: make(chan struct{})}
	server.SetWriteBuffer(1 << 20)
	answer := bytes.Repeat([]byte("answer"), 40000)
	server.SetWriteDeadline(time.Now().Add(20 * time.Second))
	if _, err := server.Write(answer); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "unread bytes at the close"); err != nil {
		t.Fatal(err)
	}
	for Peek(server) != Unread {
		time.Sleep(time.Millisecond)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		Close(server, nil, time.Minute, 64<<10)
	}()
	<-server.readOrClosed // Close reads input, or has closed the connection
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(got, answer) {
		t.Fatalf("received %d bytes of %d: %v", len(got), len(answer), err)
	}
	select {
	case <-closed:
		t.Error("Close returned before the client closed its side")
	default:
	}
	_ = client.Close()
	<-closed
	if _, err := accepted.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read after Close: %v, want net.ErrClosed", err)
	}
}
