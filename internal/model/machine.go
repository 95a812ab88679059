package model

import (
	"strconv"
	"time"

	"pollencroft/internal/lease"
)

// machine models a worker with the rules of the stand-in platform: it keeps an
// anchor and task leases, and refuses a start only if the deadline of the start
// has passed. It has capacity for one task; a second task is a violation that the
// checker looks for.
type machine struct {
	name   string
	holder string
	until  time.Time
	lease  int
	tasks  map[string]time.Time
	// violation describes the latest violation of an invariant on this worker.
	violation string
}

// skew is how far the clocks of the workers are ahead of those of the hosts.
const skew = 5 * time.Hour

func (m *machine) dropExpired(now time.Time) {
	for id, until := range m.tasks {
		if !until.After(now) {
			delete(m.tasks, id)
		}
	}
}

func (m *machine) reading(now time.Time) lease.Reading {
	r := lease.Reading{Clock: now.Add(skew), Remaining: m.until.Sub(now), Lease: strconv.Itoa(m.lease), Full: true}
	for id := range m.tasks {
		r.Tasks = append(r.Tasks, lease.Task{ID: id, Lease: id, Job: jobOf(id), State: "running"})
	}
	return r
}

// answer carries out a request and returns the answer to it.
func (m *machine) answer(now time.Time, q message) message {
	m.dropExpired(now)
	held := m.until.After(now)
	switch q.kind {
	case "take":
		if held && m.holder != q.holder {
			q.refused, q.reading.Remaining = true, m.until.Sub(now)
			return q
		}
		m.lease++
		m.holder, m.until = q.holder, now.Add(q.ttl)
		q.reading = m.reading(now)
	case "renew":
		if !held || m.holder != q.holder {
			q.refused = true
			return q
		}
		m.until = now.Add(q.ttl)
		for id := range m.tasks {
			m.tasks[id] = now.Add(q.taskTTL)
		}
		q.reading = m.reading(now)
	case "give":
		if m.holder == q.holder && strconv.Itoa(m.lease) == q.lease {
			m.holder, m.until = "", time.Time{}
		}
	case "start":
		m.start(now, &q)
	}
	return q
}

func (m *machine) start(now time.Time, q *message) {
	if !q.deadline.IsZero() && now.Add(skew).After(q.deadline) {
		q.late = true
		return
	}
	if m.until.After(now) && m.holder != q.holder {
		m.violation = "start of " + q.task + " ran after another host took " + m.name
	}
	m.tasks[q.task] = now.Add(q.ttl)
	if len(m.tasks) > 1 {
		m.violation = m.name + " was overfilled by " + q.task
	}
}
