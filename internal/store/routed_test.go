package store_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// fixedLog answers every call with err, or successfully if err is nil.
type fixedLog struct {
	err   error
	calls int
}

func (w *fixedLog) Do(context.Context, store.Call) (store.Answer, error) {
	w.calls++
	return store.Answer{End: 1}, w.err
}

// peers are the routes through peers, sorted by name.
type peers map[string]*fixedLog

func (p peers) Peers() []string { return []string{"a", "b", "c"}[:len(p)] }

func (p peers) Do(ctx context.Context, name string, c store.Call) (store.Answer, error) {
	return p[name].Do(ctx, c)
}

func routed(direct store.Log, p peers) *store.Routed {
	return store.NewRouted(direct, p, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
}

var (
	errRefused = &store.RefusedError{Op: store.Append, Reason: "busy"}
	errUnsure  = &store.UnansweredError{Op: store.Append, Cause: io.ErrUnexpectedEOF}
	appendCall = store.Call{Op: store.Append, Topic: "jobs"}
	longRead   = store.Call{Op: store.Read, Topic: "op", Wait: time.Second}
	background = context.Background()
)

// A store that does not answer this host may still carry the append out, while a peer is refused.
// If the result counted as a refusal, the caller would be told that its job never runs, and would
// see it run.
func TestNoAnswerThenARefusalIsNotARefusal(t *testing.T) {
	r := routed(&fixedLog{err: errUnsure}, peers{"a": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.False(t, store.NotDone(err), "%v", err)
	require.ErrorAs(t, err, new(*store.UnansweredError))
}

// This host is refused, and a call through a peer has no answer.
func TestARefusalThenNoAnswerIsNotARefusal(t *testing.T) {
	r := routed(&fixedLog{err: errRefused}, peers{"a": {err: errUnsure}, "b": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.False(t, store.NotDone(err), "%v", err)
}

func TestRefusalByAllRoutesIsARefusal(t *testing.T) {
	r := routed(&fixedLog{err: errRefused}, peers{"a": {err: errRefused}, "b": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.True(t, store.NotDone(err), "%v", err)
}

// The store refuses this host and serves the others. Without the route through a peer, callers of
// this host would be refused although their jobs can be stored.
func TestRefusedHostCallsThroughPeer(t *testing.T) {
	direct, p := &fixedLog{err: errRefused}, peers{"a": {err: errRefused}, "b": {}}
	r := routed(direct, p)
	for range 5 {
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
	}
	require.Equal(t, 1, direct.calls, "the direct route is not used again right after a refusal")
	_, err := r.Direct(background, appendCall)
	require.True(t, store.NotDone(err), "a peer's call is refused at once while the store refuses this host")
}

// An error that the store answers with is final: another route would give the same answer.
func TestErrorAnswerIsNotRetriedElsewhere(t *testing.T) {
	p := peers{"a": {}}
	r := routed(&fixedLog{err: &store.FencedError{Epoch: 3}}, p)
	_, err := r.Do(background, appendCall)
	require.ErrorAs(t, err, new(*store.FencedError))
	require.Zero(t, p["a"].calls)
	require.False(t, r.LastAnswer().IsZero())
}

// A read that waits for records delays nobody, so it is only repeated.
func TestALongReadIsNotMadeThroughAPeerAtOnce(t *testing.T) {
	p := peers{"a": {}}
	r := routed(&fixedLog{err: errUnsure}, p)
	_, err := r.Do(background, longRead)
	require.Error(t, err)
	require.Zero(t, p["a"].calls)
}

// The store is slow for everybody: every call takes longer than the initial wait before a peer is
// asked. Asking peers each time would double the load of a store that carries out one append at a
// time, and callers would be refused because of that.
func TestSlowStoreIsNotAskedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, p := &slow{wait: 600 * time.Millisecond}, peers{"a": {}}
		r := routed(direct, p)
		for range 4 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, p["a"].calls, 1)
	})
}

// slow answers after a delay, unless the context ends first.
type slow struct {
	wait  time.Duration
	calls atomic.Int64
}

func (s *slow) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	s.calls.Add(1)
	select {
	case <-time.After(s.wait):
		return store.Answer{}, nil
	case <-ctx.Done():
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
}

// The route to the store goes silent without an error. Each call of this host's callers would
// otherwise wait for the whole timeout.
func TestSilentRouteDelaysOnlyFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Hour}, peers{"a": {}})
		began := time.Now()
		for range 10 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
		}
		require.Less(t, time.Since(began), time.Second)
		// Wait until the direct calls have ended by themselves.
		time.Sleep(time.Minute)
	})
}

// The store is down for some of its partitions. Calls for the others still use the direct route.
// If the host regarded the whole store as unavailable, it could not lead.
func TestPartitionDownDoesNotAffectOthers(t *testing.T) {
	direct := &partialLog{down: 5}
	p := peers{"a": {err: errRefused}}
	r := routed(direct, p)
	for range 3 {
		_, err := r.Do(background, store.Call{Op: store.Append, Topic: "state", Part: 5})
		require.True(t, store.NotDone(err), "%v", err)
		_, err = r.Do(background, store.Call{Op: store.Append, Topic: "state", Part: 10})
		require.NoError(t, err)
	}
	require.Equal(t, 3, direct.served)
	require.Equal(t, 3, p["a"].calls, "only calls to the partition that is down go through the peer")
}

// partialLog serves all partitions but one.
type partialLog struct{ down, served int }

func (p *partialLog) Do(_ context.Context, c store.Call) (store.Answer, error) {
	if c.Part == p.down {
		return store.Answer{}, errRefused
	}
	p.served++
	return store.Answer{End: 1}, nil
}

// The store's answers no longer reach this host, and nothing refuses its calls. Peers are served.
// Every call of a leader there would first wait for the direct route, three times for each step
// of a job, and one urgent job in five would be late for as long as the cut lasts. After a second
// without an answer, peers are asked at once.
func TestAHostThatIsCutOffAsksAPeerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, p := &slow{wait: time.Minute}, peers{"a": {}}
		r := routed(direct, p)
		for range 40 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		began, tried := time.Now(), direct.calls.Load()
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		require.Zero(t, time.Since(began))
		synctest.Wait()
		require.Greater(t, direct.calls.Load(), tried, "the direct route is still tried at the same time")
		time.Sleep(2 * time.Minute)
	})
}

// silentUntil never answers a call that was sent before a certain time, not even after that time.
type silentUntil struct{ at time.Time }

func (s *silentUntil) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	if time.Now().Before(s.at) {
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	return store.Answer{}, nil
}

// The store is silent for all hosts for some seconds and then answers again. Calls that a leader
// sent shortly before are lost. If the leader waited for them until their timeout, no task would
// start and no job would be reported as completed for two seconds more, just when everybody has
// been waiting.
func TestUnansweredCallsAreRepeatedAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &silentUntil{}
		r := routed(direct, peers{})
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		direct.at = time.Now().Add(4 * time.Second)
		time.Sleep(3500 * time.Millisecond)
		answered := make(chan time.Time, 1)
		go func() {
			if _, err := r.Do(background, appendCall); err == nil {
				answered <- time.Now()
			}
		}()
		time.Sleep(600 * time.Millisecond)
		_, err = r.Do(background, store.Call{Op: store.Join, Group: "hosts"})
		require.NoError(t, err)
		synctest.Wait()
		require.Len(t, answered, 1)
		time.Sleep(time.Minute)
	})
}

// Two hosts are cut off from the store, and one of them asks the other one first. Each call of a
// leader there would wait half a second for that peer, and urgent jobs of half a second took
// three seconds. The peer that was served last is asked first.
func TestAPeerThatWasServedIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutOff := &slow{wait: time.Minute}
		r := store.NewRouted(&slow{wait: time.Minute}, mixed{"a": cutOff, "b": &fixedLog{}}, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
		for range 6 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
		}
		asked, began := cutOff.calls.Load(), time.Now()
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		require.Equal(t, asked, cutOff.calls.Load())
		require.Less(t, time.Since(began), 50*time.Millisecond)
		time.Sleep(2 * time.Minute)
	})
}

// mixed are peers of different kinds.
type mixed map[string]store.Log

func (m mixed) Peers() []string { return []string{"a", "b", "c"}[:len(m)] }

func (m mixed) Do(ctx context.Context, name string, c store.Call) (store.Answer, error) {
	return m[name].Do(ctx, c)
}

// A host that is cut off is asked by a peer to make a call. It refuses at once, and the refusal
// means that nothing was done. Otherwise the peer would wait for an answer that does not come.
func TestAHostThatIsCutOffMakesNoCallsForPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Minute}, peers{"a": {}})
		for range 30 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		began := time.Now()
		_, err := r.Direct(background, appendCall)
		require.True(t, store.NotDone(err))
		require.Zero(t, time.Since(began))
		time.Sleep(2 * time.Minute)
	})
}

// A host uses short calls to find out whether a silent store is back. If each of them lasted
// until the timeout of the direct route, callers would be refused for seconds although the store
// serves again.
func TestACallEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Minute}, peers{"a": {err: errRefused}})
		ctx, cancel := context.WithTimeout(background, 600*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := r.Do(ctx, store.Call{Op: store.Join, Group: "hosts"})
		require.False(t, store.NotDone(err))
		require.ErrorAs(t, err, new(*store.UnansweredError))
		require.Equal(t, 600*time.Millisecond, time.Since(began))
		time.Sleep(time.Minute)
	})
}

// A failure domain is cut off, and it contains all peers that a host asks first. The store
// refuses the host. If it waited half a second for one peer after the other, it would refuse its
// callers although the next peer is served.
func TestSilentPeersDoNotHoldUpTheNext(t *testing.T) {
	for _, tc := range []struct {
		call  store.Call
		bound time.Duration
	}{{appendCall, time.Second}, {store.Call{Op: store.Read, Topic: "op"}, 400 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			c := tc.call
			p := mixed{"a": &slow{wait: time.Hour}, "b": &slow{wait: time.Hour}, "c": &fixedLog{}}
			r := store.NewRouted(&fixedLog{err: errRefused}, p, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
			began := time.Now()
			_, err := r.Do(background, c)
			require.NoError(t, err)
			require.Less(t, time.Since(began), tc.bound)
			began = time.Now()
			_, err = r.Do(background, c)
			require.NoError(t, err)
			require.Zero(t, time.Since(began), "the peer that was served last is asked first")
			time.Sleep(time.Minute)
		})
	}
}

// many are peers of which only the last is served.
type many struct {
	names []string
	asked map[string]int
}

func (m *many) Peers() []string { return m.names }

func (m *many) Do(_ context.Context, name string, _ store.Call) (store.Answer, error) {
	m.asked[name]++
	if name != m.names[len(m.names)-1] {
		return store.Answer{}, errRefused
	}
	return store.Answer{}, nil
}

// The store refuses most hosts. A host that always asked the same few peers would refuse its
// callers for as long as the store refuses these peers as well.
func TestRefusedPeersAreAskedLast(t *testing.T) {
	p := &many{names: []string{"a", "b", "c", "d", "e", "f", "g"}, asked: map[string]int{}}
	r := store.NewRouted(&fixedLog{err: errRefused}, p, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
	refused := 0
	for range 10 {
		if _, err := r.Do(background, appendCall); err != nil {
			require.True(t, store.NotDone(err))
			refused++
		}
	}
	require.Equal(t, 2, refused)
	require.Equal(t, 1, p.asked["a"], "a peer that failed is not asked again while another one is served")
}

// A read has gone unanswered for a second, and a repetition of it succeeded in the meantime. The
// timeout of the first attempt is then out of date. If it counted as a loss of the store, the
// host would send its calls through peers although its own route works.
func TestOldFailureDoesNotOverrideNewerAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &silentUntil{}
		var changes []bool
		r := store.NewRouted(direct, peers{}, time.Now, uptime.NewSteady(time.Now), func(_ store.Call, ok bool, _ error) { changes = append(changes, ok) })
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		direct.at = time.Now().Add(300 * time.Millisecond)
		_, err = r.Do(background, store.Call{Op: store.Read, Topic: "op"})
		require.NoError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, []bool{false, true}, changes)
	})
}

// A host stops while a read waits. That says nothing about the store.
func TestCancelledCallIsNotAStoreFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := 0
		r := store.NewRouted(&slow{wait: 800 * time.Millisecond}, peers{}, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) { lost++ })
		ctx, cancel := context.WithCancel(background)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := r.Do(ctx, longRead)
		require.Error(t, err)
		require.Zero(t, lost)
		time.Sleep(time.Minute)
	})
}

// A peer asks a host to read on its behalf, and the host's route has gone silent. The peer gives
// up long before the host does. Without a bound, such reads would accumulate at the host for a
// minute each.
func TestACallForAPeerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Hour}, peers{})
		began := time.Now()
		_, err := r.Direct(background, store.Call{Op: store.Read, Topic: "op"})
		require.ErrorAs(t, err, new(*store.UnansweredError))
		require.Less(t, time.Since(began), 3*time.Second)
	})
}

// recorder records which calls asked for a new connection, and fails with err.
type recorder struct {
	err  error
	anew []bool
}

func (n *recorder) Do(_ context.Context, c store.Call) (store.Answer, error) {
	n.anew = append(n.anew, c.NewConn)
	return store.Answer{}, n.err
}

// A connection has gone silent, and with it all others that were open. Without a new connection
// the next call would wait on another one of them.
func TestAfterASilenceACallGoesOnANewConnection(t *testing.T) {
	direct := &recorder{err: errUnsure}
	r := routed(direct, peers{})
	read := store.Call{Op: store.Read, Topic: "op"}
	_, err := r.Do(background, read)
	require.Error(t, err)
	direct.err = nil
	for range 2 {
		_, err = r.Do(background, read)
		require.NoError(t, err)
	}
	require.Equal(t, []bool{false, true, false}, direct.anew)
}

// One answer took long, as after a short cut. That says little about the next call. If reads
// waited in proportion to it, a read on a route that has gone silent would take seconds.
func TestSlowAnswerDoesNotExtendReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &slow{wait: 2500 * time.Millisecond}
		r := routed(direct, peers{"a": {}})
		_, err := r.Direct(background, appendCall)
		require.NoError(t, err)
		direct.wait = time.Hour
		began := time.Now()
		_, err = r.Do(background, store.Call{Op: store.Read, Topic: "op"})
		require.NoError(t, err)
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(time.Minute)
	})
}

// appendless is a store that refuses appends and serves reads.
type appendless struct{}

func (appendless) Do(_ context.Context, c store.Call) (store.Answer, error) {
	if c.Op == store.Append {
		return store.Answer{}, errRefused
	}
	return store.Answer{End: 7}, nil
}

// Guards against reads that are refused because appends to the same partition were.
func TestARefusedAppendDoesNotCloseReads(t *testing.T) {
	r := routed(appendless{}, peers{})
	_, err := r.Do(background, appendCall)
	require.True(t, store.NotDone(err), "%v", err)
	a, err := r.Do(background, store.Call{Op: store.Newest, Topic: appendCall.Topic})
	require.NoError(t, err)
	require.Equal(t, int64(7), a.End)
}
