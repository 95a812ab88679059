// Command standin plays a case of the review: it starts the project's program as separate processes
// beside stand-ins of the platform, the minions and the consumers.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the result of a case, and the exit code.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// play plays a case, with its disruption or without.
type play func(program string, rec *record, trouble bool) (verdict, error)

var cases = map[string]play{
	"ends":    playEnds,
	"refused": playRefused,
}

func main() { os.Exit(int(playCase())) }

func playCase() verdict {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return notRun
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return notRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	v, err := f(os.Args[2], rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("case: cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		v = notRun
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	return v
}

// stopWith ends the processes of a cell if the case takes too long or is told to stop.
func stopWith(c *cell) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-told:
		case <-time.After(maxTime):
		}
		c.close()
		_ = c.rec.close()
		os.Exit(int(notRun))
	}()
}
