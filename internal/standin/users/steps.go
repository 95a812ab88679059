package users

import (
	"fmt"
	"strings"
	"time"
)

// Step is what workers and their checker know of a task's step, because orders do not contain it.
type Step struct {
	// MaxPerWorker is the maximum number of runs of the step on one worker. Zero means no limit.
	MaxPerWorker int
	// Label is a label that the worker must have, if not empty.
	Label string
	// AllowCopies reports whether a task may have several runs at the same time and may run
	// again after its end.
	AllowCopies bool
	// GangSize is the number of tasks if these end together, otherwise zero.
	GangSize int
	// Work is how long a task runs; zero means as long as the worker's other tasks.
	Work time.Duration
}

// DescribeSteps sets the function that returns the step of a task. Without it no step has limits.
func (o *InvariantChecker) DescribeSteps(of func(task string) Step) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stepOf = of
}

func (o *InvariantChecker) step(task string) Step {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stepOf(task)
}

// stepName returns the part of a task's name that names its step of one round of the job.
func stepName(task string) string { return task[:max(strings.LastIndexByte(task, '.'), 0)] }

// checkApart records a violation if the start of a task exceeds its step's limit on the worker. mu
// is held.
func (o *InvariantChecker) checkApart(task, worker string, limit int) {
	if limit == 0 {
		return
	}
	count := 0
	for t := range o.at {
		if stepName(t) != stepName(task) {
			continue
		}
		for _, name := range o.counted(t) {
			if name == worker {
				count++
			}
		}
	}
	if count > limit {
		o.violations = append(o.violations, fmt.Sprintf("%s runs %d tasks of step %s, which allows %d, after the start of %s", worker, count, stepName(task), limit, task))
	}
}

// gangTimeout is how long a member of a gang waits for the others before it ends as alone.
const gangTimeout = 3 * time.Second

// gangRun identifies one run of a gang.
type gangRun struct {
	step string
	run  int
}

// membersPresent returns how many members of a gang's run are on workers.
func (o *InvariantChecker) membersPresent(k runKey) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.present[gangRun{stepName(k.task), k.run}])
}

// memberBegan notes that a member of a gang is on a worker.
func (o *InvariantChecker) memberBegan(k runKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := gangRun{stepName(k.task), k.run}
	if o.present[g] == nil {
		o.present[g] = map[string]bool{}
	}
	o.present[g][k.task] = true
}

// memberDue notes that a member of a gang has done its work. It returns the functions that end the
// members once all of them have, because they end together.
func (o *InvariantChecker) memberDue(k runKey, size int, end func()) []func() {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := gangRun{stepName(k.task), k.run}
	if o.due[g] == nil {
		o.due[g] = map[string]func(){}
	}
	o.due[g][k.task] = end
	if len(o.due[g]) < size {
		return nil
	}
	var all []func()
	for _, f := range o.due[g] {
		all = append(all, f)
	}
	return all
}
