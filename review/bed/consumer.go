package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	consumerHost = "jobs.example"
	// timeLimit is how long consumers wait, retries how often they ask again.
	timeLimit = 3 * time.Second
	retries   = 4
)

// step is a step of a job as consumers send it.
type step struct {
	Count         int   `json:"count"`
	CPU           int64 `json:"cpu"`
	MemMb         int64 `json:"memMb,omitempty"`
	EstimateMs    int64 `json:"estimateMs,omitempty"`
	After         []int `json:"after,omitempty"`
	SavesProgress bool  `json:"savesProgress,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	AntiAffinity  int   `json:"antiAffinity,omitempty"`
	Fills         bool  `json:"fills,omitempty"`
}

func jobID(n int) string { return fmt.Sprintf("5c0e%012x", n) }

// call makes one call at the host that the consumer's hash and the attempt select. The code is 0 if
// there was no answer.
func (c *cell) call(ctx context.Context, method, prefix, id string, attempt int, body []byte) (int, []byte) {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	h := c.hosts[(int(sum.Sum32()%uint32(len(c.hosts)))+attempt)%len(c.hosts)]
	return c.callAt(ctx, h, timeLimit, method, prefix, id, body)
}

// do makes a consumer's call.
func (c *cell) do(req *http.Request, h *host) (int, []byte) {
	req.Host = consumerHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.record.note("consumer: %s %s at %s: no answer: %v", req.Method, req.URL.Path, h.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	c.record.note("consumer: %s %s at %s: %d %s", req.Method, req.URL.Path, h.name, resp.StatusCode, b[:min(len(b), 120)])
	return resp.StatusCode, b
}

// submit hands a job in, again at another host after no answer or a refusal, and reports whether it
// was accepted.
func (c *cell) submit(ctx context.Context, prefix, id string, steps ...step) bool {
	body, _ := json.Marshal(map[string]any{"spec": "pass " + id, "steps": steps})
	if !steps[0].Fills {
		c.mu.Lock()
		c.cpu[id] = steps[0].CPU
		c.mu.Unlock()
	}
	for attempt := range 1 + retries {
		code, _ := c.call(ctx, http.MethodPost, prefix, id, attempt, body)
		if code == http.StatusOK {
			return true
		}
		pause(ctx, time.Second)
	}
	return false
}

// state returns a job's state, "gone" if it is told as not there, or "" without an answer after all
// retries.
func (c *cell) state(ctx context.Context, prefix, id string) string {
	for attempt := range 1 + retries {
		code, b := c.call(ctx, http.MethodGet, prefix, id, attempt, nil)
		switch code {
		case http.StatusOK:
			var got struct{ State string }
			if json.Unmarshal(b, &got) == nil {
				return got.State
			}
		case http.StatusGone:
			return "gone"
		}
		pause(ctx, 300*time.Millisecond)
	}
	return ""
}

// states asks for the states of several jobs, a few at a time.
func (c *cell) states(ctx context.Context, prefix string, jobs []string) map[string]string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all, slots := map[string]string{}, make(chan struct{}, 64)
	for _, id := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			state := c.state(ctx, prefix, id)
			mu.Lock()
			defer mu.Unlock()
			all[id] = state
		})
	}
	wg.Wait()
	return all
}

// traffic submits small jobs until stop is called, which returns those that were accepted.
func (c *cell) traffic(prefix string, first int, every time.Duration) (stop func() []string) {
	quit, done := make(chan struct{}), make(chan []string, 1)
	go func() {
		var all []string
		for n := first; ; n++ {
			if id := jobID(n); c.submit(c.ctx, prefix, id, step{Count: 2, CPU: 1000, MemMb: 1000, EstimateMs: 500}) {
				all = append(all, id)
			}
			select {
			case <-quit:
				done <- all
				return
			case <-c.ctx.Done():
				done <- all
				return
			case <-time.After(every):
			}
		}
	}()
	return func() []string {
		close(quit)
		return <-done
	}
}
