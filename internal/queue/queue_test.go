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

// countActions counts sends by the first letter of the request's ID, lends by peer and
// refusals by reason.
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

// A batch of badge prints fills the queue just before a visitor is scanned. The urgent scan
// must not wait for the batch: it gets a reserved slot immediately.
func TestUrgentRequestDoesNotWaitBehindBulk(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 8))
	sent := 0
	for i := range 100 {
		sent += len(q.Step(start, newRequest(fmt.Sprint("b", i), "badges", cell.Bulk)))
	}
	require.Equal(t, 6, sent)
	require.Equal(t, []queue.Action{queue.Send{ID: "s1", Backend: "m0"}}, q.Step(start, newRequest("s1", "scan", cell.Urgent)))
}

// No visitor has been scanned for a quarter of an hour. Slots kept free for scans would only
// delay the badges, so all but one are given to the badges.
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

// The queue cannot serve a request before its deadline. The request is refused then, with the
// time after which to retry, rather than being kept waiting.
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

// A thousand callers of one row arrive at once, and one of another row a moment later. The
// single request must neither wait for the thousand nor be refused because the queue is full.
func TestFloodOfOneRowDoesNotBlockAnother(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1000})
	for i := range 1000 {
		require.Empty(t, q.Step(start, newRequest(fmt.Sprint("c", i), "crowd", cell.Normal)))
	}
	acts := q.Step(start, newRequest("x", "single", cell.Normal))
	require.Equal(t, map[string]int{string(queue.Full): 1}, countActions(acts), "the newest request of the flooding row is refused")
	require.Equal(t, 1, countActions(q.Step(start, newShares(1, 2)))["x"])
}

// The queue is full of badge requests when visitors are scanned. The newest badge requests
// are refused in favor of the scans, with the time after which to retry. No scan is refused
// for a badge.
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

// An operator takes slots from a row while its requests wait. The new limit applies to them
// too; otherwise a flood that is already queued would go on for minutes.
func TestNewLimitAppliesToWaitingRequests(t *testing.T) {
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

// loadDriver applies a steady load to a queue, with a fixed time per request.
type loadDriver struct {
	q          *queue.Queue
	now        time.Time
	ends       map[time.Time][]string
	retryAfter time.Duration
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
				p.retryAfter = act.RetryAfter
			}
		}
		for what, k := range countActions(acts) {
			total[what] += k
		}
	}
	return total
}

// Half of the backend servers leave, or the servers get slow, under a steady load that then
// exceeds their capacity. Callers that cannot be served in time must be refused early, with a
// retry time that follows from the measured rate. Requests that are sent must still be
// answered in time, so that no slot is spent on a caller that has left.
func TestOverloadIsRefusedEarlyByMeasuredRate(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	p := &loadDriver{q: q, now: start, ends: map[time.Time][]string{}}
	const each, took = 10 * time.Millisecond, 80 * time.Millisecond
	require.Equal(t, map[string]int{"r": 500}, p.run(newShares(2, 4), 5*time.Second, each, took, time.Second))
	total := p.run(newShares(1, 4), 10*time.Second, each, took, time.Second)
	require.InDelta(t, 500, total["r"], 25, "half of the slots serve half of the requests")
	require.InDelta(t, 450, total[string(queue.TooLate)], 75)
	require.InDelta(t, 0.8, p.retryAfter.Seconds(), 0.5, "a queue of one second is worked off in about one second")
	total = p.run(newShares(2, 4), 10*time.Second, each, 4*took, time.Second)
	require.InDelta(t, 250, total["r"], 25, "the slow servers serve a quarter of the requests")
	require.Positive(t, total[string(queue.TooLate)])
	free, waiting := q.Load()
	require.Zero(t, free)
	require.Less(t, waiting, 80)
	late := newRequest("late", "row", cell.Normal)
	late.Deadline = p.now.Add(time.Second)
	require.Equal(t, queue.TooLate, p.q.Step(p.now, late)[0].(queue.Refuse).Reason, "the request must be refused on arrival, not later")
	q.Step(p.now, queue.Shares{})
	acts := q.Step(p.now.Add(400*time.Millisecond), queue.Tick{})
	require.Greater(t, countActions(acts)[string(queue.TooLate)], waiting/2, "callers of a stalled queue must be refused before their deadline")
}

// A request without a free slot on this host must not wait while a peer has one, even if it
// was queued before the peer's slot became free. If the peer has given the slot away in the
// meantime, the request must return to its position.
func TestWaitingRequestUsesAPeersFreeSlot(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(1, 1))
	for _, id := range []string{"a", "b", "c"} {
		q.Step(start, newRequest(id, "scan", cell.Urgent))
	}
	acts := q.Step(start, queue.Peers{All: []queue.Peer{{Name: "h2", Free: 1}, {Name: "h3"}}})
	require.Equal(t, []queue.Action{queue.Lend{ID: "b", Peer: "h2"}}, acts)
	require.Empty(t, q.Step(start, queue.LendRejected{ID: "b"}), "h2 must not be tried again until it announces free slots")
	require.Equal(t, []queue.Action{queue.Send{ID: "b", Backend: "m0"}}, q.Step(start, queue.Ended{ID: "a"}))
	acts = q.Step(start, queue.Peers{All: []queue.Peer{{Name: "h2", Free: 1}}})
	require.Equal(t, []queue.Action{queue.Lend{ID: "c", Peer: "h2"}}, acts)
}

// A peer asks for a slot that has just been taken on this host. It must get its request back
// immediately: queued here, the request would wait while other hosts have free slots.
func TestRequestFromPeerIsSentNowOrRefused(t *testing.T) {
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

// A backend server disappears from the host list, which lags, and is listed again while it
// still has requests of this host. They must be counted, or the server gets more requests
// than it has slots.
func TestRelistedBackendKeepsItsLoad(t *testing.T) {
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

// A request that failed on one backend server is retried. It goes to another one as long as
// any has a free slot.
func TestRetryAvoidsFailedBackend(t *testing.T) {
	q := queue.New(queue.DefaultLimits)
	q.Step(start, newShares(2, 2))
	for i, want := range []string{"m1", "m1", "m0"} {
		a := newRequest(fmt.Sprint("s", i), "scan", cell.Urgent)
		a.Avoid = []string{"m0"}
		require.Equal(t, []queue.Action{queue.Send{ID: a.ID, Backend: want}}, q.Step(start, a))
	}
}

// A caller hangs up while its request waits. Its place in the queue is free for another
// request.
func TestCancelledRequestFreesItsPlace(t *testing.T) {
	q := queue.New(queue.Limits{Length: 1})
	q.Step(start, newRequest("a", "scan", cell.Urgent))
	q.Step(start, queue.Cancelled{ID: "a"})
	require.Empty(t, q.Step(start, newRequest("b", "scan", cell.Urgent)))
}

// A long queue is worked off at a steady rate and then one answer takes a little longer.
// Multiplied by the length of the queue, that single gap would cause half of the batch to be
// refused.
func TestOneSlowAnswerCausesNoRefusals(t *testing.T) {
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
