package place

import (
	"math/bits"

	"pollencroft/internal/cell"
)

// The index sorts workers into cells by their free processors and memory, each on a logarithmic
// scale of 64 levels that grow by about a fifth. There is one grid for each power of two of free
// accelerators. A search starts at the cell that the task just fits into and moves outwards, so its
// cost depends on the number of levels and not on the number of workers.
const (
	levels      = 64
	accelLevels = 5
	scale       = 1 << 15
)

type position struct {
	indexed         bool
	accel, cpu, mem int
	slot            int
}

type grid struct {
	bits  [levels]uint64
	cells [levels][levels][]*worker
}

// indexKey selects the capacity by which an index sorts workers.
type indexKey int

const (
	// byFree sorts by the free capacity of a worker.
	byFree indexKey = iota
	// byFreeAfterPreemption sorts by the capacity that would be free without the worker's bulk
	// tasks.
	byFreeAfterPreemption
	indexCount
)

type index struct {
	key     indexKey
	largest cell.Size
	grids   [accelLevels]*grid
}

func (x *index) capacity(w *worker) cell.Size {
	if x.key == byFreeAfterPreemption {
		return w.free.Add(w.bulk)
	}
	return w.free
}

// level returns the level of v on the scale that ends at most.
func level(v, most int64) int {
	if v <= 0 || most <= 0 {
		return 0
	}
	x := uint64(float64(v) / float64(most) * scale)
	if x < 4 {
		return int(x)
	}
	n := bits.Len64(x)
	quarter := (x >> (n - 3)) & 3
	return min(4*(n-2)+int(quarter), levels-1)
}

func accelLevel(v int64) int { return min(bits.Len64(uint64(max(v, 0))), accelLevels-1) }

// candidates returns up to n usable workers, approximately the fullest first.
func (x *index) candidates(n int, size cell.Size, usable func(*worker) bool) []*worker {
	var found []*worker
	x.best(size, func(w *worker) bool {
		if len(found) == n || !usable(w) {
			return len(found) == n
		}
		found = append(found, w)
		return len(found) == n
	})
	return found
}

// growScale extends the scale to include a worker of that size and reports whether that was
// necessary.
func (x *index) growScale(size cell.Size) bool {
	if size.Fits(x.largest) {
		return false
	}
	x.largest = cell.Size{CPU: max(x.largest.CPU, size.CPU), Mem: max(x.largest.Mem, size.Mem), Accel: max(x.largest.Accel, size.Accel)}
	return true
}

func (x *index) rebuild(all []*worker) {
	x.grids = [accelLevels]*grid{}
	for _, w := range all {
		w.positions[x.key] = position{}
		x.insert(w)
	}
}

func (x *index) positionOf(w *worker) position {
	has := x.capacity(w)
	return position{indexed: true, accel: accelLevel(has.Accel), cpu: level(has.CPU, x.largest.CPU), mem: level(has.Mem, x.largest.Mem)}
}

// insert puts a worker into the cell of its capacity, or removes it if it accepts no tasks.
func (x *index) insert(w *worker) {
	if !w.acceptsTasks() {
		x.remove(w)
		return
	}
	to := x.positionOf(w)
	to.slot = w.positions[x.key].slot
	if w.positions[x.key] == to {
		return
	}
	x.remove(w)
	g := x.grids[to.accel]
	if g == nil {
		g = &grid{}
		x.grids[to.accel] = g
	}
	to.slot = len(g.cells[to.cpu][to.mem])
	g.cells[to.cpu][to.mem] = append(g.cells[to.cpu][to.mem], w)
	g.bits[to.cpu] |= 1 << to.mem
	w.positions[x.key] = to
}

func (x *index) remove(w *worker) {
	at := w.positions[x.key]
	w.positions[x.key] = position{}
	if !at.indexed {
		return
	}
	g := x.grids[at.accel]
	in := g.cells[at.cpu][at.mem]
	last := len(in) - 1
	in[at.slot] = in[last]
	in[at.slot].positions[x.key].slot = at.slot
	in[last] = nil
	g.cells[at.cpu][at.mem] = in[:last]
	if last == 0 {
		g.bits[at.cpu] &^= 1 << at.mem
	}
	w.positions[x.key] = position{}
}

// best returns the usable worker that would be approximately the fullest after allocating size.
func (x *index) best(size cell.Size, usable func(*worker) bool) *worker {
	cpu, mem := level(size.CPU, x.largest.CPU), level(size.Mem, x.largest.Mem)
	for a := accelLevel(size.Accel); a < accelLevels; a++ {
		if x.grids[a] == nil {
			continue
		}
		if w := x.grids[a].best(search{index: x, size: size, usable: usable}, cpu, mem); w != nil {
			return w
		}
	}
	return nil
}

// best visits the cells in order of their distance from the cell of the task's own size.
func (g *grid) best(s search, cpu, mem int) *worker {
	for d := 0; cpu+d < levels || mem+d < levels; d++ {
		if c := cpu + d; c < levels {
			row := g.bits[c] & (^uint64(0) << mem) & (^uint64(0) >> (levels - 1 - min(mem+d, levels-1)))
			for ; row != 0; row &= row - 1 {
				if w := s.fullest(g.cells[c][bits.TrailingZeros64(row)]); w != nil {
					return w
				}
			}
		}
		m := mem + d
		for c := cpu; m < levels && c < min(cpu+d, levels); c++ {
			if g.bits[c]&(1<<m) == 0 {
				continue
			}
			if w := s.fullest(g.cells[c][m]); w != nil {
				return w
			}
		}
	}
	return nil
}

// maxCompared is how many fitting workers of one cell are compared. Their capacities differ by less
// than one level of the scale.
const maxCompared = 8

type search struct {
	index  *index
	size   cell.Size
	usable func(*worker) bool
}

func (s search) fullest(in []*worker) *worker {
	var best *worker
	var least float64
	found := 0
	for _, w := range in {
		has := s.index.capacity(w)
		if !s.size.Fits(has) || !s.usable(w) {
			continue
		}
		if left := has.Sub(s.size).DominantShare(w.size); best == nil || left < least {
			best, least = w, left
		}
		if found++; found == maxCompared {
			break
		}
	}
	return best
}
