package flow

import (
	"maps"
	"slices"
)

// UntrackedRun is a run that may exist beside the newest run of its task: a copy was started
// elsewhere, or the run was found on a worker although no record named it.
type UntrackedRun struct {
	Task   Name
	Run    int
	Worker string
}

// runRecord is the stored form of an untracked run.
type runRecord struct {
	Round int `json:"x,omitempty"`
	Step  int `json:"s,omitempty"`
	Index int `json:"i,omitempty"`
	Run   int `json:"r"`
}

// AddUntracked adds a run to the job's untracked runs. It returns false if it is one of them.
func (j *Job) AddUntracked(r UntrackedRun) bool {
	if slices.Contains(j.Untracked, r) {
		return false
	}
	j.Untracked = append(j.Untracked, r)
	return true
}

// RemoveUntracked removes a run that certainly does not exist, or that is tracked again, from the
// job's untracked runs. It returns false if it is none of them.
func (j *Job) RemoveUntracked(r UntrackedRun) bool {
	i := slices.Index(j.Untracked, r)
	if i < 0 {
		return false
	}
	j.Untracked = slices.Delete(j.Untracked, i, i+1)
	return true
}

// untrackedRecords returns the untracked runs by worker, or nil if there is none.
func (j *Job) untrackedRecords() map[string][]runRecord {
	if len(j.Untracked) == 0 {
		return nil
	}
	all := map[string][]runRecord{}
	for _, r := range j.Untracked {
		all[r.Worker] = append(all[r.Worker], runRecord{Round: r.Task.Round, Step: r.Task.Step, Index: r.Task.Index, Run: r.Run})
	}
	return all
}

// restoreUntracked restores the untracked runs. Runs of steps that the job does not have are
// skipped, as in the rest of a record.
func (j *Job) restoreUntracked(all map[string][]runRecord) {
	for _, worker := range slices.Sorted(maps.Keys(all)) {
		for _, r := range all[worker] {
			if r.Step >= 0 && r.Step < len(j.Spec.Steps) {
				j.AddUntracked(UntrackedRun{Name{Job: j.Spec.ID, Round: r.Round, Step: r.Step, Index: r.Index}, r.Run, worker})
			}
		}
	}
}
