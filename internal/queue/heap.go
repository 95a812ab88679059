package queue

import "container/heap"

// indexedHeap keeps items ordered and knows where each lies, so that one can be
// moved or taken out at the cost of a logarithm.
type indexedHeap[T comparable] struct {
	items []T
	index map[T]int
	less  func(a, b T) bool
}

func newIndexedHeap[T comparable](less func(a, b T) bool) *indexedHeap[T] {
	return &indexedHeap[T]{index: map[T]int{}, less: less}
}

// Len, Less, Swap, Push and Pop serve container/heap.
func (p *indexedHeap[T]) Len() int { return len(p.items) }

// Less orders two items by index.
func (p *indexedHeap[T]) Less(i, j int) bool { return p.less(p.items[i], p.items[j]) }

// Swap exchanges two items by index.
func (p *indexedHeap[T]) Swap(i, j int) {
	p.items[i], p.items[j] = p.items[j], p.items[i]
	p.index[p.items[i]], p.index[p.items[j]] = i, j
}

// Push appends an item.
func (p *indexedHeap[T]) Push(x any) {
	p.index[x.(T)] = len(p.items)
	p.items = append(p.items, x.(T))
}

// Pop takes the last item.
func (p *indexedHeap[T]) Pop() any {
	last := p.items[len(p.items)-1]
	var none T
	p.items[len(p.items)-1] = none
	p.items = p.items[:len(p.items)-1]
	delete(p.index, last)
	return last
}

// set adds an item or moves it to where it belongs now.
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

// first returns the least item, or the zero value of an empty heap.
func (p *indexedHeap[T]) first() T {
	var none T
	if len(p.items) == 0 {
		return none
	}
	return p.items[0]
}
