package lead

import "time"

const (
	// waitLogInterval is how often the longest waiting job is logged.
	waitLogInterval = 10 * time.Second
	// loggedWait is how long a job waits before that.
	loggedWait = 10 * time.Second
)

// logLongestWait logs why the job that has waited for the longest time cannot start.
func (l *Leader) logLongestWait() {
	now := l.Clock()
	if now.Sub(l.waitLogged) < waitLogInterval {
		return
	}
	task, waited, ok := l.Placer.LongestWait()
	if !ok || waited < loggedWait {
		return
	}
	l.waitLogged = now
	why, _ := l.Placer.ExplainWait(task)
	l.Log.Info("lead: job waits.", "id", jobOf(task), "waited", waited, "why", why)
}
