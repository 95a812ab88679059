package host

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"pollencroft/internal/attempts"
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

// jobAskTimeout limits one request about a job to a peer.
const jobAskTimeout = 3 * time.Second

// While no leader of the failure domain holds a worker, for instance after a host died, a job is
// submitted again for submitRetryFor before it is refused.
const (
	submitRetryFor   = time.Second
	submitRetryPause = 50 * time.Millisecond
)

// jobKeyNamespace is the UUID namespace for the ids of jobs that carry a caller's key.
var jobKeyNamespace = uuid.MustParse("6d4f0b52-7c1e-4a55-9b07-2f6f5a0a7c11")

// submit assigns a job to a home rack and sends it to the host that leads the rack.
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
	return h.trackSubmission(spec, func() peer.JobReply { return h.sendToLeader(ctx, j, spec, racks, first) })
}

// sendToLeader sends a job to the host that leads its rack. If that host certainly did not accept the
// job, the leader of another rack is tried.
func (h *Host) sendToLeader(ctx context.Context, j caller.Job, spec job.Spec, racks []string, first int) peer.JobReply {
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

// trackSubmission submits a job and records the outcome. Callers submit a job with a key again if they
// had no answer, and an earlier submission may be stored although this one is refused.
func (h *Host) trackSubmission(spec job.Spec, submit func() peer.JobReply) peer.JobReply {
	if spec.Key == "" {
		return submit()
	}
	h.jobs.submitted.Begin(spec.ID)
	reply := submit()
	known := h.jobs.submitted.End(spec.ID, submissionOutcome(reply))
	if reply.Outcome == cell.Refused && reply.Code != http.StatusConflict && known != attempts.NotDone {
		return peer.UnsureJob(http.StatusGatewayTimeout, spec.ID, "an earlier submission may be stored, this one was refused: "+reply.Reason)
	}
	return reply
}

func submissionOutcome(r peer.JobReply) attempts.Outcome {
	switch {
	case r.Code == 0:
		return attempts.Done
	case r.Outcome == cell.Refused:
		return attempts.NotDone
	default:
		return attempts.Unknown
	}
}

// limitKey returns the key by which the tasks of a row are counted: its organisation if that has a
// quota, or else the row if it has limits, or else nothing. Urgent rows are not counted and may
// go to any leader: while a leader is being replaced, a limit that delays urgent work does more
// harm than one that is exceeded.
func (h *Host) limitKey(row table.Row) string {
	if row.Urgency() == cell.Urgent {
		return ""
	}
	h.mu.Lock()
	_, quota := h.table.OrganisationShare(row.Organisation, h.cfg.Domain)
	h.mu.Unlock()
	switch {
	case quota:
		return "organisation " + row.Organisation
	case row.Limits.Tasks == 0 && row.Limits.Capacity == cell.Size{}:
		return ""
	default:
		return "row " + row.Name
	}
}

// limitRack returns the home rack of all jobs of a limited row or of an organisation with a quota, so
// that one leader counts them all. It is empty if the jobs may go to any rack.
func (h *Host) limitRack(row table.Row) string {
	key := h.limitKey(row)
	if key == "" {
		return ""
	}
	rack, _ := member.Rank(key, h.racks(h.cfg.Domain))
	return rack
}

// arbiterWorkers lists the workers of the rack where a key is counted. The host that holds the
// first live one of them may start the key's tasks.
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

// isKnownDomain reports whether the settings name a failure domain. Callers that ask about a job
// of any other domain would otherwise be told to retry for ever.
func (h *Host) isKnownDomain(domain string) bool {
	in := func(p settings.Peer) bool { return p.Domain == domain }
	return domain == h.cfg.Domain || slices.ContainsFunc(h.cfg.Peers, in)
}

func isUnavailable(r peer.JobReply) bool {
	return r.Code == http.StatusServiceUnavailable && r.Outcome == cell.Refused
}

// jobID returns the same id for every attempt to submit a job with a key. If the answer to a
// submission is lost, its repetition then finds the job instead of running it twice.
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

// askLeader answers locally if this host leads the job's rack, and otherwise asks the host that
// does. The id contains the job's home rack, so no lookup is needed.
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
	// The leader of the rack may have changed since the job was accepted.
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

// localStatus answers a request about a job from the leader's state or, if that does not know
// the job, from the log.
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

// hideUnstoredEnd replaces a final state that only this host knows: if this host died now, the
// next leader would run a job whose caller was told that it did not run. "Not run" is reported
// once it is in the log, where every later leader finds it, and any other end once a second host
// knows it as well.
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

// awaitStoredEnd waits a short time until the end of a cancelled job is stored.
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

// acceptJob stores a job where a second host can find it before the job runs. Meanwhile peers
// are told that this host leads the job; otherwise one of them could inherit it from the log and
// run it at the same time.
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

// startJob starts leading a stored job. A job with a key may have been accepted by another host
// earlier, if a previous attempt of its caller reached that host, so it is inherited.
func (h *Host) startJob(spec job.Spec, epoch int64) job.Status {
	if spec.Key != "" {
		h.leader.Inherit([]job.Spec{spec})
	} else if s, err := h.leader.Submit(spec, epoch); err == nil {
		return s
	}
	// The job is stored, so the host that now leads its rack runs it.
	return job.Status{ID: spec.ID, Row: spec.Row, State: "waiting"}
}

// repeatedSubmission answers the repetition of a submission with a key.
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
		h.memberStep(member.HeartbeatReceived{Heartbeat: m.Heartbeat})
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
	case peer.Submit:
		return h.trackSubmission(m.Spec, func() peer.JobReply { return h.handleJobMessage(ctx, m) }), nil
	case peer.AskJob, peer.AskTrail, peer.CancelJob:
		return h.handleJobMessage(ctx, m), nil
	default:
		return nil, &peer.RefusedError{Name: h.cfg.Name, Reason: "message is not known"}
	}
}

// stopInBackground starts a planned stop without blocking its caller.
func (h *Host) stopInBackground() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Limits.DrainTimeout)
		defer cancel()
		_ = h.Stop(ctx)
	}()
}
