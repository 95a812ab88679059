package lead_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// delayingTransport holds back the requests to one path.
type delayingTransport struct {
	*pair
	from, path string
	held       []*http.Request
}

func (d *delayingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if d.path == "" || req.URL.Path != d.path || req.Method != http.MethodPost {
		return transport{d.pair, d.from}.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	late := req.Clone(d.Context())
	late.Body = io.NopCloser(bytes.NewReader(body))
	d.held = append(d.held, late)
	return nil, unreachableError{}
}

// deliverHeld delivers the requests that were held back.
func (d *delayingTransport) deliverHeld() {
	for _, req := range d.held {
		d.workers[req.URL.Host].Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	d.held = nil
}

func newDelayedPair(t *testing.T) map[string]*delayingTransport {
	net := map[string]*delayingTransport{}
	newPairWithTransport(t, 1, io.Discard, func(p *pair, name string) http.RoundTripper {
		net[name] = &delayingTransport{pair: p, from: name}
		return net[name]
	})
	return net
}

// Guards against a task that runs twice because the start of a previous holder arrives at a crashed
// worker whose next incarnation is held by another host.
func TestNextHolderWaitsForStartsToAPreviousIncarnation(t *testing.T) {
	net := newDelayedPair(t)
	p := net["a"].pair
	net["a"].path = "/tasks"
	p.submit("a", "old")
	p.runQueued("a")
	require.Len(t, net["a"].held, 1)
	worker := p.machines[0].Name
	p.workers[worker].Crash()
	p.hosts["b"].SetLedMachines(p.machines)
	p.hosts["b"].Inherit([]job.Spec{p.spec("old")})
	p.run("b", 500*time.Millisecond)
	net["a"].deliverHeld()
	p.run("b", 30*time.Second)
	require.Equal(t, "running", p.state("b", "old"))
	p.requireConsistent()
}

// Guards against a task that runs twice because the next incarnation of a worker lists only the
// changes since a mark that the previous incarnation issued.
func TestMarkOfAPreviousIncarnationIsNotUsed(t *testing.T) {
	net := newDelayedPair(t)
	p := net["a"].pair
	worker := p.machines[0].Name
	p.submit("a", "first")
	p.run("a", time.Second)
	_, err := p.hosts["a"].Cancel("d.r.first")
	require.NoError(t, err)
	p.run("a", 2*time.Second)
	net["a"].path = "/anchor"
	p.hosts["a"].SetLedMachines(nil)
	p.hosts["a"].SetLedMachines(p.machines)
	p.run("a", 8*time.Second)
	net["a"].path = ""
	held := net["a"].held[:1]
	p.run("a", 8*time.Second)
	require.Len(t, p.hosts["a"].Held(), 1)
	p.workers[worker].Crash()
	net["a"].held = held
	net["a"].deliverHeld()
	p.submit("a", "next")
	p.runAndInherit(30*time.Second, p.spec("next"))
	require.Equal(t, "running", p.state("a", "next"))
	p.requireConsistent()
}
