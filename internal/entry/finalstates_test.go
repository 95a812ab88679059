package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/peer"
)

// Guards against a leader that does not report the final states of jobs to other hosts while its
// scheduler core is busy.
func TestBusyLeaderReportsEndedJobs(t *testing.T) {
	c := newCluster(t, 2, 2, 20*time.Millisecond)
	leader := c.leader()
	c.submitMany(leader, 0, 1)
	c.waitCompleted(leader, 1)
	release := leader.BlockCore()
	defer release()
	reported := make(chan peer.StateReply, 1)
	go func() { reported <- leader.State(jobID(0)) }()
	select {
	case r := <-reported:
		require.Equal(t, peer.StateReply{Lead: true, Known: true, State: "completed"}, r)
	case <-time.After(waitTimeout):
		require.Fail(t, "the reply waits for the scheduler core")
	}
}

// Guards against final states that a host does not receive because another leader numbers them
// from the beginning.
func TestEachTermReportsItsFinalStatesFromTheFirst(t *testing.T) {
	const jobs = 5
	c := newCluster(t, 2, 2, 20*time.Millisecond)
	previous := c.leader()
	c.submitMany(previous, 0, jobs)
	c.waitCompleted(previous, jobs)
	require.Eventually(t, func() bool { return endedJobs(previous.SyncReply(0, 0), "completed") == jobs }, waitTimeout, 10*time.Millisecond)
	old := previous.SyncReply(0, 0)
	require.Empty(t, previous.SyncReply(old.Term, old.Endings).Ended)
	previous.Kill()
	delete(c.hosts, previous.cfg.Name)
	require.Eventually(t, func() bool { return c.leader() != nil }, waitTimeout, 10*time.Millisecond)
	r := c.leader().SyncReply(old.Term, old.Endings)
	require.Greater(t, r.Term, old.Term)
	require.Equal(t, jobs, endedJobs(r, "completed"))
}

// endedJobs counts the jobs of a sync reply that ended in a state.
func endedJobs(r peer.SyncReply, state string) int {
	n := 0
	for _, e := range r.Ended {
		if e.State == state {
			n += len(e.IDs)
		}
	}
	return n
}

// Guards against a late reply of a previous leader that moves the position in the current
// leader's list of final states backward or forward.
func TestSyncPositionOfPreviousLeaderIsIgnored(t *testing.T) {
	h := newCluster(t, 1, 1, 20*time.Millisecond).leader()
	const term = 1 << 40
	for _, c := range []struct {
		reported peer.SyncReply
		term     int64
		next     int
	}{
		{peer.SyncReply{Lead: true, Term: term, Endings: 900}, term, 900},
		{peer.SyncReply{Lead: true, Term: term, Endings: 400}, term, 900},
		{peer.SyncReply{Lead: true, Term: term + 1, Endings: 3}, term + 1, 3},
		{peer.SyncReply{Lead: true, Term: term, Endings: 1400}, term + 1, 3},
		{peer.SyncReply{Term: term + 2, Endings: 9}, term + 1, 3},
	} {
		number, next := h.SyncPositionAfter(c.reported)
		require.Equal(t, c.term, number)
		require.Equal(t, c.next, next)
	}
}
