package entry

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
