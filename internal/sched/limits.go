package sched

import "time"

// Limits holds the bounds that the platform sets, and the policy settings that are not in the
// table.
type Limits struct {
	// Lease is how long runs continue after the last proof that the term of the leader that renewed
	// them went on. A longer lease lets more work survive an outage, but delays the restart of a silent
	// worker's tasks elsewhere.
	Lease time.Duration
	// StopGrace is how long a run may take to stop.
	StopGrace time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// BatchInterval is the minimum time between two appends. The store limits the number of calls,
	// so decisions made within this time are stored together.
	BatchInterval time.Duration
	// HoldWait is how long a hold waits for a run to end, and so the minimum time between two polls
	// of a worker on which nothing ends.
	HoldWait time.Duration
	// Disabled lists the mechanisms that are switched off; none by default.
	Disabled []Mechanism
}

// DefaultLimits suit the platform's longest lease of 10 s and its longest hold wait of 2 s: a run
// survives a network cut of 5.5 s, the usual length, plus the wait of one hold. A long-running task
// whose worker and leader are lost runs again within the platform's 9 s: a successor begins, waits for
// the lease, and starts it.
var DefaultLimits = Limits{
	Lease:         6700 * time.Millisecond,
	StopGrace:     time.Second,
	Retention:     150 * time.Second,
	BatchInterval: 20 * time.Millisecond,
	HoldWait:      600 * time.Millisecond,
}

const (
	// maxClockDrift is the share by which a worker's clock may run slow, as the platform
	// guarantees; a lease lasts longer by this share.
	maxClockDrift = 0.02
	// startTimeout is how long a start may be in transit: a delayed start expires soon, and holds
	// renew the lease of a run that has begun.
	startTimeout = 4 * time.Second
	// silentAfter is how long a worker may leave calls unanswered before it counts as silent and
	// gets no more work: two attempts.
	silentAfter = 700 * time.Millisecond
	// retryDelay is the pause after a request to a worker that had no answer.
	retryDelay = 250 * time.Millisecond
	// forgetWorkerAfter is how long a worker that is no longer listed is remembered after its
	// leases have certainly expired.
	forgetWorkerAfter = 30 * time.Second
	// unlistedGrace is how long a worker that answers stays usable without an entry. The platform
	// guarantees that entries which expired during a store outage are back within two seconds.
	unlistedGrace = 2 * time.Second
	// unstoredHoldInterval is the time between holds of a worker while its ends cannot be stored:
	// short enough to renew its leases.
	unstoredHoldInterval = 600 * time.Millisecond
	// maxAppendsInFlight is the number of concurrent appends, one for each partition that the
	// caller stores in. appendOverlapDelay is how long the scheduler waits for an append before it
	// sends the next one beside it: five times what the store usually takes.
	maxAppendsInFlight = 3
	appendOverlapDelay = 40 * time.Millisecond
	// StoreTimeout is how long a leader goes on after the last proof that its term does. Leases end
	// before that.
	StoreTimeout = 8 * time.Second
	// olderLease is how long the leases of older builds last after a renewal. Their leaders renew them
	// until StoreTimeout after the last answer of the store.
	olderLease = 8 * time.Second
	// leaseMargin is how long a worker may take to end its runs once their leases have expired.
	leaseMargin = 100 * time.Millisecond
	// maxTransit bounds the time from sending a hold until it is carried out or dropped, apart from
	// requests that the platform delays.
	maxTransit = 500 * time.Millisecond
)
