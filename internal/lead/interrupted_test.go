package lead_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/lead"
)

// interruptedTransport lets something happen between a start and its answer.
type interruptedTransport struct {
	transport
	interrupt func()
}

func (i *interruptedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := i.transport.RoundTrip(req)
	if happens := i.interrupt; happens != nil && req.URL.Path == "/tasks" && req.Method == http.MethodPost {
		i.interrupt = nil
		happens()
	}
	return resp, err
}

// Guards against an exceeded limit of a row when the row's arbiter changes its holder while the
// answer to a start of the previous holder is on its way: the last list of that worker is from before
// the start.
func TestNextHolderCountsStartsWithoutAnAnswerYet(t *testing.T) {
	net := map[string]*interruptedTransport{}
	p := newPairWithTransport(t, 3, io.Discard, func(p *pair, name string) http.RoundTripper {
		net[name] = &interruptedTransport{transport: transport{p, name}}
		return net[name]
	})
	p.limitRow()
	p.setBothAlive()
	p.fillFirstWorker()
	p.assign(p.machines[:2], p.machines[2:])
	p.countRow()
	p.unreachable["a"] = p.machines[0].Name
	p.hosts["b"].SetLedMachines([]lead.Machine{p.machines[0], p.machines[2]})
	p.run("ab", 2500*time.Millisecond)
	p.submitLimited("a", "one")
	net["a"].interrupt = func() {
		require.Equal(t, 2, p.runningTasks())
		p.submitLimited("b", "two")
		for range 8 {
			p.run("b", 100*time.Millisecond)
			p.askPeer("b")
		}
		require.Len(t, p.hosts["b"].Held(), 2)
	}
	p.runTogether(20 * time.Second)
	require.Equal(t, 2, p.runningTasks(), "the task that fills the first worker and one task of the row")
}
