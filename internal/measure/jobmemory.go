package measure

import (
	"fmt"
	"runtime"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/place"
)

// tasksAJob is the number of tasks in each job of JobMemory.
const tasksAJob = 10

// JobMemory returns the average number of bytes that a waiting task occupies in the leader's job
// and placement state machines, measured over the given number of tasks in jobs of ten.
func JobMemory(tasks int) float64 {
	now := time.Unix(1_700_000_000, 0)
	jobs, placer := job.New(), place.New(place.DefaultLimits)
	before := heapBytes()
	for i := range tasks / tasksAJob {
		spec := job.Spec{
			ID: fmt.Sprintf("halle-nord.r0.%036d", i), Row: "print", Tasks: tasksAJob, Tries: 3, Class: cell.Bulk,
			Size: cell.Size{CPU: 1000, Mem: 1 << 30}, Time: cell.Duration{Duration: time.Minute},
		}
		for _, a := range jobs.Step(now, job.Submit{Spec: spec}) {
			if w, ok := a.(job.RequestPlacement); ok {
				placer.Step(now, place.Request{Job: spec.ID, Row: spec.Row, Class: spec.Class, Size: spec.Size, Tasks: w.Tasks})
			}
		}
	}
	after := heapBytes()
	runtime.KeepAlive(jobs)
	runtime.KeepAlive(placer)
	return float64(after-before) / float64(tasks)
}
