package store_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
)

// readsWithin plays hosts that all have queries for d while no host leads, and returns the bytes
// that they read in each second.
func readsWithin(d time.Duration, hosts, bytes int) []int {
	began := time.Unix(1_000, 0)
	perSecond := make([]int, int(d/time.Second))
	for rank := range hosts {
		s := store.NewReadShare(80)
		for at := began; ; {
			at = at.Add(max(s.Wait(at, rank, hosts), 500*time.Millisecond))
			if at.Sub(began) >= d {
				break
			}
			perSecond[int(at.Sub(began)/time.Second)] += bytes
			s.Record(at, bytes)
		}
	}
	return perSecond
}

// The leader of 147 hosts is lost and each host is asked for jobs. If all of them read the pages of
// progress at once, they use up the bandwidth of the store, and no other host can take over.
func TestHostsWithoutALeaderLeaveTheStoreToTheNextOne(t *testing.T) {
	const hosts, seconds, bandwidth = 147, 10, 80_000_000
	for _, bytes := range []int{100_000, 700_000, 2_000_000} {
		sum := 0
		for second, read := range readsWithin(seconds*time.Second, hosts, bytes) {
			require.LessOrEqual(t, read, bandwidth/2, "second %d, %d bytes a read", second, bytes)
			sum += read
		}
		require.LessOrEqual(t, sum, seconds*bandwidth/4+bytes, "%d bytes a read", bytes)
	}
}

// On a few hosts, queries that only the store can answer wait for less than their callers do.
func TestFewHostsReadStatesAtOnce(t *testing.T) {
	for rank := range 8 {
		s := store.NewReadShare(80)
		require.Less(t, s.Wait(time.Unix(1_000, 0), rank, 8), time.Second)
	}
}

// Reads that fail count as well: a store that is overloaded must not be asked more often.
func TestFailedReadsWaitForTheirTurn(t *testing.T) {
	s, now := store.NewReadShare(80), time.Unix(1_000, 0)
	s.Record(now, 0)
	require.Greater(t, s.Wait(now, 0, 147), time.Second)
}
