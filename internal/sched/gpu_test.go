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

// newGPUCell returns a cell of workers with eight GPUs each and two queues whose steps need
// permission by the policy service: render, with gangs whose members need up to a whole worker
// each, and size, with single-GPU tasks, which is less urgent. The cost of queries and the shares
// of allowed workers are those in the data sheet of an inspection firm.
func newGPUCell(t *testing.T, workers int) *simCell {
	b := newSimCell(t, 0)
	for i := range workers {
		w := b.addWorker(fmt.Sprintf("w%02d", i), i)
		w.info.Size = cell.Size{CPU: 128_000, Mem: 512 << 30, Accel: 8}
	}
	b.list()
	b.queues = []flow.Queue{
		{
			Name: "render", Service: "pass", Rank: 1, Attempts: 3, Stretch: 2.2, Slack: time.Second,
			Advice: &flow.Advice{Base: 490 * time.Millisecond, PerWorker: 7 * time.Millisecond, Valid: 2 * time.Second},
		},
		{
			Name: "size", Service: "pass", Rank: 2, Attempts: 3, Stretch: 4, Slack: 3 * time.Second,
			Advice: &flow.Advice{Base: 140 * time.Millisecond, PerWorker: 2 * time.Millisecond, Valid: 2 * time.Second},
		},
	}
	b.step(sched.Queues{Version: 2, All: b.queues})
	b.queryTime = func(a sched.QueryPolicy) time.Duration {
		return b.specs[jobOf(a.Step)].Queue.Advice.Cost(len(a.Workers))
	}
	return b
}

func render(members int, gpus int64) flow.Step {
	return flow.Step{Tasks: members, Size: cell.Size{CPU: 62_000, Mem: 180 << 30, Accel: gpus}, EstimatedTime: 3600 * time.Millisecond, Gang: true, Checkpoints: true}
}

func size(tasks int) flow.Step {
	return flow.Step{Tasks: tasks, Size: cell.Size{CPU: 11_000, Mem: 33 << 30, Accel: 1}, EstimatedTime: 3800 * time.Millisecond, Checkpoints: true}
}

// Gangs wait for whole workers that the policy service allows them, and they need more than all
// processors. Steps of single GPUs start all the same if other workers have capacity. When the
// needs of the blocked steps were subtracted from the capacity that may be queried about, no query
// was sent for the others: at the measured load of an inspection firm 100 tasks waited for half a
// minute beside a third of all GPUs.
func TestBlockedStepsDoNotBlockOthers(t *testing.T) {
	b := newGPUCell(t, 8)
	gangs := map[string]bool{}
	b.allows = func(step, worker string) bool {
		if gangs[step] {
			return worker == "w00"
		}
		return true
	}
	for i := range 12 {
		id := fmt.Sprintf("gang%02d", i)
		gangs[id+".0.0"] = true
		b.submit(id, "render", render(2, 8))
	}
	b.submit("size", "size", size(8))
	b.advance(18 * time.Second) // the time promised to a caller of size
	require.Equal(t, flow.Completed, b.state("size"))
	require.Empty(t, b.violations)
}

// A query about a gang takes the policy service half a second, however many workers it names. If
// each query named only a few workers, a gang would need three or four until it finds the one it
// may use, and all hosts would be busy with such queries. One query for each step covers all
// workers.
func TestOneQueryCoversAllWorkersWhenCheap(t *testing.T) {
	b := newGPUCell(t, 8)
	b.allows = func(_, worker string) bool { return worker == "w00" }
	for i := range 6 {
		b.submit(fmt.Sprintf("gang%02d", i), "render", render(2, 8))
	}
	b.advance(10 * time.Second)
	require.Len(t, b.queries, 6)
}

// Gangs that need a whole worker each wait for the only one, and the policy service takes half a
// second for a query. If each gang queried only when the worker is free, the worker would be idle
// for that time before each of them; with prefetched tickets, only before the first.
func TestTicketsArePrefetchedForFullWorker(t *testing.T) {
	b := newGPUCell(t, 1)
	const gangs = 4
	for i := range gangs {
		b.submit(fmt.Sprintf("gang%d", i), "render", render(1, 8))
	}
	question := b.queues[0].Advice.Cost(1)
	b.advance(gangs*render(1, 8).EstimatedTime + 2*question)
	for i := range gangs {
		require.Equal(t, flow.Completed, b.state(fmt.Sprintf("gang%d", i)))
	}
}

// While only bulk waits, all hosts but one may query for it. While scans arrive, as many hosts as
// they need are reserved for them, so that no scan waits behind a query of half a second. With four
// of nine hosts always reserved for scans that needed half of one, bulk waited half a minute beside
// idle workers.
func TestHostsAreReservedForUrgentQueries(t *testing.T) {
	b := newGPUCell(t, 13)
	b.step(sched.Hosts{Names: []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}})
	for i := range 12 {
		b.submit(fmt.Sprintf("gang%02d", i), "render", render(1, 4))
	}
	b.advance(100 * time.Millisecond)
	require.Len(t, b.queries, 8)

	b = newGPUCell(t, 13)
	b.queues = append(b.queues, flow.Queue{
		Name: "scan", Service: "pass", Attempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond,
		Advice: &flow.Advice{Base: 12 * time.Millisecond, PerWorker: 180 * time.Microsecond, Valid: 2 * time.Second},
	})
	b.step(sched.Queues{Version: 3, All: b.queues})
	b.step(sched.Hosts{Names: []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}})
	began := map[string]time.Time{}
	for i := range 100 {
		if i%5 == 0 {
			b.submit(fmt.Sprintf("gang%02d", i), "render", render(1, 4))
		}
		id := fmt.Sprintf("scan%02d", i)
		b.submit(id, "scan", scan(1))
		began[id] = b.now
		b.advance(20 * time.Millisecond)
	}
	// The query, the append, the work and its end.
	b.advance(1200 * time.Millisecond)
	for id := range began {
		require.Equal(t, flow.Completed, b.state(id), id)
	}
}

// wide is a step of one task that needs all GPUs of a worker.
func wide() flow.Step {
	st := render(1, 8)
	st.Gang = false
	return st
}

// timeWideTask keeps a cell full of single-GPU tasks, with more of them waiting than there is
// capacity for, of jobs that have time to spare. It then submits a wide task that is allowed on one
// worker only, and returns how long that task took.
func timeWideTask(t *testing.T, single flow.Step) time.Duration {
	b := newGPUCell(t, 2)
	b.allows = func(step, worker string) bool { return step != "wide.0.0" || worker == "w00" }
	n := 0
	more := func() {
		b.submit(fmt.Sprintf("size%03d", n), "size", single)
		n++
		b.advance(200 * time.Millisecond)
	}
	for range 20 {
		more()
	}
	b.submit("wide", "render", wide())
	began := b.now
	for b.state("wide") != flow.Completed && b.now.Sub(began) < time.Minute {
		more()
	}
	require.Empty(t, b.violations)
	return b.now.Sub(began)
}

// Single-GPU tasks arrive continuously and take every GPU that is released. A task that needs a
// whole worker would never find one empty. It gets one within the time that its caller was
// promised, because the capacity released on its worker is reserved for it.
func TestCapacityIsReservedForWideTask(t *testing.T) {
	single := size(1)
	single.Checkpoints = false
	// 2.2 times its work plus one second.
	require.Less(t, timeWideTask(t, single), 8900*time.Millisecond)
}

// The same, but the small tasks save their progress and have time to spare. The wide task is more
// urgent and doesn't wait for them: it begins after its query and the stops.
func TestBulkIsPreemptedForUrgentTask(t *testing.T) {
	question, stop := 560*time.Millisecond, time.Second
	require.Less(t, timeWideTask(t, size(1)), question+stop+wide().EstimatedTime)
}

func jobOf(step string) string {
	id, _, _ := strings.Cut(step, ".")
	return id
}

// A worker is occupied for eight seconds, and a job waits for it. The reported waiting times show
// how long the job waited for the policy service and how long for capacity, and a log line reports
// it while it still waits.
func TestStepReportsWaitReasons(t *testing.T) {
	b := newGPUCell(t, 1)
	long := wide()
	long.EstimatedTime, long.Checkpoints = 8*time.Second, false
	b.submit("first", "render", long)
	b.advance(time.Second)
	require.Len(t, b.stepWaits, 1)
	question := b.queues[0].Advice.Cost(1)
	require.InDelta(t, question.Seconds(), b.stepWaits[0].Times[sched.WaitForPolicy].Seconds(), 0.05)
	require.Zero(t, b.stepWaits[0].Times[sched.WaitForCapacity])

	b.submit("second", "render", wide())
	b.advance(6 * time.Second)
	require.Len(t, b.longWaits, 1)
	require.Equal(t, "second.0.0", b.longWaits[0].ID)
	require.Contains(t, b.longWaits[0].Detail, "room 3")
	b.advance(4 * time.Second)
	require.Len(t, b.stepWaits, 2)
	// The rest of eight seconds, part of which is spent on queries for tickets.
	require.InDelta(t, 7.55, b.stepWaits[1].Times.Total().Seconds(), 0.1)
	require.Greater(t, b.stepWaits[1].Times[sched.WaitForCapacity], b.stepWaits[1].Times[sched.WaitForPolicy])
	require.Equal(t, 1, b.stepWaits[1].Rank)
	require.Len(t, b.jobStarts, 2)
	require.InDelta(t, 7.6, b.jobStarts[1].After.Seconds(), 0.1)
}
