package entry

import "time"

// moment is a point in time by the steady clock, which stands still while the machine is suspended,
// and by the uptime, which does not.
type moment struct {
	at     time.Time
	uptime time.Duration
}

func (h *Host) moment() moment { return moment{at: h.now(), uptime: h.uptime.Now()} }

// logSuspension logs for how long the machine was suspended since it last did.
func (h *Host) logSuspension() {
	h.uptime.Now()
	total := h.uptime.Suspended()
	h.mu.Lock()
	d, leader, term := total-h.suspended, h.leader, h.term
	h.suspended = total
	h.mu.Unlock()
	if d > 0 {
		h.incCounter("host.suspended")
		h.log.Warn("entry: machine was suspended.", "for", d, "lead", leader, "term", term)
	}
}
