package standin

import (
	"sync"
	"time"
)

// copyKey identifies one start of a task on one worker.
type copyKey struct {
	worker *Worker
	lease  string
}

// CopyChecker detects tasks of which two copies run at the same time. All workers report their tasks
// to it. Each copy is recorded with the latest time at which it can still run, because a worker
// detects an expired lease only when it handles a request.
type CopyChecker struct {
	mu      sync.Mutex
	copies  map[string]map[copyKey]time.Time
	doubled []string
}

// NewCopyChecker returns a checker without any recorded copies.
func NewCopyChecker() *CopyChecker { return &CopyChecker{copies: map[string]map[copyKey]time.Time{}} }

// addCopy records that a copy addCopy until the given time at the latest. If the copy is new and another
// copy of the task is still running, it also records the task as doubled.
func (o *CopyChecker) addCopy(id string, key copyKey, now, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.copies[id] == nil {
		o.copies[id] = map[copyKey]time.Time{}
	}
	_, known := o.copies[id][key]
	for other, end := range o.copies[id] {
		if !known && other != key && end.After(now) {
			o.doubled = append(o.doubled, id)
			break
		}
	}
	o.copies[id][key] = until
}

// removeCopy removes a copy that no longer runs.
func (o *CopyChecker) removeCopy(id string, key copyKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.copies[id], key)
}

// Doubled lists the tasks of which two copies ran at the same time, one entry for each case.
func (o *CopyChecker) Doubled() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.doubled...)
}
