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
)

// way answers every call with err, or well without one.
type way struct {
	err   error
	calls int
}

func (w *way) Do(context.Context, store.Call) (store.Answer, error) {
	w.calls++
	return store.Answer{End: 1}, w.err
}

// peers are ways through peers, in order of name.
type peers map[string]*way

func (p peers) Peers() []string { return []string{"a", "b", "c"}[:len(p)] }

func (p peers) Do(ctx context.Context, name string, c store.Call) (store.Answer, error) {
	return p[name].Do(ctx, c)
}

func routed(direct store.Log, p peers) *store.Routed {
	return store.NewRouted(direct, p, time.Now, func(store.Call, bool, error) {})
}

var (
	errRefused = &store.RefusedError{Op: store.Append, Reason: "busy"}
	errUnsure  = &store.UnansweredError{Op: store.Append, Cause: io.ErrUnexpectedEOF}
	appendCall = store.Call{Op: store.Append, Topic: "jobs"}
	longRead   = store.Call{Op: store.Read, Topic: "op", Wait: time.Second}
	background = context.Background()
)

// A store that does not answer this host may still carry the append out; a peer
// is then refused. Told as refused, the caller would hear that its job never
// runs, and see it run.
func TestNoAnswerThenARefusalIsNotARefusal(t *testing.T) {
	r := routed(&way{err: errUnsure}, peers{"a": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.False(t, store.NotDone(err), "%v", err)
	require.ErrorAs(t, err, new(*store.UnansweredError))
}

// The other way round: this host is refused, a peer's call has no answer.
func TestARefusalThenNoAnswerIsNotARefusal(t *testing.T) {
	r := routed(&way{err: errRefused}, peers{"a": {err: errUnsure}, "b": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.False(t, store.NotDone(err), "%v", err)
}

func TestAllWaysRefusedIsARefusal(t *testing.T) {
	r := routed(&way{err: errRefused}, peers{"a": {err: errRefused}, "b": {err: errRefused}})
	_, err := r.Do(background, appendCall)
	require.True(t, store.NotDone(err), "%v", err)
}

// The store turns this host away and serves the others. Callers of this host
// would be refused although their jobs can be stored.
func TestAHostThatIsTurnedAwayGoesThroughAPeer(t *testing.T) {
	direct, p := &way{err: errRefused}, peers{"a": {err: errRefused}, "b": {}}
	r := routed(direct, p)
	for range 5 {
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
	}
	require.Equal(t, 1, direct.calls, "the direct way is left alone after it failed")
	_, err := r.Direct(background, appendCall)
	require.True(t, store.NotDone(err), "a peer is told at once that this host is turned away")
}

// What the store says of a call is final: another way would say the same.
func TestAnAnswerThatIsAnErrorIsNotTriedElsewhere(t *testing.T) {
	p := peers{"a": {}}
	r := routed(&way{err: &store.FencedError{Epoch: 3}}, p)
	_, err := r.Do(background, appendCall)
	require.ErrorAs(t, err, new(*store.FencedError))
	require.Zero(t, p["a"].calls)
	require.False(t, r.LastAnswer().IsZero())
}

// A read that waits for records is only made again: it holds up nobody.
func TestALongReadIsNotMadeThroughAPeerAtOnce(t *testing.T) {
	p := peers{"a": {}}
	r := routed(&way{err: errUnsure}, p)
	_, err := r.Do(background, longRead)
	require.Error(t, err)
	require.Zero(t, p["a"].calls)
}

// A store that is slow for everybody: every call takes longer than a peer is
// waited for at first. Asking peers each time would double the load of a store
// that takes one append at a time, and callers would be refused for that.
func TestASlowStoreIsNotAskedTwiceForLong(t *testing.T) {
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

// slow answers after a while, if it is waited for.
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

// The way to the store goes silent without a word. Callers at this host would
// wait for as long as the bound on an answer with each call.
func TestASilentWayCostsOnlyTheFirstCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Hour}, peers{"a": {}})
		began := time.Now()
		for range 10 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
		}
		require.Less(t, time.Since(began), time.Second)
		// The direct calls have to end on their own.
		time.Sleep(time.Minute)
	})
}

// The store is down for some of its partitions. What is for the others goes its
// direct way as before; taken for turned away as a whole, the host could not lead.
func TestAPartitionThatIsDownClosesNoOther(t *testing.T) {
	direct := &partly{down: 5}
	p := peers{"a": {err: errRefused}}
	r := routed(direct, p)
	for range 3 {
		_, err := r.Do(background, store.Call{Op: store.Append, Topic: "state", Part: 5})
		require.True(t, store.NotDone(err), "%v", err)
		_, err = r.Do(background, store.Call{Op: store.Append, Topic: "state", Part: 10})
		require.NoError(t, err)
	}
	require.Equal(t, 3, direct.served)
	require.Equal(t, 3, p["a"].calls, "only what is down is tried through the peer")
}

// partly serves all partitions but one.
type partly struct{ down, served int }

func (p *partly) Do(_ context.Context, c store.Call) (store.Answer, error) {
	if c.Part == p.down {
		return store.Answer{}, errRefused
	}
	p.served++
	return store.Answer{End: 1}, nil
}

// The store's answers do not reach this host any more, and nothing refuses its calls.
// Peers are served. Every call of a lead there would wait for the direct way first, three
// for each step of a job, and one urgent job in five would be late for as long as the cut
// lasts. After a second without an answer peers are asked at once.
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
		require.Greater(t, direct.calls.Load(), tried, "the direct way is still tried beside it")
		time.Sleep(2 * time.Minute)
	})
}

// silentUntil never answers what is sent to it before some moment, not even after it.
type silentUntil struct{ at time.Time }

func (s *silentUntil) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	if time.Now().Before(s.at) {
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	return store.Answer{}, nil
}

// The store is silent for all hosts for some seconds, and answers again. What a lead sent
// shortly before is lost. Waited for to the end of its time, nothing would begin or be
// told as completed for two seconds more, in the moment when everybody has waited.
func TestCallsSentIntoASilenceAreMadeAgainAfterIt(t *testing.T) {
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

// Two hosts are cut off from the store, and the first of the peers that one of them asks is
// the other. Each call of a lead there waited for that one first, half a second, and urgent
// jobs of half a second took three. The peer that was served last is asked first.
func TestAPeerThatWasServedIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutPeer := &slow{wait: time.Minute}
		r := store.NewRouted(&slow{wait: time.Minute}, mixed{"a": cutPeer, "b": &way{}}, time.Now, func(store.Call, bool, error) {})
		for range 6 {
			_, err := r.Do(background, appendCall)
			require.NoError(t, err)
		}
		asked, began := cutPeer.calls.Load(), time.Now()
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		require.Equal(t, asked, cutPeer.calls.Load())
		require.Less(t, time.Since(began), 50*time.Millisecond)
		time.Sleep(2 * time.Minute)
	})
}

// mixed are peers of unlike kinds.
type mixed map[string]store.Log

func (m mixed) Peers() []string { return []string{"a", "b", "c"}[:len(m)] }

func (m mixed) Do(ctx context.Context, name string, c store.Call) (store.Answer, error) {
	return m[name].Do(ctx, c)
}

// A host that is cut off is asked by another one to make a call for it. It says at once
// that it cannot, and has not: the other one would wait for an answer that does not come.
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

// A host finds out with short calls whether a silent store is back. Waited for to the end
// of the direct way's time, each would take seconds, and callers would be refused for as
// long although the store serves again.
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

// A failure domain is cut off, and all peers that a host asks first are in it. Asked one
// after the other, each for half a second, they would make a host that the store turns away
// refuse its callers, though the next peer is served.
func TestSilentPeersDoNotHoldUpTheNext(t *testing.T) {
	for _, tc := range []struct {
		call  store.Call
		bound time.Duration
	}{{appendCall, time.Second}, {store.Call{Op: store.Read, Topic: "op"}, 400 * time.Millisecond}} {
		synctest.Test(t, func(t *testing.T) {
			c := tc.call
			p := mixed{"a": &slow{wait: time.Hour}, "b": &slow{wait: time.Hour}, "c": &way{}}
			r := store.NewRouted(&way{err: errRefused}, p, time.Now, func(store.Call, bool, error) {})
			began := time.Now()
			_, err := r.Do(background, c)
			require.NoError(t, err)
			require.Less(t, time.Since(began), tc.bound)
			began = time.Now()
			_, err = r.Do(background, c)
			require.NoError(t, err)
			require.Zero(t, time.Since(began), "the peer that was served is known")
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

// The store turns most hosts away. A host that always asked the same few peers would refuse
// its callers for as long as these are turned away as well.
func TestPeersThatAreTurnedAwayGoLast(t *testing.T) {
	p := &many{names: []string{"a", "b", "c", "d", "e", "f", "g"}, asked: map[string]int{}}
	r := store.NewRouted(&way{err: errRefused}, p, time.Now, func(store.Call, bool, error) {})
	refused := 0
	for range 10 {
		if _, err := r.Do(background, appendCall); err != nil {
			require.True(t, store.NotDone(err))
			refused++
		}
	}
	require.Equal(t, 2, refused)
	require.Equal(t, 1, p.asked["a"], "not asked again while another is served")
}

// A read has gone unanswered for a second and was made again with success meanwhile. Its own
// end, when its time is over, is older news: taken for a loss of the store it would send a
// host's calls around through peers while its own way works.
func TestAnOldFailureSaysNothingAgainstANewerAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &silentUntil{}
		var told []bool
		r := store.NewRouted(direct, peers{}, time.Now, func(_ store.Call, ok bool, _ error) { told = append(told, ok) })
		_, err := r.Do(background, appendCall)
		require.NoError(t, err)
		direct.at = time.Now().Add(300 * time.Millisecond)
		_, err = r.Do(background, store.Call{Op: store.Read, Topic: "op"})
		require.NoError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, []bool{false, true}, told)
	})
}

// A host stops while a read waits. That says nothing of the store.
func TestACallerThatLeavesIsNoLossOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := 0
		r := store.NewRouted(&slow{wait: 800 * time.Millisecond}, peers{}, time.Now, func(store.Call, bool, error) { lost++ })
		ctx, cancel := context.WithCancel(background)
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := r.Do(ctx, longRead)
		require.Error(t, err)
		require.Zero(t, lost)
		time.Sleep(time.Minute)
	})
}

// A peer asks a host to read for it, and the host's way has gone silent. The peer has long
// given up; without a bound such reads would gather at the host for a minute each.
func TestACallForAPeerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := routed(&slow{wait: time.Hour}, peers{})
		began := time.Now()
		_, err := r.Direct(background, store.Call{Op: store.Read, Topic: "op"})
		require.ErrorAs(t, err, new(*store.UnansweredError))
		require.Less(t, time.Since(began), 3*time.Second)
	})
}

// noting keeps which calls asked for a new connection, and fails with err.
type noting struct {
	err  error
	anew []bool
}

func (n *noting) Do(_ context.Context, c store.Call) (store.Answer, error) {
	n.anew = append(n.anew, c.NewConn)
	return store.Answer{}, n.err
}

// A connection has gone silent, and with it all that were open. The next call would wait on
// another one of them.
func TestAfterASilenceACallGoesOnANewConnection(t *testing.T) {
	direct := &noting{err: errUnsure}
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

// One answer took long, as after a short cut. That says little of the next call: waited for in
// proportion, a read on a way that has gone silent would take seconds.
func TestALongAnswerDoesNotMakeReadsPatient(t *testing.T) {
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
