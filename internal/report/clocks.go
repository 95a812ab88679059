package report

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// clockTolerance is how long before its acceptance a job may be queued by the clocks of the two
	// hosts. The leader may find a stored job before the host that stored it has the answer.
	clockTolerance = 250 * time.Millisecond
	// queueTime is within which time after its acceptance a leader knows a job.
	queueTime = 3 * time.Second
	// minClockSamples is the number of jobs that a comparison of two clocks needs.
	minClockSamples = 3
)

// compareClocks looks for hosts whose clocks differ: a job is accepted on one host and then queued
// on the leader. Times of different hosts are compared nowhere else but for the return of callers.
func (r *Report) compareClocks() {
	type pair struct{ host, leader string }
	delays := map[pair][]time.Duration{}
	for _, j := range r.jobs {
		if j.accepted && !j.queuedAt.IsZero() && j.host != j.queuedBy {
			p := pair{j.host, j.queuedBy}
			delays[p] = append(delays[p], j.queuedAt.Sub(j.acceptedAt))
		}
	}
	order := func(a, b pair) int { return strings.Compare(a.host+" "+a.leader, b.host+" "+b.leader) }
	for _, p := range slices.SortedFunc(maps.Keys(delays), order) {
		all := delays[p]
		if len(all) < minClockSamples {
			continue
		}
		slices.Sort(all)
		switch median := all[len(all)/2]; {
		case median < -clockTolerance:
			r.notice("the clock of %s is ahead of that of %s by %s or more; its lines may stand in a later window", p.host, p.leader, seconds(-median))
		case all[0] > queueTime:
			r.notice("the clock of %s is behind that of %s, or its jobs were known late: by %s or more", p.host, p.leader, seconds(all[0]))
		}
	}
}
