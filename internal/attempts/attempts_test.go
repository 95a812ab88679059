package attempts_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/attempts"
)

func ExampleTracker() {
	t := attempts.New(time.Minute, 100, time.Now)
	t.Begin("a")
	t.End("a", attempts.Unknown)
	t.Begin("a")
	fmt.Println(t.End("a", attempts.NotDone) == attempts.Unknown)
	// Output: true
}

// clock is a clock that a test moves.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func TestAttemptsCombine(t *testing.T) {
	const none, unknown, done = attempts.NotDone, attempts.Unknown, attempts.Done
	for name, tc := range map[string]struct {
		ended []attempts.Outcome
		known attempts.Outcome
	}{
		"none":                        {nil, none},
		"refused":                     {[]attempts.Outcome{none, none}, none},
		"no answer, then refused":     {[]attempts.Outcome{unknown, none}, unknown},
		"refused, then no answer":     {[]attempts.Outcome{none, unknown}, unknown},
		"no answer, then carried out": {[]attempts.Outcome{unknown, done}, done},
		"carried out, then refused":   {[]attempts.Outcome{done, none}, done},
		"carried out, then no answer": {[]attempts.Outcome{done, unknown}, done},
	} {
		t.Run(name, func(t *testing.T) {
			tr := attempts.New(time.Minute, 100, time.Now)
			for _, o := range tc.ended {
				tr.Begin("a")
				tr.End("a", o)
			}
			require.Equal(t, tc.known, tr.Known("a"))
			require.Equal(t, none, tr.Known("b"))
		})
	}
}

// Guards against a refusal that counts as definite while an earlier attempt is still open.
func TestOpenAttemptIsUnknown(t *testing.T) {
	tr := attempts.New(time.Minute, 100, time.Now)
	tr.Begin("a")
	require.Equal(t, attempts.Unknown, tr.Known("a"))
	tr.Begin("a")
	require.Equal(t, attempts.Unknown, tr.End("a", attempts.NotDone))
	require.Equal(t, attempts.NotDone, tr.End("a", attempts.NotDone))
}

func TestAttemptsExpire(t *testing.T) {
	c := &clock{now: time.Unix(0, 0)}
	tr := attempts.New(time.Minute, 100, c.read)
	tr.Begin("a")
	tr.End("a", attempts.Done)
	c.now = c.now.Add(30 * time.Second)
	tr.Begin("a")
	tr.End("a", attempts.Unknown)
	c.now = c.now.Add(30 * time.Second)
	require.Equal(t, attempts.Done, tr.Known("a"), "a later attempt keeps the outcome")
	c.now = c.now.Add(30 * time.Second)
	require.Equal(t, attempts.NotDone, tr.Known("a"))
}

func TestNumberOfAttemptsIsBounded(t *testing.T) {
	tr := attempts.New(time.Hour, 10, time.Now)
	for i := range 25 {
		tr.Begin(fmt.Sprint(i))
		tr.End(fmt.Sprint(i), attempts.Unknown)
	}
	for i := range 25 {
		require.Equal(t, i >= 15, tr.Known(fmt.Sprint(i)) == attempts.Unknown, i)
	}
}

// Guards against a request that counts as unresolved long after its attempt could be carried out, or not
// while one is open.
func TestAttemptIsUnresolvedForAWhile(t *testing.T) {
	const within = 10 * time.Second
	c := &clock{now: time.Unix(1000, 0)}
	a := attempts.New(time.Minute, 100, c.read)
	require.False(t, a.Unresolved("a", within))
	a.Begin("a")
	c.now = c.now.Add(2 * within)
	require.True(t, a.Unresolved("a", within), "open")
	a.End("a", attempts.Unknown)
	c.now = c.now.Add(within - time.Second)
	require.True(t, a.Unresolved("a", within), "no answer")
	c.now = c.now.Add(2 * time.Second)
	require.False(t, a.Unresolved("a", within), "too long ago")
	require.Equal(t, attempts.Unknown, a.Known("a"))
	a.Begin("a")
	a.End("a", attempts.Done)
	require.False(t, a.Unresolved("a", within), "carried out")
}
