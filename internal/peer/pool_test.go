package peer

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against requests that wait for others, and against goroutines that are left behind.
func TestPoolRunsAllAtOnceAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pool
		p.enter()
		var mu sync.Mutex
		for range 3 {
			release, running := make(chan struct{}), 0
			for range 3 * maxIdle {
				p.run(func() {
					mu.Lock()
					running++
					mu.Unlock()
					<-release
				})
			}
			synctest.Wait()
			require.Equal(t, 3*maxIdle, running)
			close(release)
			synctest.Wait()
			require.Len(t, p.idle, maxIdle)
		}
		p.leave()
		ran := false
		p.run(func() { ran = true })
		synctest.Wait()
		require.True(t, ran)
		require.Empty(t, p.idle)
	})
}

// BenchmarkRequestOnADeepStack compares goroutines of the pool with new ones.
func BenchmarkRequestOnADeepStack(b *testing.B) {
	var deep func(n int) int
	deep = func(n int) int {
		var frame [256]byte
		if n == 0 {
			return int(frame[0])
		}
		return deep(n-1) + int(frame[n%256])
	}
	run := func(b *testing.B, start func(f func())) {
		done := make(chan struct{})
		for b.Loop() {
			start(func() {
				deep(60)
				done <- struct{}{}
			})
			<-done
		}
	}
	b.Run("pool", func(b *testing.B) {
		var p pool
		p.enter()
		run(b, p.run)
	})
	b.Run("new", func(b *testing.B) { run(b, func(f func()) { go f() }) })
}
