package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRefused has the store go down in two steps, as a process does that stops and comes back: it gives no
// answers, and after that it refuses appends for a while. Of the writes without an answer the first one of each
// job is carried out. Consumers hand in one job each meanwhile, and do not repeat what is refused.
func playRefused(program string, rec *record, trouble bool) (verdict, error) {
	const (
		silence  = 1150 * time.Millisecond
		refusing = 2500 * time.Millisecond
		work     = 2 * time.Second
		body     = `{"spec":"badges","steps":[{"count":8,"cpu":500,"memMb":256,"estimateMs":2000}]}`
		// first and gap are when the consumers send, from the beginning of the outage.
		first, gap = 420 * time.Millisecond, 50 * time.Millisecond
	)
	c, err := newCell(program, 7, 48, func(string) time.Duration { return work }, rec)
	if err != nil {
		return notRun, err
	}
	defer c.close()
	time.Sleep(3 * time.Second)
	began := time.Now()
	lost := &lostWrites{jobs: map[string]bool{}}
	if trouble {
		c.takeStoreDown(silence, refusing, lost)
	}
	codes := make([]int, len(c.hosts))
	var wg sync.WaitGroup
	for i, h := range c.hosts {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(first + time.Duration(i)*gap)))
			codes[i], _ = c.call(h, http.MethodPost, jobID(i), body, 3*time.Second)
		})
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	if trouble {
		rec.add("store: %d of %d appends without an answer were carried out", lost.done, lost.all)
	}
	wrong, ran := 0, 0
	for i, code := range codes {
		begun, _ := c.hist.count(jobID(i))
		rec.add("job %s: its only attempt was answered %d, and %d of its tasks have started", jobID(i), code, begun)
		if begun > 0 {
			ran++
		}
		if (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) && begun > 0 {
			wrong++
		}
	}
	rec.add("rule REFUSED: %d of %d jobs were rejected and have run", wrong, len(codes))
	switch {
	case wrong > 0:
		return broken, nil
	case !trouble && ran < len(codes):
		return notRun, fmt.Errorf("without trouble only %d of %d jobs have run", ran, len(codes))
	default:
		return held, nil
	}
}

// lostWrites are the appends that have no answer. Those that are the first of their job are carried out.
type lostWrites struct {
	jobs      map[string]bool
	done, all int
}

// decide is called under the lock of the rule.
func (l *lostWrites) decide(r *http.Request, body []byte) fault {
	if !isAppend(r) {
		return silent
	}
	l.all++
	// The key of a record follows its length and the length of the key.
	const keyAt, keyEnd = 5, 5 + 16
	if !isTopic(r, "jobs") || len(body) < keyEnd || l.jobs[string(body[keyAt:keyEnd])] {
		return silent
	}
	l.jobs[string(body[keyAt:keyEnd])] = true
	l.done++
	return lost
}

// takeStoreDown leaves all calls without an answer for a time. After that the store refuses appends and serves
// all other calls for a time.
func (c *cell) takeStoreDown(silence, refusing time.Duration, l *lostWrites) {
	c.rec.add("store: gives no answers for %s", silence)
	c.rule.set(l.decide)
	time.AfterFunc(silence, func() {
		c.rec.add("store: answers again, and refuses appends for %s", refusing)
		c.rule.set(func(r *http.Request, _ []byte) fault {
			if isAppend(r) {
				return busy
			}
			return served
		})
	})
	time.AfterFunc(silence+refusing, func() {
		c.rec.add("store: serves")
		c.rule.set(nil)
	})
}
