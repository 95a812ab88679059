package sched

import (
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

// holdShare is the share of its quota from which an organisation's later steps wait behind one that
// its quota holds back. Below it the platform guarantees that no job waits beside free capacity.
const holdShare = 0.5

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
		case !s.usage.Limits(o):
			placeable = append(placeable, r)
		case !s.quotaAllows(r):
			held = append(held, r)
			if need := r.stage.Spec.QuotaNeed(); s.usage.FitsBesideLasting(o, need) {
				wide := need.DominantShare(s.usage.Quota(o)) > holdShare
				waitsFor[o] = waitsFor[o] || wide || s.usage.Share(o) >= holdShare
			}
		case waitsFor[o]:
			held = append(held, r)
		default:
			placeable = append(placeable, r)
		}
	}
	return placeable, held
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
