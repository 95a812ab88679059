package entry

import (
	"net/netip"
	"time"
)

// Kill ends the host at once, as a signal that cannot be caught does.
func (h *Host) Kill() {
	h.mu.Lock()
	t := h.leading
	h.leaving = true
	h.mu.Unlock()
	h.cancel()
	if t != nil {
		t.mu.Lock()
		t.over = true
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
	_, leading := h.leadNow()
	return leading
}

// Sighting is what is known of another host's strength.
type Sighting struct {
	Power float64
	Began time.Time
}

// ByPower orders hosts as heirs.
func ByPower(seen map[string]Sighting) []string {
	all := map[string]sighting{}
	for n, s := range seen {
		all[n] = sighting{power: s.Power, began: s.Began}
	}
	return byPower(all)
}

// Heard is how many other hosts were heard of lately.
func (h *Host) Heard() int { return len(h.heirs()) }

// Know names the address of a peer.
func (h *Host) Know(name, addr string) { h.peers.Set(name, netip.MustParseAddrPort(addr)) }

// PatienceWith asks a host whether it leads, in vain, and returns the time that it
// was given for its answer.
func (h *Host) PatienceWith(name string) time.Duration {
	given := h.leadPatience(name)
	_, _ = h.askLead(name)
	return given
}

// StandsReady tells whether the host may be named to lead.
func (h *Host) StandsReady() bool { return h.candidate() }
