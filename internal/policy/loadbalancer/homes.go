package loadbalancer

import "time"

// Sticky requests. A request with an idempotency key runs at its home, the server that the cell map names for the key, and nowhere
// else: only the home can tell that an earlier attempt of it has run. A home that started anew may have forgotten what it ran; until
// no repeat can come any more, Config.KeyWindow after the earlier process can have run anything, requests for it fail. So what must
// take effect at most once does, at the price of failures after a restart without a durable log.

// HomeState is what may be done with a request at the home of its idempotency key.
type HomeState int

// What may be done with a request at its home.
const (
	HomeReady HomeState = iota // it may be sent
	HomeLost                   // an earlier attempt may have run there and is forgotten, or can't be asked for: the request fails
	HomeBusy                   // the home is full, or asked to be left alone: the request is rejected, as it never runs elsewhere
)

// CheckHome tells what may be done with a tenant's request at its home. A home that is dead, came back without what it knew, or has
// not yet told a router that is new itself when it started, may have run an earlier attempt.
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

// hasLostKeys reports whether repeats may still come of requests that a process of the server ran that is gone.
func (b *Balancer) hasLostKeys(now time.Duration, s *server) bool {
	return s.lostKeys && now-s.lostKeysAt < b.cfg.KeyWindow
}

// detectRestart notices that a server's process is another one than before, and forgets what attempts at that one have shown.
func (b *Balancer) detectRestart(now time.Duration, s *server, in Incarnation) {
	wasDead, bootKnown := s.health == Dead, s.boot != 0
	s.hasAnswered = true
	restarted := in.Boot != 0 && bootKnown && in.Boot != s.boot || in.Boot == 0 && wasDead
	// One that started not long ago, and was in the map before, had a process whose keys it has forgotten: so a router that has itself
	// just started knows what it missed.
	ranUntil := in.Boot
	if in.RanUntil != 0 {
		ranUntil = min(in.RanUntil, in.Boot)
	}
	missedRestart := in.Boot != 0 && !bootKnown && in.Boot > in.Joined && in.Now-ranUntil < b.cfg.KeyWindow.Milliseconds()
	if in.Boot != 0 {
		s.boot = in.Boot
	}
	if !restarted && !missedRestart {
		return
	}
	b.counts.ColdBack++
	s.lostKeys, s.lostKeysAt, s.upSince = true, now, now
	if in.Boot != 0 { // what ran before ran before it started
		s.warmup.Restarted()
		s.lostKeysAt = now - time.Duration(max(0, in.Now-ranUntil))*time.Millisecond
	}
	s.resetAttempts()
}
