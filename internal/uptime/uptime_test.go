package uptime_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/uptime"
)

// machine has a steady clock that stands still while it is suspended, and a time of day that jumps.
type machine struct {
	steady, suspended, jumped time.Duration
	reads                     int
	err                       error
}

func (m *machine) now() uptime.Reading {
	return uptime.Reading{Steady: m.steady, TimeOfDay: m.steady + m.suspended + m.jumped}
}

func (m *machine) boot() (time.Duration, error) {
	m.reads++
	return time.Hour + m.steady + m.suspended, m.err
}

// Guards against an uptime that stands still while the machine is suspended.
func TestSuspensionsCount(t *testing.T) {
	m := &machine{}
	c := uptime.NewFrom(m.now, m.boot)
	require.Equal(t, time.Hour, c.Now())
	m.steady += 50 * time.Millisecond
	require.Equal(t, time.Hour+m.steady, c.Now())
	require.Zero(t, c.Suspended())
	// Right after the suspension, and if the time of day did not show it.
	for _, jump := range []time.Duration{0, -10 * time.Second} {
		before := m.suspended
		m.suspended += 10 * time.Second
		m.jumped += jump
		if jump != 0 {
			m.steady += 101 * time.Millisecond
		}
		require.Equal(t, time.Hour+m.steady+m.suspended, c.Now())
		require.Equal(t, before+10*time.Second, c.Suspended())
	}
}

// Guards against steps of the time of day that count as suspensions.
func TestStepsOfTheTimeOfDayAreNoSuspensions(t *testing.T) {
	m := &machine{}
	c := uptime.NewFrom(m.now, m.boot)
	for _, step := range []time.Duration{2 * time.Second, -4 * time.Second} {
		m.jumped += step
		m.steady += time.Second
		require.Equal(t, time.Hour+m.steady, c.Now())
	}
	require.Zero(t, c.Suspended())
}

// Guards against a system call for each order that a leader sends.
func TestUptimeIsRarelyRead(t *testing.T) {
	m := &machine{}
	c := uptime.NewFrom(m.now, m.boot)
	for range 10_000 {
		m.steady += 100 * time.Microsecond
		require.Equal(t, time.Hour+m.steady, c.Now())
	}
	require.LessOrEqual(t, m.reads, 11)
}

// Guards against a clock that stops or goes back if the uptime cannot be read.
func TestUptimeThatCannotBeReadGoesOn(t *testing.T) {
	m := &machine{}
	c := uptime.NewFrom(m.now, m.boot)
	m.err = errors.New("no such clock")
	last := c.Now()
	for range 10 {
		m.steady += time.Second
		require.Equal(t, last+time.Second, c.Now())
		last = c.Now()
	}
	require.Zero(t, c.Suspended())
}

// Guards against a clock of this machine that is not that of the operating system.
func TestClockOfThisMachine(t *testing.T) {
	c := uptime.New()
	before := c.Now()
	time.Sleep(150 * time.Millisecond)
	passed := c.Now() - before
	require.GreaterOrEqual(t, passed, 150*time.Millisecond)
	require.Less(t, passed, 10*time.Second)
}
