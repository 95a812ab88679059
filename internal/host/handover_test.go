package host_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a job that two hosts lead: a peer asks for it between the moment at which its
// lead gives it up and the one at which the lead notes where it goes, or takes it back.
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
