package users

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// note adds a line to a task's history.
func (o *InvariantChecker) note(task, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addNote(task, format, args...)
}

// addNote does the same while mu is held.
func (o *InvariantChecker) addNote(task, format string, args ...any) {
	o.history[task] = append(o.history[task], o.now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Histories returns what the workers did with the tasks, and the tasks of the jobs, that a text names.
func (o *InvariantChecker) Histories(text string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var b strings.Builder
	for _, task := range slices.Sorted(maps.Keys(o.history)) {
		job, _, _ := strings.Cut(task, ".")
		if strings.Contains(text, task+" ") || strings.Contains(text, job+" ") {
			fmt.Fprintf(&b, "%s\n\t%s\n", task, strings.Join(o.history[task], "\n\t"))
		}
	}
	return b.String()
}
