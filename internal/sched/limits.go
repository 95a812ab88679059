package sched

import "time"

// Limits are the bounds that the platform sets and the policy that is not in
// the table.
type Limits struct {
	// Lease is how long runs go on without a word from the lead. The longer, the
	// more work lives through a cut; the later a silent worker's work may begin
	// elsewhere.
	Lease time.Duration
	// StopGrace is how long a run may take to stop.
	StopGrace time.Duration
	// Retention is how long an ended job's state is told.
	Retention time.Duration
	// BatchInterval is the least time between two appends: the store counts calls, and
	// what is decided within this time is stored at once.
	BatchInterval time.Duration
	// HoldWait is how long a hold waits for an end: the least time between two looks
	// at a worker on which nothing ends.
	HoldWait time.Duration
	// Disabled are the mechanisms that are not used; none by default.
	Disabled []Mechanism
}

// DefaultLimits suit the platform's longest lease of 10 s and its waits of 2 s:
// a run lives through a cut of 5.5 s, the usual one, and one hold's wait.
var DefaultLimits = Limits{
	Lease:         8 * time.Second,
	StopGrace:     time.Second,
	Retention:     150 * time.Second,
	BatchInterval: 20 * time.Millisecond,
	HoldWait:      600 * time.Millisecond,
}

const (
	// maxClockDrift is by how much a worker's clock may run slow, as the platform bounds
	// it: a lease lasts longer by this much.
	maxClockDrift = 0.02
	// startTimeout is how long a start may be on its way: a delayed one is dead on
	// arrival soon, and a hold renews what began.
	startTimeout = 4 * time.Second
	// silentAfter is how long a worker may leave calls without an answer before it
	// gets no more work: two tries.
	silentAfter = 700 * time.Millisecond
	// retryDelay is the pause after an order without an answer.
	retryDelay = 250 * time.Millisecond
	// forgetWorkerAfter is how long a worker that is listed no longer is remembered after
	// its leases have surely lapsed.
	forgetWorkerAfter = 30 * time.Second
	// unlistedGrace is how long a worker that answers may go without an entry: the platform
	// says that entries which lapsed with its store are back within two seconds.
	unlistedGrace = 2 * time.Second
	// unstoredHoldInterval is how often a worker is held while its ends cannot be stored:
	// often enough for its leases.
	unstoredHoldInterval = 600 * time.Millisecond
	// maxAppendsInFlight is how many appends may be under way, one for each partition that
	// the edge stores in, and overlapAfter how long one is waited for alone: five
	// times what the store takes.
	maxAppendsInFlight = 3
	appendOverlapDelay = 40 * time.Millisecond
	// StoreTimeout is how long a lead goes on holding workers after the store answered
	// it last. By then a successor may have begun.
	StoreTimeout = 8 * time.Second
	// maxTransit bounds how long a hold that was sent takes to be carried out or
	// dropped, besides those that the platform delays.
	maxTransit = 500 * time.Millisecond
)
