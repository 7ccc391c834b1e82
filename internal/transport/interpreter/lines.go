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

// writeWithTimeout writes b to a connection, within writeTimeout.
func writeWithTimeout(conn net.Conn, b []byte) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		return fmt.Errorf("failed to write to the interpreter: %w", err)
	}
	return nil
}

// writeLoop sends the queued commands in batches while the link is live. It returns when linkDone is closed or a write fails.
func (l *Link) writeLoop(conn net.Conn, linkDone <-chan struct{}) {
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
			if err := writeWithTimeout(conn, *b); err != nil {
				conn.Close() // readLoop then fails, and its error is reported
				return
			}
		}
	}
}

// readLoop reads and handles notices until the link fails. It never returns nil.
func (l *Link) readLoop(conn net.Conn) error {
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	var p fastjson.Parser
	var longLine []byte
	for {
		line, err := readLine(r, &longLine)
		if err != nil {
			return fmt.Errorf("failed to read a notice: %w", err)
		}
		l.mu.Lock()
		l.lastReceived, l.unansweredProbes = time.Now(), 0
		l.mu.Unlock()
		v, err := p.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("malformed notice: not JSON: %w", err)
		}
		if err := l.handleNotice(conn, v); err != nil {
			return err
		}
	}
}

// readLine returns the next line, which is valid until the next call. It uses longLine only for a line that exceeds the buffer. A line
// longer than maxLineBytes is an error.
func readLine(r *bufio.Reader, longLine *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	*longLine = (*longLine)[:0]
	for {
		*longLine = append(*longLine, line...)
		if len(*longLine) > maxLineBytes {
			return nil, errors.New("line exceeds the maximum length")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return *longLine, err
		}
		line, err = r.ReadSlice('\n')
	}
}
