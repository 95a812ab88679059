package host

import (
	"context"
	"time"

	"pollencroft/internal/platform"
	"pollencroft/internal/table"
)

const (
	// overdueAfter is how much later than asked for an answer of the log may come before the
	// read is made again, readAgain how often that is done.
	overdueAfter   = 500 * time.Millisecond
	rereadInterval = time.Second
	// maxAnswerDelay bounds the first of these reads: a log that is slow for hours is still read.
	maxAnswerDelay = 30 * time.Second
)

type pageResult struct {
	page platform.Page
	err  error
}

// readPage reads one readPage of the table's log; only followTable may call it.
//
// What is sent while the log is silent is never answered. Waited for to its end, and for longer
// after each such read, it kept edits that everyone was told of out of force for as long as the
// silence had been. So a read without an answer is made again, while the first is waited for in
// case the log is only slow, and peers are asked for what they have read.
func (h *Host) readPage(from int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(h.ctx, wait+maxAnswerDelay)
	defer cancel()
	got := make(chan pageResult)
	read := func(ctx context.Context, wait time.Duration) {
		page, err := h.platform.Read(ctx, table.Stream, from, wait)
		if ctx.Err() != nil {
			return
		}
		select {
		case got <- pageResult{page, err}:
		case <-ctx.Done():
		}
	}
	h.wg.Go(func() { read(ctx, wait) })
	sent, rereads := h.clock(), 0
	overdue := time.NewTimer(wait + overdueAfter)
	defer overdue.Stop()
	for {
		select {
		case r := <-got:
			if rereads > 0 {
				h.log.Info("table: log answers again.", "from", from, "after", h.clock().Sub(sent), "err", r.err)
			}
			return r.page, r.err
		case <-overdue.C:
			if rereads++; rereads == 1 {
				h.log.Warn("table: log does not answer in time.", "from", from)
			}
			h.countTable("overdue")
			h.startTableCopy()
			h.wg.Go(func() {
				// One is under way when the next is sent, for answers that take that long.
				ctx, cancel := context.WithTimeout(ctx, 2*rereadInterval)
				defer cancel()
				read(ctx, 0)
			})
			overdue.Reset(rereadInterval)
		case <-ctx.Done():
			return platform.Page{}, &platform.DownError{Reason: ctx.Err().Error()}
		}
	}
}
