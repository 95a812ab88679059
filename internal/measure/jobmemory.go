package measure

import (
	"fmt"
	"runtime"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/place"
)

// tasksAJob is how many tasks each job of JobMemory has.
const tasksAJob = 10

// JobMemory returns the bytes that one waiting task takes in a lead's cores,
// on average over that many tasks in jobs of ten.
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
