package table

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"pollencroft/internal/cell"
)

// NoLimit marks a part of a share that is not bounded.
const NoLimit = math.MaxInt64

// Share is a part of a quota or limit: the capacity and the number of tasks that may be used. Parts
// that are not bounded are NoLimit; zero means that nothing may be used.
type Share struct {
	Capacity cell.Size `json:"room"`
	Tasks    int64     `json:"tasks"`
}

// Quota is what an organisation may use in the whole cell, split into shares of the failure domains. Shares
// holds what each domain may use now, Target what the newest edit gives it, if that differs. A zero
// part of Total means no limit. A domain whose share grows gets the rest only when every domain
// whose share shrinks has confirmed its smaller share: a domain that is cut off has not read the
// edit and still applies its old share, and both together would exceed the quota without anyone
// noticing. Unconfirmed lists the domains that have not confirmed yet.
type Quota struct {
	Organisation string           `json:"team"`
	Version      int64            `json:"version"`
	Total        Share            `json:"whole"`
	Domains      map[string]int64 `json:"domains"`
	Shares       map[string]Share `json:"shares"`
	Target       map[string]Share `json:"wanted,omitempty"`
	Unconfirmed  []string         `json:"unread,omitempty"`
}

// maxQuotaWeight bounds the weight of a domain, so that products stay in 64 bits for memory up to
// 2^40 bytes times a weight.
const maxQuotaWeight = 1000

// Check returns a cell.ValueError if the edit is invalid whatever its base version.
func (e QuotaEdit) Check() error {
	if e.Organisation == "" {
		return &cell.ValueError{Field: "team", Found: "empty", Allowed: "an organisation's name"}
	}
	if len(e.Domains) == 0 {
		return &cell.ValueError{Field: "domains", Found: "empty", Allowed: "a weight for each failure domain"}
	}
	for d, w := range e.Domains {
		if w < 0 || w > maxQuotaWeight || d == "" {
			return &cell.ValueError{Field: "domains." + d, Found: fmt.Sprint(w), Allowed: fmt.Sprintf("0 to %d", maxQuotaWeight)}
		}
	}
	for field, n := range map[string]int64{"tasks": e.Tasks, "room.cpu": e.Capacity.CPU, "room.mem": e.Capacity.Mem, "room.accel": e.Capacity.Accel} {
		if n < 0 {
			return &cell.ValueError{Field: field, Found: fmt.Sprint(n), Allowed: "at least 0"}
		}
	}
	if sumWeights(e.Domains) == 0 {
		return &cell.ValueError{Field: "domains", Found: "0 in all", Allowed: "at least one weight above 0"}
	}
	return nil
}

func sumWeights(weights map[string]int64) int64 {
	var n int64
	for _, w := range weights {
		n += w
	}
	return n
}

func (t *Table) foldQuotaEdit(e QuotaEdit, offset int64) Verdict {
	if old, ok := t.byID[e.ID]; ok {
		return old
	}
	j := Verdict{ID: e.ID, Accepted: true}
	old := t.Quotas[e.Organisation]
	if old.Version != e.Base {
		j = Verdict{ID: e.ID, Reason: fmt.Sprintf("quota is at version %d", old.Version)}
	} else if err := e.Check(); err != nil {
		j = Verdict{ID: e.ID, Reason: err.Error()}
	}
	t.recordVerdict(j)
	if j.Accepted {
		t.Quotas[e.Organisation] = old.next(e, offset)
	}
	return j
}

func (q Quota) next(e QuotaEdit, offset int64) Quota {
	n := Quota{
		Organisation: e.Organisation, Version: offset, Total: Share{Capacity: e.Capacity, Tasks: e.Tasks}, Domains: e.Domains,
		Target: splitShare(Share{Capacity: e.Capacity, Tasks: e.Tasks}, e.Domains), Shares: map[string]Share{},
	}
	unread := slices.Clone(q.Unconfirmed)
	for d, old := range q.Shares {
		if old != minShare(old, n.Target[d]) && !slices.Contains(unread, d) {
			unread = append(unread, d)
		}
	}
	slices.Sort(unread)
	n.Unconfirmed = unread
	if len(unread) == 0 {
		n.Shares, n.Target = n.Target, nil
		return n
	}
	for d, want := range n.Target {
		n.Shares[d] = minShare(q.Shares[d], want)
	}
	return n
}

// foldConfirmation records that a domain applies its smaller share. Only a confirmation of the
// newest version counts: an older version may have left the domain a larger share.
func (t *Table) foldConfirmation(s ShareConfirmation) {
	q, ok := t.Quotas[s.Organisation]
	if !ok || q.Version != s.Version || !slices.Contains(q.Unconfirmed, s.Domain) {
		return
	}
	q.Unconfirmed = slices.DeleteFunc(slices.Clone(q.Unconfirmed), func(d string) bool { return d == s.Domain })
	if len(q.Unconfirmed) == 0 {
		q.Shares, q.Target, q.Unconfirmed = q.Target, nil, nil
	}
	t.Quotas[s.Organisation] = q
}

func minShare(a, b Share) Share {
	return Share{
		Capacity: cell.Size{CPU: min(a.Capacity.CPU, b.Capacity.CPU), Mem: min(a.Capacity.Mem, b.Capacity.Mem), Accel: min(a.Capacity.Accel, b.Capacity.Accel)},
		Tasks:    min(a.Tasks, b.Tasks),
	}
}

func splitShare(whole Share, weights map[string]int64) map[string]Share {
	cpu, mem := divideByWeight(whole.Capacity.CPU, weights), divideByWeight(whole.Capacity.Mem, weights)
	accel, tasks := divideByWeight(whole.Capacity.Accel, weights), divideByWeight(whole.Tasks, weights)
	shares := make(map[string]Share, len(weights))
	for d := range weights {
		shares[d] = Share{Capacity: cell.Size{CPU: cpu[d], Mem: mem[d], Accel: accel[d]}, Tasks: tasks[d]}
	}
	return shares
}

// divideByWeight splits n by weight into whole numbers that add up to n. The remainder goes to the
// first names, in sorted order, that have a weight. Zero means no limit.
func divideByWeight(n int64, weights map[string]int64) map[string]int64 {
	all := sumWeights(weights)
	parts := make(map[string]int64, len(weights))
	left := n
	for d, w := range weights {
		if n == 0 && w > 0 {
			parts[d] = NoLimit
			continue
		}
		parts[d] = n/all*w + n%all*w/all
		left -= parts[d]
	}
	for _, d := range slices.Sorted(maps.Keys(weights)) {
		if left > 0 && weights[d] > 0 {
			parts[d]++
			left--
		}
	}
	return parts
}

// OrganisationShare returns what an organisation may use in a failure domain now, and false for an organisation without a
// quota.
func (t *Table) OrganisationShare(organisation, domain string) (Share, bool) {
	q, ok := t.Quotas[organisation]
	return q.Shares[domain], ok
}

// RowShare returns the share that a failure domain has of the row's limits, where domains are all
// failure domains of the cell. It returns false for a domain that the row does not name; such a
// domain gets nothing.
func (r Row) RowShare(domain string, domains []string) (Share, bool) {
	in := r.Domains
	if len(in) == 0 {
		in = domains
	}
	if !slices.Contains(in, domain) {
		return Share{}, false
	}
	weights := map[string]int64{}
	for _, d := range in {
		weights[d] = 1
	}
	return splitShare(Share{Capacity: r.Limits.Capacity, Tasks: r.Limits.Tasks}, weights)[domain], true
}

// Organisations returns all quotas, sorted by organisation.
func (t *Table) Organisations() []Quota {
	all := make([]Quota, 0, len(t.Quotas))
	for _, organisation := range slices.Sorted(maps.Keys(t.Quotas)) {
		all = append(all, t.Quotas[organisation])
	}
	return all
}

// UnconfirmedShares returns the confirmations that a failure domain still has to append.
func (t *Table) UnconfirmedShares(domain string) []ShareConfirmation {
	var all []ShareConfirmation
	for _, q := range t.Organisations() {
		if slices.Contains(q.Unconfirmed, domain) {
			all = append(all, ShareConfirmation{Organisation: q.Organisation, Version: q.Version, Domain: domain})
		}
	}
	return all
}
