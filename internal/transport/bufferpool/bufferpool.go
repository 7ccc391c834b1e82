// Package bufferpool pools the buffers that all connections read into and write from. They have one size, so that one pool serves
// all fronts, and memory does not depend on which of them is busy.
package bufferpool

import (
	"bufio"
	"io"
	"sync"
)

// Size is the bytes of every buffer: the platform's largest request, of a 2 KiB body and its fields, several times over.
const Size = 8 << 10

var (
	buffers = sync.Pool{New: func() any { b := make([]byte, 0, Size); return &b }}
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, Size) }}
)

// Get returns an empty buffer of the capacity Size. Its user gives it back by Put, once nothing refers to its bytes any more.
func Get() *[]byte { return buffers.Get().(*[]byte) }

// Put gives a buffer back. One that outgrew Size is left to the garbage collector.
func Put(b *[]byte) {
	if cap(*b) != Size {
		return
	}
	*b = (*b)[:0]
	buffers.Put(b)
}

// GetReader returns a pooled reader of r, to be given back by PutReader.
func GetReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// PutReader gives a reader back. What it has buffered is lost.
func PutReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}
