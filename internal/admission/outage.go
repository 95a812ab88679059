// Package admission decides which jobs are rejected because they cannot end in time, and when
// rejected callers return.
package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// MinRetry is the shortest time that Retry-After can express.
const MinRetry = time.Second

// maxOutageRetry is the longest time after which a caller is asked to return during an outage of
// the store: outages last for seconds, and a caller that comes back long after one has ended has
// waited in vain.
const maxOutageRetry = 8 * time.Second

// OutageRetry returns after how many whole seconds a caller should return whose job could not be
// stored, when the store has not answered for age. A caller rejected at age a returns at about 2a.
// The number of rejections of one caller then grows only with the logarithm of the outage, and
// callers return in the order in which they were rejected. Callers rejected at the same time are
// spread over two seconds by the id of their job.
func OutageRetry(age time.Duration, id string) time.Duration {
	after := min(max(age, MinRetry), maxOutageRetry-time.Second/2)
	return (after + time.Duration(share(id)*float64(time.Second))).Truncate(time.Second)
}

// share returns a number from 0 up to but not including 1 that depends on the id only.
func share(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}
