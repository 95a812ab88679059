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

// gpuBench is a cell of workers with eight GPUs and two queues whose steps the policy
// service has to allow: render, of gangs that want up to a whole worker for each member,
// and size, of single GPUs, which is less urgent. Costs of questions and shares of allowed
// workers are those of an inspection firm's sheet.
func gpuBench(t *testing.T, workers int) *simCell {
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

// Gangs wait for whole workers that the policy service allows them, and there are more
// of them than all processors could hold. Steps of single GPUs that other workers have
// room for start all the same. When what waits before them was taken from the room that
// may be asked about, nobody asked for them: at an inspection firm's measured load 100
// tasks waited half a minute beside a third of all GPUs.
func TestStepsThatCannotStartDoNotHideOthers(t *testing.T) {
	b := gpuBench(t, 8)
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
	b.advance(18 * time.Second) // what a caller of size is promised
	require.Equal(t, flow.Completed, b.state("size"))
	require.Empty(t, b.violations)
}

// A question about a gang takes the policy service half a second whatever it names. Asked
// about a few workers at a time, a gang would ask three or four times until it finds the
// one that it may use, and every host would be busy with such questions. One question
// for each step tells all there is to know.
func TestAQuestionLearnsOfAllWorkersWhileThatIsCheap(t *testing.T) {
	b := gpuBench(t, 8)
	b.allows = func(_, worker string) bool { return worker == "w00" }
	for i := range 6 {
		b.submit(fmt.Sprintf("gang%02d", i), "render", render(2, 8))
	}
	b.advance(10 * time.Second)
	require.Len(t, b.queries, 6)
}

// Gangs that take a whole worker each wait for the only one, and the policy service takes
// half a second for a question. Asked when the worker is free, each gang leaves it idle
// for that time; with a ticket got before, only the first one does.
func TestTicketsAreGotWhileAWorkerIsStillFull(t *testing.T) {
	b := gpuBench(t, 1)
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

// Bulk alone waits: all hosts but one ask for it. While scans keep asking, as many hosts
// as they need are left to them, and no scan waits behind a question of half a second.
// Four hosts of nine were kept for scans that took half of one; bulk waited half a minute
// beside idle workers.
func TestHostsAreKeptForUrgentQuestionsAsTheyNeed(t *testing.T) {
	b := gpuBench(t, 13)
	b.step(sched.Hosts{Names: []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"}})
	for i := range 12 {
		b.submit(fmt.Sprintf("gang%02d", i), "render", render(1, 4))
	}
	b.advance(100 * time.Millisecond)
	require.Len(t, b.queries, 8)

	b = gpuBench(t, 13)
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
	// The question, the append, the work and its end.
	b.advance(1200 * time.Millisecond)
	for id := range began {
		require.Equal(t, flow.Completed, b.state(id), id)
	}
}

// wide is one task that takes all GPUs of a worker.
func wide() flow.Step {
	st := render(1, 8)
	st.Gang = false
	return st
}

// flood keeps a cell full of tasks of one GPU, with more of them waiting than there is
// room for, of jobs that have time to spare. Only one worker is allowed for the wide task
// that comes then. It returns how long that one took.
func flood(t *testing.T, single flow.Step) time.Duration {
	b := gpuBench(t, 2)
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

// Tasks of one GPU come without end and take every GPU that is given back. A task that
// wants all of a worker would never see one empty; it gets one in the time that its
// caller was promised, since what is given back on its worker is held for it.
func TestRoomIsHeldForAWideTask(t *testing.T) {
	single := size(1)
	single.Checkpoints = false
	// 2.2 times its work and a second.
	require.Less(t, flood(t, single), 8900*time.Millisecond)
}

// The same, but the small tasks save their progress and have time to spare. The wide task
// is more urgent and does not wait for them: it begins after its question and the stops.
func TestBulkGivesWayToMoreUrgentTasks(t *testing.T) {
	question, stop := 560*time.Millisecond, time.Second
	require.Less(t, flood(t, size(1)), question+stop+wide().EstimatedTime)
}

func jobOf(step string) string {
	id, _, _ := strings.Cut(step, ".")
	return id
}

// A worker is taken for eight seconds, and a job that wants it waits. Whoever asks why it is
// late learns how long it waited for the policy service's answer and how long for room; a
// line tells of it while it still waits.
func TestAStepTellsWhatItWaitsFor(t *testing.T) {
	b := gpuBench(t, 1)
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
	// The rest of eight seconds, of which the questions for tickets take a part.
	require.InDelta(t, 7.55, b.stepWaits[1].Times.Total().Seconds(), 0.1)
	require.Greater(t, b.stepWaits[1].Times[sched.WaitForCapacity], b.stepWaits[1].Times[sched.WaitForPolicy])
	require.Equal(t, 1, b.stepWaits[1].Rank)
	require.Len(t, b.jobStarts, 2)
	require.InDelta(t, 7.6, b.jobStarts[1].After.Seconds(), 0.1)
}
