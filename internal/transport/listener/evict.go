package listener

import (
	"slices"
	"time"

	"silverpath/internal/transport/linger"
)

// Eviction: a new connection over the budget waits until an idle one is closed. The victim is the first in the order of evictBefore among
// the connections that have been idle for at least minIdleBeforeEviction. With a reserve, the connection of a peer that makes far more
// cheap calls than its share is closed first. A connection with a request in flight or with unread bytes is not evicted as idle.
const (
	// minIdleBeforeEviction is how long a connection must have been idle. A balancer sends a request again if it crosses the close of its
	// connection within 50 ms; a request that was in transit for longer would be lost.
	minIdleBeforeEviction = 100 * time.Millisecond
	// capacityPollInterval is the interval at which awaitCapacity checks for a slot while none is released.
	capacityPollInterval = minIdleBeforeEviction / 2
	// Peers that the reserve evicts reconnect at once. A pause of evictPause after every evictionsPerPause evictions limits the CPU time
	// that this takes. A longer pause would delay new connections during a flood.
	evictPause        = time.Millisecond
	evictionsPerPause = 8
)

// idle reports whether the connection has been idle for at least minIdle: it has no request in flight, no message being handled, and is
// not closing. A partly received message does not count as a request. It is called with owner.mu held.
func (s *Slot) idle(minIdle time.Duration) bool {
	return s.inFlight == 0 && !s.handling && !s.closing && time.Since(s.lastActivity) >= minIdle
}

// evict closes a connection that has been idle for at least minIdle and has no unread bytes, and reports whether it did. If the peer has
// sent messages, only the sending half is closed at first, so that the last answers arrive; the peer then has lingerTimeout to close its
// half. Otherwise no answer is on its way, and the connection is closed at once. After evict, BeginMessage returns false, so that messages
// read later are not handled.
func (s *Slot) evict(minIdle time.Duration) bool {
	l := s.owner
	l.mu.Lock()
	evictable := s.idle(minIdle) && linger.Peek(s.conn) != linger.Unread
	s.closing = s.closing || evictable
	if evictable {
		s.lingerUntil = time.Now().Add(l.lingerTimeout)
	}
	hasSent, deadline, onEvict := s.messages > 0, s.lingerUntil, s.onEvict
	l.mu.Unlock()
	if !evictable {
		return false
	}
	if hasSent && onEvict != nil {
		onEvict()
	}
	if hasSent && linger.CloseWrite(s.conn) {
		s.conn.SetReadDeadline(deadline)
	} else {
		s.conn.Close()
	}
	return true
}

// Evicted reports whether the slot was evicted or its connection is in a lingering close.
func (s *Slot) Evicted() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.closing
}

// evictBefore reports whether an idle connection is evicted before another one. Connections without any message come first, since silent
// connections must not displace balancers. Next are those with one message, as of clients that never send another. Among equals, the one
// that has been idle longest comes first.
func (s *Slot) evictBefore(other *Slot) bool {
	if a, b := min(s.messages, 2), min(other.messages, 2); a != b {
		return a < b
	}
	return s.lastActivity.Before(other.lastActivity)
}

// awaitCapacity waits until the budget has a free slot, and evicts a connection if necessary. The backlog of a closing listener is
// accepted within the budget too, one connection after another. It may exceed the budget only if no connection can be evicted or
// acceptBacklogTimeout has passed since Close, because connections that are not accepted then would be lost.
func (l *Listener) awaitCapacity() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.maxConns || l.closed && (time.Since(l.closedAt) > l.acceptBacklogTimeout || !l.hasEvictable()) {
			l.mu.Unlock()
			return
		}
		if victim := l.reserveVictim(); victim != nil {
			l.mu.Unlock()
			l.evictVictim(victim)
		} else {
			atLimit := len(l.slots)-l.closingCount() >= l.maxConns // otherwise a slot becomes free when an evicted one is released
			l.mu.Unlock()
			if atLimit {
				l.evictOne()
			}
		}
		select {
		case <-l.released:
		case <-time.After(capacityPollInterval):
		}
	}
}

// reserveVictim returns the slot of the peer that exceeds its share of the reserve most, or nil if no peer exceeds it. It returns each slot
// at most once. It is called with l.mu held.
func (l *Listener) reserveVictim() *Slot {
	if l.reserve == nil {
		return nil
	}
	id, found := l.reserve.Evict(time.Since(l.startedAt))
	if !found {
		return nil
	}
	victim := l.slotByID[id]
	delete(l.slotByID, id)
	return victim
}

// evictVictim closes the connection of a slot that reserveVictim returned, even while it handles calls.
func (l *Listener) evictVictim(victim *Slot) {
	l.stats.Inc("evicted", l.name)
	victim.conn.Close()
	close(victim.evicted)
	if l.reserveEvictions++; l.reserveEvictions%evictionsPerPause == 0 {
		time.Sleep(evictPause)
	}
}

// closingCount returns the number of connections that are closing. It is called with l.mu held.
func (l *Listener) closingCount() (n int) {
	for s := range l.slots {
		if s.closing {
			n++
		}
	}
	return n
}

// hasEvictable reports whether any connection is closing, or has no request in flight and no message being handled, so that it can become
// idle. It is called with l.mu held.
func (l *Listener) hasEvictable() bool {
	for s := range l.slots {
		if s.closing || s.inFlight == 0 && !s.handling {
			return true
		}
	}
	return false
}

// evictOne evicts the first idle connection in the order of evictBefore, if there is one.
func (l *Listener) evictOne() {
	l.mu.Lock()
	var idle []*Slot
	for s := range l.slots {
		if s.idle(minIdleBeforeEviction) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.evictIdle(idle, 1)
}

// evictIdle evicts up to count of the given connections, in the order of evictBefore. It skips those that are no longer idle or have unread
// bytes.
func (l *Listener) evictIdle(idle []*Slot, count int) {
	l.mu.Lock() // evictBefore reads fields that l.mu guards
	slices.SortFunc(idle, func(a, b *Slot) int {
		switch {
		case a.evictBefore(b):
			return -1
		case b.evictBefore(a):
			return 1
		}
		return 0
	})
	l.mu.Unlock()
	for _, s := range idle {
		if count <= 0 {
			return
		}
		if s.evict(minIdleBeforeEviction) {
			count--
			l.stats.Inc("evicted", l.name)
		}
	}
}

// SetMaxConnections changes the budget, and evicts idle connections over it at once. It is called when another process of the service takes
// half of the limits, and again when it returns them.
func (l *Listener) SetMaxConnections(maxConns int) {
	l.mu.Lock()
	l.maxConns = max(1, maxConns)
	excess := len(l.slots) - l.closingCount() - l.maxConns
	var idle []*Slot
	for s := range l.slots {
		if s.idle(minIdleBeforeEviction) {
			idle = append(idle, s)
		}
	}
	l.mu.Unlock()
	l.evictIdle(idle, excess)
}
