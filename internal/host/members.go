package host

import (
	"slices"

	"pollencroft/internal/cell"
	"pollencroft/internal/lead"
	"pollencroft/internal/member"
	"pollencroft/internal/platform"
	"pollencroft/internal/relay"
	"pollencroft/internal/share"
)

func (h *Host) memberStep(ev member.Event) {
	h.mu.Lock()
	acts := h.members.Step(h.clock(), ev)
	h.mu.Unlock()
	for _, a := range acts {
		switch a := a.(type) {
		case member.LiveChanged:
			h.log.Info("member: live hosts changed.", "live", a.Live)
			h.updateShares()
		}
	}
}

func (h *Host) domainMembers() ([]string, []member.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.members.LiveIn(h.cfg.Domain), h.members.Heartbeats()
}

// updateShares recomputes which slots and which workers this host may use.
func (h *Host) updateShares() {
	h.shareMu.Lock()
	defer h.shareMu.Unlock()
	// After a pause, the share state machine must see the current time before it is queried.
	h.shareStepLocked(share.Tick{})
	h.applyShares()
}

func (h *Host) applyShares() {
	h.mu.Lock()
	list := h.machines
	live := h.members.LiveIn(h.cfg.Domain)
	h.mu.Unlock()
	var servers []relay.Server
	var domainWorkers, workers []lead.Machine
	var names []string
	for _, m := range list {
		machine := lead.Machine{Name: m.Name, Rack: m.Rack, Address: m.Address, Size: m.Size}
		if m.Domain == h.cfg.Domain && m.Kind == cell.WorkerHost {
			names = append(names, m.Name)
			domainWorkers = append(domainWorkers, machine)
		}
		switch {
		case m.Domain != h.cfg.Domain:
		case m.Kind == cell.BackendHost && !m.Leaving:
			servers = append(servers, relay.Server{Name: m.Name, Address: m.Address, Slots: h.usableSlots(m.Name, m.Slots)})
		case m.Kind == cell.WorkerHost && !m.Leaving && h.leadsWorker(m):
			workers = append(workers, machine)
		}
	}
	h.relay.SetServers(servers)
	h.leader.UpdateMachines(domainWorkers)
	h.leader.SetDomain(names, without(live, h.cfg.Name))
	h.collectOutgoing()
	if !h.Ready() && h.outgoingCount() > 0 {
		workers = h.oneHeldWorker(domainWorkers)
	}
	h.leader.SetLedMachines(workers)
}

// oneHeldWorker returns one of the workers that a leaving host still holds. While this host
// holds a worker, no other host can complete an inventory for the jobs that it is handing over.
func (h *Host) oneHeldWorker(domainWorkers []lead.Machine) []lead.Machine {
	held := h.leader.Held()
	i := slices.IndexFunc(domainWorkers, func(m lead.Machine) bool { return slices.Contains(held, m.Name) })
	if i < 0 {
		return nil
	}
	return domainWorkers[i : i+1]
}

func (h *Host) leadsWorker(m platform.HostEntry) bool {
	return h.Ready() && h.rackLeader(cell.Home{Domain: m.Domain, Rack: m.Rack}) == h.cfg.Name
}
