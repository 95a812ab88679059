package users

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
)

// Guards against faults that are meant for the leader and strike a host that was fenced off.
func TestLastWriterIsTheHostThatIsNotFencedOff(t *testing.T) {
	l := NewLog(2, time.Now)
	write := func(host string, epoch, seq int64) error {
		_, err := l.For(host).Do(t.Context(), store.Call{Op: store.Append, Topic: "state", Epoch: epoch, Seq: seq, Records: []store.Record{{Key: "k"}}})
		return err
	}
	require.Empty(t, l.LastWriter("state"))
	require.NoError(t, write("h0", 1, 0))
	require.Equal(t, "h0", l.LastWriter("state"))
	require.NoError(t, write("h1", 2, 0))
	require.Error(t, write("h0", 1, 1))
	require.Equal(t, "h1", l.LastWriter("state"))
	l.Break("h2", Lost)
	require.Error(t, write("h2", 3, 0))
	require.Equal(t, "h2", l.LastWriter("state"))
}
