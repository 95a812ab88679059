package host

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
	"pollencroft/internal/lead"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/trail"
)

// Times of a takeover.
const (
	takeoverEvery = 250 * time.Millisecond
	censusWait    = time.Second
	handWait      = time.Second
)

// handed is a job on its way to another lead. It is not led here meanwhile:
// the other may have it already.
type handed struct {
	carry job.Carry
	to    string
}

// rackLead is the live host that leads a rack, as this host sees it; empty if
// no host of the failure domain is live.
func (h *Host) rackLead(home cell.Home) string {
	h.mu.Lock()
	live := h.members.LiveIn(home.Domain)
	h.mu.Unlock()
	if home.Domain == h.cfg.Domain && !h.Ready() {
		live = without(live, h.cfg.Name)
	}
	racks := h.racks(home.Domain)
	if !slices.Contains(racks, home.Rack) {
		first, _ := member.Rank(home.Rack, live)
		return first
	}
	return member.Share(racks, live)[home.Rack]
}

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// takeOver inherits the open jobs of the racks that this host leads, forfeits
// those that it only waits for and should not lead, and writes what is owed.
func (h *Host) takeOver() {
	h.mu.Lock()
	open := h.jobs.log.Open()
	h.mu.Unlock()
	h.jobs.transfer.RLock()
	defer h.jobs.transfer.RUnlock()
	var mine []job.Spec
	for _, s := range open {
		home, err := cell.ParseHome(s.ID)
		if err != nil || home.Domain != h.cfg.Domain {
			continue
		}
		if h.leadOf(s.ID) == h.cfg.Name && !h.busy(s.ID) {
			mine = append(mine, s)
		}
	}
	h.lead.Inherit(mine)
	for _, id := range h.lead.Waiting() {
		h.mu.Lock()
		_, ended := h.jobs.log.End(id)
		h.mu.Unlock()
		if ended || h.leadOf(id) != h.cfg.Name {
			h.lead.Forfeit(id)
		}
	}
}

// busy tells whether a job is being accepted here or handed to another host.
func (h *Host) busy(id string) bool { return len(h.busyOf([]string{id})) > 0 }

// busyOf are those of some jobs that are being accepted here or handed to another host.
func (h *Host) busyOf(ids []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var busy []string
	for _, id := range ids {
		_, handing := h.jobs.handing[id]
		if h.jobs.accepting[id] || handing {
			busy = append(busy, id)
		}
	}
	return busy
}

// repair is the regular work on jobs that change their lead.
//
// A host that becomes ready after it has read the host list shares the workers
// out anew: the list is not told again while it stays the same, and a host
// without peers would lead nothing for good.
func (h *Host) repair() {
	if ready := h.Ready(); ready != h.jobs.ready {
		h.jobs.ready = ready
		h.share()
	}
	h.takeOver()
	h.handOver()
	h.mu.Lock()
	owed := len(h.jobs.owed)
	h.mu.Unlock()
	if owed > 0 {
		h.payOwed()
	}
}

// askCensus asks all live peers of the domain what they hold and lead.
func (h *Host) askCensus() {
	h.wg.Go(func() {
		ids, waits := h.lead.Question()
		for _, name := range h.domainPeers() {
			h.wg.Go(func() { h.askOne(name, peer.Census{From: h.cfg.Name, Jobs: ids, Waits: waits}) })
		}
	})
}

func (h *Host) askOne(name string, m peer.Census) {
	ctx, cancel := context.WithTimeout(h.ctx, censusWait)
	defer cancel()
	asked := h.clock()
	var reply peer.CensusReply
	if err := h.peers.Ask(ctx, name, m, &reply); err != nil {
		return
	}
	for _, rec := range reply.Records {
		h.remember(rec)
	}
	c := lead.Census{Leads: reply.Leads, Waits: reply.Waits}
	for _, w := range reply.Workers {
		c.Views = append(c.Views, lead.View{Worker: w.Name, Clock: w.Clock, Age: w.Age.Duration, Tasks: w.Tasks})
	}
	h.takeOver()
	h.lead.Answered(name, asked, m.Jobs, c)
}

// census answers a peer's question. Jobs that this host is about to lead, or
// that are on their way to another lead, count as led. They are looked up first: a
// job that is accepted meanwhile is led when the lead is asked.
func (h *Host) census(m peer.Census) peer.CensusReply {
	h.jobs.transfer.RLock()
	defer h.jobs.transfer.RUnlock()
	busy := h.busyOf(m.Jobs)
	c := h.lead.Census(m.From, m.Jobs, m.Waits)
	reply := peer.CensusReply{Leads: append(busy, c.Leads...), Waits: c.Waits}
	for _, v := range c.Views {
		reply.Workers = append(reply.Workers, peer.CensusWorker{
			Name: v.Worker, Clock: v.Clock, Age: cell.Duration{Duration: v.Age}, Tasks: v.Tasks,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rec := range h.jobs.owed {
		reply.Records = append(reply.Records, rec)
	}
	return reply
}

// handOver gives jobs whose rack has another live lead to that host, with all
// that is known of them, so that it need not wait for any lease.
func (h *Host) handOver() {
	h.collect()
	h.sendHanded()
}

// collect stops leading the jobs that another live host should lead. It comes
// before the workers are given up: a host that loses its last worker has to
// take it that others took it for dead, and knows nothing of its jobs any more.
//
// One collects at a time: a planned stop that found the jobs already taken off
// the lead, but not yet noted as handed, would end the host under them.
func (h *Host) collect() {
	h.jobs.collecting.Lock()
	defer h.jobs.collecting.Unlock()
	to := map[string][]string{}
	for _, s := range h.lead.Open() {
		if name := h.nextLead(s.ID); name != "" && name != h.cfg.Name {
			to[name] = append(to[name], s.ID)
		}
	}
	for name, ids := range to {
		h.takeOff(name, ids)
	}
}

// takeOff stops leading some jobs and notes where they go.
func (h *Host) takeOff(to string, ids []string) {
	h.jobs.transfer.Lock()
	defer h.jobs.transfer.Unlock()
	carries := h.lead.HandOver(ids)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range carries {
		h.jobs.handing[c.Spec.ID] = handed{carry: c, to: to}
	}
}

// takeBack leads jobs again that their next lead refused.
func (h *Host) takeBack(carries []job.Carry) {
	h.jobs.transfer.Lock()
	defer h.jobs.transfer.Unlock()
	h.clearHanded(carries)
	if err := h.lead.Adopt(carries); err != nil {
		h.log.Warn("host: jobs wait for a census.", "jobs", len(carries), "err", err)
	}
}

// nextLead is the host that a job goes to. A host that stops before it has heard
// of any peer, as right after its start, offers its jobs to one that the settings
// name: with it would go all that is known of them, and they would have to wait
// for a census.
func (h *Host) nextLead(id string) string {
	name := h.leadOf(id)
	if h.Ready() || name != "" && name != h.cfg.Name {
		return name
	}
	near, _ := h.peersByDomain()
	first, _ := member.Rank(id, near)
	return first
}

func (h *Host) sendHanded() {
	to := map[string][]job.Carry{}
	h.mu.Lock()
	for _, one := range h.jobs.handing {
		to[one.to] = append(to[one.to], one.carry)
	}
	h.mu.Unlock()
	for name, carries := range to {
		h.sendTo(name, carries)
	}
}

// sendTo sends jobs to their next lead until it confirms. With its answer lost
// it may lead them already, so they stay put and are sent again: it passes
// over what it has. Is the host gone by then, the jobs need a census.
func (h *Host) sendTo(name string, carries []job.Carry) {
	ctx, cancel := context.WithTimeout(h.ctx, handWait)
	defer cancel()
	err := h.peers.Ask(ctx, name, peer.Handover{Jobs: carries, Notes: h.notesOf(carries)}, nil)
	var silent *peer.SilentError
	switch {
	case err == nil:
		h.clearHanded(carries)
	case errors.As(err, &silent):
		if !h.isLive(name) {
			h.clearHanded(carries)
		}
	case !h.Ready():
		// The next lead may hold no worker before this host has given up its own.
		h.log.Info("host: jobs wait for their next lead.", "to", name, "jobs", len(carries), "err", err)
	default:
		h.log.Warn("host: jobs not handed over.", "to", name, "jobs", len(carries), "err", err)
		h.takeBack(carries)
	}
}

// lastHandOver offers what a leaving host still has to the hosts that hold its
// workers by now. What nobody takes in time needs a census.
func (h *Host) lastHandOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*handWait)
	defer cancel()
	for h.handing() > 0 && ctx.Err() == nil {
		h.sendHanded()
		h.pause(takeoverEvery / 5)
	}
}

func (h *Host) handing() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.jobs.handing)
}

// Notes that go along with jobs that are handed over: a few a job, and not so
// many in all that looking them up holds up the hand-over.
const (
	notesAJob = 8
	notesMost = 400
)

func (h *Host) notesOf(carries []job.Carry) []trail.Note {
	var all []trail.Note
	for _, c := range carries {
		if len(all) < notesMost {
			all = append(all, h.trail.Brief(c.Spec.ID, notesAJob)...)
		}
	}
	return all
}

func (h *Host) clearHanded(carries []job.Carry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range carries {
		delete(h.jobs.handing, c.Spec.ID)
	}
}

func (h *Host) isLive(name string) bool {
	for _, n := range h.domainPeers() {
		if n == name {
			return true
		}
	}
	return false
}

// adopt takes jobs that a live lead hands over.
func (h *Host) adopt(m peer.Handover) error {
	h.mu.Lock()
	for _, c := range m.Jobs {
		if !h.jobs.log.Written(c.Spec.ID) {
			rec := joblog.Record{ID: c.Spec.ID, Spec: &c.Spec}
			h.jobs.log.Remember(rec)
			h.jobs.owed[rec.ID] = rec
		}
	}
	h.mu.Unlock()
	if err := h.lead.Adopt(m.Jobs); err != nil {
		return err
	}
	h.trail.Merge(m.Notes)
	return nil
}

// Leads tells whether this host leads a job and knows where its tasks are.
func (h *Host) Leads(id string) bool { return h.lead.Leads(id) }

// Held lists the workers that this host holds.
func (h *Host) Held() []string { return h.lead.Held() }

// Remembers tells whether this host knows of a job's acceptance.
func (h *Host) Remembers(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.jobs.log.Spec(id)
	return ok
}
