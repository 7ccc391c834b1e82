package benchmarks

import (
	"sync"

	"silverpath/internal/core"
)

// Couple joins two processes of a service in memory, in place of their socket: what one has to send the other is told, in
// order.
type Couple struct {
	cores [2]*core.Core
	links [2]int
	mu    [2]sync.Mutex
	bells [2]chan struct{}
	over  chan struct{}
}

// NewCouple returns a link whose ends are still free.
func NewCouple() *Couple {
	w := &Couple{over: make(chan struct{})}
	for i := range w.bells {
		w.bells[i] = make(chan struct{}, 1)
	}
	return w
}

// End is what a core needs of its end.
func (w *Couple) End(i int) *core.PairConfig {
	return &core.PairConfig{
		Flush: func(link int) error { return w.flush(i, link) }, MarkUnnotified: func() error { return nil }, Shared: func(bool) {},
		Wake: func() {
			select {
			case w.bells[i] <- struct{}{}:
			default:
			}
		},
	}
}

func (w *Couple) flush(i, link int) error {
	w.mu[i].Lock()
	defer w.mu[i].Unlock()
	out, err := w.cores[i].PairOut(link)
	for _, m := range out {
		if _, _, err := w.cores[1-i].PairMessage(m); err != nil {
			return err
		}
	}
	return err
}

// Join gives two cores their places, of which one has been there first, and links them until Close.
func (w *Couple) Join(a, b *core.Core, first int) {
	w.cores = [2]*core.Core{a, b}
	for n, i := range []int{first, 1 - first} {
		w.cores[i].PairPlaced(int64(n+1), n)
		if n == 0 {
			w.cores[i].PairAlone(func(int64) bool { return false })
		} else {
			w.cores[i].PairOther()
		}
	}
	for i, c := range w.cores {
		w.links[i] = c.PairLinked()
	}
	for i := range w.cores {
		go func() {
			for {
				select {
				case <-w.bells[i]:
					_ = w.flush(i, w.links[i])
				case <-w.over:
					return
				}
			}
		}()
	}
}

// Close ends the link.
func (w *Couple) Close() { close(w.over) }
