package http1_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/http1"
)

// Guards against memory that is counted for no request, or not counted for one, after any order of
// events.
func TestCountedMemoryIsThatOfTheRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const conns, limit, most = 4, 100_000, 8 << 10
		now := time.Unix(1_000_000, 0)
		p := http1.NewPool(http1.Limits{Conns: conns, Bytes: limit, Stall: time.Minute, Write: time.Minute}, func() time.Time { return now })
		require.True(t, p.Open())
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "open") == 0 {
				p.Open()
			}
			p.Do(rapid.IntRange(0, http1.Events-1).Draw(t, "event"), rapid.IntRange(0, 40).Draw(t, "connection"), rapid.IntRange(1, most).Draw(t, "bytes"))
			used, held, ending, evicted, n := p.Held()
			require.Equal(t, held, used)
			require.Equal(t, evicted, ending)
			require.LessOrEqual(t, n, conns)
			require.LessOrEqual(t, used, int64(limit+limit/2+2*most))
		}
	})
}
