package place

import "time"

// health is what is known of how a worker does its work.
type health struct {
	recent      []outcome
	quarantined bool
	// trialOpen lets one task through while the worker is set aside.
	trialOpen     bool
	nextTrial     time.Time
	trialInterval time.Duration
	passedTrials  int
}

type outcome struct {
	row    string
	failed bool
}

// Judging a worker by its own failures alone would condemn workers for a row's
// bug. Each failure therefore counts by how rarely the row fails elsewhere.
const (
	maxRecent = 16
	// quarantineThreshold is how many failures more than the rows explain set a worker
	// aside.
	quarantineThreshold = 2.5
	// trialsToRestore bring a worker back.
	trialsToRestore  = 2
	maxTrialInterval = 10 * time.Minute
	// priorFailed of priorRan runs are thought to have failed before a row
	// has been seen.
	priorFailed, priorRan = 0.2, 2
)

type tally struct{ ran, failed float64 }

// results counts how rows do, in all and by worker. Old results fade.
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

// failureRateElsewhere is how often the row fails on other workers than this one.
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
		w.lastSuccess = p.now
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

// unexplainedFailures is how many of the worker's failures the rows do not explain.
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

// mayQuarantine keeps a wrong verdict from emptying the domain.
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
	if failed {
		h.passedTrials, h.trialOpen = 0, false
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

// closeTrial closes a worker set aside again once it has got its trial. A task that lasts
// says nothing of it for hours, and whoever cannot do without the worker would wait as
// long: the next trial is after twice the wait, whatever this one says until then.
func (p *Placer) closeTrial(w *worker) {
	if h := &w.health; h.quarantined {
		h.trialOpen = false
		h.nextTrial = p.now.Add(min(2*h.trialInterval, maxTrialInterval))
		p.reindex(w)
	}
}

// reviewQuarantined opens the workers set aside whose time has come, and pardons those
// whose failures turn out to be their rows' own.
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
