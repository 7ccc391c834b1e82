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

// Direction is a direction of a connection.
type Direction int

// The directions of a connection.
const (
	ToListener Direction = iota // from the client to the listener
	ToClient                    // from the listener to the client
)

// Fault is the fault of one direction. The zero value forwards everything unchanged.
type Fault struct {
	Match        string        // only messages that contain this text are dropped, held, delayed, duplicated or reordered; empty: all
	Drop         bool          // messages are dropped silently
	Hold         bool          // messages wait until the direction's fault no longer holds them
	Delay        time.Duration // maximum delay; each message's is drawn uniformly from 0 up to it
	Duplicate    float64       // probability that a message is delivered twice
	Reorder      float64       // probability that a message is delivered after the next one
	CorruptAfter string        // a digit that follows this text in a message is replaced by another digit; empty: none
}

const maxMessageBytes = 4 << 20

// Proxy is a proxy in front of one listener.
type Proxy struct {
	ln       net.Listener
	messages bool

	mu      sync.Mutex
	target  string
	faults  [2]Fault
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
func Listen(target string, messages bool, seed uint64) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, target: target, messages: messages, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 17))}
	go p.accept()
	return p, nil
}

// Addr returns the address on which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget forwards new connections to another address, for example that of a restarted process.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetFault replaces the fault of a direction.
func (p *Proxy) SetFault(dir Direction, fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[dir] = fault
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut closes all connections and refuses new ones if cut is true, and accepts connections again if it is false.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		p.closeConns()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) closeConns() {
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeConns()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns the bytes of all calls received so far. It is empty for MessagePack-RPC.
func (p *Proxy) Calls() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// Replay sends the bytes of a call on a new connection, like a network that delivers a delayed duplicate, and returns the
// answer.
func (p *Proxy) Replay(call []byte) (string, error) {
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

func (p *Proxy) accept() {
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
			wg.Go(func() { p.forward(in, out, ToListener) })
			wg.Go(func() { p.forward(out, in, ToClient) })
			wg.Wait()
			in.Close()
			out.Close()
		}()
	}
}

// readNext reads the next whole message or, if connections carry calls, the bytes that are available.
func (p *Proxy) readNext(r *bufio.Reader, chunk []byte) ([]byte, error) {
	if p.messages {
		return msgpackrpc.ReadMessage(r, maxMessageBytes)
	}
	n, err := r.Read(chunk)
	return slices.Clone(chunk[:n]), err
}

// forward copies one direction of a connection with its faults applied, until the sender closes it or an error occurs.
func (p *Proxy) forward(from, to net.Conn, dir Direction) {
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
		if n == 0 && dir == ToListener && !p.messages {
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
func (p *Proxy) faultFor(dir Direction, m []byte) (drop, duplicate, reorder bool) {
	for {
		p.mu.Lock()
		fault, changed, closed := p.faults[dir], p.changed, p.closed
		delay := time.Duration(p.rng.Float64() * float64(fault.Delay))
		duplicate, reorder = p.rng.Float64() < fault.Duplicate, p.rng.Float64() < fault.Reorder
		p.mu.Unlock()
		if fault.Match != "" && !bytes.Contains(m, []byte(fault.Match)) {
			return false, false, false
		}
		if fault.Hold && !closed {
			<-changed
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		return fault.Drop, duplicate, reorder
	}
}

// corrupt replaces digits in m as the direction's fault says. The length of m stays the same.
func (p *Proxy) corrupt(dir Direction, m []byte) {
	p.mu.Lock()
	after := []byte(p.faults[dir].CorruptAfter)
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

func (p *Proxy) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = slices.Delete(p.conns, i, i+1)
	}
}
