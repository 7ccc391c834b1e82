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
	Held  bool          // messages wait until the direction's fault no longer holds them
	Delay time.Duration // maximum delay; each message's is drawn uniformly from 0 up to it
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
	p := &Between{ln: ln, target: target, messages: messages, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 17))}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Between) Addr() string { return p.ln.Addr().String() }

// To forwards new connections to another address, for example that of a restarted process.
func (p *Between) To(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Set replaces the fault of a direction.
func (p *Between) Set(dir Way, fault Fate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[dir] = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut closes all connections and refuses new ones if cut is true, and accepts connections again if it is false.
func (p *Between) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		p.closeConns()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Between) closeConns() {
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// Close closes the listener and all connections.
func (p *Between) Close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeConns()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the bytes of all calls received so far. It is empty for MessagePack-RPC.
func (p *Between) Calls() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// Again sends the bytes of a call on a new connection, like a network that delivers a delayed duplicate, and returns the
// answer.
func (p *Between) Again(call []byte) (string, error) {
	p.mu.Lock()
	to := p.target
	p.mu.Unlock()
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

func (p *Between) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		target, cut := p.target, p.cut || p.closed
		p.mu.Unlock()
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
			p.mu.Lock()
			if p.cut || p.closed {
				p.mu.Unlock()
				in.Close()
				out.Close()
				return
			}
			p.conns = append(p.conns, in, out)
			p.mu.Unlock()
			var wg sync.WaitGroup
			wg.Go(func() { p.forward(in, out, There) })
			wg.Go(func() { p.forward(out, in, Back) })
			wg.Wait()
			in.Close()
			out.Close()
		}()
	}
}

// readNext reads the next whole message or, if connections carry calls, the bytes that are available.
func (p *Between) readNext(r *bufio.Reader, chunk []byte) ([]byte, error) {
	if p.messages {
		return msgpackrpc.ReadMessage(r, maxMessageBytes)
	}
	n, err := r.Read(chunk)
	return slices.Clone(chunk[:n]), err
}

// forward copies one direction of a connection with its faults applied, until the sender closes it or an error occurs.
func (p *Between) forward(from, to net.Conn, dir Way) {
	defer func() {
		if tcp, ok := to.(*net.TCPConn); ok {
			tcp.CloseWrite()
		}
		p.removeConn(from)
	}()
	r := bufio.NewReader(from)
	chunk := make([]byte, 4<<10)
	var delayed []byte // a message that is to be delivered after the next one
	for n := 0; ; n++ {
		m, err := p.readNext(r, chunk)
		if len(m) == 0 && err != nil {
			if delayed != nil {
				_, _ = to.Write(delayed)
			}
			return
		}
		if n == 0 && dir == There && !p.messages {
			p.mu.Lock()
			p.calls = append(p.calls, m)
			p.mu.Unlock()
		}
		drop, duplicate, reorder := p.faultFor(dir, m)
		p.corrupt(dir, m)
		switch {
		case drop:
			continue
		case reorder && delayed == nil && p.messages:
			delayed = m
			continue
		}
		if err := deliver(to, m, duplicate && p.messages, delayed); err != nil {
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
func (p *Between) faultFor(dir Way, m []byte) (drop, duplicate, reorder bool) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.faults[dir], p.changed, p.closed
		delay := time.Duration(p.rng.Float64() * float64(fault.Delay))
		duplicate, reorder = p.rng.Float64() < fault.Twice, p.rng.Float64() < fault.Swap
		p.mu.Unlock()
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

// corrupt replaces digits in m as the direction's fault says. The length of m stays the same.
func (p *Between) corrupt(dir Way, m []byte) {
	p.mu.Lock()
	after := []byte(p.faults[dir].Spoil)
	p.mu.Unlock()
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

func (p *Between) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}
