package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// memory is after how many newer runs the weight of a run has fallen to 1/e. Runs of one step
	// are off by nearly the same factor, so a thousand runs are the evidence of about 60 to 100 steps
	// of 10 to 17 tasks; a queue that changes is followed within some seconds of full load.
	memory = 1000
	// slopePrior is how many runs the assumption is worth that run times are proportional to declared
	// ones: their declared times are taken to be spread by a factor of e. Without it the slope would
	// be arbitrary while all runs of a queue have nearly the same declared time.
	slopePrior = 30
	// priorSpread is the spread of run times around the declared ones in a queue that is not
	// measured. Measured spreads of two deployments are 0.56 and 0.97.
	priorSpread = 1
	// A run counts as at most clipSpreads spreads away from its expected time, since a few runs in a
	// hundred take several times as long as the others. clipBias is the variance that is left of a
	// normal distribution that is clipped like that. minClipSpread lets a queue follow a change whose
	// runs have all taken the same time until now.
	clipSpreads   = 2.5
	clipBias      = 0.9776
	minClipSpread = 0.2
	// normalMAD is the standard deviation of a normal distribution, in units of its median absolute
	// deviation.
	normalMAD = 1.4826
	// A change of an estimate is material if it moves expected times by materialShift (of the
	// logarithm), or the spread by materialSpread of itself. Both are far below the spread, so acting
	// on an estimate that is off by less changes hardly any decision.
	materialShift  = 0.04
	materialSpread = 0.1
	// minRunTime is the shortest run time that is told apart: the logarithm of zero is infinite.
	minRunTime = time.Millisecond
)

// Times estimates how long runs take. For each queue it keeps a linear regression of the logarithm
// of the run time on the logarithm of the declared time. It is not safe for concurrent use.
type Times struct {
	minRuns int
	queues  map[string]*QueueTimes
}

// NewTimes returns estimates without measurements. The declared time is expected in a queue until
// minRuns of its runs have ended.
func NewTimes(minRuns int) *Times { return &Times{minRuns: minRuns, queues: map[string]*QueueTimes{}} }

// Queue returns the estimates of a queue. They are the same for as long as t is used.
func (t *Times) Queue(name string) *QueueTimes {
	q, ok := t.queues[name]
	if !ok {
		q = &QueueTimes{declared: regression{minRuns: t.minRuns}, undeclared: regression{minRuns: t.minRuns}}
		t.queues[name] = q
	}
	return q
}

// Record records how long a run took that ended as done.
func (t *Times) Record(queue string, declared, took time.Duration) {
	t.Queue(queue).Record(declared, took)
}

// Expect returns how long a run with a declared time is expected to take.
func (t *Times) Expect(queue string, declared time.Duration) Distribution {
	return t.Queue(queue).Expect(declared)
}

// Settle records the runs of all queues that are due, and returns the names of the queues whose
// estimates have changed materially, sorted.
func (t *Times) Settle(now time.Time) []string {
	var changed []string
	for name, q := range t.queues {
		if q.Settle(now) {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// QueueTimes estimates how long the runs of one queue take.
type QueueTimes struct {
	// declared is about runs with a declared time, undeclared about those without one: the latter
	// have the same expected time.
	declared, undeclared regression
	// later holds runs that have ended and are not recorded yet.
	later endedRuns
}

// Record records how long a run took that ended as done.
func (q *QueueTimes) Record(declared, took time.Duration) {
	y := math.Log(max(took, minRunTime).Seconds())
	if declared <= 0 {
		q.undeclared.record(0, y)
		return
	}
	q.declared.record(math.Log(declared.Seconds()), y)
}

// Expect returns how long a run with a declared time is expected to take: as declared, with a wide
// spread, until enough runs have ended.
func (q *QueueTimes) Expect(declared time.Duration) Distribution {
	r, x := &q.undeclared, 0.0
	if declared > 0 {
		r, x = &q.declared, math.Log(declared.Seconds())
	}
	if r.version == 0 {
		return Distribution{Median: max(declared, 0), Spread: priorSpread}
	}
	return Distribution{Median: fromLog(r.published.at(x)), Spread: r.published.spread, Measured: true}
}

// Version counts the material changes of the queue's estimates; it is zero until enough runs have
// ended. Between two changes equal declared times have equal expected times.
func (q *QueueTimes) Version() int { return q.declared.version + q.undeclared.version }

// Runs returns how many runs have been recorded.
func (q *QueueTimes) Runs() int { return q.declared.runs + q.undeclared.runs }

// Ratio returns the median of run times relative to declared ones, around the queue's usual declared
// time.
func (q *QueueTimes) Ratio() float64 {
	return math.Exp(q.declared.published.meanY - q.declared.published.meanX)
}

// Usual returns the queue's usual declared time.
func (q *QueueTimes) Usual() time.Duration { return fromLog(q.declared.published.meanX) }

// Slope returns the exponent of the declared time in the expected run time: 0 if declared times say
// nothing about run times, 1 if run times are proportional to them.
func (q *QueueTimes) Slope() float64 {
	if q.declared.version == 0 {
		return 1
	}
	return q.declared.published.slope
}

// line is a fitted line with the standard deviation of the residuals.
type line struct{ meanX, meanY, slope, spread float64 }

func (l line) at(x float64) float64 { return l.meanY + l.slope*(x-l.meanX) }

// differs reports whether expected times around those of the fit, or their spread, differ materially.
func (l line) differs(o line) bool {
	for _, dx := range []float64{-1, 0, 1} {
		if math.Abs(l.at(o.meanX+dx)-o.at(o.meanX+dx)) > materialShift {
			return true
		}
	}
	return math.Abs(l.spread-o.spread) > materialSpread*max(l.spread, o.spread)
}

type sample struct{ x, y float64 }

// regression is a running linear regression with exponential forgetting.
type regression struct {
	minRuns, runs int
	// first holds the runs until there are enough of them.
	first []sample
	// weight is the sum of the weights of all runs; xx, xy and yy are weighted sums of squared
	// deviations from the means.
	weight, meanX, meanY, xx, xy, yy float64
	// published is the fit as of its last material change, and version the number of these.
	published line
	version   int
}

func (r *regression) record(x, y float64) {
	r.runs++
	switch {
	case r.runs < r.minRuns:
		r.first = append(r.first, sample{x, y})
		return
	case r.runs == r.minRuns:
		r.begin(append(r.first, sample{x, y}))
		r.first = nil
	default:
		fit := r.fit()
		r.add(x, fit.at(x)+clip(y-fit.at(x), fit.spread))
	}
	if fit := r.fit(); r.version == 0 || fit.differs(r.published) {
		r.published = fit
		r.version++
	}
}

// begin adds the first runs. There is no fit yet to clip them by, so they are clipped by the median
// and the median absolute deviation of what they took relative to their declared times.
func (r *regression) begin(first []sample) {
	ratios := make([]float64, len(first))
	for i, f := range first {
		ratios[i] = f.y - f.x
	}
	mid := median(ratios)
	for i := range ratios {
		ratios[i] = math.Abs(ratios[i] - mid)
	}
	spread := normalMAD * median(ratios)
	for _, f := range first {
		r.add(f.x, f.x+mid+clip(f.y-f.x-mid, spread))
	}
}

func (r *regression) add(x, y float64) {
	const keep = 1 - 1.0/memory
	r.weight = keep*r.weight + 1
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += dx / r.weight
	r.meanY += dy / r.weight
	r.xx = keep*r.xx + dx*(x-r.meanX)
	r.xy = keep*r.xy + dx*(y-r.meanY)
	r.yy = keep*r.yy + dy*(y-r.meanY)
}

func (r *regression) fit() line {
	slope := min(max((r.xy+slopePrior)/(r.xx+slopePrior), 0), 1)
	residuals := max(r.yy-2*slope*r.xy+slope*slope*r.xx, 0)
	return line{meanX: r.meanX, meanY: r.meanY, slope: slope, spread: math.Sqrt(residuals / r.weight / clipBias)}
}

func clip(residual, spread float64) float64 {
	bound := clipSpreads * max(spread, minClipSpread)
	return min(max(residual, -bound), bound)
}
