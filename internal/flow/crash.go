package flow

import "slices"

// MarkLost notes that a run of the task was lost at a life of a worker that answers no more;
// false if that is known.
func (t *Task) MarkLost(life string) bool {
	if slices.Contains(t.Crashed, life) || slices.Contains(t.Lost, life) {
		return false
	}
	t.Lost = append(t.Lost, life)
	t.Step.updateSuspicions()
	return true
}

// MarkCrashed notes that a life ended while a run of the task was, or may have been, at it;
// false if that is known.
func (t *Task) MarkCrashed(life string) bool {
	t.UnmarkLost(life)
	if slices.Contains(t.Crashed, life) {
		return false
	}
	t.Crashed = append(t.Crashed, life)
	t.Step.updateSuspicions()
	return true
}

// UnmarkLost notes that a life on which a run was lost goes on, or ended for another cause;
// false if no run was lost there.
func (t *Task) UnmarkLost(life string) bool {
	i := slices.Index(t.Lost, life)
	if i < 0 {
		return false
	}
	t.Lost = slices.Delete(t.Lost, i, i+1)
	t.Step.updateSuspicions()
	return true
}

// ClearCrashes forgets all lives that ended under the task.
func (t *Task) ClearCrashes() {
	t.Crashed, t.Lost = nil, nil
	t.Step.updateSuspicions()
}

// CrashSuspicions is how many lives ended, or may have, under the task; of a gang, whose members run
// together, under the member that has the most.
func (t *Task) CrashSuspicions() int {
	if t.Step.Spec.Gang {
		return t.Step.maxSuspicions
	}
	return t.ownSuspicions()
}

func (t *Task) ownSuspicions() int { return len(t.Crashed) + len(t.Lost) }

// updateSuspicions finds the member of a gang under which the most lives ended.
func (s *Stage) updateSuspicions() {
	if !s.Spec.Gang {
		return
	}
	s.maxSuspicions = 0
	for _, t := range s.Tasks {
		s.maxSuspicions = max(s.maxSuspicions, t.ownSuspicions())
	}
}
