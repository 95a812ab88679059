package member

import "time"

// Heartbeat periods. Hosts of one failure domain must be able to replace each other within a
// second or two. Across failure domains an outdated hint only costs one failed attempt.
const (
	nearMinPeriod     = 400 * time.Millisecond
	nearPeriodPerPeer = 200 * time.Millisecond
	farMinPeriod      = time.Second
	farPeriodPerPeer  = 500 * time.Millisecond
)

// NearPeriod returns the heartbeat period towards each of n peers in the same failure domain. It
// grows with n, so that a host sends at most five of these heartbeats a second.
func NearPeriod(n int) time.Duration { return max(nearMinPeriod, time.Duration(n)*nearPeriodPerPeer) }

// FarPeriod returns the heartbeat period towards each of n peers in other failure domains, so
// that a host sends at most two of these heartbeats a second.
func FarPeriod(n int) time.Duration { return max(farMinPeriod, time.Duration(n)*farPeriodPerPeer) }
