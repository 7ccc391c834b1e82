package admission

import (
	"testing"
	"time"
)

// 500 peers flood a listener with cheap calls. A peer within its share is never delayed. Flooding peers are delayed and evicted first.
func TestReserveDelaysOnlyFloodingPeers(t *testing.T) {
	r := NewReserve(ReserveConfig{CheapRate: 1000, CheapRatePerPeer: 50}, 400)
	now := time.Duration(0)
	for id := range uint64(501) {
		r.Opened(now, id)
	}
	nextCall := make([]time.Duration, 501)
	answered, delayed := 0, 0
	for ; now < 5*time.Second; now += time.Millisecond {
		for id := uint64(1); id <= 500; id++ {
			if nextCall[id] <= now {
				delay := r.CheapCall(now, id)
				nextCall[id] = now + delay + time.Millisecond
				answered++
			}
		}
		if now%(600*time.Millisecond) == 0 {
			if r.CheapCall(now, 0) > 0 {
				delayed++
			}
		}
	}
	if delayed > 0 {
		t.Errorf("the peer with few calls was delayed %d times", delayed)
	}
	if answered > 1000*5*3/2+500*10 {
		t.Errorf("%d answers to the flood in 5 s, with a total rate of 1000 a second", answered)
	}
	if id, ok := r.Evict(now); !ok || id == 0 {
		t.Errorf("evicted connection %d (found: %v), want a flooding one", id, ok)
	}
}

// Work fills a listener. The reserved connections carry no work, so that health checks get through.
func TestReservedConnectionsCarryNoWork(t *testing.T) {
	r := NewReserve(ReserveConfig{}, 80)
	carryingWork := 0
	for id := range uint64(80) {
		r.Opened(0, id)
		if r.AdmitWork(id) {
			carryingWork++
		}
	}
	if carryingWork != 70 || r.Reserved() != 10 || !r.AdmitWork(0) {
		t.Errorf("%d connections of 80 carry work and %d are reserved, want 70 and 10", carryingWork, r.Reserved())
	}
	r.Closed(0)
	r.Closed(0)
	r.Opened(0, 100)
	if !r.AdmitWork(100) || r.AdmitWork(101) {
		t.Error("a closed connection does not free its place, or an unknown connection is admitted")
	}
}
