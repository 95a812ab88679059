package flow

import "slices"

// MarkLost records that the newest run of the task was lost on a worker incarnation that no longer
// answers. It returns false if that run or that incarnation is already recorded: a run begins once at most,
// so it has ended one incarnation at most, although its start may reach several.
func (t *Task) MarkLost(incarnation string) bool {
	if t.Run <= t.SuspectedRun || slices.Contains(t.Crashed, incarnation) || slices.Contains(t.Lost, incarnation) {
		return false
	}
	t.Lost, t.SuspectedRun = append(t.Lost, incarnation), t.Run
	t.Step.updateSuspicions()
	return true
}

// MarkCrashed records that a worker incarnation ended while a run of the task was, or may
// have been, on it. It returns false if that is already recorded.
func (t *Task) MarkCrashed(incarnation string) bool {
	t.removeLost(incarnation)
	if slices.Contains(t.Crashed, incarnation) {
		return false
	}
	t.Crashed = append(t.Crashed, incarnation)
	t.Step.updateSuspicions()
	return true
}

// UnmarkLost removes an incarnation from the lost ones, because it is still alive or ended
// for another reason. It returns false if no run was lost on it.
func (t *Task) UnmarkLost(incarnation string) bool {
	if !t.removeLost(incarnation) {
		return false
	}
	t.SuspectedRun = 0
	return true
}

func (t *Task) removeLost(incarnation string) bool {
	i := slices.Index(t.Lost, incarnation)
	if i < 0 {
		return false
	}
	t.Lost = slices.Delete(t.Lost, i, i+1)
	t.Step.updateSuspicions()
	return true
}

// ClearCrashes forgets all incarnations that crashed or were lost while they ran the task.
func (t *Task) ClearCrashes() {
	t.Crashed, t.Lost, t.SuspectedRun = nil, nil, 0
	t.Step.updateSuspicions()
}

// CrashSuspicions returns how many worker incarnations crashed, or may have crashed, while
// they ran the task. The members of a gang run together, so each member of a gang has the
// highest number among them.
func (t *Task) CrashSuspicions() int {
	if t.Step.Spec.Gang {
		return t.Step.maxSuspicions
	}
	return t.ownSuspicions()
}

func (t *Task) ownSuspicions() int { return len(t.Crashed) + len(t.Lost) }

// updateSuspicions recomputes the highest number of crash suspicions among the members of a
// gang.
func (s *Stage) updateSuspicions() {
	if !s.Spec.Gang {
		return
	}
	s.maxSuspicions = 0
	for _, t := range s.Tasks {
		s.maxSuspicions = max(s.maxSuspicions, t.ownSuspicions())
	}
}
