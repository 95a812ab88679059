package place

import "time"

// health records the recent task results of a worker and its quarantine state.
type health struct {
	recent      []outcome
	quarantined bool
	// trialOpen allows one task on the worker while it is quarantined. trialPending is set from
	// then on until a task fails.
	trialOpen     bool
	trialPending  bool
	nextTrial     time.Time
	trialInterval time.Duration
	passedTrials  int
}

type outcome struct {
	row    string
	failed bool
}

// Judging a worker only by its own failures would quarantine workers for a bug of a row. Therefore
// each failure counts more the less often the row fails on other workers.
const (
	maxRecent = 16
	// quarantineThreshold is the number of failures beyond what the failure rates of the rows
	// explain at which a worker is quarantined.
	quarantineThreshold = 2.5
	// trialsToRestore is how many successful trials end the quarantine.
	trialsToRestore  = 2
	maxTrialInterval = 10 * time.Minute
	// priorFailed of priorRan runs are assumed to have failed before there is any result of a row.
	priorFailed, priorRan = 0.2, 2
)

type tally struct{ ran, failed float64 }

// results counts runs and failures by row. Old results lose weight exponentially.
type results struct {
	rows map[string]tally
}

func newResults() results { return results{rows: map[string]tally{}} }

const decay = 0.99

func (r *results) add(row string, failed bool) {
	t := r.rows[row]
	t.ran = t.ran*decay + 1
	t.failed *= decay
	if failed {
		t.failed++
	}
	r.rows[row] = t
}

// failureRateElsewhere returns how often the row fails on workers other than this one.
func (r *results) failureRateElsewhere(row string, here []outcome) float64 {
	t := r.rows[row]
	for _, o := range here {
		if o.row != row {
			continue
		}
		t.ran--
		if o.failed {
			t.failed--
		}
	}
	return min(1, (max(t.failed, 0)+priorFailed)/(max(t.ran, 0)+priorRan))
}

func (p *Placer) recordResult(ev Result) {
	p.results.add(ev.Row, ev.Failed)
	w, ok := p.workers[ev.Worker]
	if !ok {
		return
	}
	if !ev.Failed {
		w.lastGoodStart = latest(w.lastGoodStart, p.now.Add(-ev.Run))
	}
	h := &w.health
	h.recent = append(h.recent, outcome{row: ev.Row, failed: ev.Failed})
	if len(h.recent) > maxRecent {
		h.recent = h.recent[1:]
	}
	if h.quarantined {
		p.recordTrial(w, ev.Failed)
		return
	}
	if ev.Failed && p.unexplainedFailures(w) >= quarantineThreshold && p.mayQuarantine() {
		h.quarantined, h.trialOpen, h.trialInterval = true, false, p.limits.TrialInterval
		h.nextTrial = p.now.Add(h.trialInterval)
		p.reindex(w)
		p.emit(Quarantined{Worker: w.name})
	}
}

// unexplainedFailures returns how many failures of the worker exceed the number that the failure
// rates of its rows predict.
func (p *Placer) unexplainedFailures(w *worker) float64 {
	var sum float64
	for _, o := range w.health.recent {
		sum -= p.results.failureRateElsewhere(o.row, w.health.recent)
		if o.failed {
			sum++
		}
	}
	return sum
}

// mayQuarantine reports whether one more worker may be quarantined. The limit keeps wrong decisions
// from taking all workers of the failure domain out of use.
func (p *Placer) mayQuarantine() bool {
	quarantined := 1
	for _, w := range p.workers {
		if w.health.quarantined {
			quarantined++
		}
	}
	return float64(quarantined) <= p.limits.MaxQuarantined*float64(len(p.workers))
}

func (p *Placer) recordTrial(w *worker, failed bool) {
	h := &w.health
	if !h.trialPending {
		// The task was there before the quarantine, or another one of the same trial has failed.
		return
	}
	if failed {
		h.passedTrials, h.trialOpen, h.trialPending = 0, false, false
		h.trialInterval = min(2*h.trialInterval, maxTrialInterval)
		h.nextTrial = p.now.Add(h.trialInterval)
		p.reindex(w)
		return
	}
	h.passedTrials++
	if h.passedTrials < trialsToRestore {
		p.openTrial(w)
		return
	}
	w.health = health{}
	p.reindex(w)
	p.emit(Restored{Worker: w.name})
	p.noteGrown(w)
}

func (p *Placer) openTrial(w *worker) {
	w.health.trialOpen = true
	p.reindex(w)
	p.noteGrown(w)
}

// closeTrial closes a quarantined worker again once it got a task as its trial. A long task gives
// no result for hours, and a job that cannot do without the worker would wait as long. Therefore
// the next trial comes after twice the interval, even if this one has not ended by then.
func (p *Placer) closeTrial(w *worker) {
	if h := &w.health; h.quarantined {
		h.trialOpen, h.trialPending = false, true
		h.nextTrial = p.now.Add(min(2*h.trialInterval, maxTrialInterval))
		p.reindex(w)
	}
}

// reviewQuarantined opens trials that are due, and restores workers whose failures turn out to be
// explained by their rows.
func (p *Placer) reviewQuarantined() {
	for _, w := range p.inNameOrder() {
		h := &w.health
		switch {
		case !h.quarantined:
		case p.unexplainedFailures(w) < quarantineThreshold/2:
			w.health = health{}
			p.reindex(w)
			p.emit(Restored{Worker: w.name})
			p.noteGrown(w)
		case !h.trialOpen && !h.nextTrial.After(p.now):
			p.openTrial(w)
		}
	}
}
