package loadbalancer

import "time"

// Sticky requests. A request with an idempotency key runs only at its home, the server that the cell map assigns to the key, because only
// the home knows whether an earlier attempt has run. A restarted home may have lost that knowledge. Requests for it fail until no repeat
// can arrive any more, which is Config.KeyWindow after the earlier process can last have run a request. This keeps execution at most once,
// at the price of failed requests after a restart without a durable log.

// HomeState says whether a request may be sent to the home of its idempotency key.
type HomeState int

// The states of a home.
const (
	HomeReady HomeState = iota // the request may be sent
	HomeLost                   // an earlier attempt may have run there, and the home has lost its record or is unreachable: the request fails
	HomeBusy                   // the home is full or its Retry-After has not passed: the request is rejected, as it never runs elsewhere
)

// CheckHome reports whether a tenant's request may be sent to its home. It returns HomeLost if the home is not in the cell map, is dead,
// lost its keys in a restart, or has not yet answered this router: an earlier attempt may have run there.
func (b *Balancer) CheckHome(now time.Duration, tenant, name string) HomeState {
	s := b.servers[name]
	switch {
	case s == nil || s.health == Dead || !s.hasAnswered:
		return HomeLost
	case b.hasLostKeys(now, s):
		return HomeLost
	case s.inBackoff(now, tenant) || !b.hasCapacity(now, s):
		return HomeBusy
	}
	return HomeReady
}

// hasLostKeys reports whether an earlier process of the server lost its keys less than a key window ago. Until the window is over, a
// client may still repeat a request that the earlier process ran.
func (b *Balancer) hasLostKeys(now time.Duration, s *server) bool {
	return s.lostKeys && now-s.lostKeysAt < b.cfg.KeyWindow
}

// ExtendKeyWindow applies the key window of a new cell map if it is longer. Clients may repeat a request that ran under the shorter window
// for the longer one, so a server whose keys are lost stays lost for it. This does not apply to a server whose window was over at
// confirmedAt, the last time at which the shorter window is known to have been the current one: its requests are not repeated any more.
func (b *Balancer) ExtendKeyWindow(confirmedAt, window time.Duration) {
	if window <= b.cfg.KeyWindow {
		return
	}
	for _, s := range b.servers {
		s.lostKeys = b.hasLostKeys(confirmedAt, s)
	}
	b.cfg.KeyWindow = window
}

// detectRestart compares the process that answered with the previous one. After a restart it marks the keys as lost and resets the
// attempt statistics.
func (b *Balancer) detectRestart(now time.Duration, s *server, in Incarnation) {
	wasDead, bootKnown := s.health == Dead, s.boot != 0
	s.hasAnswered = true
	restarted := in.Boot != 0 && bootKnown && in.Boot != s.boot || in.Boot == 0 && wasDead
	// A server that started after it was added to the map had an earlier process, whose keys are lost. A router that has just started
	// detects the restart by this, although it never saw the earlier process.
	ranUntil := in.Boot
	if in.RanUntil != 0 {
		ranUntil = min(in.RanUntil, in.Boot)
	}
	mayHaveMissedRestart := in.Boot != 0 && !bootKnown && in.Boot > in.Joined
	if in.Boot != 0 {
		s.boot = in.Boot
	}
	if !restarted && !mayHaveMissedRestart {
		return
	}
	s.lostKeys, s.lostKeysAt = true, now
	if in.Boot != 0 { // the start of the new process is known, and the earlier one ran nothing after it
		s.lostKeysAt = now - time.Duration(max(0, in.Now-ranUntil))*time.Millisecond
	}
	if !restarted && !b.hasLostKeys(now, s) {
		return // the window is over, unless the map of a router that has just started is outdated: ExtendKeyWindow
	}
	b.counts.LostKeyRestarts++
	s.upSince = now
	if in.Boot != 0 {
		s.warmup.Restarted()
	}
	s.resetAttempts()
}
