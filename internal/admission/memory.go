package admission

import (
	"fmt"

	"pollencroft/internal/flow"
)

const (
	// largeJob is the memory from which a job counts as large, and largeShare the part of the memory
	// for jobs that large jobs may fill. What is left is for smaller ones.
	largeJob   = 256 << 10
	largeShare = 0.25
)

// MemoryError means that a job was rejected because the leader has no memory for it.
type MemoryError struct {
	// Needed is an estimate of what the job needs, Held of what all jobs take, in bytes. Limit is how
	// much jobs of that size may fill.
	Needed, Held, Limit int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("too many large jobs wait: %d bytes of %d are taken", e.Held, e.Limit)
}

// CheckMemory returns a MemoryError if a job does not fit into the leader's memory beside the jobs that
// it holds. The larger a job is, the less of the memory it may use, so that large jobs don't keep small
// ones out.
func CheckMemory(spec flow.Spec, held, limit int64) error {
	needed := spec.Memory()
	size := min(float64(needed)/largeJob, 1)
	allowed := int64(float64(limit) * (1 - (1-largeShare)*size))
	if held == 0 || held+needed <= allowed {
		return nil
	}
	return &MemoryError{Needed: needed, Held: held, Limit: allowed}
}
