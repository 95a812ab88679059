package entry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

const (
	// tableDeadline is the guaranteed time from the confirmation of a table until it is in force.
	tableDeadline = 2 * time.Second
	// recoveryTime is how long after the end of the last outage of the store or of its own
	// connections a host has to meet its guarantees again.
	recoveryTime = 3 * time.Second
	// storeLatency is the store's usual response time, peerLatency the additional time of a call
	// through a peer.
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
)

// outage is a fault of the store during a period of time.
type outage struct {
	from, to time.Duration
	kind     outageKind
	// tableOnly limits the outage to the partition of the table, ownOnly to this host.
	tableOnly, ownOnly bool
}

type outageKind int

const (
	silent outageKind = iota
	refusing
	slowly
	// lost is a single event: calls on the host's open connections are never answered.
	lost
	outageKinds
)

func (k outageKind) String() string {
	return [...]string{"silent", "refusing", "slow", "connections lost"}[k]
}

func (tr outage) String() string {
	return fmt.Sprintf("%v from %v to %v, only the table %v", tr.kind, tr.from, tr.to, tr.tableOnly)
}

// affects reports whether the outage affects a call at a given time.
func (tr outage) affects(at time.Duration, c store.Call, own bool) bool {
	return at >= tr.from && at < tr.to && (!tr.tableOnly || c.Topic == platform.TableTopic) && (!tr.ownOnly || own)
}

// fakeStore is one host's view of the store and of peers in three failure domains, one of which
// is cut off from some time on.
type fakeStore struct {
	began   time.Time
	outages []outage
	// cutAt is when the hosts whose names begin with cutDomain stop answering.
	cutAt     time.Duration
	cutDomain byte
	// changedAt is when the table changes from version 1 to 2.
	changedAt time.Duration
	logs      logBuffer
}

func (w *fakeStore) elapsed() time.Duration { return time.Since(w.began) }

// Do is the host's direct route to the store.
func (w *fakeStore) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	sent := w.elapsed()
	answered := make(chan struct{})
	var a store.Answer
	var err error
	go func() {
		defer close(answered)
		a, err = w.serve(ctx, c, true)
	}()
	for _, tr := range w.outages {
		if tr.kind != lost || tr.from < sent {
			continue
		}
		select {
		case <-answered:
			return a, err
		case <-ctx.Done():
		case <-time.After(tr.from - sent):
			// No call that is in progress at that time is answered.
		}
		<-ctx.Done()
		<-answered
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	<-answered
	return a, err
}

// viaPeer is the route through a peer.
func (w *fakeStore) viaPeer(ctx context.Context, peer string, c store.Call) (store.Answer, error) {
	if !sleep(ctx, peerLatency) || peer[0] == w.cutDomain && w.elapsed() > w.cutAt {
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	return w.serve(ctx, c, false)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// serve executes a call like the store does, for the host itself or for a peer.
func (w *fakeStore) serve(ctx context.Context, c store.Call, own bool) (store.Answer, error) {
	took := storeLatency
	for _, tr := range w.outages {
		if !tr.affects(w.elapsed(), c, own) {
			continue
		}
		switch tr.kind {
		case silent:
			<-ctx.Done()
			return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: io.ErrUnexpectedEOF}
		case refusing:
			return store.Answer{}, &store.RefusedError{Op: c.Op, Reason: "busy"}
		case slowly:
			took = 100 * storeLatency
		}
	}
	if !sleep(ctx, took) {
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	if c.Topic == platform.TableTopic && !w.waitForRecords(ctx, c) || w.isSilent(c, own) {
		<-ctx.Done()
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
	}
	if c.Topic != platform.TableTopic {
		return store.Answer{}, nil
	}
	end := int64(1)
	if w.elapsed() >= w.changedAt {
		end = 2
	}
	if c.Op == store.Newest {
		return store.Answer{End: end, Records: []store.Record{w.record(end)}}, nil
	}
	a := store.Answer{End: end}
	for n := c.From; n < end; n++ {
		a.Records = append(a.Records, w.record(n+1))
	}
	return a, nil
}

// waitForRecords waits as long as a read may wait for new records. It returns false if the read
// is cancelled.
func (w *fakeStore) waitForRecords(ctx context.Context, c store.Call) bool {
	if c.Wait == 0 || c.From == 0 || w.elapsed() >= w.changedAt {
		return true
	}
	return sleep(ctx, min(c.Wait, w.changedAt-w.elapsed()))
}

// isSilent reports whether an answer is lost now.
func (w *fakeStore) isSilent(c store.Call, own bool) bool {
	for _, tr := range w.outages {
		if tr.kind == silent && tr.affects(w.elapsed(), c, own) {
			return true
		}
	}
	return false
}

func (w *fakeStore) record(version int64) store.Record {
	return store.Record{Offset: version - 1, Key: platform.TableKey, Value: fmt.Appendf(nil, tableText, version, "")}
}

// deadline returns when the changed table has to be in force.
func (w *fakeStore) deadline() time.Duration {
	b := w.changedAt + tableDeadline
	for _, tr := range w.outages {
		if tr.ownOnly {
			// The outage lasts, but peers are served.
			b = max(b, tr.from+recoveryTime)
			continue
		}
		b = max(b, tr.to+recoveryTime)
	}
	return b
}

// tableArrives reports whether the changed table is in force in time at a host of the second
// domain.
func (w *fakeStore) tableArrives(t *testing.T, name, leader string) (ok bool) {
	synctest.Test(t, func(t *testing.T) {
		w.began = time.Now()
		var others []string
		for _, n := range []string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"} {
			if n != name {
				others = append(others, n)
			}
		}
		f := entry.NewFollower(t, slog.New(slog.NewTextHandler(&w.logs, nil)), name, others, leader, w, w.viaPeer)
		f.Run()
		time.Sleep(w.deadline())
		synctest.Wait()
		ok = f.Version() == 2
		f.Stop()
		// The goroutines that are still running end on their own.
		time.Sleep(5 * time.Minute)
	})
	return ok
}

// Operators confirm a change, and for seconds some hosts still refuse callers because they lack a
// queue that the change has added. The store was silent, for all hosts or only for the partition
// of the operators' table, or a host's open connections went silent, and a read that waits for a
// new table was sent just before that ended. In the meantime a failure domain is cut off that
// contains the leader and the first hosts by name.
//
// The read was waited for until its timeout, 4.1 s. After 1.3 s it was also made through peers:
// three, one after the other, the leader and the first by name, all of them cut off. Random
// clusters proved it: in each one that failed, the leader and the first three names were in the
// domain that was cut off. None fails since reads are repeated on a new connection, and peers are
// asked concurrently, those that failed last.
func TestTableIsInForceInTime(t *testing.T) {
	const back = 10 * time.Second
	for name, outages := range map[string]func(away time.Duration) []outage{
		"the store was silent": func(away time.Duration) []outage {
			return []outage{{from: back - away, to: back, kind: silent}}
		},
		"the tables partition was silent": func(away time.Duration) []outage {
			return []outage{{from: back - away, to: back, kind: silent, tableOnly: true}}
		},
		"the store was slow and then silent": func(away time.Duration) []outage {
			return []outage{{from: time.Second, to: back - away, kind: slowly}, {from: back - away, to: back, kind: silent}}
		},
		"the store was slow and then refused": func(away time.Duration) []outage {
			return []outage{{from: time.Second, to: back - away, kind: slowly}, {from: back - away, to: back, kind: refusing}}
		},
		"a connection went silent": func(time.Duration) []outage {
			return []outage{{from: back, to: back, kind: lost}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			// The read may have been sent at any time before.
			for away := 2 * time.Second; away < 6*time.Second; away += 130 * time.Millisecond {
				for after := time.Duration(0); after <= 600*time.Millisecond; after += 200 * time.Millisecond {
					w := fakeStore{cutAt: 5 * time.Second, cutDomain: 'a', changedAt: back + after, outages: outages(away)}
					require.True(t, w.tableArrives(t, "b1", "a1"), "away for %v, changed %v after", away, after)
				}
			}
		})
	}
}

// The store refuses one host, or does not answer it, for minutes, and serves the others; a
// failure domain that contains the leader is cut off. A queue that is added in the meantime would
// be served by all hosts but this one, whose callers would be told that it does not exist.
func TestTableIsInForceInTimeThroughPeers(t *testing.T) {
	for _, k := range []outageKind{silent, refusing} {
		for after := time.Duration(0); after < 3*time.Second; after += 90 * time.Millisecond {
			w := fakeStore{cutAt: 3 * time.Second, cutDomain: 'a', changedAt: 10*time.Second + after, outages: []outage{{from: 4 * time.Second, to: time.Minute, kind: k, ownOnly: true}}}
			require.True(t, w.tableArrives(t, "b1", "a1"), "%v, changed at %v", k, w.changedAt)
		}
	}
}

// Outages of the store, a cut and a change of the table happen at random times. Whatever they
// are, a host that is not cut off itself has the change in force in time.
func TestTableIsInForceInTimeAfterRandomOutages(t *testing.T) {
	for seed := range uint64(1000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		within := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
		w := fakeStore{cutAt: within(10 * time.Second), cutDomain: "ac"[rng.IntN(2)]}
		for range 1 + rng.IntN(3) {
			tr := outage{from: 2*time.Second + within(6*time.Second), kind: outageKind(rng.IntN(int(outageKinds))), tableOnly: rng.IntN(2) == 0}
			tr.to = tr.from
			if tr.kind != lost {
				tr.to += within(5 * time.Second)
			}
			w.outages = append(w.outages, tr)
		}
		w.changedAt = 4*time.Second + within(10*time.Second)
		leader := []string{"a1", "b2", "c1"}[rng.IntN(3)]
		require.True(t, w.tableArrives(t, "b1", leader), "seed %d: %v, domain %c cut at %v, change at %v, lead %s",
			seed, w.outages, w.cutDomain, w.cutAt, w.changedAt, leader)
	}
}

// The store does not answer for seconds. An operator on call sees that queues are missing on some
// hosts, and has to distinguish a host that cannot read the table from one that read and ignored
// it.
func TestLogShowsThatTheTableCannotBeRead(t *testing.T) {
	w := fakeStore{cutDomain: 'a', changedAt: 12 * time.Second, outages: []outage{{from: 3 * time.Second, to: 10 * time.Second, kind: silent}}}
	require.True(t, w.tableArrives(t, "b1", "a1"))
	text := w.logs.String()
	for _, line := range []string{
		`msg="store: does not serve this host." what=op`,
		`msg="follow: cannot be read." topic=op from=1`,
		`msg="follow: read again." topic=op from=1 after=`,
		`msg="table: in force." version=2`,
	} {
		require.Equal(t, 1, strings.Count(text, line), "%s in\n%s", line, text)
	}
}

// The store refuses the hosts of one failure domain. If all of them asked the same peers, the
// first by name, these would have to make the calls of all.
func TestHostsAskDifferentPeers(t *testing.T) {
	all := []string{"a1", "a2", "b1", "b2", "c1"}
	for name, want := range map[string][]string{
		"a1": {"b2", "a2", "b1", "c1"},
		"b1": {"b2", "c1", "a1", "a2"},
		"b2": {"c1", "a1", "a2", "b1"},
		"c1": {"b2", "a1", "a2", "b1"},
	} {
		f := entry.NewFollower(t, slog.New(slog.DiscardHandler), name, all, "b2", nil, nil)
		require.Equal(t, want, f.Peers())
	}
}
