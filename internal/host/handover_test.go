package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that two hosts lead: a peer asks about the job after its leader stopped
// leading it and before the leader has recorded it as outgoing, or has taken it back.
func TestJobThatIsHandedOverIsLedByTheHostThatHandsIt(t *testing.T) {
	c := newCluster(t, 1)
	s := c.submit(smallJob(24, 600))
	h := c.hosts["h0"]
	end := time.Now().Add(2 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Now().Before(end) {
			h.HandJobTo("h1", s.ID)
		}
	}()
	for {
		require.True(t, h.ReportsLeading(s.ID))
		select {
		case <-done:
			return
		default:
		}
	}
}
