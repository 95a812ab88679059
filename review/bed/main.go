// Command bed plays the scripted cases of the second review: it starts entry hosts as separate
// processes beside stand-ins for the store, the minions and the consumers, brings about the
// disruption of a case, and checks the rule from what the stand-ins saw.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notRun  = 2
	maxPlay = 112 * time.Second
)

// scenario plays one case in a running cell and returns how the rule was broken, or nothing.
type scenario struct {
	hosts, minions int
	work           func(task string) work
	play           func(ctx context.Context, c *cell, trouble bool) ([]string, error)
}

var scenarios = map[string]scenario{
	"large-job":     largeJob,
	"fills":         fills,
	"lasting-ended": lastingEnded,
	"late-submit":   lateSubmit,
	"watchers":      watchers,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/pollencroft", "program of the deploy file")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	sc, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(notRun)
	}
	os.Exit(run(sc, *program, *record))
}

func run(sc scenario, program, record string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxPlay)
	defer cancel()
	r, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case begins, trouble %t", trouble)
	c, err := newCell(ctx, sc, program, r)
	defer c.close()
	if err != nil {
		r.note("cell did not start: %v", err)
		return notRun
	}
	found, err := sc.play(ctx, c, trouble)
	if err != nil || ctx.Err() != nil {
		r.note("case could not run to its end: %v %v", err, ctx.Err())
		return notRun
	}
	if len(found) == 0 {
		r.note("RESULT: the rule held")
		return held
	}
	slices.Sort(found)
	r.note("RESULT: the rule was broken: %s", strings.Join(found, "; "))
	return broken
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// await waits until done returns true, for at most d.
func await(ctx context.Context, d time.Duration, done func() bool) bool {
	for until := time.Now().Add(d); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, 20*time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}
