package store_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// hexText returns text that is about half as large when it is compressed.
func hexText(n int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for b.Len() < n {
		_, _ = fmt.Fprintf(&b, "%016x", r.Uint64())
	}
	return b.Bytes()[:n]
}

// storeOf returns a way to a log, and another one that sees the records as they are stored.
func storeOf() (through *store.Routed, stored store.Log) {
	log := users.NewLog(1, time.Now).For("h")
	return store.NewRouted(log, noPeers{}, time.Now, uptime.New(), func(store.Call, bool, error) {}), log
}

type noPeers struct{}

func (noPeers) Peers() []string { return nil }

func (noPeers) Do(context.Context, string, store.Call) (store.Answer, error) {
	return store.Answer{}, &store.RefusedError{}
}

// Guards against a record that the store refuses for its size, and against one that comes back changed.
func TestLargeRecordsAreStoredInFewerBytes(t *testing.T) {
	const maxRecord = 262_144
	for _, n := range []int{0, 1, 100 << 10, 200 << 10, 400 << 10} {
		l, stored := storeOf()
		value := append([]byte("{"), hexText(n)...)
		_, err := l.Do(t.Context(), store.Call{Op: store.Append, Topic: "state", Keyed: true, Records: []store.Record{{Key: "k", Value: value}}})
		require.NoError(t, err)
		raw, err := stored.Do(t.Context(), store.Call{Op: store.Read, Topic: "state"})
		require.NoError(t, err)
		require.LessOrEqual(t, len(raw.Records[0].Value), maxRecord-2, "%d bytes", n)
		for _, op := range []store.Op{store.Read, store.Newest} {
			a, err := l.Do(t.Context(), store.Call{Op: op, Topic: "state"})
			require.NoError(t, err)
			require.Equal(t, value, a.Records[0].Value, "%s of %d bytes", op, n)
		}
	}
}

// Guards against values of other writers that look compressed.
func TestValuesThatAreNotCompressedAreKept(t *testing.T) {
	l, stored := storeOf()
	value := []byte{0x1f, 0x8b, 'x'}
	_, err := stored.Do(t.Context(), store.Call{Op: store.Append, Topic: "state", Keyed: true, Records: []store.Record{{Key: "k", Value: value}}})
	require.NoError(t, err)
	a, err := l.Do(t.Context(), store.Call{Op: store.Read, Topic: "state"})
	require.NoError(t, err)
	require.Equal(t, value, a.Records[0].Value)
}

func TestFits(t *testing.T) {
	random := make([]byte, 300<<10)
	r := rand.New(rand.NewPCG(3, 4))
	for i := range random {
		random[i] = byte(r.Uint32())
	}
	require.False(t, store.Fits(store.Record{Key: "k", Value: random}))
	require.True(t, store.Fits(store.Record{Key: "k", Value: random[:190<<10]}))
	require.True(t, store.Fits(store.Record{Key: "k", Value: hexText(400 << 10)}))
}
