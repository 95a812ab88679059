package lead

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/takeover"
)

// expectedHandover is a handover that a peer may send. It is valid only in the epoch in which its
// token was issued.
type expectedHandover struct {
	token string
	epoch int64
}

// StaleHandoverError reports that a handover was sent before an event that makes it invalid: an
// inventory, the loss of all workers, or a newer token.
type StaleHandoverError struct{ From string }

func (e *StaleHandoverError) Error() string { return "hand-over from " + e.From + " is out of date" }

// ExpectHandover returns the token that a peer must send with its next handover. A message may stay
// in the socket buffers of a paused host for any time; the token keeps such an outdated state from
// being accepted as current.
func (l *Leader) ExpectHandover(from string) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch := l.currentEpoch()
	switch {
	case l.leaving:
		return "", &LeavingError{}
	case epoch == 0:
		return "", &NoWorkerError{}
	}
	e := expectedHandover{token: cell.NewID(), epoch: epoch}
	l.expectedHandovers[from] = e
	return e.token, nil
}

// Adopt continues jobs that their leader, which is alive, handed over. It refuses them while this
// host holds no worker, because then it cannot tell whether its peers considered it dead.
func (l *Leader) Adopt(from, token string, jobs []job.Snapshot) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return &LeavingError{}
	}
	epoch := l.currentEpoch()
	if epoch == 0 {
		return &NoWorkerError{}
	}
	if l.expectedHandovers[from] != (expectedHandover{token: token, epoch: epoch}) {
		return &StaleHandoverError{From: from}
	}
	delete(l.expectedHandovers, from)
	l.adopt(jobs, "handed over by its former lead")
	return nil
}

// TakeBack leads jobs again that were handed over in that epoch and that the receiving host
// refused.
func (l *Leader) TakeBack(jobs []job.Snapshot, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return &LeavingError{}
	}
	if l.currentEpoch() != epoch {
		return &NoWorkerError{}
	}
	l.adopt(jobs, "taken back")
	return nil
}

func (l *Leader) adopt(jobs []job.Snapshot, how string) {
	for _, c := range jobs {
		l.stepTakeover(takeover.GoneJob{Job: c.Spec.ID})
		l.Count("lead.adopted")
		l.addNote(c.Spec.ID, how)
		l.stepJobs(job.Adopt{Snapshot: c})
	}
	l.replayReadings()
}

// HandOver stops leading jobs. It returns their full state for the next leader, and the epoch in
// which that state is valid. It skips jobs that wait for an inventory, because their state is
// unknown.
func (l *Leader) HandOver(ids []string) ([]job.Snapshot, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []job.Snapshot
	epoch := l.currentEpoch()
	for _, id := range ids {
		if c, ok := l.Jobs.Snapshot(id); ok {
			l.Count("lead.handed")
			l.addNote(id, "handed over")
			l.dropJob(id, false)
			c.HandoverID = cell.NewID()
			all = append(all, c)
		}
	}
	return all, epoch
}
