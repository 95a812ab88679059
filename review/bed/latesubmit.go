package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"pollencroft/internal/store"
)

const (
	lateJob = 1 << 36
	// freezeFor is how long the host stands still, leaveAfter how long the consumer waits for the
	// answer before it leaves, cancelAfter how long after that it cancels the job.
	freezeFor   = 600 * time.Millisecond
	leaveAfter  = 300 * time.Millisecond
	cancelAfter = 50 * time.Millisecond
	stepWork    = 4 * time.Second
	// cancelBound is the bound cancel_ms.
	cancelBound = 3 * time.Second
)

// lateSubmit lets a host freeze that a consumer hands a job to. The consumer leaves without an answer
// and cancels the job at another host.
var lateSubmit = scenario{
	hosts: 3, minions: 8,
	work: func(task string) work {
		if strings.HasPrefix(task, jobID(lateJob)[:9]) {
			return work{takes: stepWork}
		}
		return work{takes: smallWork}
	},
	play: func(ctx context.Context, c *cell, trouble bool) ([]string, error) {
		stop := c.traffic(scanQueue, scanFirst, 300*time.Millisecond)
		pause(ctx, 3*time.Second)
		id := jobID(lateJob)
		first, second := c.followers()
		if first == nil || second == nil {
			return nil, fmt.Errorf("no host leads")
		}
		if trouble {
			c.record.note("DISTURBANCE: host %s freezes, 1 of %d, for %s", first.name, len(c.hosts), freezeFor)
			_ = first.cmd.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(freezeFor, func() {
				_ = first.cmd.Process.Signal(syscall.SIGCONT)
				c.record.note("host %s wakes", first.name)
			})
			pause(ctx, 50*time.Millisecond)
		}
		body, _ := json.Marshal(map[string]any{"spec": "pass", "steps": []step{
			{Count: 4, CPU: 1000, MemMb: 1000, EstimateMs: stepWork.Milliseconds()},
			{Count: 4, CPU: 1000, MemMb: 1000, EstimateMs: stepWork.Milliseconds(), After: []int{0}},
		}})
		c.callAt(ctx, first, leaveAfter, http.MethodPost, scanQueue, id, body)
		pause(ctx, cancelAfter)
		code, _ := c.callAt(ctx, second, timeLimit, http.MethodDelete, scanQueue, id, nil)
		acknowledged := time.Now()
		if code != http.StatusOK && code != http.StatusGone {
			return nil, fmt.Errorf("the cancel was answered with %d", code)
		}
		pause(ctx, 15*time.Second)
		stop()
		c.state(ctx, scanQueue, id)
		return c.afterCancel(id, acknowledged), nil
	},
}

// afterCancel checks the rule UNASKED: no task starts later than cancelBound after the cancelling was
// acknowledged.
func (c *cell) afterCancel(id string, acknowledged time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []string
	for task, all := range c.starts {
		for _, s := range all {
			if after := s.at.Sub(acknowledged); strings.HasPrefix(task, id+".") && after > cancelBound {
				found = append(found, fmt.Sprintf("task %s starts on %s %.1f s after the cancelling was acknowledged", task, s.minion, after.Seconds()))
			}
		}
	}
	return found
}

// followers returns two hosts that don't lead, as the hosts announce it in the store.
func (c *cell) followers() (first, second *host) {
	a, err := c.log.For("").Do(c.ctx, store.Call{Op: store.Newest, Topic: "lead"})
	if err != nil || len(a.Records) == 0 {
		return nil, nil
	}
	var lead struct{ Name string }
	if json.Unmarshal(a.Records[0].Value, &lead) != nil {
		return nil, nil
	}
	c.record.note("host %s leads", lead.Name)
	for _, h := range c.hosts {
		switch {
		case h.name == lead.Name:
		case first == nil:
			first = h
		default:
			second = h
		}
	}
	return first, second
}

// callAt makes one call at a host and waits for at most d.
func (c *cell) callAt(ctx context.Context, h *host, d time.Duration, method, prefix, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front.String()+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	return c.do(req, h)
}
