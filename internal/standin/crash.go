package standin

import "time"

// Crash simulates a restart of the worker's process: all its tasks end and its state is lost.
func (k *Worker) Crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endExpired()
	k.crash()
}

// crashIfDue crashes the worker if a task of the row faults.CrashRow has been running for
// faults.CrashAfter. The caller holds mu.
func (k *Worker) crashIfDue(now time.Time) {
	for _, t := range k.tasks {
		row := k.faults.CrashRow
		if row != "" && t.Row == row && t.State == TaskRunning && now.Sub(t.began) >= k.faults.CrashAfter {
			k.crash()
			return
		}
	}
}

func (k *Worker) crash() {
	for _, t := range k.tasks {
		if t.State == TaskRunning {
			k.finish(t, TaskCrashed, k.clock())
		}
	}
	k.tasks, k.gone, k.anchor, k.mark = map[string]*Task{}, map[string]int64{}, anchor{}, 0
	k.unavailableUntil = k.clock().Add(k.faults.CrashAway)
	k.record.Crashed++
}
