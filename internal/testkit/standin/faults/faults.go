// Package faults is a TCP proxy that injects network faults between processes in tests and in the lab. It can close
// connections, and in each direction drop, hold, delay or corrupt data. In MessagePack-RPC traffic it can also reorder and
// duplicate whole messages. Random choices come from a seeded generator.
package faults

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"silverpath/internal/transport/msgpackrpc"
)

// Way is a direction of a connection.
type Way int

// The directions of a connection.
const (
	There Way = iota // from the client to the listener
	Back             // from the listener to the client
)

// Fate is the fault of one direction. The zero value forwards everything unchanged.
type Fate struct {
	Of    string        // only messages that contain this text are dropped, held, delayed, duplicated or reordered; empty: all
	Lost  bool          // messages are dropped silently
	Held  bool          // messages wait until Held is cleared
	Delay time.Duration // maximum delay; each message's is drawn uniformly from 0 to Delay
	Twice float64       // probability that a message is delivered twice
	Swap  float64       // probability that a message is delivered after the next one
	Spoil string        // a digit that follows this text in a message is replaced by another digit; empty: none
}

const maxMessageBytes = 4 << 20

// Between is a proxy in front of one listener.
type Between struct {
	ln       net.Listener
	messages bool

	mu      sync.Mutex
	target  string
	faults  [2]Fate
	cut     bool
	changed chan struct{} // closed and replaced on every change of faults, cut or closed
	conns   []net.Conn
	rng     *rand.Rand
	calls   [][]byte // the first chunk of each connection, if it carries a call
	closed  bool
}

// Listen starts a proxy in front of the address target. If messages is set, connections carry MessagePack-RPC and faults
// apply to whole messages; else each connection carries one call, and faults apply to chunks as they are read. It returns
// an error if it can't listen.
func Listen(target string, messages bool, seed uint64) (*Between, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Between{ln: ln, target: target, messages: messages, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 17))}
	go b.accept()
	return b, nil
}

// Addr returns the address on which the proxy listens.
func (b *Between) Addr() string { return b.ln.Addr().String() }

// To forwards new connections to another address, for example that of a restarted process.
func (b *Between) To(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.target = target
}

// Set replaces the fault of a direction.
func (b *Between) Set(dir Way, fault Fate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[dir] = fault
	close(b.changed)
	b.changed = make(chan struct{})
}

// Cut closes all connections and refuses new ones if cut is true, and accepts connections again if it is false.
func (b *Between) Cut(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	if cut {
		b.closeConns()
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Between) closeConns() {
	for _, c := range b.conns {
		c.Close()
	}
	b.conns = nil
}

// Close closes the listener and all connections.
func (b *Between) Close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.closeConns()
	close(b.changed)
	b.changed = make(chan struct{})
}

// Calls returns the bytes of all calls received so far. It is empty for MessagePack-RPC.
func (b *Between) Calls() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.calls)
}

// Again sends the bytes of a call on a new connection, like a network that delivers a delayed duplicate, and returns the
// answer.
func (b *Between) Again(call []byte) (string, error) {
	b.mu.Lock()
	to := b.target
	b.mu.Unlock()
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Write(call); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

func (b *Between) accept() {
	for {
		in, err := b.ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		target, cut := b.target, b.cut || b.closed
		b.mu.Unlock()
		if cut {
			in.Close()
			continue
		}
		go func() {
			out, err := net.DialTimeout("tcp", target, time.Second)
			if err != nil {
				in.Close()
				return
			}
			b.mu.Lock()
			if b.cut || b.closed {
				b.mu.Unlock()
				in.Close()
				out.Close()
				return
			}
			b.conns = append(b.conns, in, out)
			b.mu.Unlock()
			var wg sync.WaitGroup
			wg.Go(func() { b.forward(in, out, There) })
			wg.Go(func() { b.forward(out, in, Back) })
			wg.Wait()
			in.Close()
			out.Close()
		}()
	}
}

// readNext reads the next whole message or, if connections carry calls, the bytes that are available.
func (b *Between) readNext(r *bufio.Reader, chunk []byte) ([]byte, error) {
	if b.messages {
		return msgpackrpc.ReadMessage(r, maxMessageBytes)
	}
	n, err := r.Read(chunk)
	return slices.Clone(chunk[:n]), err
}

// forward copies one direction of a connection with its faults applied, until the sender closes it or an error occurs.
func (b *Between) forward(from, to net.Conn, dir Way) {
	defer func() {
		if tcp, ok := to.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		b.removeConn(from)
	}()
	r := bufio.NewReader(from)
	chunk := make([]byte, 4<<10)
	var delayed []byte // a message that is to be delivered after the next one
	for n := 0; ; n++ {
		m, err := b.readNext(r, chunk)
		if len(m) == 0 && err != nil {
			if delayed != nil {
				_, _ = to.Write(delayed)
			}
			return
		}
		if n == 0 && dir == There && !b.messages {
			b.mu.Lock()
			b.calls = append(b.calls, m)
			b.mu.Unlock()
		}
		drop, duplicate, reorder := b.faultFor(dir, m)
		b.corrupt(dir, m)
		switch {
		case drop:
			continue
		case reorder && delayed == nil && b.messages:
			delayed = m
			continue
		}
		if err := deliver(to, m, duplicate && b.messages, delayed); err != nil {
			from.Close()
			return
		}
		delayed = nil
	}
}

// deliver writes m, twice if duplicate is set, and then the delayed message if there is one.
func deliver(to net.Conn, m []byte, duplicate bool, delayed []byte) error {
	if _, err := to.Write(m); err != nil {
		return err
	}
	if duplicate {
		_, _ = to.Write(m) // an error shows again at the next message
	}
	if delayed != nil {
		_, _ = to.Write(delayed)
	}
	return nil
}

// faultFor blocks while m is held or delayed, and draws which of the direction's faults apply to it.
func (b *Between) faultFor(dir Way, m []byte) (drop, duplicate, reorder bool) {
	for {
		b.mu.Lock()
		fault, changed, closed := b.faults[dir], b.changed, b.closed
		delay := time.Duration(b.rng.Float64() * float64(fault.Delay))
		duplicate, reorder = b.rng.Float64() < fault.Twice, b.rng.Float64() < fault.Swap
		b.mu.Unlock()
		if fault.Of != "" && !bytes.Contains(m, []byte(fault.Of)) {
			return false, false, false
		}
		if fault.Held && !closed {
			<-changed
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		return fault.Lost, duplicate, reorder
	}
}

// corrupt replaces digits in m as the direction's Spoil says. The length of m stays the same.
func (b *Between) corrupt(dir Way, m []byte) {
	b.mu.Lock()
	after := []byte(b.faults[dir].Spoil)
	b.mu.Unlock()
	if len(after) == 0 {
		return
	}
	for rest := m; ; {
		i := bytes.Index(rest, after)
		if i < 0 {
			return
		}
		if rest = rest[i+len(after):]; len(rest) > 0 && '0' <= rest[0] && rest[0] <= '9' {
			rest[0] = '1' + (rest[0]-'0')%9
		}
	}
}

func (b *Between) removeConn(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.conns, c); i >= 0 {
		b.conns = slices.Delete(b.conns, i, i+1)
	}
}
