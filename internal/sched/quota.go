package sched

import (
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/quota"
)

// quotaRun returns what a run of a task of the step uses of its organisation's quota.
func quotaRun(j *flow.Job, st flow.Step) quota.Run {
	return quota.Run{Organisation: j.Spec.Organisation, Size: st.Size, Lasts: st.LongRunning}
}

// quotaAllows reports whether the organisation's quota allows to start another task of the step, or
// all members of a gang.
func (s *Sched) quotaAllows(r readyStep) bool {
	return s.usage.Fits(r.job.Spec.Organisation, r.stage.Spec.QuotaNeed())
}

const (
	// holdShare is the share of its quota from which an organisation's later steps wait behind one
	// that its quota holds back. Below it the platform guarantees that no job has nothing running
	// for three seconds beside free capacity.
	holdShare = 0.5
	// wideHold is for how long they wait nevertheless for a gang that needs more than that share,
	// and wideHoldInterval the time from one such wait to the next.
	wideHold         = 2 * time.Second
	wideHoldInterval = 6 * time.Second
)

// splitHeld removes the steps that their organisation's quota holds back, so that nothing is
// reserved, queried or stopped for them. The steps are in order. A step that fits waits behind an
// earlier one of its organisation that does not: otherwise small tasks would take what ends each
// time, and a gang would wait forever. An earlier step that does not even fit beside the tasks that
// do not end holds back nothing.
func (s *Sched) splitHeld(steps []readyStep) (placeable, held []readyStep) {
	waitsFor := map[string]bool{}
	for _, r := range steps {
		o := r.job.Spec.Organisation
		switch {
		case !s.quotaAllows(r):
			held = append(held, r)
			waitsFor[o] = waitsFor[o] || s.holdsBack(o, r.stage.Spec.QuotaNeed())
		case waitsFor[o]:
			held = append(held, r)
		default:
			placeable = append(placeable, r)
		}
	}
	return placeable, held
}

// holdsBack reports whether later steps of an organisation wait for one that its quota holds back
// and that needs that much.
func (s *Sched) holdsBack(organisation string, need cell.Size) bool {
	switch {
	case !s.usage.FitsBesideLasting(organisation, need):
		return false
	case s.usage.Share(organisation) >= holdShare:
		return true
	case need.DominantShare(s.usage.Quota(organisation)) <= holdShare:
		return false
	}
	since, ok := s.wideHolds[organisation]
	if !ok || s.now.Sub(since) >= wideHoldInterval {
		since = s.now
		s.wideHolds[organisation] = since
	}
	return s.now.Sub(since) < wideHold
}

// recallAboveQuota requeues unsent starts of organisations that have more running than their quota
// allows since it was lowered, the least urgent first. Runs that may have begun are not stopped:
// their work would be lost, and they end by themselves.
func (s *Sched) recallAboveQuota() {
	for _, t := range s.unsentStarts(s.sortedWorkers()...) {
		if t.State == flow.Assigned && !s.usage.Fits(t.Job.Spec.Organisation, cell.Size{}) {
			s.requeueTask(t, "quota lowered before the start")
		}
	}
}

// maxUnstoredShare is the largest share of its quota that an organisation may have started before
// it is stored. A successor does not know of these runs, so they may come on top of the quota.
const maxUnstoredShare = 0.05

// mayStartUnstored reports whether a run may start before it is stored, and counts it if so.
func (s *Sched) mayStartUnstored(t *flow.Task) bool {
	o := t.Job.Spec.Organisation
	if !s.usage.Limits(o) {
		return true
	}
	sum := s.nextBatch.unstoredSizes[o].Add(t.Spec().Size)
	for _, b := range s.inFlight {
		sum = sum.Add(b.unstoredSizes[o])
	}
	if sum.DominantShare(s.usage.Quota(o)) > maxUnstoredShare {
		return false
	}
	s.nextBatch.unstoredSizes[o] = s.nextBatch.unstoredSizes[o].Add(t.Spec().Size)
	return true
}
