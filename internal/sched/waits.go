package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pollencroft/internal/flow"
)

// WaitReason is what a step with startable tasks waits for.
type WaitReason int

// The waitReasonCount.
const (
	// WaitForHost is waiting for a host that can query the policy service, WaitForPolicy for the
	// answer of the service, WaitForCapacity for a worker that the step may use and that has free
	// capacity.
	WaitForHost WaitReason = iota
	WaitForPolicy
	WaitForCapacity
	// WaitForQuota is waiting until the organisation has less running.
	WaitForQuota
	waitReasonCount
)

var reasonNames = [waitReasonCount]string{"host", "advice", "room", "quota"}

// String returns the reason for logs and metrics.
func (r WaitReason) String() string { return reasonNames[r] }

// WaitTimes holds waiting times by reason.
type WaitTimes [waitReasonCount]time.Duration

// Total is the sum over all reasons.
func (w WaitTimes) Total() time.Duration {
	var sum time.Duration
	for _, d := range w {
		sum += d
	}
	return sum
}

// String returns the times that are not zero, for logs.
func (w WaitTimes) String() string {
	var all []string
	for r, d := range w {
		if d > 0 {
			all = append(all, fmt.Sprintf("%s %s", WaitReason(r), d.Round(time.Millisecond)))
		}
	}
	return strings.Join(all, ", ")
}

// firstWaitNote is the waiting time after which a step is logged for the first time, and again each
// time the wait has doubled: longer than anything urgent may take, and rare enough in a full cell.
const firstWaitNote = 4 * time.Second

// stepWait is a waiting step, with its waiting times up to accountedUntil and the reason for which
// it waits since then. It is logged once its total waiting time reaches nextNote.
type stepWait struct {
	times          WaitTimes
	accountedUntil time.Time
	reason         WaitReason
	nextNote       time.Duration
	rank           int
}

// accountWaits adds the time since the last pass to each step's current wait reason, and reports
// steps whose tasks have all been placed. Start times alone don't show why a job is late: it may
// have waited for capacity, for the policy service, or for a host to query it.
func (s *Sched) accountWaits(steps, held []readyStep) {
	for _, r := range steps {
		s.accountWait(r, s.waitReason(r))
	}
	for _, r := range held {
		s.accountWait(r, WaitForQuota)
	}
}

func (s *Sched) accountWait(r readyStep, reason WaitReason) {
	w, ok := s.waits[r.stage]
	if !ok {
		w = &stepWait{accountedUntil: s.now, nextNote: firstWaitNote, rank: r.queue.Rank}
		s.waits[r.stage] = w
	}
	w.times[w.reason] += s.now.Sub(w.accountedUntil)
	w.accountedUntil, w.reason = s.now, reason
	if !r.stage.AnyWaiting() {
		s.endWait(r.job, r.stage)
		s.emit(StepWaited{Rank: r.queue.Rank, Times: w.times})
		return
	}
	if total := w.times.Total(); total >= w.nextNote {
		w.nextNote = 2 * total
		left, objective := s.remainingTime(r.job, r.stage, r.queue), s.objective(r.job, r.queue)
		detail := fmt.Sprintf("%s; needs %s from here, objective %s", w.times, left.Round(time.Millisecond), objective.Round(time.Millisecond))
		if reason == WaitForQuota {
			detail += "; " + s.usage.Describe(r.job.Spec.Organisation)
		}
		if i := slices.IndexFunc(r.stage.Tasks, func(t *flow.Task) bool { return t.State == flow.Waiting }); i >= 0 {
			detail += s.describeObstacles(r, r.stage.Tasks[i])
		}
		s.emit(Note{ID: r.stage.Tasks[0].Name.StepName(), What: "step waits", Detail: detail,
			Queue: r.queue.Name, Organisation: r.job.Spec.Organisation, Reason: reason.String()})
	}
}

// waitReason returns what a step waits for in this pass.
func (s *Sched) waitReason(r readyStep) WaitReason {
	a, ok := s.advice[r.stage]
	switch {
	case !s.quotaAllows(r):
		return WaitForQuota
	case r.queue.Advice == nil, s.hasTicket(r):
		return WaitForCapacity
	case ok && !a.queriedAt.IsZero():
		return WaitForPolicy
	case s.hosts.NoneFree(s.queryKind(r)):
		return WaitForHost
	default:
		return WaitForCapacity
	}
}

// jobStarted reports how long a job waited from its acceptance to its first start.
func (s *Sched) jobStarted(j *flow.Job) {
	s.emit(JobStarted{Rank: s.queue(j).Rank, After: s.now.Sub(j.Accepted)})
}
