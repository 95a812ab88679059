package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/standin/users"
)

// exchange sends text on a new connection and returns the answer and its body.
func exchange(t *testing.T, addr, text string) (*http.Response, string) {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp, string(b)
}

// Guards against legal bodies that are rejected because of their size or how they are cut.
func TestLargestLegalBodyIsAccepted(t *testing.T) {
	const maxBody = 20_000
	c := newCluster(t, 1, 1, 20*time.Millisecond)
	f := c.leader()
	job := `{"spec":"s","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":20}]`
	for n, size := range []int{20_000, 1, 700} {
		body := job + strings.Repeat(" ", maxBody-len(job)-1) + "}"
		var chunks strings.Builder
		for len(body) > 0 {
			k := min(len(body), size)
			_, _ = fmt.Fprintf(&chunks, "%x\r\n%s\r\n", k, body[:k])
			body = body[k:]
		}
		resp, text := exchange(t, f.cfg.Listen.Caller.String(), fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", prefix, jobID(n), callerHost, chunks.String()))
		require.Equal(t, http.StatusOK, resp.StatusCode, text)
	}
	c.waitCompleted(f, 3)
}

// Guards against a refusal that waits for a body that it does not need.
func TestBodyAboveLimitIsRejectedBeforeItArrives(t *testing.T) {
	c := newCluster(t, 1, 1, 20*time.Millisecond)
	resp, _ := exchange(t, c.leader().cfg.Listen.Caller.String(), fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: 20001\r\n\r\n", prefix, jobID(1), callerHost))
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.True(t, resp.Close)
}

// largeCluster starts hosts whose table allows bodies of 256 KiB.
func largeCluster(t *testing.T, hosts int, memory int64) *cluster {
	c := &cluster{t: t, change: func(s *entry.Settings) { s.Memory = memory }}
	c.startAll(hosts, 4, 20*time.Millisecond)
	c.log.Put("op", "config", []byte(strings.Replace(fmt.Sprintf(tableText, 2, ""), `"maxBodyBytes":20000`, `"maxBodyBytes":262144`, 1)))
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "version=2 queues") == hosts }, waitTimeout, 20*time.Millisecond)
	return c
}

// post submits a job with the given body.
func (c *cluster) post(h *testHost, n int, body string) response {
	return c.call(h.cfg.Listen.Caller, http.MethodPost, prefix+jobID(n), body)
}

// imageJob returns the body of a job whose only step names an image.
func imageJob(image string) string {
	return `{"spec":"s","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":20,"image":"` + image + `"}]}`
}

// Guards against a legal job whose record the store refuses, and which keeps others from being stored.
func TestJobsWithLargeRecordsRunBesideOthers(t *testing.T) {
	c := largeCluster(t, 2, 0)
	for n, image := range []string{strings.Repeat("<", 260_000), strings.Repeat("\xff", 260_000), "small"} {
		a := c.post(c.follower(), n, imageJob(image))
		require.Equal(t, http.StatusOK, a.code, a.body)
	}
	c.waitCompleted(c.follower(), 3)
}

// Guards against a job whose progress the store refuses, so that each leader ends its term.
func TestJobOfManyTasksRunsBesideOthers(t *testing.T) {
	c := largeCluster(t, 2, 0)
	require.Equal(t, http.StatusOK, c.post(c.hosts["h1"], 0, `{"spec":"s","steps":[{"count":9000,"cpu":1,"memMb":1,"estimateMs":20}]}`).code)
	require.Equal(t, http.StatusOK, c.post(c.hosts["h1"], 1, imageJob("small")).code)
	require.Eventually(t, func() bool {
		for n := range 2 {
			if _, body := c.get(c.hosts["h1"].cfg.Listen.Caller, prefix+jobID(n)); body != `{"state":"completed"}` {
				return false
			}
		}
		return true
	}, 3*waitTimeout, 50*time.Millisecond)
	require.NotContains(t, c.logs.String(), "append answered 400", "the store takes all appends")
}

// Guards against large jobs that wait and fill the memory of the leader, and against refusals of jobs
// that are there or that are small.
func TestLargeJobsAreRejectedWhileTheLeaderIsFull(t *testing.T) {
	const memory = 16
	c := largeCluster(t, 2, memory)
	// No worker is large enough, so all jobs wait.
	waiting := `{"spec":"s","steps":[{"count":1000,"cpu":100000,"memMb":1,"estimateMs":20}]}`
	var accepted, rejected []int
	for n := range 8 {
		for _, h := range []*testHost{c.leader(), c.follower()} {
			switch a := c.post(h, n, waiting); a.code {
			case http.StatusOK:
				accepted = append(accepted, n)
			case http.StatusTooManyRequests:
				require.NotEmpty(t, a.header.Get("Retry-After"))
				rejected = append(rejected, n)
			default:
				require.Fail(t, "unexpected answer", "%d %s", a.code, a.body)
			}
		}
	}
	require.NotEmpty(t, accepted)
	require.NotEmpty(t, rejected)
	require.Equal(t, http.StatusOK, c.post(c.follower(), accepted[0], waiting).code, "the job is there")
	require.Equal(t, http.StatusOK, c.post(c.follower(), 100, imageJob("small")).code)
	for _, n := range accepted {
		require.Equal(t, http.StatusOK, c.call(c.leader().cfg.Listen.Caller, http.MethodDelete, prefix+jobID(n), "").code)
	}
	last := rejected[len(rejected)-1]
	require.Eventually(t, func() bool { return c.post(c.follower(), last, waiting).code == http.StatusOK }, waitTimeout, 50*time.Millisecond)
	// A host that is killed while a peer's message begins work there would race with that.
	require.Eventually(t, func() bool {
		for part := range 16 {
			if _, ok := newestRecords(t, c.log, part)[jobID(last)]; ok {
				return true
			}
		}
		return false
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against large records whose callers have left and that fill the memory while the store is slow,
// and against refusing small ones with them.
func TestLargeRecordsThatWaitAreLimited(t *testing.T) {
	c := largeCluster(t, 1, 16)
	h := c.leader()
	c.log.BreakAppends("jobs", users.Silent)
	c.deadline = 400 * time.Millisecond
	codes := map[int]int{}
	for n := range 12 {
		codes[c.post(h, n, imageJob(strings.Repeat("i", 200_000))).code]++
	}
	require.NotZero(t, codes[http.StatusGatewayTimeout], codes)
	require.NotZero(t, codes[http.StatusServiceUnavailable], codes)
	require.Equal(t, http.StatusGatewayTimeout, c.post(h, 100, imageJob("small")).code)
	c.log.BreakAppends("jobs", users.None)
	c.deadline = waitTimeout
	require.Eventually(t, func() bool { return c.post(h, 101, imageJob(strings.Repeat("i", 200_000))).code == http.StatusOK }, waitTimeout, 50*time.Millisecond)
}

// Guards against answers and log lines as large as what a caller sent, many of which may wait for their
// readers.
func TestRefusalsShowLittleOfTheRequest(t *testing.T) {
	const size, most = 15_000, 1_000
	c := newCluster(t, 1, 1, 20*time.Millisecond)
	h := c.leader()
	long := strings.Repeat("9", size)
	for _, a := range []response{
		c.post(h, 1, `{"spec":"s","steps":[{"count":`+long+`}]}`),
		c.post(h, 1, `{"spec":"s","steps":[{"count":1,"after":[`+long+`]}]}`),
		c.call(h.cfg.Listen.Caller, http.MethodGet, prefix+long, ""),
		c.call(h.cfg.Listen.Caller, "M"+long, prefix+jobID(1), ""),
		c.call(h.cfg.Listen.Caller, http.MethodGet, "/none/"+long, ""),
	} {
		require.GreaterOrEqual(t, a.code, http.StatusBadRequest)
		require.Less(t, len(a.body), most)
	}
	for line := range strings.SplitSeq(c.logs.String(), "\n") {
		require.Less(t, len(line), most, line[:min(len(line), most)])
	}
}

// Guards against telling a caller that a job never runs whose earlier submission was accepted, because
// the repeated one is too large for the memory that is left.
func TestRepeatedSubmissionIsNotToldAsNotStored(t *testing.T) {
	c := largeCluster(t, 1, 1)
	h := c.leader()
	require.Equal(t, http.StatusOK, c.post(h, 1, imageJob("small")).code)
	large := imageJob(strings.Repeat("i", 200_000))
	require.Equal(t, http.StatusGatewayTimeout, c.post(h, 1, large).code)
	require.Equal(t, http.StatusServiceUnavailable, c.post(h, 2, large).code)
}
