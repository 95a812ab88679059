//go:build crowd

package crowd_test

import (
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requireHolds checks, for a crowd of one kind, that the process lives and stays within the limits of its
// machine, and that an ordinary caller is served beside the crowd and after it.
func requireHolds(t *testing.T, size int, ready bool, do behaviour) {
	h := startHost(t)
	addr := h.caller
	if ready {
		addr = h.ready
	}
	requireProcessHolds(t, h, addr, size, do)
	require.Eventually(t, func() bool { return h.get(h.ready, "/pollencroft/ready") == http.StatusOK }, patience, 100*time.Millisecond, "the readiness check is answered")
}

func requireProcessHolds(t *testing.T, h *host, addr netip.AddrPort, size int, do behaviour) {
	c := gather(t, size, addr, do)
	time.Sleep(stay)
	h.requireServed(t)
	c.leave()
	h.requireServed(t)
	t.Logf("%d connections", c.opens.Load())
	h.requireWithinLimits(t)
}

// Guards against bodies that stop just short of their end and fill the memory.
func TestBodiesThatStopShort(t *testing.T) { requireHolds(t, crowdSize, false, sends(shortBody)) }

// Guards against the same bodies, sent piece by piece.
func TestBodiesInPiecesThatStopShort(t *testing.T) {
	requireHolds(t, crowdSize, false, sendsInPieces(shortBody))
}

// Guards against bodies in one large chunk that stop just short of their end.
func TestChunksThatStopShort(t *testing.T) { requireHolds(t, crowdSize, false, sends(shortChunk)) }

// Guards against bodies in chunks of one byte that do not end.
func TestTinyChunksWithoutEnd(t *testing.T) { requireHolds(t, crowdSize, false, sends(tinyChunks)) }

// Guards against request headers that do not end.
func TestHeadersWithoutEnd(t *testing.T) { requireHolds(t, crowdSize, false, sends(manyHeaders)) }

// Guards against request headers that do not end, sent to the address of the readiness check.
func TestHeadersWithoutEndToReadyAddress(t *testing.T) {
	requireHolds(t, crowdSize, true, sends(manyHeaders))
}

// Guards against a header whose line does not end.
func TestHeaderLineWithoutEnd(t *testing.T) { requireHolds(t, crowdSize, false, sends(longHeader)) }

// Guards against a request line that does not end.
func TestRequestLineWithoutEnd(t *testing.T) {
	requireHolds(t, crowdSize, false, sends(longRequestLine))
}

// Guards against empty lines without end before a request.
func TestEmptyLinesBeforeRequest(t *testing.T) { requireHolds(t, crowdSize, false, sends(emptyLines)) }

// Guards against empty lines without end after a request.
func TestEmptyLinesAfterRequest(t *testing.T) {
	requireHolds(t, crowdSize, false, sends(emptyLinesAfterRequest))
}

// Guards against whole legal bodies that take much more memory when they are decoded.
func TestJobsOfManySteps(t *testing.T) {
	requireHolds(t, crowdSize/3, false, repeats(func(n int64) []byte { return whole(n, manySteps) }))
}

// Guards against whole legal bodies with a list that takes much more memory when it is decoded.
func TestJobsOfManyNumbers(t *testing.T) {
	requireHolds(t, crowdSize/3, false, repeats(func(n int64) []byte { return whole(n, manyNumbers) }))
}

// Guards against large jobs that are accepted and fill the memory of the leader.
func TestLargeJobs(t *testing.T) {
	requireHolds(t, crowdSize/3, false, repeats(func(n int64) []byte { return whole(n, longSteps) }))
}

// Guards against small jobs of many tasks that are accepted and fill the memory of the leader.
func TestJobsOfManyTasks(t *testing.T) {
	requireHolds(t, crowdSize/3, false, repeats(func(n int64) []byte { return whole(n, manyTasks) }))
}

// Guards against large jobs whose callers leave at once and that fill the memory while they are stored.
func TestJobsOfCallersThatLeave(t *testing.T) {
	requireHolds(t, crowdSize, false, abandons(func(n int64) []byte { return whole(n, longSteps) }))
}

// Guards against a single job whose repetitions are all due and fill the memory of every leader.
func TestJobOfManyRounds(t *testing.T) {
	requireHolds(t, 1, false, sends(func(n int64) []byte { return whole(n, manyRounds) }))
}

// Guards against jobs that the store refuses and that keep others from being stored.
func TestJobsWhoseRecordsAreTooLarge(t *testing.T) {
	requireHolds(t, crowdSize/3, false, repeats(func(n int64) []byte { return whole(n, escaped) }))
}

// Guards against connections on which nothing is sent and that use up the descriptors.
func TestSilentConnections(t *testing.T) { requireHolds(t, 1200, false, silent) }

// Guards against the same connections to the address of the readiness check.
func TestSilentConnectionsToReadyAddress(t *testing.T) { requireHolds(t, 1200, true, silent) }

// Guards against clients that send requests and read no answers.
func TestAnswersThatNobodyReads(t *testing.T) {
	requireHolds(t, crowdSize, false, readsNothing(questions))
}

// Guards against a stop that does not end, or ends the process otherwise, while settings and limits
// change and clients hold connections.
func TestChangesBesideCrowd(t *testing.T) {
	h := startHost(t)
	crowds := []*clients{
		gather(t, crowdSize/3, h.caller, sends(shortBody)),
		gather(t, crowdSize/3, h.caller, silent),
		gather(t, crowdSize/3, h.caller, readsNothing(questions)),
	}
	for i := range 6 {
		time.Sleep(stay / 6)
		h.log.Put("op", "config", table(2+i, 16_384>>(i%2), maxBody>>(i%2)))
		if err := h.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	h.requireServed(t)
	h.requireWithinLimits(t)
	h.requireStops(t)
	for _, c := range crowds {
		c.leave()
	}
}

// Guards against jobs that are sent to one host and fill the memory of another one that leads, or of its
// successor, which reads them all.
func TestLeaderChangesBesideCrowd(t *testing.T) {
	for _, body := range []struct {
		name string
		text []byte
	}{{"many tasks", manyTasks}, {"long steps", longSteps}} {
		t.Run(body.name, func(t *testing.T) {
			p := newPlatform(t)
			leader := p.startHost(t, "h0")
			follower := p.startHost(t, "h1")
			c := gather(t, crowdSize/3, follower.caller, repeats(func(n int64) []byte { return whole(n, body.text) }))
			time.Sleep(stay)
			follower.requireServed(t)
			leader.requireWithinLimits(t)
			leader.requireStops(t)
			follower.requireServed(t)
			time.Sleep(stay / 2)
			c.leave()
			follower.requireServed(t)
			follower.requireWithinLimits(t)
		})
	}
}
