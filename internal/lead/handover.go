package lead

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/takeover"
)

// expectedHandover is a hand-over that a peer was promised to be heard for. Epoch is the one in which
// it was.
type expectedHandover struct {
	token string
	epoch int64
}

// StaleHandoverError tells that a hand-over was sent before something after which it counts no more: a
// census, the loss of all workers, or a newer token.
type StaleHandoverError struct{ From string }

func (e *StaleHandoverError) Error() string { return "hand-over from " + e.From + " is out of date" }

// ExpectHandover returns the token with which a peer may hand jobs over next. A message may lie in a
// paused host's sockets for any time; without a token the state that it carries would be taken
// for that of now.
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

// Adopt goes on with jobs that their live lead handed over. It refuses them
// while this host holds no worker: it could not know then whether it was taken
// for dead.
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

// TakeBack leads jobs again that were handed over in that epoch and whose next lead refused them.
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

// HandOver stops leading jobs and returns all that is known of them, for the
// next lead, and the epoch in which that is true. Jobs that wait for a census
// are left out: nothing is known of them.
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
