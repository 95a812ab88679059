package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

// UnknownMessageError is returned for messages that this kind of host does not accept.
type UnknownMessageError struct{}

func (*UnknownMessageError) Error() string { return "message is not for this host" }

// NoLeaderError is returned if no leader is known.
type NoLeaderError struct{}

func (*NoLeaderError) Error() string { return "no host leads" }

// LateError is returned if a host did not answer in time. It may still answer.
type LateError struct {
	Host  string
	After time.Duration
}

func (e *LateError) Error() string {
	return "host " + e.Host + " has not answered within " + e.After.String()
}

// handleMessage handles a message from a peer and returns the reply.
func (h *Host) handleMessage(ctx context.Context, m peer.Message) (any, error) {
	h.incCounter("peer." + peer.Kind(m))
	switch m := m.(type) {
	case peer.ForwardRecords:
		h.mu.Lock()
		t := h.ownTerm
		h.mu.Unlock()
		if t != nil {
			t.acceptRecords(m.Part, m.First, m.Records)
		}
		return peer.ForwardReply{Accepted: t != nil}, nil
	case peer.AskState:
		return h.localState(m.ID), nil
	case peer.Sync:
		h.noteHost(m)
		return h.syncReply(m), nil
	case peer.Advise:
		ctx, cancel := context.WithTimeout(ctx, m.Within.Duration)
		defer cancel()
		good, err := h.askPolicy(ctx, m.Step, m.Workers)
		return peer.AdviseReply{Tickets: good}, err
	case peer.StoreCall:
		return encodeStoreReply(h.store.Direct(ctx, m.Call)), nil
	case peer.AnnounceSuccessor:
		h.handleSucceed(m)
		return nil, nil
	case peer.Orders:
		return nil, h.acceptOrders(m)
	case peer.OrderResults:
		h.applyResults(m)
		return nil, nil
	default:
		return nil, &UnknownMessageError{}
	}
}

// NoPolicyError is returned if the settings name no policy service.
type NoPolicyError struct{}

func (*NoPolicyError) Error() string { return "settings name no policy service" }

func (h *Host) askPolicy(ctx context.Context, step string, workers []string) (map[string]string, error) {
	if h.policy == nil {
		return nil, &NoPolicyError{}
	}
	return h.policy.Ask(ctx, step, workers)
}

// slowStateReply is the time after which a state reply of the leader is logged as slow.
const slowStateReply = 100 * time.Millisecond

// localState returns a job's state as the leader knows it. It blocks while the scheduler core
// executes a step, unless the job is known to have ended.
func (h *Host) localState(id string) peer.StateReply {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t == nil {
		return peer.StateReply{}
	}
	if st, ok := h.states.final(id); ok {
		return peer.StateReply{Lead: true, Known: true, State: string(st.State), Organisation: st.Organisation}
	}
	began := h.now()
	st, known, sure := t.status(id)
	if took := h.now().Sub(began); took > slowStateReply {
		h.incCounter("state.late")
		h.log.Info("state: slow reply.", "id", id, "term", t.number, "waited", took)
	}
	return peer.StateReply{Lead: true, Known: known, Unsure: !sure, State: string(st.State), Organisation: st.Organisation}
}

// UncertainError is returned if the leader does not know a job and has not recently read what was
// stored.
type UncertainError struct{ ID string }

func (e *UncertainError) Error() string {
	return "lead has not read yet whether there is a job " + e.ID
}

// leaderFreshness is how long ago the store may have answered a leader that other hosts leave
// alone. It is about the time that the candidate group takes to name another host.
const leaderFreshness = 2 * time.Second

// syncReply builds the reply to a sync request. It omits what only a leader that the store serves
// can guarantee.
func (h *Host) syncReply(m peer.Sync) peer.SyncReply {
	h.mu.Lock()
	t := h.ownTerm
	hosts, list := h.hostList()
	claiming, leaving, successor, enough, follows := h.claiming, h.leaving, h.successor, h.minStrongPower(), h.leader
	h.mu.Unlock()
	served := h.store.AnsweredWithin(leaderFreshness)
	if t == nil || !served {
		r := peer.SyncReply{Leading: t != nil, Claiming: claiming, Leaving: leaving, Served: served, Successor: successor, Follows: follows}
		if t == nil && m.Succeeds {
			r.UnstoredEnds = h.encodeUnstoredEnds()
		}
		return r
	}
	if m.HostList == list {
		hosts = nil
	}
	pending := t.pending()
	if m.Term != t.number {
		m.Endings = 0
	}
	byStatus, next := t.finalStatesFrom(m.Endings)
	ended := make([]peer.EndedJobs, 0, len(byStatus))
	for st, ids := range byStatus {
		ended = append(ended, peer.EndedJobs{State: string(st.State), Organisation: st.Organisation, IDs: ids})
	}
	return peer.SyncReply{
		Ended: ended, Endings: next, Leading: true, Lead: true, Leaving: leaving, Served: true, Standby: h.chooseStandby(), Follows: follows,
		EnoughPower: enough, Term: t.number, Pending: pending, Load: t.load(), Memory: t.memory(), Hosts: hosts, HostList: list, Agents: t.agentHosts(), Speeds: t.kindFactors(),
	}
}

// relay makes calls to the store through peers.
type relay struct{ h *Host }

// Peers lists the peers to ask.
func (r relay) Peers() []string { return r.h.otherHosts() }

// Do makes the call through a peer.
func (r relay) Do(ctx context.Context, name string, c store.Call) (store.Answer, error) {
	var got peer.StoreReply
	err := r.h.peers.Ask(ctx, name, peer.StoreCall{Call: c}, &got)
	var unreached *peer.UnreachableError
	switch {
	case errors.As(err, &unreached):
		return store.Answer{}, &store.RefusedError{Op: c.Op, Reason: err.Error()}
	case err != nil:
		return store.Answer{}, &store.UnansweredError{Op: c.Op, Cause: err}
	}
	return got.Answer, decodeStoreError(c, got)
}

// Names of the store's failures in messages between hosts.
const (
	failRefused = "refused"
	failUnsure  = "unanswered"
	failFenced  = "fenced"
	failMoved   = "moved"
	failTrimmed = "trimmed"
	failOther   = "bad"
)

func encodeStoreReply(a store.Answer, err error) peer.StoreReply {
	r := peer.StoreReply{Answer: a}
	if err == nil {
		return r
	}
	r.Reason = err.Error()
	var unsure *store.UnansweredError
	var fenced *store.FencedError
	var moved *store.EndMismatchError
	var trimmed *store.TrimmedError
	switch {
	case store.NotDone(err):
		r.Failure = failRefused
	case errors.As(err, &unsure):
		r.Failure = failUnsure
	case errors.As(err, &fenced):
		r.Failure, r.Number = failFenced, fenced.Epoch
	case errors.As(err, &moved):
		r.Failure, r.Number = failMoved, moved.End
	case errors.As(err, &trimmed):
		r.Failure, r.Number = failTrimmed, trimmed.First
	default:
		r.Failure = failOther
	}
	return r
}

func decodeStoreError(c store.Call, r peer.StoreReply) error {
	switch r.Failure {
	case "":
		return nil
	case failRefused:
		return &store.RefusedError{Op: c.Op, Reason: r.Reason}
	case failFenced:
		return &store.FencedError{Epoch: r.Number}
	case failMoved:
		return &store.EndMismatchError{End: r.Number}
	case failTrimmed:
		return &store.TrimmedError{First: r.Number}
	case failOther:
		return &store.InvalidError{Op: c.Op, Reason: r.Reason}
	default:
		return &store.UnansweredError{Op: c.Op, Cause: &store.InvalidError{Op: c.Op, Reason: r.Reason}}
	}
}

// maxAdviceTimeout limits a request to the policy service, whether this host or a peer makes it.
const maxAdviceTimeout = 10 * time.Second

// askPolicyVia has a host, possibly this one, ask the policy service.
func (h *Host) askPolicyVia(ctx context.Context, a sched.QueryPolicy) sched.PolicyReply {
	ctx, cancel := context.WithTimeout(ctx, min(a.Timeout, maxAdviceTimeout))
	defer cancel()
	began := h.now()
	defer func() { h.observe("advice.answer", h.now().Sub(began)) }()
	if a.Host == h.cfg.Name {
		good, err := h.askPolicy(ctx, a.Step, a.Workers)
		return h.policyResult(a, good, err)
	}
	var r peer.AdviseReply
	// Hosts of older builds know workers by their IDs only.
	ids, byID := platform.WorkerIDs(a.Workers)
	m := peer.Advise{Step: a.Step, Workers: ids}
	m.Within.Duration = a.Timeout
	err := h.peers.Ask(ctx, a.Host, m, &r)
	return h.policyResult(a, platform.TicketsByWorker(r.Tickets, byID), err)
}

func (h *Host) policyResult(a sched.QueryPolicy, good map[string]string, err error) sched.PolicyReply {
	if err != nil {
		h.incCounter("advice.failed")
		h.log.Warn("advice: policy service did not answer.", "step", a.Step, "host", a.Host, "err", err)
	}
	return sched.PolicyReply{Step: a.Step, Host: a.Host, Tickets: good, Failed: err != nil}
}
