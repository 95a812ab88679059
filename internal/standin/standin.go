// Package standin simulates the platform, the workers and the backend servers for tests and the
// demo. Their faults are set over HTTP. The stand-ins accept every request that the real systems
// accept, and record violations. Tests and the demo count these records instead of relying on what
// the hosts report about themselves.
package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits for d or until the context is done.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
