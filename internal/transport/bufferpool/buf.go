// Package bufferpool is the pool of buffers that all connections read into and write from. They have one size.
package bufferpool

import (
	"bufio"
	"io"
	"sync"
)

// Size is the size of every buffer: the largest message of the platform with room to spare.
const Size = 8 << 10

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, Size); return &b }}
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, Size) }}
)

// Get returns an empty buffer of the capacity Size.
func Get() *[]byte { return buffers.Get().(*[]byte) }

// Put gives a buffer back. One that outgrew its size is left to the collector, so that the pool keeps one size.
func Put(b *[]byte) {
	if cap(*b) != Size {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// GetReader returns a pooled reader of r.
func GetReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// PutReader gives a reader back.
func PutReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}
