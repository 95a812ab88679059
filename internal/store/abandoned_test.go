package store_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// refusesAfterSilence leaves calls unanswered until it recovers. After that it refuses appends and
// reads of the topic "jobs", and answers all other calls.
type refusesAfterSilence struct{ silent atomic.Bool }

func (l *refusesAfterSilence) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	switch {
	case l.silent.Load():
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	case c.Topic == "jobs":
		return store.Answer{}, &store.RefusedError{Op: c.Op, Reason: "busy"}
	}
	return store.Answer{}, nil
}

// callAcrossRecovery makes a call with do while the store is silent. The store then answers again and
// refuses the repeated call.
func callAcrossRecovery(t *testing.T, p store.Relay, do func(r *store.Routed) error) error {
	direct := &refusesAfterSilence{}
	r := store.NewRouted(direct, p, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
	join := store.Call{Op: store.Join, Group: "hosts"}
	_, err := r.Do(background, join)
	require.NoError(t, err)
	direct.silent.Store(true)
	time.Sleep(800 * time.Millisecond)
	failed := make(chan error, 1)
	go func() { failed <- do(r) }()
	time.Sleep(300 * time.Millisecond)
	direct.silent.Store(false)
	_, err = r.Do(background, join)
	require.NoError(t, err)
	err = <-failed
	time.Sleep(time.Minute)
	return err
}

// Guards against a write that is reported as refused although its first attempt may have been
// carried out: only the attempt after the store's recovery was refused.
func TestRefusalAfterAnAbandonedAttemptIsNotARefusal(t *testing.T) {
	for name, do := range map[string]func(r *store.Routed) error{
		"own call":      func(r *store.Routed) error { _, err := r.Do(background, appendCall); return err },
		"call for peer": func(r *store.Routed) error { _, err := r.Direct(background, appendCall); return err },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				err := callAcrossRecovery(t, peers{"a": {err: errRefused}}, do)
				require.ErrorAs(t, err, new(*store.UnansweredError))
				require.False(t, store.NotDone(err), "%v", err)
			})
		})
	}
}

// Guards against a read that is not made through a peer because an earlier attempt of it was given
// up: a read has no effect that could be unknown.
func TestReadThatIsRefusedAfterRecoveryIsMadeThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := peers{"a": {}}
		err := callAcrossRecovery(t, p, func(r *store.Routed) error {
			_, err := r.Do(background, store.Call{Op: store.Newest, Topic: "jobs", Bulk: true})
			return err
		})
		require.NoError(t, err)
		require.Equal(t, 1, p["a"].calls)
	})
}
