package member

import "time"

// Periods of heartbeats. In the own failure domain hosts stand in for each
// other within a second or two; across domains a late hint only costs a try.
const (
	nearMinPeriod     = 400 * time.Millisecond
	nearPeriodPerPeer = 200 * time.Millisecond
	farMinPeriod      = time.Second
	farPeriodPerPeer  = 500 * time.Millisecond
)

// NearPeriod returns how often a host beats to each of n peers in its own domain. The
// period grows with n, so that a host sends at most five of them a second.
func NearPeriod(n int) time.Duration { return max(nearMinPeriod, time.Duration(n)*nearPeriodPerPeer) }

// FarPeriod returns how often a host beats to each of n peers in other domains, at
// most two of them a second.
func FarPeriod(n int) time.Duration { return max(farMinPeriod, time.Duration(n)*farPeriodPerPeer) }
