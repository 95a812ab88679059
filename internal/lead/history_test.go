package lead_test

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/randtest"
	"pollencroft/internal/standin"
)

// Outcomes of an exchange with a worker.
const (
	answered = iota
	// replyLost means that the request is carried out but its reply is lost; late means that it is
	// carried out some time later.
	replyLost
	late
)

// history is two hosts and their workers, driven by randomly drawn events: actions of callers,
// faults of the network, of workers and of hosts.
type history struct {
	*pair
	draw *rapid.T
	// outcome is the outcome of the exchange that is running.
	outcome int
	// delayed holds requests that their sender has given up on and that may still arrive.
	delayed     []*http.Request
	open        map[string]job.Spec
	handingOver map[string][]*outgoing
	messages    []message
	paused      map[string]bool
	jobs        int
	// crashes enables crashes of workers.
	crashes bool
	// actualSizes holds the actual sizes of the workers, which may be larger than the listed ones.
	actualSizes map[string]cell.Size
}

// faultyTransport applies the drawn outcome to each exchange.
type faultyTransport struct {
	history *history
	next    transport
}

func (u faultyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	switch u.history.outcome {
	case late:
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return nil, err
		}
		held := req.Clone(u.history.Context())
		held.Body = io.NopCloser(bytes.NewReader(body))
		u.history.delayed = append(u.history.delayed, held)
		return nil, unreachableError{}
	case replyLost:
		if _, err := u.next.RoundTrip(req); err != nil {
			return nil, err
		}
		return nil, unreachableError{}
	default:
		return u.next.RoundTrip(req)
	}
}

// drawLog writes the log among the drawn steps of a history.
type drawLog struct{ draw *rapid.T }

func (l drawLog) Write(b []byte) (int, error) {
	l.draw.Logf("%s", b)
	return len(b), nil
}

func newHistory(t *testing.T, draw *rapid.T) *history {
	h := &history{draw: draw, open: map[string]job.Spec{}, handingOver: map[string][]*outgoing{}, paused: map[string]bool{}, actualSizes: map[string]cell.Size{}}
	h.pair = newPairWithTransport(t, rapid.IntRange(1, 3).Draw(draw, "workers"), drawLog{draw}, func(p *pair, name string) http.RoundTripper {
		return faultyTransport{history: h, next: transport{p, name}}
	})
	for _, m := range h.machines {
		h.actualSizes[m.Name] = m.Size
	}
	h.setDomain("a", true)
	h.setDomain("b", true)
	return h
}

// setDomain tells a host which workers there are, and whether the other host is alive.
func (h *history) setDomain(name string, alive bool) {
	var workers, peers []string
	for _, m := range h.machines {
		workers = append(workers, m.Name)
	}
	if alive {
		peers = []string{other(name)}
	}
	h.hosts[name].SetDomain(workers, peers)
}

func (h *history) host(name string) string {
	return rapid.SampledFrom([]string{"a", "b"}).Draw(h.draw, name)
}

func other(name string) string { return map[string]string{"a": "b", "b": "a"}[name] }

// activeHost draws a host. It returns an empty string if that host is paused.
func (h *history) activeHost() string {
	name := h.host("host")
	if h.paused[name] {
		return ""
	}
	return name
}

// action is an event that may happen next. Its probability is proportional to its weight.
type action struct {
	name   string
	weight int
	do     func()
}

func (h *history) actions() []action {
	all := []action{
		{"time", 3, h.advance},
		{"exchange", 6, func() { h.runExchange(answered) }},
		{"lost", 1, func() { h.runExchange(replyLost) }},
		{"late", 1, func() { h.runExchange(late) }},
		{"arrive", 1, h.deliverDelayed},
		{"settle", 2, h.advanceWithoutFaults},
		{"submit", 3, h.submitOne},
		{"cancel", 1, h.cancel},
		{"fail", 2, h.fail},
		{"divide", 2, h.assignWorkers},
		{"flap", 1, h.flap},
		{"pause", 1, func() { h.paused[h.host("host")] = true }},
		{"resume", 2, h.resume},
		{"resize", 2, h.resize},
		{"hand", 2, h.beginHandover},
		{"push", 4, h.sendHandover},
		{"receive", 2, h.deliverHandover},
		{"abandon", 2, h.abandonHandover},
		{"inherit", 3, h.inherit},
		{"census", 4, h.requestInventory},
		{"suspect", 1, h.changeSuspicion},
	}
	if h.crashes {
		all = append(all, action{"crash", 1, h.crash})
	}
	return all
}

// next draws the next event.
func (h *history) next() func() {
	var all []string
	do := map[string]func(){}
	for _, a := range h.actions() {
		all = append(all, slices.Repeat([]string{a.name}, a.weight)...)
		do[a.name] = a.do
	}
	return do[rapid.SampledFrom(all).Draw(h.draw, "next")]
}

func (h *history) advance() {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(h.draw, "tenths")) * 100 * time.Millisecond)
	for _, name := range []string{"a", "b"} {
		if !h.paused[name] {
			h.hosts[name].Tick()
			h.hosts[name].LogRead(h.now)
		}
	}
}

// runExchange runs one of the queued exchanges of a host; any of them may come first.
func (h *history) runExchange(fate int) {
	name := h.activeHost()
	if name == "" || len(h.queues[name]) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.queues[name])-1).Draw(h.draw, "which")
	f := h.queues[name][i]
	h.queues[name] = slices.Delete(h.queues[name], i, i+1)
	h.outcome = fate
	f()
	h.outcome = answered
}

func (h *history) deliverDelayed() {
	if len(h.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.delayed)-1).Draw(h.draw, "which")
	req := h.delayed[i]
	h.delayed = slices.Delete(h.delayed, i, i+1)
	h.workers[req.URL.Host].Handler().ServeHTTP(httptest.NewRecorder(), req)
}

// advanceWithoutFaults advances the clock by a number of ticks in which all exchanges succeed.
func (h *history) advanceWithoutFaults() {
	for range rapid.IntRange(1, 20).Draw(h.draw, "ticks") {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, name := range []string{"a", "b"} {
			if !h.paused[name] {
				h.hosts[name].Tick()
				h.hosts[name].LogRead(h.now)
				h.runQueued(name)
			}
		}
	}
}

func (h *history) submitOne() {
	name := h.activeHost()
	if name == "" {
		return
	}
	h.jobs++
	spec := job.Spec{
		ID: job.TaskID("d.r.j", h.jobs) + "x", Row: "scan", Tasks: rapid.IntRange(1, 3).Draw(h.draw, "tasks"), Gang: rapid.Bool().Draw(h.draw, "gang"),
		Size: cell.Size{CPU: 500, Mem: 500}, Time: cell.Duration{Duration: time.Duration(rapid.IntRange(1, 20).Draw(h.draw, "seconds")) * time.Second}, Tries: 5,
	}
	epoch, err := h.hosts[name].Check(spec)
	if err != nil {
		return
	}
	if _, err := h.hosts[name].Submit(spec, epoch); err == nil {
		h.open[spec.ID] = spec
	}
}

func (h *history) cancel() {
	name := h.activeHost()
	open := slices.Sorted(maps.Keys(h.open))
	if name == "" || len(open) == 0 {
		return
	}
	_, _ = h.hosts[name].Cancel(rapid.SampledFrom(open).Draw(h.draw, "job"))
}

// fail makes a worker fail every start from now on, or ends that.
func (h *history) fail() {
	m := rapid.SampledFrom(h.machines).Draw(h.draw, "worker")
	h.workers[m.Name].SetFaults(standin.WorkerFaults{FailAll: rapid.Bool().Draw(h.draw, "fails")})
}

// crash ends the process of a worker, which restarts at once without any memory of its tasks.
func (h *history) crash() {
	m := rapid.SampledFrom(h.machines).Draw(h.draw, "worker")
	h.workers[m.Name].Crash()
}

// flap makes a host give up all its workers and lead them again at once.
func (h *history) flap() {
	name := h.activeHost()
	if name == "" {
		return
	}
	held := h.hosts[name].Held()
	led := slices.DeleteFunc(slices.Clone(h.machines), func(m lead.Machine) bool { return !slices.Contains(held, m.Name) })
	h.hosts[name].SetLedMachines(nil)
	h.hosts[name].SetLedMachines(led)
}

// assignWorkers assigns each worker to one host, sometimes to both or to none.
func (h *history) assignWorkers() {
	led := map[string][]lead.Machine{}
	for _, m := range h.machines {
		for _, name := range rapid.SampledFrom([]string{"a", "b", "a", "b", "a", "b", "ab", ""}).Draw(h.draw, "leads") {
			led[string(name)] = append(led[string(name)], m)
		}
	}
	for _, name := range []string{"a", "b"} {
		if !h.paused[name] {
			h.hosts[name].SetLedMachines(led[name])
		}
	}
}

// outgoing is a job that is being handed over.
type outgoing struct {
	carry job.Snapshot
	epoch int64
	// unsure is set once it was sent and its answer is missing.
	unsure bool
}

// message is a handover that was sent and has not arrived.
type message struct {
	from, token string
	jobs        []job.Snapshot
}

// beginHandover makes a host stop leading its jobs, in order to send them to the other host.
func (h *history) beginHandover() {
	name := h.activeHost()
	if name == "" {
		return
	}
	var ids []string
	for _, s := range h.hosts[name].OpenJobs() {
		ids = append(ids, s.ID)
	}
	jobs, epoch := h.hosts[name].HandOver(ids)
	for _, c := range jobs {
		h.handingOver[name] = append(h.handingOver[name], &outgoing{carry: c, epoch: epoch})
	}
}

// sendHandover sends the jobs that a host hands over. The message may be late, or its answer lost.
func (h *history) sendHandover() {
	name := h.activeHost()
	if name == "" || h.paused[other(name)] {
		return
	}
	h.handingOver[name] = slices.DeleteFunc(h.handingOver[name], func(p *outgoing) bool { return p.epoch != h.hosts[name].Epoch() })
	token, err := h.hosts[other(name)].ExpectHandover(name)
	if err != nil || len(h.handingOver[name]) == 0 {
		h.takeBackUnsent(name)
		return
	}
	l := message{from: name, token: token}
	for _, p := range h.handingOver[name] {
		l.jobs = append(l.jobs, p.carry)
	}
	switch rapid.IntRange(answered, late).Draw(h.draw, "fate") {
	case answered:
		h.handleAnswer(name, h.hosts[other(name)].Adopt(l.from, l.token, l.jobs))
	case replyLost:
		_ = h.hosts[other(name)].Adopt(l.from, l.token, l.jobs)
		h.markUnsure(name)
	case late:
		h.messages = append(h.messages, l)
		h.markUnsure(name)
	}
}

func (h *history) handleAnswer(name string, err error) {
	switch {
	case err == nil:
		h.handingOver[name] = nil
	case errors.As(err, new(*lead.StaleHandoverError)):
	default:
		h.takeBackUnsent(name)
	}
}

func (h *history) markUnsure(name string) {
	for _, p := range h.handingOver[name] {
		p.unsure = true
	}
}

// takeBackUnsent takes back the jobs that the other host has certainly not received. The others
// need an inventory.
func (h *history) takeBackUnsent(name string) {
	for _, p := range h.handingOver[name] {
		if !p.unsure {
			_ = h.hosts[name].TakeBack([]job.Snapshot{p.carry}, p.epoch)
		}
	}
	h.handingOver[name] = nil
}

// deliverHandover delivers a late handover.
func (h *history) deliverHandover() {
	if len(h.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.messages)-1).Draw(h.draw, "which")
	l := h.messages[i]
	h.messages = slices.Delete(h.messages, i, i+1)
	if !h.paused[other(l.from)] {
		_ = h.hosts[other(l.from)].Adopt(l.from, l.token, l.jobs)
	}
}

// abandonHandover makes a host consider the other one dead while it hands jobs over.
func (h *history) abandonHandover() {
	if name := h.activeHost(); name != "" {
		h.takeBackUnsent(name)
	}
}

// inherit makes a host inherit the other host's jobs, as if it considered the other host dead.
func (h *history) inherit() {
	name := h.activeHost()
	if name == "" {
		return
	}
	h.hosts[name].Inherit(slices.DeleteFunc(slices.Collect(maps.Values(h.open)), func(s job.Spec) bool { return h.isHandingOver(name, s.ID) }))
}

// changeSuspicion makes a host consider the other one dead, or alive again.
func (h *history) changeSuspicion() {
	if name := h.activeHost(); name != "" {
		h.setDomain(name, rapid.Bool().Draw(h.draw, "alive"))
	}
}

func (h *history) isHandingOver(name, id string) bool {
	return slices.ContainsFunc(h.handingOver[name], func(p *outgoing) bool { return p.carry.Spec.ID == id })
}

func (h *history) requestInventory() {
	name := h.activeHost()
	if name == "" || h.paused[other(name)] {
		return
	}
	q := h.hosts[name].InventoryRequest()
	c := h.hosts[other(name)].Inventory(name, q)
	for _, id := range q.Jobs {
		if h.isHandingOver(other(name), id) {
			c.Leads = append(c.Leads, id)
		}
	}
	h.hosts[name].HandleInventory(other(name), q, c)
}

func TestMain(m *testing.M) { randtest.Main(m, 1500, 30) }

// Guards against tasks that run twice or wait without a placement request, and workers that are
// overfilled, over random histories in which answers are lost, starts are late, workers fail, shrink and grow, and hosts pause and hand
// over or inherit jobs.
func TestNoHistoryRunsATaskTwice(t *testing.T) { runHistories(t, false) }

// Guards against a start that arrives at the next incarnation of a crashed worker after another
// host acquired its lease.
func TestNoHistoryWithCrashesRunsATaskTwice(t *testing.T) { runHistories(t, true) }

// requireWaitingTasksRequested requires that the placer knows each task that waits for capacity, unless
// the task waits for the other tasks of its gang to leave their workers.
func (h *history) requireWaitingTasksRequested() {
	for _, name := range []string{"a", "b"} {
		l := h.hosts[name]
		for _, spec := range l.OpenJobs() {
			s, err := l.Status(spec.ID)
			require.NoError(h.draw, err)
			if spec.Gang && s.Tasks["pausing"] > 0 {
				continue
			}
			for _, task := range l.Jobs.WaitingTasks(spec.ID) {
				_, ok := l.Placer.ExplainWait(task)
				require.True(h.draw, ok, "%s leads %s, of which no placement is requested: %v", name, task, s)
			}
		}
	}
}

func runHistories(t *testing.T, crashes bool) {
	rapid.Check(t, func(draw *rapid.T) {
		h := newHistory(t, draw)
		h.crashes = crashes
		for range rapid.IntRange(1, 300).Draw(draw, "steps") {
			h.next()()
			h.applyListedSizes()
			h.requireWaitingTasksRequested()
			require.Empty(draw, h.over.Doubled())
			for _, m := range h.machines {
				require.Zero(draw, h.workers[m.Name].Record().Overfilled, m.Name)
			}
		}
	})
}
