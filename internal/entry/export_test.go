package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

// Kill ends the host at once, as a signal that cannot be caught does.
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

// Leading tells whether the host leads.
func (h *Host) Leading() bool {
	_, leading := h.currentLeader()
	return leading
}

// HostInfo is what is known of another host's strength.
type HostInfo struct {
	Power float64
	Began time.Time
}

// ByPower orders hosts as successors.
func ByPower(seen map[string]HostInfo) []string {
	all := map[string]hostInfo{}
	for n, s := range seen {
		all[n] = hostInfo{power: s.Power, began: s.Began}
	}
	return byPower(all)
}

// RecentHostCount is how many other hosts were heard of lately.
func (h *Host) RecentHostCount() int { return len(h.successors()) }

// SetPeerAddr names the address of a peer.
func (h *Host) SetPeerAddr(name, addr string) { h.peers.Set(name, netip.MustParseAddrPort(addr)) }

// WaitsForReply asks a host whether it leads, in vain, and tells whether its answer was
// waited for.
func (h *Host) WaitsForReply(name string) bool {
	_, err := h.askWhetherLeads(name)
	return !errors.As(err, new(*NoLeaderError))
}

// IsCandidate tells whether the host may be named to lead.
func (h *Host) IsCandidate() bool { return h.isCandidate() }

// Journal is the writer of progress.
type Journal struct{ *journal }

// NewJournal returns a writer whose term has claimed the partitions.
func NewJournal(t *testing.T, log store.Log, term int64, parts []int) *Journal {
	wg := &sync.WaitGroup{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return &Journal{newJournal(boundedLog{log, ctx}, slog.New(slog.DiscardHandler), wg, term, parts)}
}

// boundedLog ends calls with the test.
type boundedLog struct {
	log store.Log
	ctx context.Context
}

func (u boundedLog) Do(ctx context.Context, c store.Call) (store.Answer, error) {
	// A call that has no answer is given up, as a host does.
	ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	defer context.AfterFunc(u.ctx, cancel)()
	return u.log.Do(ctx, c)
}

// Append stores the records of an append.
func (b *Journal) Append(ctx context.Context, number int64, records []store.Record, patience time.Duration) error {
	return b.append(ctx, number, records, patience)
}

// Drop forgets a job.
func (b *Journal) Drop(ctx context.Context, id string) { b.drop(ctx, id) }

// JobsPart is the partition to which the host appends jobs first.
func (h *Host) JobsPart() int { return h.inbox.parts[0] }

// KnowsJob tells whether the host leads and knows the job.
func (h *Host) KnowsJob(id string) bool { return h.localState(id).Known }

// BeginTerm begins a term with nothing, as if the reading of what the store holds
// had begun at some time.
func (h *Host) BeginTerm(number int64, read time.Time) {
	h.newTerm(number, nil, nil, make([]int64, h.cfg.Parts), read)
}

// IsUncertain tells whether the lead leaves open whether there is a job.
func (h *Host) IsUncertain(id string) bool { return h.localState(id).Unsure }

// ResponseTimes knows how fast workers answer.
type ResponseTimes struct{ *responseTimes }

// NewResponseTimes returns one that knows nothing.
func NewResponseTimes() ResponseTimes { return ResponseTimes{newOrders()} }

// Timeout is how long to wait for a worker's answer.
func (o ResponseTimes) Timeout(incarnation string, now time.Time) time.Duration {
	return o.timeout(incarnation, now)
}

// Record notes an answer.
func (o ResponseTimes) Record(incarnation string, d time.Duration, now time.Time) {
	o.record(incarnation, d, now)
}

// SetLeaderName has the host take another one for the lead.
func (h *Host) SetLeaderName(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leader = name
}

// LearnLeader tells the host who leads, as the store's record does.
func (h *Host) LearnLeader(name string, addr netip.AddrPort, term int64) {
	h.setLeader(leaderRecord{Name: name, Addr: addr, Term: term})
}

// LeaderName is the host that this one takes for the lead.
func (h *Host) LeaderName() string {
	name, _ := h.currentLeader()
	return name
}

// NoteHost has the host hear of another one.
func (h *Host) NoteHost(name string, addr netip.AddrPort) {
	h.noteHost(peer.Sync{From: name, Addr: addr, Power: 1, Began: h.now()})
}

// UsesForPolicy tells whether the host, as the lead, has another one ask the policy service.
func (h *Host) UsesForPolicy(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.hosts[name]
	return h.ownTerm != nil && ok
}

// Standby is the host that the lead wants to lead if it dies, as this one knows it.
func (h *Host) Standby() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standby
}

// Follower is a host without a network that follows the operators' table and keeps its
// place in a group.
type Follower struct{ *Host }

// NewFollower returns a host that knows the others, takes lead for the lead, has direct as
// its own way to the store, and through for the way through a peer.
func NewFollower(t *testing.T, log *slog.Logger, name string, others []string, leader string, direct store.Log, through func(ctx context.Context, peer string, c store.Call) (store.Answer, error)) *Follower {
	h, err := New(Settings{Name: name, Parts: 1}, log, time.Now)
	require.NoError(t, err)
	for _, n := range others {
		h.hosts[n] = netip.AddrPort{}
	}
	h.leader = leader
	h.store = store.NewRouted(direct, &throughPeers{h, through}, time.Now, h.storeChanged)
	return &Follower{h}
}

// throughPeers asks the peers that a host would ask, another way than it would.
type throughPeers struct {
	h       *Host
	through func(ctx context.Context, peer string, c store.Call) (store.Answer, error)
}

func (p *throughPeers) Peers() []string { return relay{p.h}.Peers() }

func (p *throughPeers) Do(ctx context.Context, peer string, c store.Call) (store.Answer, error) {
	return p.through(ctx, peer, c)
}

// Run follows until the host is stopped.
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

// Version is the version of the table in force, 0 without one.
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

// FirstAccepting is the first host that says yes.
func FirstAccepting(ctx context.Context, hosts []string, ask func(ctx context.Context, name string) bool) string {
	return firstAccepting(ctx, hosts, ask)
}

// SpacedSample picks hosts that lie far from each other.
func SpacedSample(all []string, n int) []string { return spacedSample(all, n) }

// LoseLeader has the host, as its heir, notice that a lead's connection has ended.
func (h *Host) LoseLeader(name string) {
	h.mu.Lock()
	h.leader, h.standby = name, h.cfg.Name
	h.mu.Unlock()
	h.onPeerLost(name)
}

// IsProcessGone tells whether the host takes another one's process for gone.
func (h *Host) IsProcessGone(name string) bool { return h.isProcessGone(name) }

// NewWithTransport returns a host that reaches its peers by dial and the store by log, and is
// reached through ln. What it is asked passes before first.
func NewWithTransport(cfg Settings, log *slog.Logger, direct store.Log, dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error), ln net.Listener, before func(ctx context.Context)) (*Host, error) {
	h, err := New(cfg, log, time.Now)
	if err != nil {
		return nil, err
	}
	h.store = store.NewRouted(direct, relay{h}, time.Now, h.storeChanged)
	h.peers.Through(dial)
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

// StoreProgress has a lead store something, as it does for each job that goes on; false if the
// host does not lead.
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

// Name is the host's name.
func (h *Host) Name() string { return h.cfg.Name }

// SetHosts replaces the hosts that the host knows.
func (h *Host) SetHosts(all map[string]netip.AddrPort) { h.setHosts(all) }

// LeaderAlive asks the lead whether it leads, and tells whether it does or works nevertheless.
func (h *Host) LeaderAlive() bool {
	name, _ := h.currentLeader()
	leads, before := h.checkLeader(name)
	return leads || h.isLeaderAlive(before)
}

// KnowsFinalStates tells whether the host was told that all these jobs have ended.
func (h *Host) KnowsFinalStates(ids ...string) bool {
	for _, id := range ids {
		if _, ok := h.states.final(id); !ok {
			return false
		}
	}
	return true
}

// State is what the host tells another one of a job.
func (h *Host) State(id string) peer.StateReply { return h.localState(id) }

// StateDuringPoll has another host ask the lead for a job that it does not know, and the lead read
// the store and find the job as soon as its core is free. It returns the answer.
func (h *Host) StateDuringPoll(id string) peer.StateReply {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	t.mu.Lock()
	t.lastPoll = h.now().Add(-maxPollAge)
	reported, read := make(chan peer.StateReply, 1), make(chan struct{})
	go func() { reported <- h.localState(id) }()
	go func() {
		defer close(read)
		for !t.mu.TryLock() {
			continue
		}
		defer t.mu.Unlock()
		t.core.Step(h.now(), sched.Submit{Spec: flow.Spec{ID: id, Steps: []flow.Step{{Tasks: 1}}}})
		t.lastPoll = h.now()
	}()
	time.Sleep(time.Millisecond)
	t.mu.Unlock()
	<-read
	return <-reported
}

// SyncReply is what the host answers to another one that was told final states of a term.
func (h *Host) SyncReply(term int64, reported int) peer.SyncReply {
	return h.syncReply(peer.Sync{Term: term, Endings: reported})
}

// SyncPositionAfter is up to where the host was told final states, after an answer to its sync.
func (h *Host) SyncPositionAfter(r peer.SyncReply) (term int64, next int) {
	h.states.addFromLeader(r)
	return h.states.syncPosition()
}

// BlockCore keeps the lead's core busy until the returned function is called.
func (h *Host) BlockCore() func() {
	h.mu.Lock()
	t := h.ownTerm
	h.mu.Unlock()
	t.mu.Lock()
	return t.mu.Unlock
}

// FinalStates are the final states of a term.
type FinalStates struct{ finalStates }

// Add adds one.
func (e *FinalStates) Add(id string, state flow.State, now time.Time) { e.add(id, state, now) }

// From returns jobs by state from a number on.
func (e *FinalStates) From(n int) (map[flow.State][]string, int) { return e.from(n) }

// Drop forgets old ones.
func (e *FinalStates) Drop(before time.Time) { e.drop(before) }
