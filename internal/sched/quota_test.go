package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
)

// running returns what an organisation has running, as the workers see it.
func (b *simCell) running(organisation string) cell.Size {
	var sum cell.Size
	for _, w := range b.workers {
		if w.dead {
			continue
		}
		for n, r := range w.runs {
			if b.specs[n.Job].Organisation == organisation {
				sum = sum.Add(r.step.Size)
			}
		}
	}
	return sum
}

// unstoredShare is the share of a quota that may be exceeded by copies that a former leader started
// and could not store.
const unstoredShare = 0.05

// formerQuotas are quotas that were in force until a sequence number of the simulation's events.
type formerQuotas struct {
	quotas map[string]cell.Size
	until  int
}

// checkQuota records a violation if a start brings an organisation above all quotas that were in
// force since it was sent.
func (b *simCell) checkQuota(started flow.Name, sent int) {
	o := b.specs[started.Job].Organisation
	used := b.running(o).Sub(b.excused(o, sent))
	within := func(all map[string]cell.Size) bool {
		q, ok := all[o]
		if b.copies && b.named == nil {
			q = q.Scale(1 + unstoredShare)
		}
		return !ok || used.Exceeds(q) == ""
	}
	ok := within(b.quotas)
	for _, f := range b.formerQuotas {
		ok = ok || f.until > sent && within(f.quotas)
	}
	if !ok {
		b.violation("%s has %+v running of %+v after the start of %s", o, used, b.quotas[o], started)
	}
}

// setQuotas puts quotas into force.
func (b *simCell) setQuotas(all map[string]cell.Size) {
	b.formerQuotas = append(b.formerQuotas, formerQuotas{b.quotas, b.seq})
	b.quotas = all
	b.step(sched.Queues{Version: 2, All: b.queues, Quotas: all})
}

// newQuotaCell returns a cell in which the organisation "small" may use four scans' processors.
func newQuotaCell(t *testing.T, workers int) *simCell {
	b := newSimCell(t, workers)
	b.setQuotas(map[string]cell.Size{"small": {CPU: 20_000}, "large": {CPU: 4000_000}})
	b.organisation = "small"
	return b
}

// maxRunning advances in small steps and returns the most that an organisation had running.
func (b *simCell) maxRunning(organisation string, length time.Duration) int64 {
	most := int64(0)
	for range int(length / (10 * time.Millisecond)) {
		b.advance(10 * time.Millisecond)
		most = max(most, b.running(organisation).CPU)
	}
	return most
}

func TestOrganisationRunsNoMoreThanItsQuota(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.submit("s1", "scan", scan(10))
	require.Equal(t, int64(20_000), b.maxRunning("small", 5*time.Second), "the quota is used in full")
	require.Equal(t, flow.Completed, b.state("s1"))
	require.Empty(t, b.violations)
}

// Guards against an organisation at its quota whose steps delay another organisation or cost
// queries of the policy service.
func TestBlockedOrganisationBlocksNobody(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.queues[1].Advice = &flow.Advice{Base: 30 * time.Millisecond, Valid: 2 * time.Second}
	b.setQuotas(b.quotas)
	lasting := scan(4)
	lasting.LongRunning = true
	b.submit("watch", "scan", lasting)
	b.advance(time.Second)
	for i := range 20 {
		b.submit(fmt.Sprintf("held%d", i), "print", bulk(2))
	}
	b.advance(time.Second)
	require.Empty(t, b.queries)
	b.organisation = "large"
	b.submit("free", "print", bulk(2))
	b.advance(100 * time.Millisecond)
	require.Equal(t, int64(22_000), b.running("large").CPU)
	require.Len(t, b.queries, 1)
	require.Empty(t, b.violations)
}

// Guards against steps that are not tried again after their quota was raised, and against starts
// above a quota that was lowered.
func TestChangedQuotaIsInForce(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.submit("b1", "print", bulk(8))
	b.advance(time.Second)
	require.Equal(t, int64(11_000), b.running("small").CPU)
	b.setQuotas(map[string]cell.Size{"small": {CPU: 44_000}})
	b.advance(100 * time.Millisecond)
	require.Equal(t, int64(44_000), b.running("small").CPU)
	b.setQuotas(map[string]cell.Size{"small": {CPU: 11_000}})
	b.advance(100 * time.Millisecond)
	require.Equal(t, int64(44_000), b.running("small").CPU, "nothing that runs is stopped")
	b.advance(7 * time.Second)
	require.Equal(t, int64(11_000), b.maxRunning("small", 2*time.Second))
	require.Empty(t, b.violations)
}

// Guards against a quota that a new leader, and the one after it, applies only to its own starts.
func TestQuotaHoldsOverTakeovers(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.submit("b1", "print", bulk(3))
	b.advance(time.Second)
	for i := range 3 {
		b.takeover()
		b.submit(fmt.Sprintf("s%d", i), "scan", scan(4))
		b.advance(200 * time.Millisecond)
	}
	b.advance(30 * time.Second)
	require.Equal(t, flow.Completed, b.state("b1"))
	require.Equal(t, flow.Completed, b.state("s2"))
	require.Empty(t, b.violations)
}

// Guards against runs that are not counted while it is not known whether they began: starts without
// an answer, starts that are carried out late, and runs on silent workers.
func TestRunsThatMayExistCountForTheQuota(t *testing.T) {
	faults := map[string]func(*fakeWorker){
		"late start": func(w *fakeWorker) { w.startDelay = 3 * time.Second },
		"silent":     func(w *fakeWorker) { w.silent = true },
	}
	for name, apply := range faults {
		t.Run(name, func(t *testing.T) {
			b := newQuotaCell(t, 4)
			all := b.sortedWorkers()
			if name == "late start" {
				apply(all[0])
				apply(all[1])
			}
			b.submit("s1", "scan", scan(4))
			b.submit("s2", "scan", scan(4))
			b.advance(300 * time.Millisecond)
			if name == "silent" {
				for _, w := range all {
					if len(w.runs) > 0 {
						apply(w)
					}
				}
			}
			b.advance(3 * time.Second)
			for _, w := range all {
				w.startDelay, w.silent = 0, false
			}
			b.advance(30 * time.Second)
			require.Equal(t, flow.Completed, b.state("s1"))
			require.Equal(t, flow.Completed, b.state("s2"))
			require.Empty(t, b.violations)
		})
	}
}

// Guards against copies that a leader starts while the store is down and that its successor does
// not count, because it cannot read the worker that has them.
func TestCopiesOfAFormerLeaderStayWithinTheQuota(t *testing.T) {
	b := newSimCell(t, 8)
	b.copies = true
	b.setQuotas(map[string]cell.Size{"small": {CPU: 200_000}})
	b.organisation = "small"
	step := scan(40)
	step.AllowCopies = true
	step.EstimatedTime = 3 * time.Second
	b.storeDown = true
	b.submit("s1", "scan", step)
	b.advance(300 * time.Millisecond)
	require.Positive(t, b.running("small").CPU, "some start before they are stored")
	for _, w := range b.workers {
		w.silent = len(w.runs) > 0
	}
	b.storeDown = false
	b.takeover()
	b.advance(20 * time.Second)
	require.Empty(t, b.violations)
}

// Guards against copies that start above the quota while the first runs are on silent workers.
func TestCopiesOfSilentRunsStayWithinTheQuota(t *testing.T) {
	b := newQuotaCell(t, 8)
	b.copies = true
	b.advance(100 * time.Millisecond)
	step := scan(4)
	step.AllowCopies, step.EstimatedTime = true, 5*time.Second
	b.submit("s1", "scan", step)
	b.advance(300 * time.Millisecond)
	require.Equal(t, int64(20_000), b.running("small").CPU)
	for _, w := range b.busyWorkers() {
		w.silent = true
	}
	b.advance(3 * time.Second)
	require.Equal(t, int64(20_000), b.running("small").CPU)
	require.Empty(t, b.violations)
}

// Guards against copies on a worker that has ended and that count for the quota until its leases
// would have expired.
func TestEndedWorkerFreesTheQuota(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.copies = true
	step := scan(4)
	step.AllowCopies = true
	step.EstimatedTime = 2 * time.Second
	b.submit("s1", "scan", step)
	b.advance(500 * time.Millisecond)
	for _, w := range b.sortedWorkers() {
		if len(w.runs) > 0 {
			w.endIncarnation()
		}
	}
	b.advance(6 * time.Second)
	require.Equal(t, flow.Completed, b.state("s1"))
	require.Empty(t, b.violations)
}

// Guards against a gang that waits forever while smaller work of its organisation takes what ends.
func TestGangIsNotStarvedWithinItsQuota(t *testing.T) {
	b := newQuotaCell(t, 4)
	gang := scan(4)
	gang.Gang = true
	b.submit("s0", "scan", scan(1))
	b.advance(500 * time.Millisecond)
	b.submit("gang", "scan", gang)
	for i := range 40 {
		b.submit(fmt.Sprintf("s%d", i+1), "scan", scan(1))
		b.advance(250 * time.Millisecond)
	}
	require.Equal(t, flow.Completed, b.state("gang"))
	require.Empty(t, b.violations)
}

// Guards against a gang that cannot start beside lasting tasks and blocks its organisation for good.
func TestGangThatNeverFitsHoldsBackNothing(t *testing.T) {
	b := newQuotaCell(t, 4)
	lasting := scan(2)
	lasting.LongRunning = true
	b.submit("watch", "scan", lasting)
	gang := scan(3)
	gang.Gang = true
	b.submit("gang", "scan", gang)
	b.submit("s1", "scan", scan(3))
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("s1"))
	require.Equal(t, flow.Queued, b.state("gang"))
	b.cancel("watch")
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("gang"))
	require.Empty(t, b.violations)
}

// Guards against a job that another organisation cancels or replaces, and against a cancellation
// that arrives first and is applied to another organisation's job.
func TestJobsOfOtherOrganisationsAreLeftAlone(t *testing.T) {
	b := newSimCell(t, 2)
	b.organisation = "a"
	b.step(sched.Cancel{ID: "j1", Organisation: "b"})
	b.submit("j1", "scan", scan(2))
	b.step(sched.Cancel{ID: "j1", Organisation: "b"})
	b.step(sched.Submit{Spec: flow.Spec{ID: "j1", Organisation: "b", Steps: []flow.Step{scan(7)}}})
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("j1"))
	require.Equal(t, "a", b.core.Organisation("j1"))
	require.Len(t, b.starts, 2)
}

// Guards against a wait for which nothing tells that the organisation's quota is the cause.
func TestWaitForQuotaIsExplained(t *testing.T) {
	b := newQuotaCell(t, 2)
	lasting := scan(4)
	lasting.LongRunning = true
	b.submit("watch", "scan", lasting)
	b.submit("s1", "scan", scan(1))
	b.advance(6 * time.Second)
	require.NotEmpty(t, b.longWaits)
	require.Contains(t, b.longWaits[0].Detail, "quota 4")
	require.Contains(t, b.longWaits[0].Detail, "small uses cpu 20000 of 20000")
}

// runQuotaHistory plays a history whose jobs belong to organisations, with quotas that change.
func runQuotaHistory(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	b := newSimCell(t, 3+r.IntN(7))
	own := quotaRand(seed)
	// The histories have gangs of six bulk tasks at most.
	widest := bulk(1).Size.Scale(6)
	b.playHistory(r, nil, nil, func() { b.drawOrganisation(own, widest) })
}

// drawOrganisation draws the organisation of the next jobs, and sometimes other quotas, each at least
// as large as the given size in what it limits.
func (b *simCell) drawOrganisation(r *rand.Rand, least cell.Size) {
	names := []string{"", "a", "b"}
	b.organisation = names[r.IntN(len(names))]
	if len(b.quotas) > 0 && r.IntN(10) > 0 {
		return
	}
	all := map[string]cell.Size{}
	for _, n := range names[1:] {
		q := least.Scale(1 + 2*r.Float64())
		if r.IntN(2) == 0 {
			q.Mem = 0
		}
		all[n] = q
	}
	b.setQuotas(all)
}

// Guards against starts that were decided under a higher quota and are sent long after it was
// lowered, because the store was down.
func TestStartsThatAreNotSentFollowALoweredQuota(t *testing.T) {
	b := newQuotaCell(t, 4)
	b.storeDown = true
	b.submit("s1", "scan", scan(4))
	b.advance(2 * time.Second)
	b.setQuotas(map[string]cell.Size{"small": {CPU: 5_000}})
	b.advance(2 * time.Second)
	b.storeDown = false
	require.Equal(t, int64(5_000), b.maxRunning("small", 10*time.Second))
	require.Equal(t, flow.Completed, b.state("s1"))
	require.Empty(t, b.violations)
}

// Guards against a new leader that has not read the table yet and starts more than the quotas allow.
func TestNothingOfAnOrganisationStartsBeforeItsQuotaIsKnown(t *testing.T) {
	b := newSimCell(t, 4)
	b.core = sched.New(sched.DefaultLimits, b.term, nil)
	b.step(sched.Hosts{Names: []string{"h1"}})
	b.list()
	b.submit("public", "scan", scan(2))
	b.organisation = "small"
	b.submit("s1", "scan", scan(10))
	b.advance(500 * time.Millisecond)
	require.Zero(t, b.running("small").CPU)
	require.Equal(t, int64(10_000), b.running("").CPU)
	b.setQuotas(map[string]cell.Size{"small": {CPU: 20_000}})
	b.advance(5 * time.Second)
	require.Equal(t, flow.Completed, b.state("s1"))
	require.Empty(t, b.violations)
}
