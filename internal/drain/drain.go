// Package drain measures how fast a backlog is worked off.
package drain

import "time"

// Meter measures the time between two sends from a backlog. Sends are counted for Window before the
// count updates the measured time.
type Meter struct {
	Window   time.Duration
	began    time.Time
	sent     int
	measured time.Duration
}

// Restart starts a new count. This also happens when a backlog begins, so that idle time does not
// count as slow progress.
func (m *Meter) Restart(now time.Time) { m.began, m.sent = now, 0 }

// Count counts a send.
func (m *Meter) Count(now time.Time) {
	m.sent++
	took := now.Sub(m.began)
	if took < m.Window {
		return
	}
	per := took / time.Duration(m.sent)
	if m.measured > 0 {
		per = (m.measured + per) / 2
	}
	m.measured = per
	m.Restart(now)
}

// Interval returns the average time between two sends, or zero if it is unknown. If the backlog has
// stalled, the time since the count began is taken into account, but only after a whole window:
// multiplied by the length of a long backlog, a single random gap would cause requests to be refused
// that can be served in time.
func (m *Meter) Interval(now time.Time) time.Duration {
	stalled := now.Sub(m.began)
	if stalled < m.Window {
		return m.measured
	}
	return max(m.measured, stalled/time.Duration(m.sent+1))
}
