package users

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against orders that are held up and skip the checks of the worker that receives them.
func TestHeldUpStartIsCheckedWhenItIsCarriedOut(t *testing.T) {
	hour := time.Hour.Milliseconds()
	for name, tc := range map[string]struct {
		before   func(w *Worker)
		deadline int64
		want     Late
		running  int
	}{
		"nothing happened":      {func(*Worker) {}, 2 * hour, Late{HeldUp: 1}, 1},
		"worker restarted":      {func(w *Worker) { w.Restart() }, 2 * hour, Late{HeldUp: 1, Restarted: 1, Starts: 1}, 1},
		"worker ended":          {func(w *Worker) { w.Close() }, 2 * hour, Late{}, 0},
		"deadline passed":       {func(*Worker) {}, hour - 1, Late{HeldUp: 1}, 0},
		"another leader called": {func(w *Worker) { w.fence = 8 }, 2 * hour, Late{HeldUp: 1}, 0},
		"run was stopped":       {func(w *Worker) { w.endedRuns["a.0.0.0"] = 2 }, 2 * hour, Late{HeldUp: 1}, 0},
		"refused, but the worker restarted": {func(w *Worker) {
			w.endedRuns["a.0.0.0"] = 2
			w.Restart()
		}, 2 * hour, Late{HeldUp: 1, Restarted: 1, Starts: 1}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			o := NewInvariantChecker()
			w := NewWorker("w1", time.Hour, o)
			t.Cleanup(w.Close)
			tc.before(w)
			w.carryOutLate(order{Task: "a.0.0.0", Run: 2, FencingToken: 7, DeadlineMs: tc.deadline}, w.start, 0)
			require.Equal(t, tc.want, o.Late())
			require.Equal(t, tc.running, w.Running())
		})
	}
}

// Guards against orders that are held up and have an effect or an answer at once.
func TestHeldUpOrderHasNoAnswer(t *testing.T) {
	w := NewWorker("w1", time.Hour, NewInvariantChecker())
	defer w.Close()
	call := func(path, body string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address()+path, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("X-Expect-Instance", w.ID)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	start := `{"task":"a.0.0.0","run":1,"deadlineMs":7200000}`
	w.HoldUpOrders(100, time.Hour, rand.New(rand.NewPCG(1, 1)))
	require.Error(t, call("/pollencroft/run-start", start))
	require.Error(t, call("/pollencroft/hold", `{"deadlineMs":7200000}`))
	require.Zero(t, w.Running())
	w.HoldUpOrders(0, 0, nil)
	require.NoError(t, call("/pollencroft/run-start", start))
	require.Equal(t, 1, w.Running())
}
