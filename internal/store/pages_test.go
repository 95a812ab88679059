package store_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
)

// pagedLog has three pages of one record each, and refuses every second call.
type pagedLog struct{ calls int }

func (l *pagedLog) Do(_ context.Context, c store.Call) (store.Answer, error) {
	l.calls++
	if l.calls%2 == 0 {
		return store.Answer{}, &store.RefusedError{Op: c.Op, Reason: "busy"}
	}
	next := map[string]string{"": "a", "a": "b", "b": "c"}[c.After]
	return store.Answer{End: int64(10 + l.calls), More: next != "c", Records: []store.Record{{Key: next}}}, nil
}

// Guards against a long list that never arrives because it is read from the beginning again whenever
// a busy store refuses one of its pages.
func TestRefusedPageIsReadAgain(t *testing.T) {
	l := &pagedLog{}
	p := store.NewPages(l, "servers", 0)
	var keys []string
	for p.More() {
		page, err := p.Next(background)
		if err != nil {
			require.True(t, store.NotDone(err))
			continue
		}
		for _, r := range page {
			keys = append(keys, r.Key)
		}
	}
	require.Equal(t, []string{"a", "b", "c"}, keys)
	require.EqualValues(t, 11, p.End(), "what has changed since the first page is read afterwards")
	require.Equal(t, 5, l.calls)
}
