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

// watched is a connection that notes what is done with it. What comes on it is what the other side is said to send.
type watched struct {
	net.Conn
	mu    sync.Mutex
	did   []string
	until time.Time
	comes io.Reader
	took  int
}

func (w *watched) note(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.did) == 0 || w.did[len(w.did)-1] != what {
		w.did = append(w.did, what)
	}
}

func (w *watched) CloseWrite() error { w.note("half"); return nil }
func (w *watched) Close() error      { w.note("close"); return nil }

func (w *watched) SetReadDeadline(t time.Time) error {
	w.note("limit")
	w.until = t
	return nil
}

func (w *watched) Read(b []byte) (int, error) {
	w.note("read")
	n, err := w.comes.Read(b)
	w.took += n
	return n, err
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// Between the end of the sending half and the close all that still comes is read, until the other side ends, the time is over
// or enough has come.
func TestReadsBeforeTheClose(t *testing.T) {
	const most = 10000
	for name, c := range map[string]struct {
		comes io.Reader
		took  int
	}{
		"the other side ends":    {strings.NewReader(strings.Repeat("x", 3000)), 3000},
		"the time is over":       {io.MultiReader(strings.NewReader("xyz"), failing{os.ErrDeadlineExceeded}), 3},
		"the connection breaks":  {io.MultiReader(strings.NewReader("xyz"), failing{net.ErrClosed}), 3},
		"it sends without end":   {endless{}, most},
		"nothing comes any more": {strings.NewReader(""), 0},
	} {
		w := &watched{comes: c.comes}
		before := time.Now()
		Close(w, nil, time.Hour, most)
		if want := []string{"half", "limit", "read", "close"}; !slices.Equal(w.did, want) {
			t.Errorf("%s: %v, want %v", name, w.did, want)
		}
		if w.took != c.took {
			t.Errorf("%s: %d bytes were read, want %d", name, w.took, c.took)
		}
		if w.until.Before(before.Add(time.Hour)) || w.until.After(time.Now().Add(time.Hour)) {
			t.Errorf("%s: it may last until %v", name, w.until)
		}
	}
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// What a buffer holds of the connection counts as read from it.
func TestReadsThroughTheBuffer(t *testing.T) {
	w := &watched{comes: strings.NewReader(strings.Repeat("x", 3000))}
	r := bufio.NewReaderSize(w, 1000)
	_, _ = r.Peek(1)
	Close(w, r, time.Hour, 1000)
	if w.took != 1000 {
		t.Errorf("%d bytes were read of the connection, 1000 of them through its buffer", w.took)
	}
}

// A connection without halves is closed at once: nobody would be told to end his side.
func TestWithoutHalves(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	Close(here, nil, time.Hour, 1000)
	if _, err := there.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
}

// turned is a connection that tells of the first reading of it, and of its close.
type turned struct {
	*net.TCPConn
	once sync.Once
	turn chan struct{}
}

func (c *turned) Read(b []byte) (int, error) {
	c.once.Do(func() { close(c.turn) })
	return c.TCPConn.Read(b)
}

func (c *turned) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() { close(c.turn) })
	return err
}

// An answer that its reader has not taken in yet, as he is slow and it is larger than his buffer, arrives whole though bytes
// lie unread as the connection ends: a plain close over them throws away what the system has not sent.
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
	server := &turned{TCPConn: accepted.(*net.TCPConn), turn: make(chan struct{})}
	server.SetWriteBuffer(1 << 20)
	answer := bytes.Repeat([]byte("answer"), 40000)
	server.SetWriteDeadline(time.Now().Add(20 * time.Second))
	if _, err := server.Write(answer); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client, "more than anybody reads"); err != nil {
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
	<-server.turn // it lingers, or has closed
	_ = client.SetReadDeadline(time.Now().Add(20 * time.Second))
	got, err := io.ReadAll(client)
	if err != nil || !bytes.Equal(got, answer) {
		t.Fatalf("%d bytes of %d, %v", len(got), len(answer), err)
	}
	select {
	case <-closed:
		t.Error("closed before the client has ended its side")
	default:
	}
	_ = client.Close()
	<-closed
	if _, err := accepted.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}
