// Package bufferpool pools the buffers that all connections read into and write from. All buffers have the same size, so that one pool
// serves all fronts and memory use does not depend on which front is busy.
package bufferpool

import (
	"bufio"
	"io"
	"sync"
)

// Size is the capacity of every buffer in bytes. It holds the platform's largest request, a 2 KiB body and its fields, several times.
const Size = 8 << 10

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, Size); return &b }}
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, Size) }}
)

// Get returns an empty buffer with capacity Size. The caller returns it with Put once nothing refers to its bytes.
func Get() *[]byte { return buffers.Get().(*[]byte) }

// Put returns a buffer to the pool. A buffer that outgrew Size is left to the garbage collector.
func Put(b *[]byte) {
	if cap(*b) != Size {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// GetReader returns a pooled reader that reads from r. The caller returns it with PutReader.
func GetReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// PutReader returns a reader to the pool. It discards the reader's buffered bytes.
func PutReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}
