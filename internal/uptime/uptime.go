// Package uptime tells the time since the machine started, suspensions included.
//
// The steady clock of the time package stands still while the machine is suspended. What a host has
// promised to others ends by their clocks, which go on.
package uptime

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxAge is how long the uptime is computed by the steady clock after it was read. Reading it
	// costs a system call.
	maxAge = 100 * time.Millisecond
	// tolerance is by how much the time of day and the steady clock may disagree before the uptime
	// is read at once. After a suspension they do.
	tolerance = 20 * time.Millisecond
	// minSuspension is the shortest gap that counts as a suspension; it is above what lies between
	// two clocks that are read one after the other by a process that is short of processor time.
	minSuspension = 100 * time.Millisecond
)

// Clock tells the time since the machine started. It is safe for concurrent use.
type Clock struct {
	now  func() Reading
	boot func() (time.Duration, error)

	mu sync.Mutex
	// read is the uptime that was read last, when the other clocks were as in readAt.
	read      time.Duration
	readAt    Reading
	suspended time.Duration
}

// Reading is the steady clock and the time of day at one moment, each since any point in time.
type Reading struct{ Steady, TimeOfDay time.Duration }

// New returns a clock of this machine.
func New() *Clock {
	began := time.Now()
	now := func() Reading {
		t := time.Now()
		return Reading{Steady: t.Sub(began), TimeOfDay: t.Round(0).Sub(began.Round(0))}
	}
	return NewFrom(now, bootTime)
}

// NewFrom returns a clock that reads the uptime with boot, which costs more than now.
func NewFrom(now func() Reading, boot func() (time.Duration, error)) *Clock {
	c := &Clock{now: now, boot: boot, readAt: now()}
	c.read, _ = boot()
	return c
}

// NewSteady returns a clock of a machine that is never suspended.
func NewSteady(now func() time.Time) *Clock {
	began := now()
	steady := func() time.Duration { return now().Sub(began) }
	return NewFrom(func() Reading { return Reading{Steady: steady(), TimeOfDay: steady()} }, func() (time.Duration, error) { return steady(), nil })
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read the boot time clock")
	}
	return time.Duration(ts.Nano()), nil
}

// Now returns the time since the machine started.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	steady, ofDay := now.Steady-c.readAt.Steady, now.TimeOfDay-c.readAt.TimeOfDay
	if steady > maxAge || (ofDay-steady).Abs() > tolerance {
		return c.readBoot()
	}
	return c.read + steady
}

// readBoot reads the uptime. If it cannot be read, it goes on by the steady clock. The caller holds mu.
func (c *Clock) readBoot() time.Duration {
	before := c.now()
	read, err := c.boot()
	after := c.now()
	expected := c.read + after.Steady - c.readAt.Steady
	if err != nil {
		read = expected - (after.Steady - before.Steady)
	}
	if gap := read - expected; gap >= minSuspension {
		c.suspended += gap
	}
	c.read, c.readAt = read, before
	return read + after.Steady - before.Steady
}

// Suspended returns for how long the machine has been suspended in total, as far as the calls of Now
// have shown.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}
