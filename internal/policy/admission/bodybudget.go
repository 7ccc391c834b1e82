package admission

import "sync"

// BodyBudget bounds the memory that the request bodies of a process hold together, from their first bytes on until their requests are
// over. Without it, clients that each send a part of a large body exhaust the process's memory: the number of connections and the size of a
// body are bounded, but not their product. It is safe for concurrent use.
type BodyBudget struct {
	mu    sync.Mutex
	limit int // bytes
	held  int // bytes, by all reservations
}

// NewBodyBudget returns a budget of limit bytes.
func NewBodyBudget(limit int) *BodyBudget { return &BodyBudget{limit: limit} }

// SetLimit changes the budget. Reservations over the new limit stay.
func (b *BodyBudget) SetLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Held returns the bytes that are reserved now.
func (b *BodyBudget) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Reserve returns an empty reservation. The caller must call Release once its request is over.
func (b *BodyBudget) Reserve() *BodyReservation { return &BodyReservation{budget: b} }

// BodyReservation is the part of a BodyBudget that one request holds. It is used by one goroutine at a time. A nil reservation belongs to no
// budget and has room for every size: it is for answers of this process's own back ends.
type BodyReservation struct {
	budget *BodyBudget
	bytes  int
}

// Resize changes the reservation to size bytes, and reports whether the budget has room for it. A smaller size always has room. After
// false the reservation is unchanged.
func (r *BodyReservation) Resize(size int) bool {
	if r == nil {
		return true
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	growth := size - r.bytes
	if growth > 0 && r.budget.held+growth > r.budget.limit {
		return false
	}
	r.budget.held += growth
	r.bytes = size
	return true
}

// Release ends the reservation. Further calls have no effect.
func (r *BodyReservation) Release() { r.Resize(0) }
