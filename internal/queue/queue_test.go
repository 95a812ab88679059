package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/queue"
)

var start = time.Unix(1_700_000_000, 0)

func newRequest(id, row string, class cell.Class) queue.Enqueue {
	return queue.Enqueue{ID: id, Row: queue.Row{Name: row, Class: class, Weight: 1}, Deadline: start.Add(time.Minute)}
}

func newShares(n, slots int) queue.Shares {
	var s queue.Shares
	for i := range n {
		s.All = append(s.All, queue.Share{Backend: fmt.Sprint("m", i), Slots: slots})
	}
	return s
}

// countActions sums up actions: sends by row letter, lends by peer, refusals by reason.
func countActions(acts []queue.Action) map[string]int {
	n := map[string]int{}
	for _, a := range acts {
		switch a := a.(type) {
		case queue.Send:
			n[a.ID[:1]]++
		case queue.Lend:
			n[a.Peer]++
		case queue.Refuse:
			n[string(a.Reason)]++
		}
	}
	return n
}

// A badge print batch fills the queue just before a visitor is scanned. The
// visitor must not wait for the batch: the scan takes a reserved slot at once.
func TestScanDoesNotWaitBehindBulk(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 8))
	sent := 0
	for i := range 100 {
		sent += len(q.Step(start, newRequest(fmt.Sprint("b", i), "badges", cell.Bulk)))
	}
	require.Equal(t, 6, sent)
	require.Equal(t, []queue.Action{queue.Send{ID: "s1", Backend: "m0"}}, q.Step(start, newRequest("s1", "scan", cell.Urgent)))
}

// No visitor has been scanned for a quarter of an hour. Slots that stay empty
// for scans would only delay the badges, so all but one are given to them.
func TestReserveShrinksWithoutUrgentRequests(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 8))
	q.Step(start.Add(15*time.Minute), queue.Tick{})
	for i := range 9 {
		a := newRequest(fmt.Sprint("b", i), "badges", cell.Bulk)
		a.Deadline = start.Add(time.Hour)
		q.Step(start.Add(15*time.Minute), a)
	}
	free, waiting := q.Load()
	require.Equal(t, [2]int{1, 2}, [2]int{free, waiting})
}

// The queue cannot serve a request before its deadline. The caller is told so
// then, with the time to come back, instead of being kept waiting.
func TestRequestPastItsDeadlineIsRefused(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	require.Empty(t, q.Step(start, newRequest("a", "scan", cell.Urgent)))
	acts := q.Step(start.Add(time.Minute), queue.Tick{})
	require.Len(t, acts, 1)
	refused, ok := acts[0].(queue.Refuse)
	require.True(t, ok)
	require.Equal(t, queue.TooLate, refused.Reason)
	require.Positive(t, refused.RetryAfter)
}

func TestRowsShareSlotsByWeight(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1000})
	for i := range 100 {
		a, b := newRequest(fmt.Sprint("a", i), "a", cell.Normal), newRequest(fmt.Sprint("b", i), "b", cell.Normal)
		a.Row.Weight = 3
		q.Step(start, a)
		q.Step(start, b)
	}
	require.Equal(t, map[string]int{"a": 30, "b": 10}, countActions(q.Step(start, newShares(1, 40))))
}

// A thousand callers of one row come at once, and one of another row a moment
// later. The single one must not wait for the thousand, nor find the queue full.
func TestCrowdOfOneRowDoesNotHoldUpAnother(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1000})
	for i := range 1000 {
		require.Empty(t, q.Step(start, newRequest(fmt.Sprint("c", i), "crowd", cell.Normal)))
	}
	acts := q.Step(start, newRequest("x", "single", cell.Normal))
	require.Equal(t, map[string]int{string(queue.Full): 1}, countActions(acts), "the crowd's newest gives way")
	require.Equal(t, 1, countActions(q.Step(start, newShares(1, 2)))["x"])
}

// The queue is full of badges when visitors are scanned. The newest badge
// requests are told to come back; no scan is turned away for them.
func TestFullQueueShedsNewestBulkFirst(t *testing.T) {
	q := queue.New(queue.Limits{Length: 3})
	for i := range 3 {
		q.Step(start, newRequest(fmt.Sprint("b", i), "badges", cell.Bulk))
	}
	for i, id := range []string{"s0", "s1", "s2"} {
		acts := q.Step(start, newRequest(id, "scan", cell.Urgent))
		require.Equal(t, fmt.Sprint("b", 2-i), acts[0].(queue.Refuse).ID)
	}
	acts := q.Step(start, newRequest("s3", "scan", cell.Urgent))
	require.Equal(t, queue.Refuse{ID: "s3", Reason: queue.Full, RetryAfter: acts[0].(queue.Refuse).RetryAfter}, acts[0])
}

// An operator takes slots from a row while its requests wait. The limit holds
// for those too; a flood that is already queued would run on for minutes.
func TestNewLimitHoldsForWhatWaitsAlready(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1000})
	for i := range 20 {
		q.Step(start, newRequest(fmt.Sprint("a", i), "a", cell.Normal))
	}
	q.Step(start, queue.RowChanged{Row: queue.Row{Name: "a", Class: cell.Normal, Weight: 1, Slots: 3}})
	require.Equal(t, map[string]int{"a": 3}, countActions(q.Step(start, newShares(1, 10))))
	require.Equal(t, 2, countActions(q.Step(start, queue.RowChanged{Row: queue.Row{Name: "a", Weight: 1, Slots: 5}}))["a"])
	require.Empty(t, q.Step(start, queue.RowChanged{Row: queue.Row{Name: "a", Weight: 1, Slots: queue.NoSlots}}))
	require.Equal(t, 5, countActions(q.Step(start, queue.RowChanged{Row: queue.Row{Name: "a", Weight: 1}}))["a"])
}

// loadDriver plays a steady load on fixed service times.
type loadDriver struct {
	q     *queue.Queue
	now   time.Time
	ends  map[time.Time][]string
	again time.Duration
}

func (p *loadDriver) run(servers queue.Shares, d, each, took, timeout time.Duration) map[string]int {
	total := map[string]int{}
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(each) {
		acts := p.q.Step(p.now, servers)
		acts = append(acts, p.q.Step(p.now, queue.Tick{})...)
		for _, id := range p.ends[p.now] {
			acts = append(acts, p.q.Step(p.now, queue.Ended{ID: id, Took: took})...)
		}
		a := newRequest(fmt.Sprint("r", p.now.UnixNano()), "row", cell.Normal)
		a.Deadline = p.now.Add(timeout)
		acts = append(acts, p.q.Step(p.now, a)...)
		for _, act := range acts {
			switch act := act.(type) {
			case queue.Send:
				p.ends[p.now.Add(took)] = append(p.ends[p.now.Add(took)], act.ID)
			case queue.Refuse:
				p.again = act.RetryAfter
			}
		}
		for what, k := range countActions(acts) {
			total[what] += k
		}
	}
	return total
}

// Half of the minions leave, or a minion grows slow, under a steady load that
// then no longer fits. Callers who cannot be served in time must hear so early
// and be told when to come back from the measured drain; what is sent must
// still be answered in time, so that no slot is spent on a caller who left.
func TestOverloadIsRefusedEarlyFromTheMeasuredDrain(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	p := &loadDriver{q: q, now: start, ends: map[time.Time][]string{}}
	const each, took = 10 * time.Millisecond, 80 * time.Millisecond
	require.Equal(t, map[string]int{"r": 500}, p.run(newShares(2, 4), 5*time.Second, each, took, time.Second))
	total := p.run(newShares(1, 4), 10*time.Second, each, took, time.Second)
	require.InDelta(t, 500, total["r"], 25, "half of the slots do half of the work")
	require.InDelta(t, 450, total[string(queue.TooLate)], 75)
	require.InDelta(t, 0.8, p.again.Seconds(), 0.5, "a queue of a second drains in about a second")
	total = p.run(newShares(2, 4), 10*time.Second, each, 4*took, time.Second)
	require.InDelta(t, 250, total["r"], 25, "slow minions do a quarter of the work")
	require.Positive(t, total[string(queue.TooLate)])
	free, waiting := q.Load()
	require.Zero(t, free)
	require.Less(t, waiting, 80)
	late := newRequest("late", "row", cell.Normal)
	late.Deadline = p.now.Add(time.Second)
	require.Equal(t, queue.TooLate, p.q.Step(p.now, late)[0].(queue.Refuse).Reason, "refused when it asks, not later")
	q.Step(p.now, queue.Shares{})
	acts := q.Step(p.now.Add(400*time.Millisecond), queue.Tick{})
	require.Greater(t, countActions(acts)[string(queue.TooLate)], waiting/2, "when nothing moves they hear of it before their time is over")
}

// A request without a free slot here must not wait while a peer has some, also
// when it was queued before the peer's slot came free; and it must return to
// its place when the peer has given the slot away meanwhile.
func TestWaitingRequestUsesAPeersFreeSlot(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 1))
	for _, id := range []string{"a", "b", "c"} {
		q.Step(start, newRequest(id, "scan", cell.Urgent))
	}
	acts := q.Step(start, queue.Peers{All: []queue.Peer{{Name: "h2", Free: 1}, {Name: "h3"}}})
	require.Equal(t, []queue.Action{queue.Lend{ID: "b", Peer: "h2"}}, acts)
	require.Empty(t, q.Step(start, queue.LendRejected{ID: "b"}), "h2 has no room until it says so again")
	require.Equal(t, []queue.Action{queue.Send{ID: "b", Backend: "m0"}}, q.Step(start, queue.Ended{ID: "a"}))
	acts = q.Step(start, queue.Peers{All: []queue.Peer{{Name: "h2", Free: 1}}})
	require.Equal(t, []queue.Action{queue.Lend{ID: "c", Peer: "h2"}}, acts)
}

// A peer asks for a slot that has just been taken here. It must get its
// request back at once: queued here it would wait while others have room.
func TestLentRequestIsSentNowOrGivenBack(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 1))
	q.Step(start, queue.Peers{All: []queue.Peer{{Name: "h2", Free: 9}}})
	for _, want := range []string{"x", string(queue.Busy)} {
		a := newRequest("x"+want, "scan", cell.Urgent)
		a.FromPeer = true
		require.Equal(t, map[string]int{want: 1}, countActions(q.Step(start, a)))
	}
	_, waiting := q.Load()
	require.Zero(t, waiting)
}

// A minion vanishes from the lagging host list and returns while it still has
// our requests. They must count, or it gets more than its slots.
func TestMinionThatReturnsToTheListKeepsItsLoad(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 2))
	for i := range 4 {
		q.Step(start, newRequest(fmt.Sprint("s", i), "scan", cell.Urgent))
	}
	q.Step(start, queue.Shares{})
	require.True(t, q.Overcommitted())
	require.Empty(t, q.Step(start, newShares(1, 2)))
	require.Len(t, q.Step(start, queue.Ended{ID: "s0"}), 1)
	require.False(t, q.Overcommitted())
}

// A request failed on one minion and is tried again. It goes to another one
// while there is any with room.
func TestRetryAvoidsFailedBackend(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(2, 2))
	for i, want := range []string{"m1", "m1", "m0"} {
		a := newRequest(fmt.Sprint("s", i), "scan", cell.Urgent)
		a.Avoid = []string{"m0"}
		require.Equal(t, []queue.Action{queue.Send{ID: a.ID, Backend: want}}, q.Step(start, a))
	}
}

// A caller hangs up while its request waits. The place is free for another.
func TestHungUpCallerFreesItsPlace(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1})
	q.Step(start, newRequest("a", "scan", cell.Urgent))
	q.Step(start, queue.Cancelled{ID: "a"})
	require.Empty(t, q.Step(start, newRequest("b", "scan", cell.Urgent)))
}

// A long queue drains steadily and then one answer takes a little longer. Taken
// times the queue's length, that one gap would turn away half of the batch.
func TestOneSlowAnswerRefusesNobody(t *testing.T) {
	q := queue.New(queue.Limits{Length: 4096})
	q.Step(start, newShares(1, 1))
	for i := range 3000 {
		q.Step(start, newRequest(fmt.Sprintf("b%04d", i), "badges", cell.Bulk))
	}
	now := start
	for i := range 252 {
		now = now.Add(3 * time.Millisecond)
		q.Step(now, queue.Ended{ID: fmt.Sprintf("b%04d", i), Took: 3 * time.Millisecond})
	}
	require.Empty(t, countActions(q.Step(now.Add(30*time.Millisecond), queue.Tick{})))
}
