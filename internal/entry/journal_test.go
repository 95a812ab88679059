package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/flow"
	"pollencroft/internal/standin/users"
	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
)

// appendTimeout is the timeout of the tests' appends. A partition that works answers at once.
const appendTimeout = 30 * time.Millisecond

func newJournal(t *testing.T, term int64) (*users.Log, *entry.Journal) {
	log := users.NewLog(16, time.Now)
	b := entry.NewJournal(t, log.For("lead"), term, []int{0, 5, 10})
	for _, p := range []int{0, 5, 10} {
		claim(t, log, p, term)
	}
	return log, b
}

func claim(t *testing.T, log *users.Log, part int, term int64) {
	_, err := log.For("").Do(t.Context(), store.Call{
		Op: store.Append, Topic: "state", Part: part, Keyed: true, Epoch: term, Records: []store.Record{{Key: "!", Value: []byte("x")}},
	})
	require.NoError(t, err)
}

// newestRecords returns the records of a partition without its claim.
func newestRecords(t *testing.T, log *users.Log, part int) map[string]string {
	all, _, err := store.ReadLatest(t.Context(), log.For(""), "state", part)
	require.NoError(t, err)
	got := map[string]string{}
	for _, r := range all {
		if r.Key != "!" {
			got[r.Key] = string(r.Value)
		}
	}
	return got
}

// lastNumber is the number of the last append.
var lastNumber atomic.Int64

func nextNumber() int64 { return lastNumber.Add(1) }

func oneRecord(key, value string) []store.Record {
	return []store.Record{{Key: key, Value: []byte(value)}}
}

// The store is down for some partitions, in each of the possible ways. The leader's progress is
// stored in another partition, after a refusal at once. With a single partition, nothing would
// start until it is back, and every job would be late.
func TestProgressMovesToAnotherPartitionDuringAnOutage(t *testing.T) {
	for _, fault := range []users.Fault{users.Busy, users.Silent, users.Lost} {
		log, b := newJournal(t, 7)
		require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("a", "1"), appendTimeout))
		require.Equal(t, map[string]string{"a": "1"}, newestRecords(t, log, 0))
		log.BreakPart("state", 0, fault)
		log.BreakPart("state", 5, fault)
		require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("a", "2"), appendTimeout))
		require.Equal(t, map[string]string{"a": "2"}, newestRecords(t, log, 10))
		log.BreakPart("state", 0, users.None)
		log.BreakPart("state", 5, users.None)
		// An append without an answer is repeated until it has one; appends with higher numbers
		// follow.
		for range 40 {
			require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("a", "3"), appendTimeout))
		}
		require.Equal(t, map[string]string{"a": "3"}, newestRecords(t, log, 10))
	}
}

// Another leader has claimed. The previous one can store nothing any more, whichever partition it
// uses; its successor has read all partitions by then.
func TestSuccessorFencesEveryPartition(t *testing.T) {
	for _, down := range []int{0, 5} {
		log, b := newJournal(t, 7)
		for _, p := range []int{0, 5, 10} {
			claim(t, log, p, 8)
		}
		log.BreakPart("state", down, users.Busy)
		err := b.Append(t.Context(), nextNumber(), oneRecord("a", "1"), appendTimeout)
		require.ErrorAs(t, err, new(*store.FencedError))
		log.BreakPart("state", down, users.None)
		for _, p := range []int{0, 5, 10} {
			require.Empty(t, newestRecords(t, log, p))
		}
	}
}

// unansweredOnce carries out the first append to partition 0 without an answer.
type unansweredOnce struct {
	store.Log
	carriedOut atomic.Bool
}

func (l *unansweredOnce) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	if c.Op != store.Append || c.Part != 0 || l.carriedOut.Swap(true) {
		return l.Log.Do(ctx, c)
	}
	_, _ = l.Log.Do(ctx, c)
	<-ctx.Done()
	return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: ctx.Err()}
}

// noPeers is a relay without peers.
type noPeers struct{}

func (noPeers) Peers() []string { return nil }

func (noPeers) Do(_ context.Context, _ string, c store.Call) (store.Answer, error) {
	return store.Answer{}, &store.RefusedError{Op: c.Op}
}

// Guards against progress that counts as stored and is not: an append was carried out without an
// answer, its repetition after the store's recovery was refused, and the next append with the same
// sequence number gets the answer of the first one.
func TestSequenceNumberIsNotReusedAfterAnAbandonedAppend(t *testing.T) {
	// silence is long enough for the store's next answer to count as its recovery.
	const silence = 1100 * time.Millisecond
	log := users.NewLog(16, time.Now)
	parts := []int{0, 5, 10}
	for _, p := range parts {
		claim(t, log, p, 7)
	}
	r := store.NewRouted(&unansweredOnce{Log: log.For("lead")}, noPeers{}, time.Now, uptime.NewSteady(time.Now), func(store.Call, bool, error) {})
	join := store.Call{Op: store.Join, Group: "hosts", Member: "lead", TTL: time.Minute}
	_, err := r.Do(t.Context(), join)
	require.NoError(t, err)
	j := entry.NewPatientJournal(t, r, 7, parts)
	require.NoError(t, j.Append(t.Context(), nextNumber(), oneRecord("a", "1"), appendTimeout))
	time.Sleep(silence)
	log.BreakPart("state", 0, users.Busy)
	_, err = r.Do(t.Context(), join)
	require.NoError(t, err)
	time.Sleep(10 * appendTimeout)
	log.BreakPart("state", 0, users.None)
	log.BreakPart("state", 5, users.Busy)
	log.BreakPart("state", 10, users.Busy)
	require.NoError(t, j.Append(t.Context(), nextNumber(), oneRecord("b", "1"), appendTimeout))
	require.Equal(t, map[string]string{"a": "1", "b": "1"}, newestRecords(t, log, 0))
}

// While every partition is unavailable, the append waits and is not lost.
func TestAppendWaitsForAnyPartition(t *testing.T) {
	log, b := newJournal(t, 7)
	for _, p := range []int{0, 5, 10} {
		log.BreakPart("state", p, users.Busy)
	}
	var stored atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		if b.Append(context.WithoutCancel(t.Context()), nextNumber(), oneRecord("a", "1"), appendTimeout) == nil {
			stored.Store(true)
		}
	}()
	time.Sleep(10 * appendTimeout)
	require.False(t, stored.Load())
	log.BreakPart("state", 5, users.None)
	<-done
	require.True(t, stored.Load())
	require.Equal(t, map[string]string{"a": "1"}, newestRecords(t, log, 5))
}

// A deleted job is removed from every partition that may contain its record. A record that
// remained in one partition would be taken for the newest once the others are gone.
func TestDeletedJobIsDroppedFromEveryPartition(t *testing.T) {
	log, b := newJournal(t, 7)
	require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("a", "1"), appendTimeout))
	log.BreakPart("state", 0, users.Busy)
	require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("a", "2"), appendTimeout))
	b.Drop(t.Context(), "a")
	log.BreakPart("state", 0, users.None)
	log.BreakPart("state", 5, users.Busy)
	require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("b", "1"), appendTimeout))
	log.BreakPart("state", 5, users.None)
	log.BreakPart("state", 0, users.Busy)
	log.BreakPart("state", 10, users.Busy)
	require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord("b", "2"), appendTimeout))
	for _, p := range []int{0, 5, 10} {
		log.BreakPart("state", p, users.None)
		require.NotContains(t, newestRecords(t, log, p), "a")
	}
}

// The partitions go down one after the other under load, and after that all hosts die. The next
// leader reads records from several partitions. Every job completes, and no task runs a second
// time.
func TestJobsOutliveAStoreThatIsPartlyDown(t *testing.T) {
	c := newCluster(t, 3, 4, 150*time.Millisecond)
	jobs := 0
	for _, down := range []int{0, 5, 10} {
		c.log.BreakPart("state", down, users.Busy)
		for range 4 {
			require.Equal(t, http.StatusOK, c.submit(c.follower(), jobs).code)
			jobs++
		}
		c.waitCompleted(c.follower(), jobs-1)
		c.log.BreakPart("state", down, users.None)
	}
	for _, h := range c.hosts {
		h.Kill()
	}
	for name := range c.hosts {
		c.start(name)
	}
	c.waitReady()
	c.waitCompleted(c.follower(), jobs)
	require.Empty(t, c.checker.Violations())
	for task, n := range c.checker.Runs() {
		require.Equal(t, 1, n, task)
	}
}

// The partition to which a host appends jobs is down. The host appends to another one; otherwise
// its callers would be refused while other hosts accept jobs.
func TestJobsAreAcceptedDuringAPartitionOutage(t *testing.T) {
	c := newCluster(t, 2, 2, 50*time.Millisecond)
	h := c.follower()
	for _, fault := range []users.Fault{users.Busy, users.Silent} {
		own := h.JobsPart()
		c.log.BreakPart("jobs", own, fault)
		n := int(fault)
		require.Equal(t, http.StatusOK, c.submit(h, n).code)
		require.NotEqual(t, own, h.JobsPart())
		c.log.BreakPart("jobs", own, users.None)
	}
	for _, fault := range []users.Fault{users.Busy, users.Silent} {
		require.Eventually(t, func() bool {
			_, body := c.get(h.cfg.Listen.Caller, prefix+jobID(int(fault)))
			return body == `{"state":"completed"}`
		}, waitTimeout, 20*time.Millisecond)
	}
	require.Empty(t, c.checker.Violations())
}

// An ended job is deleted while the store does not accept the deletion of its spec. If its
// progress were deleted nevertheless, the next leader would find a job without progress and run
// it again, and its caller would see the same work done twice.
func TestJobIsNotRunAgainAfterItIsDeleted(t *testing.T) {
	c := newCluster(t, 1, 2, 50*time.Millisecond)
	c.hosts["h0"].Kill()
	delete(c.hosts, "h0")
	h := c.start("short", func(cfg *entry.Settings) { cfg.Times.Keep = entry.Duration(800 * time.Millisecond) })
	c.waitReady()
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	c.waitCompleted(h, 1)
	for p := range 16 {
		c.log.BreakPart("jobs", p, users.Busy)
	}
	require.Eventually(t, func() bool { return !h.KnowsJob(jobID(0)) }, waitTimeout, 20*time.Millisecond)
	for p := range 16 {
		c.log.BreakPart("jobs", p, users.None)
	}
	completed := func(n int) {
		require.Equal(t, http.StatusOK, c.submit(h, n).code)
		require.Eventually(t, func() bool {
			_, body := c.get(h.cfg.Listen.Caller, prefix+jobID(n))
			return body == `{"state":"completed"}`
		}, waitTimeout, 20*time.Millisecond)
	}
	// The next append carries the pending deletions, if there are any.
	completed(1)
	h.Kill()
	h = c.start("short")
	c.waitReady()
	completed(2)
	for task, n := range c.checker.Runs() {
		require.Equal(t, 1, n, task)
	}
}

// Several appends are in progress while partitions refuse, do not answer and lose answers at
// random, so an append may fail at one partition and arrive at another after a later one. A
// partition keeps the record that was written last. Whatever happens, the newest record found for
// a job is at least as new as the last one whose append was reported as stored. An older record
// would make a job run again that was reported as completed.
func TestNewestRecordIsNeverOverwritten(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 0))
		log, b := newJournal(t, 7)
		keys := []string{"a", "b", "c"}
		var mu sync.Mutex
		reported := map[string]int64{}
		var wg sync.WaitGroup
		turns := make(chan struct{}, 3)
		for n := int64(1); n <= 120; n++ {
			if r.IntN(3) == 0 {
				// One of them is served at any time.
				up := r.IntN(3)
				for i, p := range []int{0, 5, 10} {
					fault := []users.Fault{users.None, users.Busy, users.Silent, users.Lost}[r.IntN(4)]
					if i == up {
						fault = users.None
					}
					log.BreakPart("state", p, fault)
				}
			}
			key := keys[r.IntN(len(keys))]
			turns <- struct{}{}
			wg.Go(func() {
				defer func() { <-turns }()
				if b.Append(t.Context(), n, oneRecord(key, fmt.Sprintf(`{"t":7,"a":%d}`, n)), 5*time.Millisecond) != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				reported[key] = max(reported[key], n)
			})
			time.Sleep(time.Duration(r.IntN(4)) * time.Millisecond)
		}
		wg.Wait()
		for _, p := range []int{0, 5, 10} {
			log.BreakPart("state", p, users.None)
		}
		for _, key := range keys {
			var best []byte
			for _, p := range []int{0, 5, 10} {
				if v, ok := newestRecords(t, log, p)[key]; ok {
					best = flow.NewerRecord(best, []byte(v))
				}
			}
			var v flow.Version
			require.NoError(t, json.Unmarshal(best, &v))
			require.GreaterOrEqual(t, v.Append, reported[key], "seed %d, job %s", seed, key)
		}
	}
}

// Several appends are in progress while one partition after the other refuses, so the order in
// which partitions are tried changes all the time. The race detector reports any access to that
// order without its lock: the number of partitions used to be read that way at the start of each
// append.
func TestConcurrentAppendsDuringAlternatingOutages(t *testing.T) {
	log, b := newJournal(t, 7)
	parts := []int{0, 5, 10}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 300 {
				var one sync.WaitGroup
				one.Go(func() { _ = b.Append(t.Context(), nextNumber(), oneRecord("a", "1"), appendTimeout) })
				one.Wait()
			}
		})
	}
	over := make(chan struct{})
	go func() {
		wg.Wait()
		close(over)
	}()
	for n := 0; ; n++ {
		select {
		case <-over:
			return
		case <-time.After(200 * time.Microsecond):
		}
		for i, p := range parts {
			fault := users.None
			if i == n%len(parts) {
				fault = users.Busy
			}
			log.BreakPart("state", p, fault)
		}
	}
}

// sizedLog refuses appends that are too large, as the platform does, and those to a partition from the
// nth on.
type sizedLog struct {
	store.Log
	t *testing.T
	// refusedPart refuses appends after allowed ones.
	refusedPart int
	allowed     atomic.Int64
	appends     atomic.Int64
}

func (l *sizedLog) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	if c.Op == store.Append {
		l.appends.Add(1)
		size := 0
		for _, r := range c.Records {
			size += 5 + len(r.Key) + len(r.Value)
		}
		require.LessOrEqual(l.t, size, 2_097_152)
		if c.Part == l.refusedPart && l.allowed.Add(-1) < 0 {
			return store.Answer{}, &store.RefusedError{Op: c.Op}
		}
	}
	return l.Log.Do(ctx, c)
}

// Guards against more changes at once than the store takes in one append, which would end the term.
func TestManyLargeRecordsAreAppendedInParts(t *testing.T) {
	const records, size = 40, 150 << 10
	for allowed := range 4 {
		log := users.NewLog(16, time.Now)
		l := &sizedLog{Log: log.For("lead"), t: t}
		l.allowed.Store(int64(allowed))
		b := entry.NewJournal(t, l, 1, []int{0, 5, 10})
		for _, p := range []int{0, 5, 10} {
			claim(t, log, p, 1)
		}
		var all []store.Record
		for i := range records {
			all = append(all, store.Record{Key: jobID(i), Value: bytes.Repeat([]byte("x"), size)})
		}
		require.NoError(t, b.Append(t.Context(), nextNumber(), all, appendTimeout))
		require.Len(t, newestRecords(t, log, 5), records, "after %d appends to the first partition", allowed)
		require.NoError(t, b.Append(t.Context(), nextNumber(), oneRecord(jobID(0), "y"), appendTimeout))
	}
}
