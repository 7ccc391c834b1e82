package idempotency

// expiryHeap is a min-heap of entries by their expiry.
type expiryHeap []*entry

// Len, Less, Swap, Push and Pop implement heap.Interface. They keep entry.heapIndex up to date.
func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt < e[j].expiresAt }
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}
func (e *expiryHeap) Push(x any) {
	added := x.(*entry)
	added.heapIndex = len(*e)
	*e = append(*e, added)
}
func (e *expiryHeap) Pop() any {
	old := *e
	removed := old[len(old)-1]
	*e = old[:len(old)-1]
	removed.heapIndex = -1
	return removed
}
