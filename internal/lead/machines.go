package lead

import (
	"net/netip"

	"pollencroft/internal/cell"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
)

// Machine is a worker as the host list describes it.
type Machine struct {
	Name, Rack string
	Address    netip.AddrPort
	Size       cell.Size
}

// SetLedMachines replaces the workers that this host should lead.
func (l *Leader) SetLedMachines(all []Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := make([]string, 0, len(all))
	for _, m := range all {
		l.updateMachine(m)
		names = append(names, m.Name)
	}
	l.stepLeases(lease.Wanted{Workers: names})
}

// UpdateMachines tells where all workers of the failure domain are, led here or not. A job
// that was handed over may have tasks on another host's workers; without their
// addresses a stop could never be sent, and a cancelled job would stay unknown.
func (l *Leader) UpdateMachines(all []Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range all {
		l.updateMachine(m)
	}
}

// updateMachine takes what the host list says of a worker now. Its size counts at once if it is led here;
// one that cannot be is no room.
func (l *Leader) updateMachine(m Machine) {
	before, known := l.machines[m.Name]
	listed := m.Size
	if !(cell.Size{}).Fits(listed) || !listed.Fits(cell.Largest) {
		m.Size = cell.Size{}
	}
	l.machines[m.Name] = m
	if known && before.Size == m.Size {
		return
	}
	if m.Size != listed {
		l.Log.Warn("lead: size of a worker cannot be; it gets no work.", "worker", m.Name, "size", listed)
	}
	if !known {
		return
	}
	l.Log.Info("lead: worker resized.", "worker", m.Name, "size", m.Size, "before", before.Size)
	l.stepPlacement(place.WorkerResized{Worker: m.Name, Size: m.Size})
}
