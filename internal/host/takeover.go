package host

import (
	"context"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
)

// Intervals and time limits of a takeover.
const (
	repairInterval   = 250 * time.Millisecond
	inventoryTimeout = time.Second
)

// rackLeader returns the live host that leads a rack according to this host's view. It is empty
// if no host of the failure domain is live.
func (h *Host) rackLeader(home cell.Home) string {
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
	return member.AssignEvenly(racks, live)[home.Rack]
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

// takeOver inherits the open jobs of the racks that this host leads, and gives up inherited jobs
// that have ended or that another host should lead.
func (h *Host) takeOver() {
	h.mu.Lock()
	open := h.jobs.log.OpenJobs()
	h.mu.Unlock()
	h.jobs.transferMu.RLock()
	defer h.jobs.transferMu.RUnlock()
	var mine []job.Spec
	for _, s := range open {
		home, err := cell.ParseHome(s.ID)
		if err != nil || home.Domain != h.cfg.Domain {
			continue
		}
		if h.leaderOf(s.ID) == h.cfg.Name && !h.isBusy(s.ID) {
			mine = append(mine, s)
		}
	}
	h.leader.Inherit(mine)
	for _, id := range h.leader.AwaitingInventory() {
		h.mu.Lock()
		_, ended := h.jobs.log.End(id)
		h.mu.Unlock()
		if ended || h.leaderOf(id) != h.cfg.Name {
			h.leader.ForgetInherited(id)
		}
	}
}

// isBusy reports whether a job is being accepted here or handed over to another host.
func (h *Host) isBusy(id string) bool { return len(h.busyJobs([]string{id})) > 0 }

// busyJobs returns those of some jobs that are being accepted here or handed over to another
// host.
func (h *Host) busyJobs(ids []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var busy []string
	for _, id := range ids {
		_, handing := h.jobs.outgoing[id]
		if h.jobs.accepting[id] || handing {
			busy = append(busy, id)
		}
	}
	return busy
}

// repairJobs does the periodic work for jobs that change their leader, and writes outstanding
// records.
//
// If this host becomes ready after it has read the host list, it assigns the workers again. The
// list is not reported again while it stays the same, so a host without peers would never lead
// anything.
func (h *Host) repairJobs() {
	if ready := h.Ready(); ready != h.jobs.wasReady {
		h.jobs.wasReady = ready
		h.updateShares()
	}
	h.takeOver()
	h.handOverJobs()
	h.mu.Lock()
	unwritten := len(h.jobs.unwritten)
	h.mu.Unlock()
	if unwritten > 0 {
		h.writeUnwritten()
	}
}

// requestInventories asks all live peers of the failure domain what they hold and lead.
func (h *Host) requestInventories() {
	h.wg.Go(func() {
		q := h.leader.InventoryRequest()
		for _, name := range h.domainPeers() {
			h.wg.Go(func() { h.requestInventory(name, q) })
		}
	})
}

func (h *Host) requestInventory(name string, q lead.InventoryRequest) {
	ctx, cancel := context.WithTimeout(h.ctx, inventoryTimeout)
	defer cancel()
	var reply peer.InventoryReply
	m := peer.Inventory{From: h.cfg.Name, Jobs: q.Jobs, Waits: q.Waits, Keys: q.Keys}
	if err := h.peers.Ask(ctx, name, m, &reply); err != nil {
		return
	}
	for _, rec := range reply.Records {
		h.rememberRecord(rec)
	}
	c := lead.InventoryReply{Leads: reply.Leads, Waits: reply.Waits, Incarnations: reply.Incarnations}
	for _, w := range reply.Workers {
		v := lead.WorkerState{Worker: w.Name, Clock: w.Clock, Age: w.Age.Duration, Incarnation: w.Incarnation, Tasks: w.Tasks}
		for _, t := range w.Counted {
			v.Counted = append(v.Counted, lead.CountedTask(t))
		}
		c.Workers = append(c.Workers, v)
	}
	h.takeOver()
	h.leader.HandleInventory(name, q, c)
}

// handleInventory answers a peer's inventory request. Jobs that this host is about to lead or is
// handing over count as led. They are looked up before the leader is asked, so that a job that
// is accepted in between is already reported by the leader.
func (h *Host) handleInventory(m peer.Inventory) peer.InventoryReply {
	h.jobs.transferMu.RLock()
	defer h.jobs.transferMu.RUnlock()
	busy := h.busyJobs(m.Jobs)
	c := h.leader.Inventory(m.From, lead.InventoryRequest{Jobs: m.Jobs, Waits: m.Waits, Keys: m.Keys})
	reply := peer.InventoryReply{Leads: append(busy, c.Leads...), Waits: c.Waits, Incarnations: c.Incarnations}
	for _, v := range c.Workers {
		w := peer.InventoryWorker{Name: v.Worker, Clock: v.Clock, Age: cell.Duration{Duration: v.Age}, Incarnation: v.Incarnation, Tasks: v.Tasks}
		for _, t := range v.Counted {
			w.Counted = append(w.Counted, peer.CountedTask(t))
		}
		reply.Workers = append(reply.Workers, w)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, rec := range h.jobs.unwritten {
		reply.Records = append(reply.Records, rec)
	}
	return reply
}

// Leads reports whether this host leads a job and knows where its tasks are.
func (h *Host) Leads(id string) bool { return h.leader.Leads(id) }

// Held lists the workers that this host holds.
func (h *Host) Held() []string { return h.leader.Held() }

// Remembers reports whether this host knows that a job was accepted.
func (h *Host) Remembers(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.jobs.log.Spec(id)
	return ok
}
