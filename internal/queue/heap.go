package queue

import "container/heap"

// indexedHeap is a heap that knows the position of each item, so that any item can be moved
// or removed in logarithmic time.
type indexedHeap[T comparable] struct {
	items []T
	index map[T]int
	less  func(a, b T) bool
}

func newIndexedHeap[T comparable](less func(a, b T) bool) *indexedHeap[T] {
	return &indexedHeap[T]{index: map[T]int{}, less: less}
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (p *indexedHeap[T]) Len() int { return len(p.items) }

// Less reports whether the item at i sorts before the item at j.
func (p *indexedHeap[T]) Less(i, j int) bool { return p.less(p.items[i], p.items[j]) }

// Swap exchanges the items at i and j.
func (p *indexedHeap[T]) Swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	p.index[p.items[i]], p.index[p.items[j]] = i, j
}

// Push appends an item.
func (p *indexedHeap[T]) Push(x any) {
	p.index[x.(T)] = len(p.items)
	p.items = append(p.items, x.(T))
}

// Pop removes and returns the last item.
func (p *indexedHeap[T]) Pop() any {
	last := p.items[len(p.items)-1]
	var none T
	p.items[len(p.items)-1] = none
	p.items = p.items[:len(p.items)-1]
	delete(p.index, last)
	return last
}

// set adds an item, or moves it to its new position if its order has changed.
func (p *indexedHeap[T]) set(x T) {
	if i, ok := p.index[x]; ok {
		heap.Fix(p, i)
		return
	}
	heap.Push(p, x)
}

func (p *indexedHeap[T]) drop(x T) {
	if i, ok := p.index[x]; ok {
		heap.Remove(p, i)
	}
}

// first returns the least item, or the zero value if the heap is empty.
func (p *indexedHeap[T]) first() T {
	var none T
	if len(p.items) == 0 {
		return none
	}
	return p.items[0]
}
