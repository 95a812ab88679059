package place

import (
	"pollencroft/internal/cell"
)

// fitCounter counts how many tasks of a size fit into some capacity of all workers that accept tasks,
// which is the most that an entry may use. It keeps the counts, because many entries of the same size
// may wait, so it is valid only until the capacity changes.
type fitCounter struct {
	p        *Placer
	capacity func(*worker) cell.Size
	counts   map[cell.Size]int64
}

func (p *Placer) newFitCounter(capacity func(*worker) cell.Size) fitCounter {
	return fitCounter{p: p, capacity: capacity, counts: map[cell.Size]int64{}}
}

func (f fitCounter) count(size cell.Size) int64 {
	n, ok := f.counts[size]
	if !ok {
		for _, w := range f.p.workers {
			if w.acceptsTasks() {
				n = min(n+countFitting(f.capacity(w), size), maxPart)
			}
		}
		f.counts[size] = n
	}
	return n
}
