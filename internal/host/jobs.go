package host

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"pollencroft/internal/caller"
	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/platform"
	"pollencroft/internal/settings"
	"pollencroft/internal/share"
	"pollencroft/internal/table"
)

// jobAskTimeout bounds one question about a job to a peer.
const jobAskTimeout = 3 * time.Second

// While no lead of the domain holds a worker, as after a death, a job is offered
// again for so long before it is refused.
const (
	submitRetryFor   = time.Second
	submitRetryPause = 50 * time.Millisecond
)

// jobKeyNamespace makes the ids of jobs that carry their caller's key.
var jobKeyNamespace = uuid.MustParse("6d4f0b52-7c1e-4a55-9b07-2f6f5a0a7c11")

// submit gives a job a home rack and hands it to the host that leads it. A
// lead that certainly did not take it is passed over for that of another rack.
func (h *Host) submit(ctx context.Context, j caller.Job) peer.JobReply {
	row, _ := h.Row(j.Row)
	racks := h.racks(h.cfg.Domain)
	if len(racks) == 0 {
		return peer.RefuseJob(http.StatusServiceUnavailable, "no workers are known")
	}
	if home := h.limitRack(row); home != "" {
		racks = []string{home}
	}
	first := int(xxhash.Sum64String(cell.NewID()) % uint64(len(racks)))
	spec := job.Spec{
		ID: h.jobID(j, racks, first), Row: j.Row, Tasks: j.Tasks, Size: j.Size,
		Time: cell.Duration{Duration: j.Time}, Gang: j.Gang, Key: j.Key, Class: row.Urgency(), Tries: row.Tries,
	}
	if err := spec.Check(); err != nil {
		return peer.RefuseJob(http.StatusBadRequest, err.Error())
	}
	end := h.clock().Add(submitRetryFor)
	reply := h.askLeader(ctx, spec.ID, peer.Submit{Spec: spec})
	for tries := 1; isUnavailable(reply) && h.clock().Before(end) && ctx.Err() == nil; tries++ {
		if tries%len(racks) == 0 {
			h.pause(submitRetryPause)
		}
		spec.ID = h.jobID(j, racks, first+tries)
		reply = h.askLeader(ctx, spec.ID, peer.Submit{Spec: spec})
	}
	return reply
}

// limitKey is what the tasks of a row are counted by: the row, if it has limits, or its team, if
// that has a quota; empty for neither. Urgent rows go where a lead is: a limit that holds back
// urgent work while a lead is being replaced does more harm than one that is exceeded for that
// time.
func (h *Host) limitKey(row table.Row) string {
	if row.Urgency() == cell.Urgent {
		return ""
	}
	h.mu.Lock()
	_, quota := h.table.TeamShare(row.Team, h.cfg.Domain)
	h.mu.Unlock()
	switch {
	case quota:
		return "team " + row.Team
	case row.Limits.Tasks == 0 && row.Limits.Capacity == cell.Size{}:
		return ""
	default:
		return "row " + row.Name
	}
}

// limitRack is the rack where all jobs of a limited row, or of a team with a
// quota, are at home, so that one lead counts them; empty for any.
func (h *Host) limitRack(row table.Row) string {
	key := h.limitKey(row)
	if key == "" {
		return ""
	}
	rack, _ := member.Rank(key, h.racks(h.cfg.Domain))
	return rack
}

// arbiterWorkers are the workers of the rack where a key is counted. The holder of the first that
// lives may start the key's tasks.
func (h *Host) arbiterWorkers(key string) []string {
	rack, _ := member.Rank(key, h.racks(h.cfg.Domain))
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, m := range h.machines {
		if m.Kind == cell.WorkerHost && m.Domain == h.cfg.Domain && m.Rack == rack && !m.Leaving {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}

// isKnownDomain tells whether the settings name a failure domain. A question after a
// job of any other would be told to come back for ever.
func (h *Host) isKnownDomain(domain string) bool {
	in := func(p settings.Peer) bool { return p.Domain == domain }
	return domain == h.cfg.Domain || slices.ContainsFunc(h.cfg.Peers, in)
}

func isUnavailable(r peer.JobReply) bool {
	return r.Code == http.StatusServiceUnavailable && r.Outcome == cell.Refused
}

// jobID is the same for every try of a job with a key, so that the repeat of a
// submission whose answer was lost finds the job instead of running it twice.
func (h *Host) jobID(j caller.Job, racks []string, n int) string {
	home := cell.Home{Domain: h.cfg.Domain, Rack: racks[n%len(racks)]}
	if j.Key == "" {
		return cell.JobID(home)
	}
	home.Rack, _ = member.Rank(j.Row+" "+j.Key, racks)
	return home.JobID(uuid.NewSHA1(jobKeyNamespace, []byte(j.Row+" "+j.Key)).String())
}

// racks lists the racks of a failure domain in order of name.
func (h *Host) racks(domain string) []string {
	var racks []string
	h.mu.Lock()
	for _, m := range h.machines {
		if m.Kind == cell.WorkerHost && m.Domain == domain && !slices.Contains(racks, m.Rack) {
			racks = append(racks, m.Rack)
		}
	}
	h.mu.Unlock()
	slices.Sort(racks)
	return racks
}

func (h *Host) cancelJob(ctx context.Context, id string) peer.JobReply {
	return h.askLeader(ctx, id, peer.CancelJob{ID: id})
}

// askLeader answers here when this host leads the job's rack, else asks the host
// that does. The id says where the job is at home, so nobody is asked first.
func (h *Host) askLeader(ctx context.Context, id string, m peer.Message) peer.JobReply {
	home, err := cell.ParseHome(id)
	if err != nil {
		return peer.RefuseJob(http.StatusBadRequest, err.Error())
	}
	if !h.isKnownDomain(home.Domain) {
		return peer.RefuseJob(http.StatusNotFound, "failure domain "+home.Domain+" is not in the settings")
	}
	first := h.rackLeader(home)
	if first == "" {
		return peer.RefuseJob(http.StatusServiceUnavailable, "no host of failure domain "+home.Domain+" is live")
	}
	reply := h.askHost(ctx, first, id, m)
	if _, isSubmit := m.(peer.Submit); isSubmit || reply.Code != http.StatusNotFound && !isUnavailable(reply) {
		return reply
	}
	// The rack may have changed its lead since the job was taken.
	h.mu.Lock()
	live := h.members.LiveIn(home.Domain)
	h.mu.Unlock()
	for _, name := range without(live, first) {
		other := h.askHost(ctx, name, id, m)
		if other.Code != http.StatusNotFound && !isUnavailable(other) {
			return other
		}
		if isUnavailable(other) {
			reply = other
		}
	}
	return reply
}

func (h *Host) askHost(ctx context.Context, name, id string, m peer.Message) peer.JobReply {
	if name == h.cfg.Name {
		return h.handleJobMessage(ctx, m)
	}
	ctx, cancel := context.WithTimeout(ctx, jobAskTimeout)
	defer cancel()
	var reply peer.JobReply
	err := h.peers.Ask(ctx, name, m, &reply)
	var unreached *peer.UnreachableError
	switch {
	case err == nil:
		return reply
	case errors.As(err, &unreached):
		return peer.RefuseJob(http.StatusServiceUnavailable, err.Error())
	default:
		return peer.UnsureJob(http.StatusGatewayTimeout, id, err.Error())
	}
}

func (h *Host) handleJobMessage(ctx context.Context, m peer.Message) peer.JobReply {
	switch m := m.(type) {
	case peer.Submit:
		return h.acceptJob(ctx, m.Spec)
	case peer.AskJob:
		return h.localStatus(m.ID, func() (job.Status, error) { return h.leader.Status(m.ID) })
	case peer.AskTrail:
		return h.localHistory(m.ID)
	case peer.CancelJob:
		reply := h.localStatus(m.ID, func() (job.Status, error) { return h.leader.Cancel(m.ID) })
		return h.awaitStoredEnd(ctx, reply)
	default:
		return peer.RefuseJob(http.StatusBadRequest, "not a question about a job")
	}
}

// localStatus answers a question about a job from its lead's core, else from the log.
func (h *Host) localStatus(id string, ask func() (job.Status, error)) peer.JobReply {
	s, err := ask()
	var unknown *job.UnknownError
	if !errors.As(err, &unknown) {
		return h.hideUnstoredEnd(jobReply(s, err))
	}
	if end, ok := h.loggedEnd(id); ok {
		return end
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, open := h.jobs.log.Spec(id); open {
		return peer.RefuseJob(http.StatusServiceUnavailable, "job "+id+" changes its lead")
	}
	return jobReply(s, err)
}

// hideUnstoredEnd holds back a final state that only this host knows: if it died now,
// the next lead would run a job whose caller was told that it did not run. That
// it did not run is said when the log says so for every successor, any other
// end when a second host knows it too.
func (h *Host) hideUnstoredEnd(r peer.JobReply) peer.JobReply {
	id := r.Status.ID
	state, ended := h.leader.EndState(id)
	if r.Code != 0 || !ended {
		return r
	}
	h.mu.Lock()
	kept := r.Status.Ran && h.jobs.sharedEnds[id]
	h.mu.Unlock()
	if !kept && !h.endLogged(id) && state == "cancelled" {
		r.Status.State = "stopping"
	}
	return r
}

// awaitStoredEnd waits a little for the end of a cancelled job to be kept.
func (h *Host) awaitStoredEnd(ctx context.Context, r peer.JobReply) peer.JobReply {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	for r.Status.State == "stopping" && ctx.Err() == nil {
		if _, ended := h.leader.EndState(r.Status.ID); !ended {
			return r
		}
		select {
		case <-time.After(batchWindow):
		case <-ctx.Done():
		}
		r = h.localStatus(r.Status.ID, func() (job.Status, error) { return h.leader.Status(r.Status.ID) })
	}
	return r
}

func jobReply(s job.Status, err error) peer.JobReply {
	var unknown *job.UnknownError
	var unschedulable *lead.InfeasibleError
	switch {
	case err == nil:
		return peer.JobReply{Status: s}
	case errors.As(err, &unknown):
		return peer.RefuseJob(http.StatusNotFound, err.Error())
	case errors.As(err, &unschedulable):
		return peer.RefuseJob(http.StatusUnprocessableEntity, err.Error())
	default:
		return peer.RefuseJob(http.StatusServiceUnavailable, err.Error())
	}
}

// acceptJob keeps a job where a second host can find it before it is run. While
// it does so, peers are told that this host leads the job: else one of them
// could inherit it from the log and run it beside this host.
func (h *Host) acceptJob(ctx context.Context, spec job.Spec) peer.JobReply {
	if reply, known := h.repeatedSubmission(spec); known {
		return reply
	}
	epoch, err := h.leader.Check(spec)
	if err != nil {
		return jobReply(job.Status{}, err)
	}
	if !h.beginAccepting(spec.ID) {
		return peer.UnsureJob(http.StatusGatewayTimeout, spec.ID, "job is being accepted by another request")
	}
	defer h.endAccepting(spec.ID)
	kept, err := h.keepJob(ctx, spec)
	var notWritten *platform.NotWrittenError
	switch {
	case errors.As(err, &notWritten):
		return peer.RefuseJob(http.StatusServiceUnavailable, err.Error())
	case err != nil:
		return peer.UnsureJob(http.StatusGatewayTimeout, spec.ID, err.Error())
	}
	return peer.JobReply{Status: h.startJob(spec, epoch), Kept: kept}
}

// startJob begins a kept job. One with a key may have been accepted by another host
// before, which an earlier try of its caller reached, so it is inherited.
func (h *Host) startJob(spec job.Spec, epoch int64) job.Status {
	if spec.Key != "" {
		h.leader.Inherit([]job.Spec{spec})
	} else if s, err := h.leader.Submit(spec, epoch); err == nil {
		return s
	}
	// The job is kept, so whoever leads its rack by now runs it.
	return job.Status{ID: spec.ID, Row: spec.Row, State: "waiting"}
}

// repeatedSubmission answers the repeat of a submission with a key.
func (h *Host) repeatedSubmission(spec job.Spec) (peer.JobReply, bool) {
	if spec.Key == "" {
		return peer.JobReply{}, false
	}
	h.mu.Lock()
	old, known := h.jobs.log.Spec(spec.ID)
	written := h.jobs.log.Written(spec.ID)
	h.mu.Unlock()
	if !known {
		return peer.JobReply{}, false
	}
	if old.Tasks != spec.Tasks || old.Size != spec.Size || old.Time != spec.Time || old.Gang != spec.Gang {
		return peer.RefuseJob(http.StatusConflict, "another job has the same key"), true
	}
	reply := h.localStatus(spec.ID, func() (job.Status, error) { return h.leader.Status(spec.ID) })
	reply.Kept = "peers"
	if written {
		reply.Kept = "log"
	}
	return reply, true
}

func (h *Host) beginAccepting(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs.accepting[id] {
		return false
	}
	h.jobs.accepting[id] = true
	return true
}

func (h *Host) endAccepting(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.jobs.accepting, id)
}

// handleMessage handles one message from a peer.
func (h *Host) handleMessage(ctx context.Context, m peer.Message) (any, error) {
	switch m := m.(type) {
	case peer.Beat:
		h.memberStep(member.HeartbeatReceived{Beat: m.Heartbeat})
		return nil, nil
	case peer.Leave:
		h.memberStep(member.LeaveReceived{Name: m.Name})
		return nil, nil
	case peer.AnnounceSlots:
		h.shareStep(share.AnnouncementReceived{Announcement: m.Announcement})
		h.relay.MarkLeaving(m.Leaving)
		return nil, nil
	case peer.Relay:
		return h.relay.RunForPeer(ctx, m), nil
	case peer.AwaitKey:
		return h.relay.AwaitKey(ctx, m), nil
	case peer.OpenKey:
		return h.relay.OpenKey(m.Open), nil
	case peer.CloseKeys:
		h.relay.CloseKeys(m.All)
		return struct{}{}, nil
	case peer.KeepRecord:
		h.addUnwritten(m.Record)
		return struct{}{}, nil
	case peer.Inventory:
		return h.handleInventory(m), nil
	case peer.AskToken:
		token, err := h.leader.ExpectHandover(m.From)
		return peer.TokenReply{Token: token}, err
	case peer.Handover:
		return h.adoptJobs(m)
	case peer.Submit, peer.AskJob, peer.AskTrail, peer.CancelJob:
		return h.handleJobMessage(ctx, m), nil
	default:
		return nil, &peer.RefusedError{Name: h.cfg.Name, Reason: "message is not known"}
	}
}

// stopInBackground begins a planned stop without holding up its caller.
func (h *Host) stopInBackground() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Limits.DrainTimeout)
		defer cancel()
		_ = h.Stop(ctx)
	}()
}
