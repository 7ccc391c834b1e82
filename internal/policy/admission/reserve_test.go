package admission

import (
	"testing"
	"time"
)

// 500 peers flood a listener with cheap calls. Whoever keeps within its part is never held up; those that flood are, and give way first.
func TestReserveDelaysOnlyFloodingPeers(t *testing.T) {
	r := NewReserve(ReserveConfig{CheapRate: 1000, CheapRatePerPeer: 50}, 400)
	now := time.Duration(0)
	for id := range uint64(501) {
		r.Opened(now, id)
	}
	next := make([]time.Duration, 501)
	answered, late := 0, 0
	for ; now < 5*time.Second; now += time.Millisecond {
		for id := uint64(1); id <= 500; id++ {
			if next[id] <= now {
				wait := r.CheapCall(now, id)
				next[id] = now + wait + time.Millisecond
				answered++
			}
		}
		if now%(600*time.Millisecond) == 0 {
			if r.CheapCall(now, 0) > 0 {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("the peer that asks seldom was held up %d times", late)
	}
	if answered > 1000*5*3/2+500*10 {
		t.Errorf("%d answers to the flood in 5 s, with 1000 a second for all", answered)
	}
	if id, some := r.Evict(now); !some || id == 0 {
		t.Errorf("gives way: %d, %v", id, some)
	}
}

// Work fills a listener: the reserved connections carry none, so that health checks get through.
func TestReservedConnectionsCarryNoWork(t *testing.T) {
	r := NewReserve(ReserveConfig{}, 80)
	took := 0
	for id := range uint64(80) {
		r.Opened(0, id)
		if r.AdmitWork(id) {
			took++
		}
	}
	if took != 70 || r.Reserved() != 10 || !r.AdmitWork(0) {
		t.Errorf("%d connections of 80 carry work, %d kept", took, r.Reserved())
	}
	r.Closed(0)
	r.Closed(0)
	r.Opened(0, 100)
	if !r.AdmitWork(100) || r.AdmitWork(101) {
		t.Error("a connection that ended does not free its place, or one that is not there has one")
	}
}
