// Package fence stands where an act takes effect: whoever takes orders for the fleet knows the highest epoch and step that
// it has seen of each duty, and refuses a lower one by name. Book decides; File keeps a book over a restart.
package fence

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"silverpath/internal/policy/lease"
	"silverpath/internal/storage/atomicfile"
)

// Order names an order: the duty, the epoch of its owner, the step of its intent, and what is to be done.
type Order struct {
	Duty  string      `json:"duty"`
	Epoch lease.Epoch `json:"epoch"`
	Step  uint64      `json:"step"`
	Act   string      `json:"act"`
}

// What an order is refused for.
var (
	ErrStale   = errors.New("stale epoch")
	ErrStep    = errors.New("stale step")
	ErrUnknown = errors.New("no epoch is known yet")
)

// Book has the latest order of each duty.
type Book struct {
	seen  map[string]Order
	blank bool // nothing is known of what was seen before
}

// NewBook returns the book of one that has seen those orders. Blank says that it may have seen others: then it takes none
// of a duty before it was told the duty's epoch.
func NewBook(seen map[string]Order, blank bool) *Book {
	b := &Book{seen: map[string]Order{}, blank: blank}
	for k, o := range seen {
		b.seen[k] = o
	}
	return b
}

// Knows reports whether an order of a duty can be judged.
func (b *Book) Knows(duty string) bool { _, ok := b.seen[duty]; return ok || !b.blank }

// Learn takes the epoch and the step that a duty's journal has by the group. The order of that step may still be to come;
// those before it are over, whatever was done of them.
func (b *Book) Learn(duty string, e lease.Epoch, step uint64) {
	if o, ok := b.seen[duty]; !ok || o.Epoch < e {
		b.seen[duty] = Order{Duty: duty, Epoch: e, Step: max(step, 1) - 1}
	}
}

// Judge says what becomes of an order: it is new and is to be noted before it is done, it was done before, or it is
// refused.
func (b *Book) Judge(o Order) (fresh bool, err error) {
	if !b.Knows(o.Duty) {
		return false, fmt.Errorf("%w of %s", ErrUnknown, o.Duty)
	}
	last, ok := b.seen[o.Duty]
	switch {
	case !ok, o.Epoch > last.Epoch, o.Epoch == last.Epoch && o.Step > last.Step:
		return true, nil
	case o.Epoch < last.Epoch:
		return false, fmt.Errorf("%w %v of %s: %v was seen", ErrStale, o.Epoch, o.Duty, last.Epoch)
	case o.Step < last.Step || o.Act != last.Act:
		return false, fmt.Errorf("%w %d of %s in epoch %v: %d was seen", ErrStep, o.Step, o.Duty, o.Epoch, last.Step)
	}
	return false, nil
}

// Note notes an order that is about to be done.
func (b *Book) Note(o Order) { b.seen[o.Duty] = o }

// Seen is the latest order of each duty.
func (b *Book) Seen() map[string]Order { return b.seen }

// File is a book that lasts.
type File struct {
	*Book
	path string
}

type stored struct {
	Service string           `json:"service"`
	Seen    map[string]Order `json:"seen"`
}

// Open reads the book of a service. One that is not there is blank; one that can't be trusted is an error that names it,
// and nothing is written over it.
func Open(path, service string) (*File, error) {
	f := &File{path: path}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		f.Book = NewBook(nil, true)
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	s, err := parse(path, data)
	if err != nil {
		return nil, err
	}
	if s.Service != service {
		return nil, fmt.Errorf("%s: of another service, %q: set it aside", path, s.Service)
	}
	f.Book = NewBook(s.Seen, true) // of a duty that it never heard of it asks too
	return f, nil
}

func parse(path string, data []byte) (s stored, err error) {
	if len(data) < 9 || string(data[:8]) != fmt.Sprintf("%08x", crc32.ChecksumIEEE(data[9:])) {
		return s, fmt.Errorf("%s: torn, or not a file of orders: set it aside", path)
	}
	if err := json.Unmarshal(data[9:], &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Look reads a book without taking it up: whose it is, and the latest order of each duty.
func Look(path string) (service string, seen map[string]Order, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, err
	}
	s, err := parse(path, data)
	return s.Service, s.Seen, err
}

// Keep notes an order and returns once that lasts. Where it fails the order is not noted, and not to be done.
func (f *File) Keep(o Order, service string) error {
	next := NewBook(f.seen, f.blank)
	next.Note(o)
	body, err := json.Marshal(stored{service, next.seen})
	if err != nil {
		return err
	}
	if err := atomicfile.Put(f.path, append(fmt.Appendf(nil, "%08x\n", crc32.ChecksumIEEE(body)), body...), os.Rename); err != nil {
		return fmt.Errorf("noting an order: %w", err)
	}
	f.Book = next
	return nil
}
