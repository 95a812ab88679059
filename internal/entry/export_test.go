package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/agent"
	"pollencroft/internal/flow"
	"pollencroft/internal/http1"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/internal/uptime"
	"pollencroft/platform"
)

// PeerAddr returns the address at which other hosts reach this one.
func (s Settings) PeerAddr() netip.AddrPort { return s.peerAddr() }

// CallerLimits returns the limits of callers' connections.
func (s Settings) CallerLimits() http1.Limits { return s.callerLimits() }

// Kill ends the host at once, like a signal that cannot be caught.
func (h *Host) Kill() {
	h.mu.Lock()
	t := h.ownTerm
	h.leaving = true
	h.mu.Unlock()
	h.cancel()
	if t != nil {
		t.mu.Lock()
		t.ended = true
		t.mu.Unlock()
	}
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.peers.Close()
	h.wg.Wait()
}

// SetDialer sets how the host connects to others.
func (h *Host) SetDialer(dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)) {
	h.peers.SetDialer(dial)
}

// Term returns the number of the term that the host knows.
func (h *Host) Term() int64 { return h.currentTerm() }

// Leading reports whether the host leads.
func (h *Host) Leading() bool {
	_, leading := h.currentLeader()
	return leading
}

// HostInfo is what is known of another host's strength.
type HostInfo struct {
	Power float64
	Began time.Time
}

// ByPower orders hosts by how suitable they are as successors.
func ByPower(seen map[string]HostInfo) []string {
	all := map[string]hostInfo{}
	for n, s := range seen {
		all[n] = hostInfo{power: s.Power, began: s.Began}
	}
	return byPower(all)
}

// RecentHostCount returns how many other hosts were heard from recently.
func (h *Host) RecentHostCount() int { return len(h.successors()) }

// SetPeerAddr sets the address of a peer.
func (h *Host) SetPeerAddr(name, addr string) { h.peers.SetAddr(name, netip.MustParseAddrPort(addr)) }

// WaitsForReply asks a host that does not answer whether it leads, and reports whether the host
// waited for a reply.
func (h *Host) WaitsForReply(name string) bool {
	_, err := h.askWhetherLeads(name)
	return !errors.As(err, new(*NoLeaderError))
}

// IsCandidate reports whether the host is a candidate for leadership.
func (h *Host) IsCandidate() bool { return h.isCandidate() }

// Journal exposes the writer of job progress.
type Journal struct{ *journal }

// NewJournal returns a journal whose term has claimed the partitions.
func NewJournal(t *testing.T, log store.Log, term int64, parts []int) *Journal {
	// A call without an answer is given up, as a host does.
	return newBoundedJournal(t, log, term, parts, 50*time.Millisecond)
}

// NewPatientJournal returns a journal for a log that ends calls without an answer itself.
func NewPatientJournal(t *testing.T, log store.Log, term int64, parts []int) *Journal {
	return newBoundedJournal(t, log, term, parts, time.Minute)
}

func newBoundedJournal(t *testing.T, log store.Log, term int64, parts []int, callTimeout time.Duration) *Journal {
	wg := &sync.WaitGroup{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return &Journal{newJournal(boundedLog{log, ctx, callTimeout}, slog.New(slog.DiscardHandler), wg, term, parts)}
}

// boundedLog ends calls after a timeout and at the end of the test.
type boundedLog struct {
	log     store.Log
	ctx     context.Context
	timeout time.Duration
}

func (u boundedLog) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, u.timeout)
	defer cancel()
	defer context.AfterFunc(u.ctx, cancel)()
	return u.log.Do(ctx, c)
}

// Append stores the records of an append.
func (b *Journal) Append(ctx context.Context, number int64, records []store.Record, timeout time.Duration) error {
	return b.append(ctx, number, records, timeout)
}

// Drop deletes a job's progress.
func (b *Journal) Drop(ctx context.Context, id string) { b.drop(ctx, id) }

// FenceBehind begins a term whose number was chosen before a former leader's last n appends, and returns
// the number and the first fencing token.
func (h *Host) FenceBehind(t *testing.T, n int) (number, token int64) {
	read, err := h.store.Do(t.Context(), store.Call{Op: store.Newest, Topic: stateTopic})
	require.NoError(t, err)
	number = read.End + 1
	for range n {
		_, err := h.store.Do(t.Context(), store.Call{Op: store.Append, Topic: stateTopic, Keyed: true, Records: []store.Record{{Key: "job", Value: []byte("{}")}}})
		require.NoError(t, err)
	}
	first, err := h.fence(t.Context(), number, "me")
	require.NoError(t, err)
	return number, newTermID(number, first).token
}

// JobsPart returns the partition to which the host appends jobs first.
func (h *Host) JobsPart() int { return h.inbox.parts[0] }

// KnowsJob reports whether the host leads and knows the job.
func (h *Host) KnowsJob(id string) bool { return h.localState(id).Known }

// BeginTerm begins a term without any jobs, as if the reading of the store had started at the
// given time.
func (h *Host) BeginTerm(number int64, read time.Time) {
	h.newTerm(termID{number, number}, "", claim{}, nil, nil, make([]int64, h.cfg.Parts), moment{read, h.uptime.Now() - h.now().Sub(read)})
}

// IsUncertain reports whether the leader cannot tell whether the job exists.
func (h *Host) IsUncertain(id string) bool { return h.localState(id).Unsure }

// SetLeaderName makes the host follow another one as leader.
func (h *Host) SetLeaderName(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = name
}

// LearnLeader passes a leader announcement to the host, like the record in the store.
func (h *Host) LearnLeader(name string, addr netip.AddrPort, term int64) {
	h.setLeader(leaderRecord{Name: name, Addr: addr, Term: term})
}

// LeaderName returns the host that this one follows.
func (h *Host) LeaderName() string {
	name, _ := h.currentLeader()
	return name
}

// NoteHost makes the host hear from another one.
func (h *Host) NoteHost(name string, addr netip.AddrPort) {
	h.noteHost(peer.Sync{From: name, Addr: addr, Power: 1, Began: h.now()})
}

// UsesForPolicy reports whether the host leads and may have the named host ask the policy
// service.
func (h *Host) UsesForPolicy(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.hosts[name]
	return h.ownTerm != nil && ok
}

// Standby returns the host that is to take over if the leader's process dies, as known to this
// host.
func (h *Host) Standby() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standby
}

// Follower is a host without a network that follows the operators' table and stays a member of a
// group.
type Follower struct{ *Host }

// NewFollower returns a host that knows the other hosts and follows the host leader. Its direct
// route to the store is direct, and through is its route through a peer.
func NewFollower(t *testing.T, log *slog.Logger, name string, others []string, leader string, direct store.Log, through func(ctx context.Context, peer string, c store.Call) (store.Answer, error)) *Follower {
	h, err := New(Settings{Name: name, Parts: 1}, log, time.Now, uptime.NewSteady(time.Now))
	require.NoError(t, err)
	for _, n := range others {
		h.hosts[n] = netip.AddrPort{}
	}
	h.leader = leader
	h.store = store.NewRouted(direct, &throughPeers{h, through}, time.Now, h.uptime, h.storeChanged)
	return &Follower{h}
}

// throughPeers calls the peers that a host would call, but by another route.
type throughPeers struct {
	h       *Host
	through func(ctx context.Context, peer string, c store.Call) (store.Answer, error)
}

func (p *throughPeers) Peers() []string { return relay{p.h}.Peers() }

func (p *throughPeers) Do(ctx context.Context, peer string, c store.Call) (store.Answer, error) {
	return p.through(ctx, peer, c)
}

// Run follows the table until the host is stopped.
func (f *Follower) Run() {
	f.wg.Go(func() { f.follow(platform.TableTopic, f.applyTable) })
	f.wg.Go(func() {
		for f.ctx.Err() == nil {
			_, _ = f.join(observerGroup, 0)
			sleep(f.ctx, joinInterval)
		}
	})
}

// Stop ends the host.
func (f *Follower) Stop() {
	f.cancel()
	f.wg.Wait()
}

// Version returns the version of the table in force, or 0 if there is none.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return 0
	}
	return f.table.Version
}

// Peers lists the peers that the host would ask.
func (f *Follower) Peers() []string { return relay{f.Host}.Peers() }

// FirstAccepting returns the first host for which ask returns true.
func FirstAccepting(ctx context.Context, hosts []string, ask func(ctx context.Context, name string) bool) string {
	return firstAccepting(ctx, hosts, ask)
}

// SpacedSample picks hosts at equal distances in the list.
func SpacedSample(all []string, n int) []string { return spacedSample(all, n) }

// LoseLeader makes the host the standby of a leader and then reports the loss of its connection
// to that leader.
func (h *Host) LoseLeader(name string) {
	h.mu.Lock()
	h.leader, h.standby = name, h.cfg.Name
	h.mu.Unlock()
	h.onPeerLost(name)
}

// IsProcessGone reports whether the host considers another host's process ended.
func (h *Host) IsProcessGone(name string) bool { return h.isProcessGone(name) }

// NewWithTransport returns a host that connects to its peers with dial, uses direct as its route
// to the store, and accepts connections from ln. before is called before each incoming message is
// handled.
func NewWithTransport(cfg Settings, log *slog.Logger, direct store.Log, dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error), ln net.Listener, before func(ctx context.Context)) (*Host, error) {
	h, err := New(cfg, log, time.Now, uptime.NewSteady(time.Now))
	if err != nil {
		return nil, err
	}
	h.store = store.NewRouted(direct, relay{h}, time.Now, h.uptime, h.storeChanged)
	h.peers.SetDialer(dial)
	srv := peer.NewServer(func(ctx context.Context, m peer.Message) (any, error) {
		before(ctx)
		return h.handleMessage(ctx, m)
	})
	h.wg.Go(func() { srv.Serve(h.ctx, ln) })
	h.wg.Go(func() { h.follow(leaderTopic, h.applyLeader) })
	h.wg.Go(h.maintainMembership)
	h.wg.Go(h.syncPeriodically)
	return h, nil
}

// StoreProgress makes a leader store something, as it does for each job in progress. It returns
// false if the host does not lead.
func (h *Host) StoreProgress(id string) bool {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t == nil {
		return false
	}
	t.step(sched.Submit{Spec: flow.Spec{ID: id, Steps: []flow.Step{{Tasks: 1}}}})
	t.step(sched.Cancel{ID: id})
	return true
}

// Name returns the host's name.
func (h *Host) Name() string { return h.cfg.Name }

// SetHosts replaces the hosts that the host knows.
func (h *Host) SetHosts(all map[string]netip.AddrPort) { h.setHosts(all) }

// LeaderAlive asks the leader whether it leads, and reports whether it does or is alive
// nevertheless.
func (h *Host) LeaderAlive() bool {
	name, _ := h.currentLeader()
	leads, before := h.checkLeader(name)
	return leads || h.isLeaderAlive(before)
}

// KnowsFinalStates reports whether the host has learned the final states of all these jobs.
func (h *Host) KnowsFinalStates(ids ...string) bool {
	for _, id := range ids {
		if _, ok := h.states.final(id); !ok {
			return false
		}
	}
	return true
}

// State returns the host's reply to another host's question for a job's state.
func (h *Host) State(id string) peer.StateReply { return h.localState(id) }

// StateDuringPoll has another host ask the leader for a job that it does not know. As soon as the
// scheduler core is free, the leader polls the store and finds the job. It returns the reply.
func (h *Host) StateDuringPoll(id string) peer.StateReply {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	t.mu.Lock()
	t.lastPoll = h.uptime.Now() - maxPollAge
	reported, read := make(chan peer.StateReply, 1), make(chan struct{})
	go func() { reported <- h.localState(id) }()
	go func() {
		defer close(read)
		for !t.mu.TryLock() {
			continue
		}
		defer t.mu.Unlock()
		t.core.Step(h.now(), sched.Submit{Spec: flow.Spec{ID: id, Steps: []flow.Step{{Tasks: 1}}}})
		t.lastPoll = h.uptime.Now()
	}()
	time.Sleep(time.Millisecond)
	t.mu.Unlock()
	<-read
	return <-reported
}

// SyncReply returns the host's reply to another host that has received the final states of a term
// up to a sequence number.
func (h *Host) SyncReply(term int64, reported int) peer.SyncReply {
	return h.syncReply(peer.Sync{Term: term, Endings: reported})
}

// SyncPositionAfter returns up to where the host has received final states after a sync reply.
func (h *Host) SyncPositionAfter(r peer.SyncReply) (term int64, next int) {
	h.states.addFromLeader(r)
	return h.states.syncPosition()
}

// BlockCore keeps the leader's scheduler core busy until the returned function is called.
func (h *Host) BlockCore() func() {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	t.mu.Lock()
	return t.mu.Unlock
}

// AgentOf returns the host through which this leader sends the orders for a worker.
func (h *Host) AgentOf(worker string) string {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t == nil {
		return ""
	}
	return t.dispatcher.AgentOf(worker)
}

// KnownAgents lists the hosts that would send orders for this host if it led now.
func (h *Host) KnownAgents() []agent.Host {
	h.mu.Lock()
	clear(h.peersSeen)
	h.mu.Unlock()
	return h.possibleAgents()
}

// Counter returns the value of a counter.
func (h *Host) Counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// HandoverBoundsAfter returns the lease bounds that the host would begin a term with after it was
// told to succeed.
func (h *Host) HandoverBoundsAfter(m peer.AnnounceSuccessor) map[string]time.Duration {
	h.claimMu.Lock()
	defer h.claimMu.Unlock()
	h.handleSucceed(m)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handoverBounds
}

// LeaseBound returns how much longer the leader expects runs on a silent worker to go on, zero if it
// knows of none.
func (h *Host) LeaseBound(worker string) time.Duration {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	if t == nil {
		return 0
	}
	return t.successionMessage().Bounds[worker].Duration
}

// Claiming reports whether the host tries to begin a term.
func (h *Host) Claiming() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claiming
}

// ChooseStandby returns the standby that a leader chooses among these hosts, and how many allocations
// that takes.
func ChooseStandby(seen map[string]HostInfo) (name string, allocs float64) {
	at := time.Unix(2000, 0)
	h := &Host{cfg: Settings{Name: "leader"}, now: func() time.Time { return at }, peersSeen: map[string]hostInfo{
		"leader": {power: 9, at: at}, "gone": {power: 9, at: at.Add(-time.Hour)},
	}}
	for n, s := range seen {
		h.peersSeen[n] = hostInfo{power: s.Power, began: s.Began, at: at}
	}
	return h.chooseStandby(), testing.AllocsPerRun(10, func() { h.chooseStandby() })
}

// EarlyCancels are the cancellations of unknown jobs that a host has stored.
type EarlyCancels struct{ *earlyCancels }

// NewEarlyCancels returns an empty list of cancellations that are kept for that long.
func NewEarlyCancels(keep time.Duration) EarlyCancels {
	return EarlyCancels{newEarlyCancels(keep)}
}

// Take adds the cancellation of a job unless the limit is reached. It returns whether it is, and when
// there is room again.
func (e EarlyCancels) Take(now time.Time, limit int, id string) (wait time.Duration, full bool) {
	k := requestKey{id: id, cancels: true}
	if wait, full = e.full(now, limit, k); !full {
		e.add(now, k)
	}
	return wait, full
}

// FillEarlyCancels makes the host believe that it has stored its share of cancellations of unknown
// jobs.
func (h *Host) FillEarlyCancels() {
	for i := range h.maxEarlyCancels() {
		h.early.add(h.now(), requestKey{id: strconv.Itoa(i), cancels: true})
	}
}
