package report

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// phases are the phases of the runs that jobs wait for, as the leader's lines name them.
var phases = [...]string{"store", "order", "run"}

// phaseTimes are times by phase.
type phaseTimes [len(phases)]time.Duration

// latencySums say where the time of the late jobs of one key went.
type latencySums struct {
	n               int
	took, objective time.Duration
	waits           waitTimes
	// phased of the jobs have lines that name the phases of their runs.
	phased int
	phases phaseTimes
	// handed of the jobs have lines of their acceptance and of the leader's receipt, which are notice
	// apart.
	handed int
	notice time.Duration
}

// addLatency adds a late job to the sums of its key.
func (r *Report) addLatency(at time.Time, j *outcome) {
	k := r.key(at, j, j.domain)
	s, ok := r.latencies[k]
	if !ok {
		s = &latencySums{}
		r.latencies[k] = s
	}
	s.n++
	s.took, s.objective = s.took+j.ended.took, s.objective+j.ended.objective
	for i, d := range j.ended.waits {
		s.waits[i] += d
	}
	if j.ended.phased {
		s.phased++
		for i, d := range j.ended.phases {
			s.phases[i] += d
		}
	}
	if j.accepted && !j.queuedAt.IsZero() {
		s.handed++
		s.notice += j.queuedAt.Sub(j.acceptedAt)
	}
}

// writeLatencies prints, in means over the late jobs of each key, where their time went. What is
// neither a wait nor a phase of a run was spent between the steps, or on runs that did not end as done.
func (r *Report) writeLatencies(b *strings.Builder) {
	if len(r.latencies) == 0 {
		return
	}
	head := append([]string{"window"}, r.o.By...)
	head = append(head, "jobs", "took", "objective", "notice")
	head = append(append(head, reasons[:]...), phases[:]...)
	t := newTable(b, "Time of late jobs (mean; seconds)", head...)
	for _, k := range slices.SortedFunc(maps.Keys(r.latencies), key.compare) {
		s := r.latencies[k]
		line := append(r.keyCells(k), r.omissions.count(s.n, k.window, ends), meanSeconds(s.took, s.n), meanSeconds(s.objective, s.n), meanSeconds(s.notice, s.handed))
		for _, d := range s.waits {
			line = append(line, meanSeconds(d, s.n))
		}
		for _, d := range s.phases {
			line = append(line, meanSeconds(d, s.phased))
		}
		t.line(line...)
	}
	t.end()
}

// meanSeconds formats the mean of n durations, in seconds.
func meanSeconds(sum time.Duration, n int) string {
	if n == 0 {
		return unknown
	}
	return strconv.FormatFloat(sum.Seconds()/float64(n), 'f', 2, 64)
}
