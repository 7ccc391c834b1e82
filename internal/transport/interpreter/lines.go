package interpreter

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/transport/bufferpool"
)

// write writes lines to a link.
func write(conn net.Conn, b []byte) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// write writes the queued commands once the link is live, several at a time, until linkDone.
func (l *Link) write(conn net.Conn, linkDone <-chan struct{}) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	for {
		select {
		case <-linkDone:
			return
		case <-l.wake:
		}
		for {
			l.mu.Lock()
			n := 0
			*b = (*b)[:0]
			for l.live && n < len(l.queue) && (n == 0 || len(*b)+len(l.queue[n].line) <= bufferpool.Size) {
				*b = append(*b, l.queue[n].line...)
				l.live = !l.queue[n].lastOnLink
				n++
			}
			l.queue = l.queue[n:]
			l.mu.Unlock()
			if n == 0 {
				break
			}
			if err := write(conn, *b); err != nil {
				conn.Close() // the reader reports it
				return
			}
		}
	}
}

// read reads notices until the link fails.
func (l *Link) read(conn net.Conn) error {
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	var p fastjson.Parser
	var long []byte
	for {
		line, err := readLine(r, &long)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		l.mu.Lock()
		l.lastReceived, l.unansweredProbes = time.Now(), 0
		l.mu.Unlock()
		v, err := p.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("a notice that is not JSON: %w", err)
		}
		if err := l.handleNotice(conn, v); err != nil {
			return err
		}
	}
}

// readLine returns a line, valid until the next call. It grows beyond the reader's buffer only for long ones.
func readLine(r *bufio.Reader, long *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	*long = (*long)[:0]
	for {
		*long = append(*long, line...)
		if len(*long) > maxLineBytes {
			return nil, errors.New("a line without end")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return *long, err
		}
		line, err = r.ReadSlice('\n')
	}
}
