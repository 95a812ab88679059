package test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"pollencroft/pkg/client"
)

// contendedRow is the row that two operators edit concurrently in every scenario.
const contendedRow = "raced"

// operators edits the row like two people who have the same table open: each of them reads one
// limit and raises it by one. The final value must include every accepted edit. It is too low if
// an edit was lost or reverted, and too high if an edit was applied twice.
type operators struct {
	b *bench
	// accepted counts the edits that were accepted, unknown those with an unknown outcome.
	accepted, unknown atomic.Int64
	// regressions counts how often a host returned to an older version.
	regressions atomic.Int64
}

type contendedValue struct {
	Version int64
	Limits  struct{ Queue int64 }
}

// run edits the row and watches every host until ctx ends.
func (o *operators) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range uint64(2) {
		wg.Go(func() { o.edit(ctx, rand.New(rand.NewPCG(7, i))) })
	}
	for _, n := range o.b.nodes {
		wg.Go(func() { o.watch(ctx, n) })
	}
	wg.Wait()
}

func (o *operators) edit(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		wait(ctx, 100*time.Millisecond)
		o.raise(ctx, o.b.nodes[r.IntN(len(o.b.nodes))].operator)
	}
}

// raise reads the limit and tries to store it raised by one, on condition that the version is
// unchanged.
func (o *operators) raise(ctx context.Context, c *client.Client) {
	c2, cancel := context.WithTimeout(context.WithoutCancel(ctx), waitLimit)
	defer cancel()
	row, version, err := o.read(c2, c)
	if err != nil {
		return
	}
	err = c.SetRow(c2, contendedRow, version, map[string]any{"limits": map[string]any{"queue": row.Limits.Queue + 1}})
	var status *client.StatusError
	switch {
	case err == nil:
		o.accepted.Add(1)
	case errors.As(err, &status) && status.Status == http.StatusPreconditionFailed:
	case errors.As(err, &status) && status.Status == http.StatusServiceUnavailable:
	default:
		o.unknown.Add(1)
	}
}

func (o *operators) read(ctx context.Context, c *client.Client) (contendedValue, string, error) {
	var row contendedValue
	err := c.Get(ctx, "/table/"+contendedRow, &row)
	return row, strconv.FormatInt(row.Version, 10), err
}

// watch counts how often a host returns to an older version of the row. A host that was replaced
// may be behind only until it reports that it is ready.
func (o *operators) watch(ctx context.Context, n *node) {
	var seen int64
	for ctx.Err() == nil {
		row, _, err := o.read(ctx, n.operator)
		if err == nil && n.ready.Load() {
			if row.Version < seen {
				o.regressions.Add(1)
			}
			seen = max(seen, row.Version)
		}
		wait(ctx, 50*time.Millisecond)
	}
}

// check waits until every host uses the same value and compares it with the answers that the
// operators got.
func (o *operators) check() {
	o.b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	var last contendedValue
	eventually(o.b.t, "every host uses the same version", func() bool {
		all := map[contendedValue]bool{}
		for _, n := range o.b.nodes {
			row, _, err := o.read(ctx, n.operator)
			if err != nil {
				return false
			}
			all[row] = true
			last = row
		}
		return len(all) == 1
	})
	got := last.Limits.Queue - 1
	require.GreaterOrEqual(o.b.t, got, o.accepted.Load(), "an accepted edit was lost")
	require.LessOrEqual(o.b.t, got, o.accepted.Load()+o.unknown.Load(), "an edit was applied twice, or a refused edit was applied")
	require.Zero(o.b.t, o.regressions.Load(), "a host returned to an older version")
	require.Positive(o.b.t, o.accepted.Load())
}
