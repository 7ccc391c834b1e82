package benchmarks

import (
	"sync"

	"silverpath/internal/core"
)

// PairLink connects the two processes of a hot restart in memory, in place of their socket. It delivers their messages to
// each other in order.
type PairLink struct {
	cores  [2]*core.Core
	links  [2]int
	mu     [2]sync.Mutex
	wake   [2]chan struct{}
	closed chan struct{}
}

// NewPairLink returns a link that Join has yet to connect to two cores.
func NewPairLink() *PairLink {
	l := &PairLink{closed: make(chan struct{})}
	for i := range l.wake {
		l.wake[i] = make(chan struct{}, 1)
	}
	return l
}

// End returns the configuration of the core at end i, which is 0 or 1.
func (l *PairLink) End(i int) *core.PairConfig {
	return &core.PairConfig{
		Flush: func(link int) error { return l.flush(i, link) }, MarkUnnotified: func() error { return nil }, Shared: func(bool) {},
		Wake: func() {
			select {
			case l.wake[i] <- struct{}{}:
			default:
			}
		},
	}
}

func (l *PairLink) flush(i, link int) error {
	l.mu[i].Lock()
	defer l.mu[i].Unlock()
	out, err := l.cores[i].PairTakeOutbox(link)
	for _, m := range out {
		if _, _, err := l.cores[1-i].PairMessage(m); err != nil {
			return err
		}
	}
	return err
}

// Join assigns the two cores their slots and links them until Close. The core with index first starts alone, and the other
// one finds it in place.
func (l *PairLink) Join(a, b *core.Core, first int) {
	l.cores = [2]*core.Core{a, b}
	for n, i := range []int{first, 1 - first} {
		l.cores[i].PairSlotTaken(int64(n+1), n)
		if n == 0 {
			l.cores[i].PairPeerAbsent(func(int64) bool { return false })
		} else {
			l.cores[i].PairPeerPresent()
		}
	}
	for i, c := range l.cores {
		l.links[i] = c.PairLinkUp()
	}
	for i := range l.cores {
		go func() {
			for {
				select {
				case <-l.wake[i]:
					_ = l.flush(i, l.links[i])
				case <-l.closed:
					return
				}
			}
		}()
	}
}

// Close stops the delivery of messages.
func (l *PairLink) Close() { close(l.closed) }
