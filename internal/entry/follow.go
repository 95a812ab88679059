package entry

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/sched"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

const (
	// followReadWait is how long a read waits for records. It limits how long a connection that
	// no longer answers delays a new table, which has to be in force within two seconds.
	followReadWait = 1300 * time.Millisecond
	// followRetry is the pause after a failed read, followMinInterval the minimum time between
	// two reads that returned no records.
	followRetry       = 200 * time.Millisecond
	followMinInterval = 400 * time.Millisecond
)

// follow passes all records of a topic to read: first the newest record of each key, then new
// records as they arrive.
func (h *Host) follow(topic string, read func([]store.Record)) {
	for h.ctx.Err() == nil {
		all, from, err := store.ReadLatest(h.ctx, h.store, topic, 0)
		h.trackReadFailure(topic, from, err)
		if err != nil {
			sleep(h.ctx, followRetry)
			continue
		}
		read(all)
		h.noteTableRead(topic)
		h.followFrom(topic, from, read)
	}
}

// trackReadFailure logs when a topic can no longer be read and when it can be read again. What
// the host knows of the topic may be out of date by that time.
func (h *Host) trackReadFailure(topic string, from int64, err error) {
	h.mu.Lock()
	since, lost := h.failedSince[topic]
	switch {
	case err == nil:
		delete(h.failedSince, topic)
	case !lost:
		h.failedSince[topic] = h.now()
	}
	h.mu.Unlock()
	switch {
	case h.ctx.Err() != nil:
	case err == nil && lost:
		h.log.Info("follow: read again.", "topic", topic, "from", from, "after", h.now().Sub(since))
	case err != nil:
		h.incCounter("follow.failed." + topic)
		if !lost {
			h.log.Warn("follow: cannot be read.", "topic", topic, "from", from, "err", err)
		}
	}
}

// followFrom reads a topic from an offset on. It returns if a read fails or if records were deleted,
// so that the newest records have to be read.
func (h *Host) followFrom(topic string, from int64, read func([]store.Record)) {
	for h.ctx.Err() == nil {
		began := h.now()
		a, err := h.store.Do(h.ctx, store.Call{Op: store.Read, Topic: topic, From: from, Wait: followReadWait})
		var trimmed *store.TrimmedError
		if errors.As(err, &trimmed) {
			h.log.Info("follow: records were deleted, reading the topic again.", "topic", topic, "from", from, "first", trimmed.First)
			return
		}
		h.trackReadFailure(topic, from, err)
		if err != nil {
			// The newest record alone arrives sooner than all records since the last read.
			sleep(h.ctx, followRetry)
			return
		}
		if len(a.Records) > 0 {
			read(a.Records)
		}
		h.noteTableRead(topic)
		from += int64(len(a.Records))
		if len(a.Records) == 0 {
			// While the direct route is silent, reads do not wait for records.
			sleep(h.ctx, followMinInterval-h.now().Sub(began))
		}
	}
}

// noteTableRead notes that the table in force was the newest one a moment ago.
func (h *Host) noteTableRead(topic string) {
	if topic != platform.TableTopic {
		return
	}
	h.mu.Lock()
	h.tableReadAt = h.now()
	h.mu.Unlock()
}

// applyTable adopts the newest table. A table with a lower version than the one in force is a
// record that was read twice. It is ignored, so that the table never goes back.
func (h *Host) applyTable(all []store.Record) {
	for _, r := range all {
		if r.Key != platform.TableKey || len(r.Value) == 0 {
			continue
		}
		t, err := platform.ParseTable(r.Value)
		if err != nil {
			h.log.Error("table: record cannot be decoded.", "offset", r.Offset, "err", err)
			continue
		}
		h.setTable(&t)
	}
}

func (h *Host) setTable(t *platform.Table) {
	h.mu.Lock()
	old := h.table
	if old != nil && t.Version <= old.Version {
		h.mu.Unlock()
		if t.Version < old.Version {
			h.log.Info("table: older version ignored.", "version", t.Version, "have", old.Version)
		}
		return
	}
	h.table = t
	ownTerm := h.ownTerm
	h.mu.Unlock()
	metrics.GetOrRegisterGauge("table.version", h.metrics).Update(t.Version)
	h.log.Info("table: in force.", "version", t.Version, "queues", len(t.Routes), "organisations", len(t.Quotas))
	if len(t.Problems) > 0 {
		h.log.Warn("table: not all of it is in force.", "version", t.Version, "problems", len(t.Problems), "err", errors.Join(t.Problems[:min(len(t.Problems), maxLoggedProblems)]...))
	}
	if ownTerm != nil {
		ownTerm.step(queuesOf(t))
	}
}

// maxLoggedProblems is how many problems of a table one log line names.
const maxLoggedProblems = 5

func queuesOf(t *platform.Table) sched.Queues {
	ev := sched.Queues{Version: t.Version, Quotas: t.Quotas, Weights: t.Weights}
	for _, r := range t.Routes {
		ev.All = append(ev.All, r.Queue)
	}
	return ev
}

// leaderRecord announces the leader of a term.
type leaderRecord struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
	Term int64          `json:"term"`
}

const (
	// leaderTopic announces the leader to all hosts, in the record with the key leaderKey.
	leaderTopic = "lead"
	leaderKey   = "0"
)

func (h *Host) applyLeader(all []store.Record) {
	for _, r := range all {
		var l leaderRecord
		if r.Key != leaderKey || json.Unmarshal(r.Value, &l) != nil {
			continue
		}
		h.setLeader(l)
	}
}

func (h *Host) setLeader(l leaderRecord) {
	h.mu.Lock()
	if l.Term <= h.term {
		h.mu.Unlock()
		return
	}
	if l.Name != h.cfg.Name || h.ownTerm == nil {
		h.previousLeader = l.Name
	}
	h.switchLeader(l.Name)
	h.term = l.Term
	if _, ok := h.hosts[l.Name]; !ok && l.Addr.IsValid() {
		h.hosts[l.Name] = l.Addr
		h.sentHosts = nil
	}
	t := h.ownTerm
	h.mu.Unlock()
	if l.Name != h.cfg.Name && l.Addr.IsValid() {
		h.peers.SetAddr(l.Name, l.Addr)
	}
	h.log.Info("lead: new term announced.", "host", l.Name, "term", l.Term)
	if l.Name != h.cfg.Name {
		// The leader asks the policy service only through hosts that have contacted it. After a
		// power failure of all hosts none has, and work would wait for the next periodic sync.
		h.wg.Go(func() { h.syncWithLeader(l.Name) })
	}
	if t != nil && t.number < l.Term {
		t.end("a later term began")
	}
}

// switchLeader makes the host follow another leader. mu is held.
func (h *Host) switchLeader(name string) {
	if h.leader != "" && h.leader != name {
		// The change was not announced: the host that claimed believed that the leader was dead.
		at, previous := h.now(), h.leader
		h.leaderChanges = append(h.recentLeaderChanges(), at)
		if previous != h.cfg.Name {
			h.wg.Go(func() { h.verifyLeaderChange(at, previous) })
		}
	}
	h.leader, h.standby = name, ""
	h.leaderSince, h.unansweredSince, h.lastLateReply = h.now(), time.Time{}, time.Time{}
}

// announceRetry is the pause before an announcement without a reply is repeated.
const announceRetry = 300 * time.Millisecond

// announce tells all hosts that this one leads. It is repeated until it is stored, because a host
// that never receives it would ask the previous leader forever.
func (h *Host) announce(t *term) {
	l := leaderRecord{Name: h.cfg.Name, Addr: h.cfg.peerAddr(), Term: t.number}
	h.setLeader(l)
	b, err := json.Marshal(l)
	if err != nil {
		h.log.Error("lead: cannot be announced.", "err", err)
		return
	}
	c := store.Call{Op: store.Append, Topic: leaderTopic, Keyed: true, Records: []store.Record{{Key: leaderKey, Value: b}}}
	h.wg.Go(func() {
		for {
			_, err := h.store.Do(t.ctx, c)
			if err == nil || t.ctx.Err() != nil {
				return
			}
			h.log.Warn("lead: announcement not confirmed.", "term", t.number, "err", err)
			if !sleep(t.ctx, announceRetry) {
				return
			}
		}
	})
}
