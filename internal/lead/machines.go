package lead

import (
	"net/netip"

	"pollencroft/internal/cell"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
)

// Machine describes a worker as the host list has it.
type Machine struct {
	Name, Rack string
	Address    netip.AddrPort
	Size       cell.Size
}

// SetLedMachines replaces the set of workers that this host should lead.
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

// UpdateMachines updates the addresses and sizes of all workers of the failure domain, including
// those that other hosts lead. A job that was handed over may have tasks on another host's workers.
// Without the addresses, a stop could not be sent there and a cancelled job would stay unknown.
func (l *Leader) UpdateMachines(all []Machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range all {
		l.updateMachine(m)
	}
}

// updateMachine applies a worker's entry in the host list. A new size takes effect at once if the
// worker is led here. An invalid size counts as no capacity.
func (l *Leader) updateMachine(m Machine) {
	before, known := l.machines[m.Name]
	listed := m.Size
	if !(cell.Size{}).Fits(listed) || !listed.Fits(cell.MaxSize) {
		m.Size = cell.Size{}
	}
	l.machines[m.Name] = m
	if known && before.Size == m.Size {
		return
	}
	if m.Size != listed {
		l.Log.Warn("lead: size of a worker is invalid; it gets no work.", "worker", m.Name, "size", listed)
	}
	if !known {
		return
	}
	l.Log.Info("lead: worker resized.", "worker", m.Name, "size", m.Size, "before", before.Size)
	l.stepPlacement(place.WorkerResized{Worker: m.Name, Size: m.Size})
}
