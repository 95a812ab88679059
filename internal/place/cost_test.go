package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// Guards against a host that does not renew its leases in time because a tick takes seconds: for each of
// 10,000 waiting jobs it looks at 2,600 workers, whose tasks have no known end after a takeover.
func TestTickIsShortWhileManyJobsWait(t *testing.T) {
	for name, request := range map[string]place.Request{
		"bulk":                            {Class: cell.Bulk, Size: cores(2)},
		"bulk, corrected, avoid a worker": {Class: cell.Bulk, Size: cores(2), Declared: cores(1), Avoid: []string{"w0000"}, LastFailure: now, AvoidUntil: now.Add(time.Minute)},
		"normal, corrected":               {Class: cell.Normal, Size: cores(2), Declared: cores(1)},
	} {
		t.Run(name, func(t *testing.T) {
			p := place.New(place.DefaultLimits)
			for i := range 2600 {
				found := make([]place.Used, 4)
				for n, task := range tasks(fmt.Sprintf("x%d", i), 4) {
					found[n] = place.Used{Task: task, Row: "watch", Size: cores(1)}
				}
				p.Step(now, place.Up{Worker: fmt.Sprintf("w%04d", i), Rack: "r0", Size: cores(4), Used: found})
			}
			request.Row, request.Gang, request.RunTime, request.Since = "batch", true, time.Minute, now.Add(-time.Hour)
			for i := range 10_000 {
				request.Job = fmt.Sprintf("g%d", i)
				request.Tasks = tasks(request.Job, 4)
				p.Step(now, request)
			}
			began := time.Now()
			p.Step(now.Add(time.Second), place.Tick{})
			require.Less(t, time.Since(began), time.Second)
		})
	}
}
