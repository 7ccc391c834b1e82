package idempotency

// expiryHeap is a heap of records, the one that expires first on top.
type expiryHeap []*entry

// Len, Less, Swap, Push and Pop are those of heap.Interface; they keep each entry's place.
func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expiresAt < e[j].expiresAt }
func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}
func (e *expiryHeap) Push(x any) {
	s := x.(*entry)
	s.heapIndex = len(*e)
	*e = append(*e, s)
}
func (e *expiryHeap) Pop() any {
	old := *e
	s := old[len(old)-1]
	*e = old[:len(old)-1]
	s.heapIndex = -1
	return s
}
