package soak_test

import (
	"math/rand/v2"
	"time"
)

// orderFaults lists the faults of orders that are held up on their way to workers.
var orderFaults = []fault{
	{"orders to a worker are carried out late", func(c *cell, r *rand.Rand, d time.Duration) func() {
		c.holdUpOrders(r.IntN(workers), r, d)
		return func() {}
	}},
	{"orders to half of the workers are carried out late", func(c *cell, r *rand.Rand, d time.Duration) func() {
		for _, i := range r.Perm(workers)[:workers/2] {
			c.holdUpOrders(i, r, d/2)
		}
		return func() {}
	}},
}

// holdUpOrders lets a share of the orders to a worker be carried out late for the time d.
func (c *cell) holdUpOrders(i int, r *rand.Rand, d time.Duration) {
	share := []int{10, 30, 60}[r.IntN(3)]
	c.worker(i).HoldUpOrders(share, d, rand.New(rand.NewPCG(r.Uint64(), r.Uint64())))
}
