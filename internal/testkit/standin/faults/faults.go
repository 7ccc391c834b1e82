// Package faults is what stands between processes in tests and in the lab: connections through it can be cut, in both
// directions or one, held and let go later, delayed, and, by whole message, reordered and given twice, by a seeded chance.
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

// Way is a direction.
type Way int

// The directions of a connection.
const (
	There Way = iota // from who connects to who listens
	Back
)

// Fate is what becomes of what is said in a direction. The zero value passes it on.
type Fate struct {
	Of    string        // only of messages that have this text in them; empty: of all
	Lost  bool          // it goes nowhere, and nobody is told
	Held  bool          // it waits until it is no longer held
	Delay time.Duration // at most; drawn for each message
	Twice float64       // chance of a message to be given twice
	Swap  float64       // chance of a message to come after the next one
	Spoil string        // in messages that have this text a digit that comes after it is another one; empty: in none
}

// longest is the longest message, in bytes.
const longest = 4 << 20

// Between stands before one listener.
type Between struct {
	ln    net.Listener
	words bool

	mu    sync.Mutex
	to    string
	fate  [2]Fate
	cut   bool
	freed chan struct{} // closed and made anew with every change
	conns []net.Conn
	rng   *rand.Rand
	first [][]byte // what each connection said first, in calls
	over  bool
}

// Listen stands before an address. Words says that MessagePack-RPC is spoken, so that whole messages are known; else a
// connection carries one call.
func Listen(to string, words bool, seed uint64) (*Between, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Between{ln: ln, to: to, words: words, freed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 17))}
	go b.accept()
	return b, nil
}

// Addr is where it listens.
func (b *Between) Addr() string { return b.ln.Addr().String() }

// To has new connections go to another address, as that of a process started anew.
func (b *Between) To(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.to = addr
}

// Set sets what becomes of a direction from now on.
func (b *Between) Set(w Way, f Fate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fate[w] = f
	close(b.freed)
	b.freed = make(chan struct{})
}

// Cut ends all connections and takes no new one, or, with false, takes them again.
func (b *Between) Cut(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	if cut {
		b.drop()
	}
	close(b.freed)
	b.freed = make(chan struct{})
}

func (b *Between) drop() {
	for _, c := range b.conns {
		c.Close()
	}
	b.conns = nil
}

// Close ends it.
func (b *Between) Close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.over = true
	b.drop()
	close(b.freed)
	b.freed = make(chan struct{})
}

// Calls is what was called so far, as it stood on the wire.
func (b *Between) Calls() [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.first)
}

// Again makes a call once more on a connection of its own, as a network does that held a copy, and returns the answer.
func (b *Between) Again(call []byte) (string, error) {
	b.mu.Lock()
	to := b.to
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
		to, cut := b.to, b.cut || b.over
		b.mu.Unlock()
		if cut {
			in.Close()
			continue
		}
		go func() {
			out, err := net.DialTimeout("tcp", to, time.Second)
			if err != nil {
				in.Close()
				return
			}
			b.mu.Lock()
			if b.cut || b.over {
				b.mu.Unlock()
				in.Close()
				out.Close()
				return
			}
			b.conns = append(b.conns, in, out)
			b.mu.Unlock()
			var both sync.WaitGroup
			both.Go(func() { b.carry(in, out, There) })
			both.Go(func() { b.carry(out, in, Back) })
			both.Wait()
			in.Close()
			out.Close()
		}()
	}
}

// next reads what is carried as one: a message, or, of calls, what there is.
func (b *Between) next(r *bufio.Reader, chunk []byte) ([]byte, error) {
	if b.words {
		return msgpackrpc.ReadMessage(r, longest)
	}
	n, err := r.Read(chunk)
	return slices.Clone(chunk[:n]), err
}

// carry passes on what comes one way, message by message where it carries messages, until its end.
func (b *Between) carry(from, to net.Conn, w Way) {
	defer func() {
		if half, ok := to.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		b.forget(from)
	}()
	r := bufio.NewReader(from)
	chunk := make([]byte, 4<<10)
	var overtaken []byte // a message that the next one passes
	for n := 0; ; n++ {
		m, err := b.next(r, chunk)
		if len(m) == 0 && err != nil {
			if overtaken != nil {
				_, _ = to.Write(overtaken)
			}
			return
		}
		if n == 0 && w == There && !b.words {
			b.mu.Lock()
			b.first = append(b.first, m)
			b.mu.Unlock()
		}
		lost, twice, swap := b.fateOf(w, m)
		b.spoil(w, m)
		switch {
		case lost:
			continue
		case swap && overtaken == nil && b.words:
			overtaken = m
			continue
		}
		if err := deliver(to, m, twice && b.words, overtaken); err != nil {
			from.Close()
			return
		}
		overtaken = nil
	}
}

// deliver writes a message, a second time where it is to come twice, and then the one that it has passed; nil: none.
func deliver(to net.Conn, m []byte, twice bool, overtaken []byte) error {
	if _, err := to.Write(m); err != nil {
		return err
	}
	if twice {
		_, _ = to.Write(m) // a connection that ends here shows at the next message
	}
	if overtaken != nil {
		_, _ = to.Write(overtaken)
	}
	return nil
}

// fateOf waits as long as what is said is held, or delayed, and draws what becomes of it.
func (b *Between) fateOf(w Way, m []byte) (lost, twice, swap bool) {
	for {
		b.mu.Lock()
		f, freed, over := b.fate[w], b.freed, b.over
		delay := time.Duration(b.rng.Float64() * float64(f.Delay))
		twice, swap = b.rng.Float64() < f.Twice, b.rng.Float64() < f.Swap
		b.mu.Unlock()
		if f.Of != "" && !bytes.Contains(m, []byte(f.Of)) {
			return false, false, false
		}
		if f.Held && !over {
			<-freed
			continue
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		return f.Lost, twice, swap
	}
}

// spoil damages a message, whose length stays.
func (b *Between) spoil(w Way, m []byte) {
	b.mu.Lock()
	after := []byte(b.fate[w].Spoil)
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

func (b *Between) forget(c net.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.conns, c); i >= 0 {
		b.conns = slices.Delete(b.conns, i, i+1)
	}
}
