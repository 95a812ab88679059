package flow

import (
	"time"

	"pollencroft/internal/chart"
)

// Phases is how long the phases of a run took, as the leader saw them.
type Phases struct {
	// Store is the time until the decision was stored, Order the time from then until the leader knew
	// that the run had begun, and Run the time from then until it knew of the end.
	Store, Order, Run time.Duration
}

// Add returns the sums of the phases.
func (p Phases) Add(o Phases) Phases {
	return Phases{p.Store + o.Store, p.Order + o.Order, p.Run + o.Run}
}

// after returns the phases after an event on a task that has been in a state for d.
func (p Phases) after(ev chart.Event, in chart.State, d time.Duration) Phases {
	switch {
	case ev == Assign:
		return Phases{}
	case in == Assigned && ev == Send:
		p.Store = d
	case in == Starting && (ev == Confirm || ev == Finish):
		// The end of a short run may be known before the answer to its start.
		p.Order = d
	case in == Running && ev == Finish:
		p.Run = d
	}
	return p
}
