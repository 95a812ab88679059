package entry

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/access"
	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/platform"
)

// provenAbsentAge is the age up to which the table proves that there is no such key or route. While
// the store answers, the table is read every followReadWait.
const provenAbsentAge = followReadWait + 700*time.Millisecond

// tableAge returns how long ago the store last told this host that its table is the newest.
func (h *Host) tableAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now().Sub(h.tableReadAt)
}

// organisationOf returns the organisation on whose behalf a request is made; empty for a public
// route. If it is not known, it answers the request and returns false.
func (h *Host) organisationOf(w http.ResponseWriter, r *http.Request, t *platform.Table, route platform.Route) (string, bool) {
	if route.Public {
		return "", true
	}
	age, organisation := h.tableAge(), ""
	key, err := access.ParseHeader(r.Header["Authorization"])
	if err == nil {
		limits := access.Limits{Refuse: provenAbsentAge, Trust: time.Duration(cmp.Or(h.cfg.Times.Trust, defaultTrust))}
		organisation, err = limits.Authorize(t.Callers, key, age, r.Method != http.MethodGet)
	}
	if err == nil {
		return organisation, true
	}
	var missing *access.MissingKeyError
	var stale *access.StaleTableError
	code, counter, shown := http.StatusUnauthorized, "access.unknown", key.String()
	switch {
	case errors.As(err, &missing):
		counter, shown = "access.missing", ""
	case errors.As(err, &stale):
		code, counter = http.StatusServiceUnavailable, "access.stale"
	}
	h.incCounter(counter)
	h.log.Info("access: not authorized.", "method", cut(r.Method), "queue", route.Queue.Name, "key", shown, "table", t.Version, "age", age, "err", err)
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	h.refuse(w, code, "", err.Error())
	return "", false
}

// acceptance is a job that this host accepted.
type acceptance struct {
	at           time.Time
	organisation string
}

// ownedByOther reports whether this host knows that the job belongs to an organisation that the
// caller does not act for.
func (h *Host) ownedByOther(id, organisation string) bool {
	if st, ok := h.states.final(id); ok {
		return !access.Owns(organisation, st.Organisation)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accepted[id]
	return ok && !access.Owns(organisation, a.organisation)
}

// QuotaError means that a step of a job can never start within its organisation's quota.
type QuotaError struct {
	Organisation, Resource string
	Step                   int
	// Needed is what a task needs, or all members of a gang together.
	Needed, Quota cell.Size
	Version       int64
}

func (e *QuotaError) Error() string {
	return fmt.Sprintf("can never run: step %d needs more %s than the quota of %s allows in table %d: %+v of %+v", e.Step, e.Resource, e.Organisation, e.Version, e.Needed, e.Quota)
}

// checkQuota returns a QuotaError if a task, or all members of a gang, need more than the
// organisation may have running.
func checkQuota(t *platform.Table, spec flow.Spec) error {
	q, ok := t.Quotas[spec.Organisation]
	if !ok {
		return nil
	}
	for i, st := range spec.Steps {
		if resource := st.QuotaNeed().Exceeds(q); resource != "" {
			return &QuotaError{Organisation: spec.Organisation, Resource: resource, Step: i, Needed: st.QuotaNeed(), Quota: q, Version: t.Version}
		}
	}
	return nil
}
