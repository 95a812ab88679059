package lease

import "time"

// Limits set the times of all leases.
type Limits struct {
	// TTL is the shortest time that an anchor runs from a renewal.
	TTL time.Duration
	// TaskTTL is how long the lease of a running task runs from a renewal. It
	// outlasts the anchor, so that tasks outlive the death of their lead.
	TaskTTL time.Duration
	// RetryInterval is the least time between two tries for one anchor.
	RetryInterval time.Duration
	// RenewalBytes is what one renewal exchange takes on the wire, in bytes.
	RenewalBytes int64
	// BytesPerSecond is what all renewals together may take, in bytes a second.
	BytesPerSecond int64
}

// DefaultLimits keep the renewals of 46 led workers under 3 KB/s.
var DefaultLimits = Limits{TTL: 3 * time.Second, TaskTTL: 45 * time.Second, RetryInterval: 250 * time.Millisecond, RenewalBytes: 360, BytesPerSecond: 3000}

// halfIntervalsPerTTL is how many renewals are sent before an anchor lapses.
const halfIntervalsPerTTL = 5

// taskTTLFactor is how many anchor leases the lease of a running task outlasts.
const taskTTLFactor = 3

// renewInterval is how often each of n held workers is renewed: as often as the
// budget allows, but no more often than the shortest TTL asks for. A host that
// leads very many workers goes over its budget: with a longer anchor lease its
// tasks would end before a successor could take their worker, and a start
// would run for longer than a census waits for a silent worker.
func (l Limits) renewInterval(n int) time.Duration {
	least := l.TTL * 2 / halfIntervalsPerTTL
	if l.BytesPerSecond <= 0 {
		return least
	}
	return min(l.maxRenewInterval(), max(least, time.Duration(int64(n)*l.RenewalBytes)*time.Second/time.Duration(l.BytesPerSecond)))
}

func (l Limits) maxRenewInterval() time.Duration {
	return max(l.TTL*2/halfIntervalsPerTTL, l.TaskTTL*2/halfIntervalsPerTTL/taskTTLFactor)
}

// startWindow is how long after an answer of a worker a startWindow may be carried out there, whoever holds the
// worker and for how long. A host that meets the worker in a new life waits for as long. The rarest
// renewals leave time for one that is late.
func (l Limits) startWindow() time.Duration { return l.maxRenewInterval() + l.TTL }

// ttl lets two renewals fail before an anchor lapses.
func (l Limits) ttl(n int) time.Duration { return max(l.TTL, l.renewInterval(n)*halfIntervalsPerTTL/2) }
