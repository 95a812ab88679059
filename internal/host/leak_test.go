package host_test

import (
	"net/http"
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that a stopped host leaves behind: they would keep its memory in use
// and go on writing to workers that it no longer leads.
func TestStoppedHostLeavesNothingRunning(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Run("cluster", func(t *testing.T) {
		c := newCluster(t, 2)
		for _, h := range c.hosts {
			h.Kill()
		}
	})
	http.DefaultClient.CloseIdleConnections()
	// The metrics library runs one clock for all meters of the process.
	clock := goleak.IgnoreAnyFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick")
	goleak.VerifyNone(t, before, clock)
}
