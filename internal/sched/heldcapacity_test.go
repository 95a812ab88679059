package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// quarantine makes a worker with a label fail three short jobs that may run only there, and then
// succeed again.
func (b *simCell) quarantine(worker string) {
	w := b.workers[worker]
	w.info.Labels = append(w.info.Labels, "bad")
	b.list()
	for i := range 3 {
		st := scan(1)
		st.Label = "bad"
		b.submit(fmt.Sprintf("lost%d", i), "scan", st)
	}
	b.failRuns(300*time.Millisecond, func(w string, n flow.Name) bool { return w == worker && strings.HasPrefix(n.Job, "lost") })
	for i := range 3 {
		b.cancel(fmt.Sprintf("lost%d", i))
	}
}

// Guards against a worker that stays in quarantine for good because a lasting task runs there. The
// other kind is without a failure.
func TestQuarantineEndsBesideLastingTask(t *testing.T) {
	for _, kind := range []string{"healthy", "quarantined"} {
		t.Run(kind, func(t *testing.T) {
			b := newSimCell(t, 2)
			b.occupy(1, "w00")
			b.occupy(0.25, "w01")
			if kind == "quarantined" {
				b.quarantine("w01")
			}
			b.submit("a", "scan", scan(4))
			b.advance(60 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"))
		})
	}
}

// Guards against a worker that stays in quarantine for good because its trial task lasts.
func TestQuarantineEndsAfterLastingTrial(t *testing.T) {
	for _, kind := range []string{"healthy", "quarantined"} {
		t.Run(kind, func(t *testing.T) {
			b := newSimCell(t, 2)
			b.occupy(1, "w00")
			if kind == "quarantined" {
				b.quarantine("w01")
			}
			b.submit("trial", "scan", lasting(cell.Size{CPU: 5_000, Mem: 16 << 30}, ""))
			b.advance(20 * time.Second)
			require.Equal(t, flow.Active, b.state("trial"))
			b.submit("a", "scan", scan(4))
			b.advance(60 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"))
		})
	}
}

// Guards against a gang that waits for good because the worker that it needs gets one task at a
// time after a quarantine.
func TestGangMayBeTrialAfterQuarantine(t *testing.T) {
	b := newSimCell(t, 2)
	b.occupy(1, "w00")
	b.quarantine("w01")
	b.submit("a", "scan", gangOf(scan(4)))
	b.advance(20 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}

// Guards against small tasks that wait for good beside capacity that is held for a gang whose third
// worker has died. The other kind is with the worker alive.
func TestNothingIsHeldForGangThatLostItsWorker(t *testing.T) {
	for _, kind := range []string{"alive", "dead"} {
		for _, queue := range []string{"scan", "print"} {
			t.Run(kind+"_"+queue, func(t *testing.T) {
				b := newSimCell(t, 5)
				b.occupy(1, "w00", "w01")
				if kind == "dead" {
					b.workers["w04"].dead = true
					b.list()
					b.advance(15 * time.Second)
				}
				b.submit("gang", "scan", gangOf(wholeWorker(3)))
				b.submit("a", queue, scan(2))
				b.advance(60 * time.Second)
				require.Equal(t, flow.Completed, b.state("a"))
			})
		}
	}
}

// Guards against small tasks that wait for good beside capacity that is held for a gang whose other
// worker is in quarantine. The other kind is without a failure.
func TestNothingIsHeldForGangWhoseWorkerIsQuarantined(t *testing.T) {
	for _, kind := range []string{"healthy", "quarantined"} {
		t.Run(kind, func(t *testing.T) {
			b := newSimCell(t, 4)
			b.occupy(1, "w00", "w01")
			b.occupy(0.25, "w03")
			if kind == "quarantined" {
				b.quarantine("w03")
			}
			st := gangOf(wholeWorker(2))
			st.Size.CPU = 40_000
			b.submit("gang", "scan", st)
			small := scan(2)
			small.Size.CPU = 30_000
			b.submit("a", "print", small)
			b.advance(60 * time.Second)
			require.Equal(t, flow.Completed, b.state("a"))
		})
	}
}

// Guards against small tasks that wait beside capacity that is held on a worker for a wide task that
// avoids it.
func TestNothingIsHeldOnAvoidedWorker(t *testing.T) {
	b := newSimCell(t, 3)
	b.occupy(1, "w01", "w02")
	b.submit("wide", "scan", wholeWorker(1))
	b.failRuns(500*time.Millisecond, onceOn("w00", "wide"))
	require.Empty(t, b.workers["w00"].runs)
	b.submit("a", "print", scan(2))
	b.advance(1500 * time.Millisecond)
	require.Equal(t, flow.Completed, b.state("a"))
	b.advance(6 * time.Second)
	require.Equal(t, flow.Completed, b.state("wide"))
}

// Guards against small tasks that wait as long as the policy service is away beside capacity that
// is held for wide tasks without tickets.
func TestNothingIsHeldForWideTasksWithoutTickets(t *testing.T) {
	b := newSimCell(t, 4)
	b.queues[0].Advice = &flow.Advice{Base: 24 * time.Millisecond, PerWorker: 340 * time.Microsecond, Valid: 2 * time.Second}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.occupy(1, "w00", "w01")
	b.submit("wide", "scan", wholeWorker(6))
	b.advance(500 * time.Millisecond)
	require.Equal(t, flow.Active, b.state("wide"))
	b.queryTime = func(sched.QueryPolicy) time.Duration { return time.Hour }
	b.advance(5 * time.Second)
	b.submit("a", "print", scan(2))
	b.advance(30 * time.Second)
	require.Equal(t, flow.Completed, b.state("a"))
}
