package lease

import "time"

// Limits holds the durations of leases and the budget of their renewals.
type Limits struct {
	// TTL is the shortest time that an anchor's lease runs after a renewal.
	TTL time.Duration
	// TaskTTL is how long the lease of a running task runs after a renewal. It is longer than the
	// anchor's lease, so that tasks survive the failure of their leader.
	TaskTTL time.Duration
	// RetryInterval is the minimum time between two attempts to get one anchor.
	RetryInterval time.Duration
	// RenewalBytes is the size of one renewal exchange on the wire, in bytes.
	RenewalBytes int64
	// BytesPerSecond is the budget of all renewals together.
	BytesPerSecond int64
}

// DefaultLimits keeps the renewals of 46 led workers under 3 KB/s.
var DefaultLimits = Limits{TTL: 3 * time.Second, TaskTTL: 45 * time.Second, RetryInterval: 250 * time.Millisecond, RenewalBytes: 360, BytesPerSecond: 3000}

// halfIntervalsPerTTL is the TTL of an anchor in halves of the renewal interval.
const halfIntervalsPerTTL = 5

// taskTTLFactor is the minimum ratio between TaskTTL and the TTL of an anchor. The TTL of an anchor
// grows up to TaskTTL divided by it, unless the configured TTL is longer.
const taskTTLFactor = 3

// renewInterval returns how often each of n held workers is renewed: as rarely as the byte budget
// requires, but no more often than the shortest TTL needs. A host that leads very many workers
// exceeds its budget. With a longer anchor lease, its tasks would end before another host could
// take over their workers, and a start could be carried out after the time for which an inventory
// waits for a silent worker.
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

// startWindow returns how long after an answer of a worker a start may still be carried out there,
// independent of who holds the worker and for how long. A host that finds the worker in a new
// incarnation waits for the same time. Even at the longest renewal interval, it leaves time for a
// late renewal.
func (l Limits) startWindow() time.Duration { return l.maxRenewInterval() + l.TTL }

// ttl returns the TTL of an anchor, which lets two renewals fail before the anchor lapses.
func (l Limits) ttl(n int) time.Duration { return max(l.TTL, l.renewInterval(n)*halfIntervalsPerTTL/2) }
