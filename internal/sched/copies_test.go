package sched_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a task that lets its leases run out on a silent worker, although copies of it may
// run elsewhere, because its start there had no answer.
func TestUnansweredStartOnASilentWorkerIsCopied(t *testing.T) {
	b := newSimCell(t, 1)
	b.copies = true
	b.advance(100 * time.Millisecond)
	b.workers["w00"].silent = true
	b.submit("a", "scan", apart(1, time.Second))
	b.advance(100 * time.Millisecond)
	b.addWorkers("w7")
	b.advance(2 * time.Second)
	require.Len(t, b.starts, 1)
}
