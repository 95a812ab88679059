// Package audit simulates the callers of a cell and compares what each of them was told with what
// the simulated backend servers and workers recorded. The demo and the integration tests use it. It
// does not depend on the internals of the hosts.
package audit

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// RowNames are the names of the rows that a deployment uses.
type RowNames struct{ Urgent, Flood, Batch, Gang, Watch string }

// RowNamesOf returns the row names of one of the two deployments.
func RowNamesOf(u standin.Deployment) RowNames {
	if u.Name == standin.Inzira.Name {
		return RowNames{Urgent: "sheet", Flood: "plans", Batch: "termplan", Gang: "balance", Watch: "ingredients"}
	}
	return RowNames{Urgent: "scan", Flood: "badges", Batch: "print", Gang: "seating", Watch: "wristbands"}
}

// Rows returns the fields of each row.
func (n RowNames) Rows() map[string]map[string]any {
	const class, kind, deadline = "class", "kind", "deadline"
	return map[string]map[string]any{
		n.Urgent: {class: "urgent", kind: "service", deadline: "2s"},
		n.Flood:  {class: "bulk", kind: "service", deadline: "8s", "idempotent": true},
		n.Batch:  {class: "bulk", kind: "batch"},
		n.Gang:   {class: "normal", kind: "gang"},
		n.Watch:  {class: "normal", kind: "watcher"},
	}
}

// Load simulates callers of all kinds until its context ends.
type Load struct {
	Names   RowNames
	Domains []string
	// Pick stands for the platform's load balancer: it returns any ready host of a domain.
	Pick  func(r *rand.Rand, domain string) *client.Client
	Tally *Tally
	// Urgent, Flood and Batch are the numbers of callers of each kind.
	Urgent, Flood, Batch int
}

// Rates and costs of the load.
const (
	urgentEvery = 60 * time.Millisecond
	urgentCost  = 4 * time.Millisecond
	floodCost   = 60 * time.Millisecond
	batchEvery  = 400 * time.Millisecond
	retryDelay  = 50 * time.Millisecond
	gangDelay   = 2 * time.Second
	maxTries    = 4
	// replyTimeout is how long a caller waits before it treats the reply as lost.
	replyTimeout = 15 * time.Second
)

// Run simulates all callers. It returns when ctx has ended and all callers have their replies.
func (l Load) Run(ctx context.Context) {
	var g errgroup.Group
	for i := range l.Urgent {
		g.Go(func() error { l.urgentCaller(ctx, i); return nil })
	}
	for i := range l.Flood {
		g.Go(func() error { l.floodCaller(ctx, i); return nil })
	}
	for i := range l.Batch {
		g.Go(func() error { l.batchCaller(ctx, i); return nil })
	}
	g.Go(func() error { l.submitWatchersAndGang(ctx); return nil })
	_ = g.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (l Load) domain(i int) string { return l.Domains[i%len(l.Domains)] }

// urgentCaller simulates one turnstile or kitchen. It sends requests with a key and repeats those
// that were refused or had no reply under the same key.
func (l Load) urgentCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(1, uint64(i)))
	for ctx.Err() == nil {
		l.sendKeyed(ctx, r, l.domain(i))
		sleep(ctx, time.Duration(r.Int64N(int64(2*urgentEvery))))
	}
}

func (l Load) sendKeyed(ctx context.Context, r *rand.Rand, domain string) {
	req := client.Request{
		Workload: l.Names.Urgent, Method: http.MethodPost, Path: "/gate", Key: uuid.Must(uuid.NewV7()).String(),
		Header: costHeader(urgentCost), Body: []byte(strconv.Itoa(r.Int())),
	}
	began := time.Now()
	var reply client.Reply
	for req.Attempt = 1; req.Attempt <= maxTries; req.Attempt++ {
		reply = l.send(ctx, l.Pick(r, domain), req)
		l.Tally.recordOutcome(req.Key, reply.Outcome)
		if reply.Outcome == client.Done {
			break
		}
		time.Sleep(retryDelay)
	}
	l.Tally.recordRequest(l.Names.Urgent, req, reply, time.Since(began))
}

func (l Load) send(ctx context.Context, c *client.Client, req client.Request) client.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replyTimeout)
	defer cancel()
	reply, _ := c.Do(ctx, req)
	return reply
}

func (l Load) floodCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(2, uint64(i)))
	for ctx.Err() == nil {
		req := client.Request{Workload: l.Names.Flood, Method: http.MethodPost, Path: "/page", Header: costHeader(floodCost), Body: []byte("page")}
		began := time.Now()
		reply := l.send(ctx, l.Pick(r, l.domain(i)), req)
		l.Tally.recordRequest(l.Names.Flood, req, reply, time.Since(began))
		if reply.Outcome != client.Done {
			sleep(ctx, 2*retryDelay)
		}
	}
}

func costHeader(d time.Duration) http.Header { return http.Header{standin.HeaderCost: {d.String()}} }

// submitWatchersAndGang submits the watchers and the gang job.
func (l Load) submitWatchersAndGang(ctx context.Context) {
	r := rand.New(rand.NewPCG(3, 0))
	for _, domain := range l.Domains {
		l.submit(ctx, r, domain, client.Job{Workload: l.Names.Watch, Tasks: 4, Size: client.Size{CPU: 2000, Mem: 4 << 30}, Time: 3600})
	}
	sleep(ctx, gangDelay)
	l.submit(ctx, r, l.Domains[0], client.Job{Workload: l.Names.Gang, Tasks: 12, Size: client.Size{CPU: 8000, Mem: 16 << 30}, Time: 3, Gang: true})
}

func (l Load) batchCaller(ctx context.Context, i int) {
	r := rand.New(rand.NewPCG(5, uint64(i)))
	for n := 0; ctx.Err() == nil; n++ {
		id := l.submit(ctx, r, l.domain(i), client.Job{
			Workload: l.Names.Batch, Tasks: 1 + r.IntN(20), Time: 0.5 + r.Float64()*3,
			Size: client.Size{CPU: 1000 + r.Int64N(7000), Mem: int64(1+r.IntN(16)) << 30},
		})
		if n%7 == 6 && id != "" {
			l.cancel(ctx, r, l.domain(i), id)
		}
		sleep(ctx, batchEvery)
	}
}

// submit submits a job. It retries a refused job a few times, as the refusal asks for.
func (l Load) submit(ctx context.Context, r *rand.Rand, domain string, j client.Job) string {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replyTimeout)
	defer cancel()
	began := time.Now()
	var status client.JobStatus
	var err error
	for range maxTries {
		status, err = l.Pick(r, domain).Submit(ctx, j)
		var refused *client.StatusError
		if !errors.As(err, &refused) || refused.Outcome != client.Refused {
			break
		}
		sleep(ctx, 4*retryDelay)
	}
	l.Tally.recordJob(j, status, err, time.Since(began))
	return status.ID
}

func (l Load) cancel(ctx context.Context, r *rand.Rand, domain, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), replyTimeout)
	defer cancel()
	status, err := l.Pick(r, domain).Cancel(ctx, id)
	outcome := status.Outcome
	if err != nil {
		outcome = client.Unknown
	}
	l.Tally.recordCancel(id, outcome)
}
