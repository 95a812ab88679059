//go:build !race

package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against hosts whose timeout grows after leader changes that were right.
func TestLeadersThatFreezeInTurnAreSucceededInTime(t *testing.T) {
	const (
		still = 3 * time.Second
		every = 5 * time.Second
		turns = 6
	)
	for seed := range uint64(4) {
		without := make(chan time.Duration, turns)
		steps := map[time.Duration]func(*busyCluster){}
		for n := range turns {
			steps[time.Duration(n+2)*every] = func(c *busyCluster) {
				leader := c.leader()
				leader.setFaults(false, true)
				go func() {
					began := time.Now()
					for c.leader() == nil && time.Since(began) < still {
						sleep(c.ctx, 10*time.Millisecond)
					}
					without <- time.Since(began)
					sleep(c.ctx, still-time.Since(began))
					leader.setFaults(false, false)
				}()
			}
		}
		runBusyCluster(t, &busyCluster{load: 0.5}, seed, (turns+2)*every, steps)
		require.Len(t, without, turns)
		var all []time.Duration
		for range turns {
			all = append(all, <-without)
		}
		for _, d := range all {
			require.Less(t, d, 2*time.Second, "seed %d: %v", seed, all)
		}
	}
}
