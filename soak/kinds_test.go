package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"pollencroft/internal/standin/users"
)

// step is a step of a job in the form in which callers submit it. The workers take the estimate as
// the run time.
type step struct {
	Count           int    `json:"count"`
	CPU             int64  `json:"cpu"`
	MemMb           int64  `json:"memMb"`
	EstimateMs      int64  `json:"estimateMs"`
	After           []int  `json:"after,omitempty"`
	Gang            bool   `json:"gang,omitempty"`
	Requires        string `json:"requires,omitempty"`
	AntiAffinity    int    `json:"antiAffinity,omitempty"`
	AllowDuplicates bool   `json:"allowDuplicates,omitempty"`
}

// rareLabel is a label that a third of the workers have.
const rareLabel = "b"

// kinds lists the steps of the jobs of each kind. The first hexadecimal digit of a job's id is its
// kind. Most steps that are kept apart have more tasks than may run at the same time, so that some
// wait for a worker at any time.
var kinds = [][]step{
	{sized(step{Count: 4}, taskTime), sized(step{Count: 3, After: []int{0}}, taskTime)},
	{sized(step{Count: 12, AntiAffinity: 1, AllowDuplicates: true}, longTaskTime)},
	{sized(step{Count: 20, AntiAffinity: 2, AllowDuplicates: true}, longTaskTime)},
	{sized(step{Count: 8, AntiAffinity: 1}, longTaskTime)},
	{sized(step{Count: 4, AntiAffinity: 1, Gang: true}, longTaskTime)},
	{sized(step{Count: 4, AntiAffinity: 2, Gang: true, AllowDuplicates: true}, longTaskTime)},
	{sized(step{Count: 4, AntiAffinity: 1, AllowDuplicates: true, Requires: rareLabel}, longTaskTime)},
	{sized(step{Count: 6, AntiAffinity: 2, Requires: rareLabel}, longTaskTime)},
}

func sized(s step, work time.Duration) step {
	s.CPU, s.MemMb, s.EstimateMs = users.TaskCPU, 256, work.Milliseconds()
	return s
}

// jobID returns the id of the nth job of a kind.
func jobID(kind, n int) string { return fmt.Sprintf("%x%015x", kind, n) }

// stepsOf returns the steps of a job.
func stepsOf(job string) []step {
	kind, err := strconv.ParseUint(job[:1], 16, 8)
	if kind == givenUpKind {
		return givenUpSteps
	}
	if err != nil || int(kind) >= len(kinds) {
		return nil
	}
	return kinds[kind]
}

// bodyOf returns the body with which a job is submitted.
func bodyOf(job string) string {
	// Marshal cannot fail for these types.
	b, _ := json.Marshal(map[string]any{"spec": "text", "steps": stepsOf(job)})
	return string(b)
}

// stepOf returns what the workers and their checker must know of a task's step.
func stepOf(task string) users.Step {
	var round, i, index int
	id, rest, _ := strings.Cut(task, ".")
	if n, _ := fmt.Sscanf(rest, "%d.%d.%d", &round, &i, &index); n != 3 || i >= len(stepsOf(id)) {
		return users.Step{}
	}
	s := stepsOf(id)[i]
	d := users.Step{MaxPerWorker: s.AntiAffinity, Label: s.Requires, AllowCopies: s.AllowDuplicates, Work: time.Duration(s.EstimateMs) * time.Millisecond}
	if s.Gang {
		d.GangSize = s.Count
	}
	return d
}

// runApart submits a job whose steps are kept apart several times a second until ctx ends. Few of
// them belong to the organisation with a quota, whose jobs take long already.
func (a *callers) runApart(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		n := 2*i + 1
		if i%16 == 0 {
			n--
		}
		id := jobID(1+r.IntN(len(kinds)-1), n)
		first, second := a.c.anyHost(r), a.c.anyHost(r)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(200+r.IntN(600)) * time.Millisecond):
		}
		wg.Go(func() { a.submit(id, []*host{first, second}) })
	}
}
