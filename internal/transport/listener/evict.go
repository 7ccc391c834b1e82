package listener

import (
	"slices"
	"time"

	"silverpath/internal/transport/linger"
)

// Eviction. A new connection over the budget waits until an idle one is closed for it: of those that have idled for at least
// minIdleBeforeEviction the peer that is missed least, see evictBefore. Where a reserve is set up, a peer that makes far more cheap
// calls than its part is closed first. A connection with a request in flight, or with bytes that nobody has read yet, stays.
const (
	// minIdleBeforeEviction is how long a connection must have idled. Balancers send a request again that crosses the close of its
	// connection within 50 ms; one that was under way for longer would be lost.
	minIdleBeforeEviction = 100 * time.Millisecond
	// capacityPollInterval is between two looks for a slot while none is released.
	capacityPollInterval = minIdleBeforeEviction / 2
	// A peer that the reserve evicts comes back at once: evictPause follows every evictionsPerPause of them, so that their coming and
	// going does not take the process's time. Found by trial; a longer pause holds up new connections under a flood.
	evictPause        = time.Millisecond
	evictionsPerPause = 8
)

// idle reports whether nobody would lose anything by the connection's close, for at least minIdle. Half a message is no request. It is
// called under the owner's lock.
func (s *Slot) idle(minIdle time.Duration) bool {
	return s.inFlight == 0 && !s.handling && !s.closing && time.Since(s.lastActivity) >= minIdle
}

// evict closes an idle connection, unless something has come on it that was not read yet; it reports whether it did. A peer that never
// sent anything has no answer on its way. Of others the sending half is closed first, so that their last answers arrive, and they
// have lingerTimeout to close theirs. What is read from now on is not handled: BeginMessage says no.
func (s *Slot) evict(minIdle time.Duration) bool {
	l := s.owner
	l.mu.Lock()
	ok := s.idle(minIdle) && linger.Peek(s.conn) != linger.Unread
	s.closing = s.closing || ok
	if ok {
		s.lingerUntil = time.Now().Add(l.lingerTimeout)
	}
	spoke, deadline, onEvict := s.messages > 0, s.lingerUntil, s.onEvict
	l.mu.Unlock()
	if !ok {
		return false
	}
	if spoke && onEvict != nil {
		onEvict()
	}
	if spoke && linger.CloseWrite(s.conn) {
		s.conn.SetReadDeadline(deadline)
	} else {
		s.conn.Close()
	}
	return true
}

// Evicted reports whether the slot was evicted, or its connection lingers.
func (s *Slot) Evicted() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	return s.closing
}

// evictBefore reports whether an idle connection is evicted before another one: who has sent nothing goes first, since connections
// that say nothing must not push out balancers; then who has sent one message, as clients do that never come back; then who has
// idled longest.
func (s *Slot) evictBefore(other *Slot) bool {
	if a, b := min(s.messages, 2), min(other.messages, 2); a != b {
		return a < b
	}
	return s.lastActivity.Before(other.lastActivity)
}

// awaitCapacity waits until the budget has a slot. Connections that wait as the listener closes are accepted within the budget too,
// a crowd by and by, and beyond it only where no connection can be evicted or the last second is over: nobody would come back to
// accept them.
func (l *Listener) awaitCapacity() {
	for {
		l.mu.Lock()
		if len(l.slots) < l.maxConns || l.closed && (time.Since(l.closedAt) > l.acceptBacklogFor || !l.hasEvictable()) {
			l.mu.Unlock()
			return
		}
		if victim := l.reserveVictim(); victim != nil {
			l.mu.Unlock()
			l.evictVictim(victim)
		} else {
			atLimit := len(l.slots)-l.closingCount() >= l.maxConns // else there is a slot as soon as an evicted one is released
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

// reserveVictim chooses the slot of the peer that is furthest beyond its part of the reserve, once; nil: none is. It is called under
// the lock.
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

// evictVictim closes a slot that the reserve has chosen, also in the middle of its calls.
func (l *Listener) evictVictim(victim *Slot) {
	l.stats.Inc("evicted", l.name)
	victim.conn.Close()
	close(victim.evicted)
	if l.reserveEvictions++; l.reserveEvictions%evictionsPerPause == 0 {
		time.Sleep(evictPause)
	}
}

// closingCount is how many connections are closing already. It is called under the lock.
func (l *Listener) closingCount() (n int) {
	for s := range l.slots {
		if s.closing {
			n++
		}
	}
	return n
}

// hasEvictable reports whether any connection is closing, or will be idle unless more comes on it. It is called under the lock.
func (l *Listener) hasEvictable() bool {
	for s := range l.slots {
		if s.closing || s.inFlight == 0 && !s.handling {
			return true
		}
	}
	return false
}

// evictOne evicts the idle connection that is missed least, where there is one.
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

// evictIdle evicts as many of the idle connections as count says, in the order of evictBefore. One on which something has come stays.
func (l *Listener) evictIdle(idle []*Slot, count int) {
	l.mu.Lock() // what they are compared by changes under it
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

// SetMaxConnections changes the budget. Idle connections over it are evicted at once. It is called where another process of the
// service takes half of the limits, and where it gives them back.
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
