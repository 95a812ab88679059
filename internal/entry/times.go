package entry

import (
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
