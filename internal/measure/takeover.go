package measure

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/lease"
	"pollencroft/internal/member"
	"pollencroft/internal/place"
	"pollencroft/internal/standin"
	"pollencroft/internal/table"
	"pollencroft/internal/takeover"
	"pollencroft/internal/trail"
	"pollencroft/internal/worker"
)

// Takeover describes one failure domain on a simulated clock, in which the leader that has all jobs
// dies. Messages take no time, so the results contain only the waits that the protocol prescribes.
type Takeover struct {
	// Hosts, Racks and Workers are numbers in the domain.
	Hosts, Racks, Workers int
	// Jobs is the number of jobs that run under the leader that dies, each with Tasks tasks of one
	// core. The leader accepts as many more and dies before it sends their starts.
	Jobs, Tasks int
	// OneLeader assigns all racks to one host, which is the baseline.
	OneLeader bool
}

// TakeoverResult is the result of a Takeover. Times count from the death of the leader.
type TakeoverResult struct {
	// Fresh is when an urgent job starts that is submitted right after the death.
	Fresh time.Duration
	// Inherited is when the last task starts that was accepted but not started at the death.
	Inherited time.Duration
	// Waited counts the inherited jobs with tasks that had not started at the death.
	Waited int
	// Doubled counts the tasks that ran in two places at once, and Overfilled the times a worker got
	// more tasks than fit on it.
	Doubled, Overfilled int
}

const (
	domain    = "d"
	tickEvery = 20 * time.Millisecond
	taskTime  = 600 * time.Second
	giveUp    = 5 * time.Minute
)

type domainHost struct {
	name   string
	leader *lead.Leader
	jobs   *job.Jobs
}

type takeoverRun struct {
	Takeover
	now      time.Time
	workers  map[string]*standin.Worker
	machines []lead.Machine
	over     *standin.CopyChecker
	hosts    []*domainHost
	live     []string
	queue    []func()
	open     map[string]job.Spec
}

// RoundTrip passes a request to the handler of the worker at its address.
func (r *takeoverRun) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	r.workers[req.URL.Host].Handler().ServeHTTP(rec, req)
	return rec.Result(), nil
}

// Run simulates the death of a leader and returns when new and inherited jobs start.
func (t Takeover) Run() TakeoverResult {
	r := &takeoverRun{
		Takeover: t, now: time.Unix(1_700_000_000, 0), workers: map[string]*standin.Worker{},
		over: standin.NewCopyChecker(), open: map[string]job.Spec{},
	}
	clock := func() time.Time { return r.now }
	for i := range t.Workers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1+i))
		r.workers[addr.String()] = standin.NewWorker(cell.Size{CPU: 64_000, Mem: 256 << 30}, r.over, clock)
		r.machines = append(r.machines, lead.Machine{
			Name: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%d", i*t.Racks/t.Workers), Address: addr, Size: cell.Size{CPU: 64_000, Mem: 256 << 30},
		})
	}
	for i := range t.Hosts {
		r.addHost(fmt.Sprintf("h%d", i), clock)
	}
	r.assignLeaders()
	r.advance(time.Second)
	return r.play()
}

func (r *takeoverRun) addHost(name string, clock func() time.Time) {
	h := &domainHost{name: name, jobs: job.New()}
	h.leader = lead.New(context.Background(), lead.Deps{
		Leases: lease.New(lease.DefaultLimits), Placer: place.New(place.DefaultLimits), Jobs: h.jobs,
		Takeover: takeover.New(name, takeover.Limits{LongestLease: lease.DefaultLimits.TaskTTL, AskInterval: 250 * time.Millisecond}),
		Workers:  worker.New(name, 1, r, clock), History: trail.New(1), Clock: clock, Log: slog.New(slog.DiscardHandler),
		Row:              func(string) (table.Row, int64) { return table.Row{Weight: 1}, 1 },
		Go:               func(f func()) { r.queue = append(r.queue, f) },
		RequestInventory: func() { r.queue = append(r.queue, func() { r.takeInventory(h) }) },
	})
	r.hosts = append(r.hosts, h)
	r.live = append(r.live, name)
}

// takeInventory sends the inventory request to all live peers at once and passes on their replies.
func (r *takeoverRun) takeInventory(h *domainHost) {
	q := h.leader.InventoryRequest()
	for _, other := range r.hosts {
		if other != h && slices.Contains(r.live, other.name) {
			h.leader.HandleInventory(other.name, q, other.leader.Inventory(h.name, q))
		}
	}
}

// leaders returns the leader of each rack as the live hosts determine it.
func (r *takeoverRun) leaders() map[string]string {
	var racks []string
	for i := range r.Racks {
		racks = append(racks, fmt.Sprintf("r%d", i))
	}
	if !r.OneLeader {
		return member.AssignEvenly(racks, r.live)
	}
	all := map[string]string{}
	for _, rack := range racks {
		all[rack] = r.live[0]
	}
	return all
}

func (r *takeoverRun) assignLeaders() {
	leads := r.leaders()
	var names []string
	for _, m := range r.machines {
		names = append(names, m.Name)
	}
	for _, h := range r.hosts {
		if !slices.Contains(r.live, h.name) {
			continue
		}
		mine := slices.DeleteFunc(slices.Clone(r.machines), func(m lead.Machine) bool { return leads[m.Rack] != h.name })
		h.leader.SetDomain(names, slices.DeleteFunc(slices.Clone(r.live), func(n string) bool { return n == h.name }))
		h.leader.SetLedMachines(mine)
	}
}

// advance advances the clock by d in steps of tickEvery and ticks every live host in each.
func (r *takeoverRun) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(tickEvery) {
		for _, h := range r.hosts {
			if !slices.Contains(r.live, h.name) {
				continue
			}
			h.leader.Tick()
			h.leader.LogRead(r.now)
			r.drain()
		}
	}
}

func (r *takeoverRun) drain() {
	for len(r.queue) > 0 {
		f := r.queue[0]
		r.queue = r.queue[1:]
		f()
	}
}

func (r *takeoverRun) submit(h *domainHost, class cell.Class, tasks int, size cell.Size) string {
	spec := job.Spec{
		ID: cell.JobID(cell.Home{Domain: domain, Rack: r.rackOf(h.name)}), Row: class.String(), Tasks: tasks, Size: size,
		Time: cell.Duration{Duration: taskTime}, Class: class, Tries: 3,
	}
	epoch, err := h.leader.Check(spec)
	if err != nil {
		return ""
	}
	if _, err := h.leader.Submit(spec, epoch); err != nil {
		return ""
	}
	r.open[spec.ID] = spec
	return spec.ID
}

func (r *takeoverRun) rackOf(name string) string {
	leads := r.leaders()
	for _, m := range r.machines {
		if leads[m.Rack] == name {
			return m.Rack
		}
	}
	return ""
}

// started counts the tasks of a job that any worker has started.
func (r *takeoverRun) started(id string) int {
	tasks := map[string]bool{}
	for _, w := range r.workers {
		for task := range w.Record().Started {
			if strings.HasPrefix(task, id+".") {
				tasks[task] = true
			}
		}
	}
	return len(tasks)
}

func (r *takeoverRun) play() TakeoverResult {
	leads := r.leaders()
	dead := r.hosts[slices.IndexFunc(r.hosts, func(h *domainHost) bool { return h.name == leads["r0"] })]
	for range r.Jobs {
		r.submit(dead, cell.Normal, r.Tasks, cell.Size{CPU: 1000, Mem: 1 << 20})
	}
	r.advance(10 * time.Second)
	for range r.Jobs {
		r.submit(dead, cell.Normal, r.Tasks, cell.Size{CPU: 1000, Mem: 1 << 20})
	}
	waiting := r.unfinished()
	died := r.now
	r.hosts = slices.DeleteFunc(r.hosts, func(h *domainHost) bool { return h == dead })
	r.queue = nil
	got := TakeoverResult{Waited: len(waiting)}
	fresh := ""
	suspected := false
	for got.Fresh == 0 || len(waiting) > 0 {
		since := r.now.Sub(died)
		if since > giveUp {
			break
		}
		if !suspected && since > member.SilenceTimeout {
			suspected = true
			r.live = slices.DeleteFunc(r.live, func(n string) bool { return n == dead.name })
			r.assignLeaders()
			r.inherit()
		}
		if fresh == "" {
			fresh = r.submitUrgent()
		}
		r.advance(tickEvery)
		if fresh != "" && got.Fresh == 0 && r.started(fresh) > 0 {
			got.Fresh = r.now.Sub(died)
		}
		waiting = slices.DeleteFunc(waiting, func(id string) bool { return r.started(id) == r.Tasks })
		if len(waiting) == 0 && got.Inherited == 0 {
			got.Inherited = r.now.Sub(died)
		}
	}
	got.Doubled = len(r.over.Doubled())
	for _, w := range r.workers {
		got.Overfilled += w.Record().Overfilled
	}
	return got
}

// submitUrgent submits an urgent job to the first live host that accepts it, and returns its id or "".
func (r *takeoverRun) submitUrgent() string {
	for _, h := range r.hosts {
		if id := r.submit(h, cell.Urgent, 1, cell.Size{CPU: 500, Mem: 1 << 20}); id != "" {
			return id
		}
	}
	return ""
}

func (r *takeoverRun) unfinished() []string {
	var ids []string
	for id, s := range r.open {
		if r.started(id) < s.Tasks {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *takeoverRun) inherit() {
	leads := r.leaders()
	for _, h := range r.hosts {
		var mine []job.Spec
		for id, s := range r.open {
			home, err := cell.ParseHome(id)
			if err == nil && leads[home.Rack] == h.name {
				mine = append(mine, s)
			}
		}
		h.leader.Inherit(mine)
	}
}
