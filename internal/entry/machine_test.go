package entry_test

import (
	"sync"
	"time"

	"pollencroft/internal/uptime"
)

// machine has a steady clock that stands still while the machine is suspended. The processes of a
// suspended machine do not stand still in a test: they have to be cut off from everything.
type machine struct {
	mu sync.Mutex
	// since is when the machine was suspended, suspended how long it was in total before. skipped is
	// the time of suspensions that took no time of the test.
	since              time.Time
	suspended, skipped time.Duration
}

func (m *machine) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = time.Now()
}

func (m *machine) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += time.Since(m.since)
	m.since = time.Time{}
}

// skip suspends the machine for d at once.
func (m *machine) skip(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skipped += d
}

// now returns the time by the steady clock.
func (m *machine) now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if !m.since.IsZero() {
		now = m.since
	}
	return now.Add(-m.suspended)
}

func (m *machine) uptime() *uptime.Clock {
	began := time.Now()
	boot := func() time.Duration {
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Since(began) + m.skipped
	}
	return uptime.NewFrom(func() uptime.Reading {
		return uptime.Reading{Steady: m.now().Sub(began), TimeOfDay: boot()}
	}, func() (time.Duration, error) { return boot(), nil })
}
