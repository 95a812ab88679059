package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"pollencroft/internal/standin/users"
)

// Limits of the store, as in the settings of the users' pages.
const (
	parts       = 16
	recordBytes = 262_144
	callBytes   = 2_097_152
	storeDelay  = 4 * time.Millisecond
)

// newStore returns the project's own log, with the limits of the pages on the size of appends.
func newStore(l *users.Log, r *recorder) *httptest.Server {
	l.Slow(storeDelay)
	log := l.Handler(func(*http.Request) string { return "host" })
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !strings.HasSuffix(req.URL.Path, "/log-append") {
			log.ServeHTTP(w, req)
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if most, total := sizes(body); most > recordBytes || total > callBytes {
			r.note("store: append to %s part %s refused with 400: largest record %d bytes of %d, call %d of %d",
				req.URL.Query().Get("topic"), req.URL.Query().Get("part"), most, recordBytes, total, callBytes)
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"reason":"size"}`))
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		log.ServeHTTP(w, req)
	}))
}

// sizes returns the size of the largest record of an append, and of all together.
func sizes(body []byte) (most, total int) {
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			return most, total
		}
		most, total = max(most, n), total+n
		body = body[4+n:]
	}
	return most, total
}

// Queues of the manifest, in the order of their priority.
const (
	scanQueue  = "/scan/"
	watchQueue = "/watch/"
	printQueue = "/print/"
)

// table is the manifest: three queues without a policy service.
func table() []byte {
	var routes []map[string]any
	for i, p := range []string{scanQueue, watchQueue, printQueue} {
		routes = append(routes, map[string]any{
			"name": strings.Trim(p, "/"), "host": consumerHost, "pathPrefix": p, "service": service, "priority": i,
			"maxAttempts": []int{3, 2, 4}[i], "stretch": 2, "targetLatencyMs": []int{250, 2500, 1200}[i],
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": 1, "routes": routes,
		"services": []map[string]any{{"name": service, "admissionCheck": false}},
		"limits":   map[string]any{"maxBodyBytes": 262_144},
	})
	return b
}
