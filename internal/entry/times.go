package entry

import (
	"fmt"
	"math"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/sched"
)

// observeTimes logs how long the runs of a queue take and updates the queue's gauges. There are as
// many queues as rows in the table.
func (h *Host) observeTimes(a sched.QueueTimes, term int64) {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	metrics.GetOrRegisterGaugeFloat64("times."+a.Queue+".ratio", h.metrics).Update(a.Ratio)
	metrics.GetOrRegisterGaugeFloat64("times."+a.Queue+".spread", h.metrics).Update(a.Spread)
	h.log.Info("sched: run times of a queue.", "queue", a.Queue, "term", term, "ratio", round(a.Ratio), "exponent", round(a.Slope), "spread", round(a.Spread), "runs", a.Runs)
}

// observeSelection updates the gauges of the jobs that are to be on time and of those that will be late.
func (h *Host) observeSelection(a sched.Selected) {
	prefix := fmt.Sprintf("select.rank%d.", a.Rank)
	metrics.GetOrRegisterGauge(prefix+"ontime", h.metrics).Update(int64(a.OnTime))
	metrics.GetOrRegisterGauge(prefix+"late", h.metrics).Update(int64(a.Late))
	metrics.GetOrRegisterGauge(prefix+"hopeless", h.metrics).Update(int64(a.Hopeless))
}
