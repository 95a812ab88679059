package host

import (
	"context"
	"time"

	"pollencroft/internal/platform"
	"pollencroft/internal/table"
)

const (
	// overdueAfter is how long the log's answer may be overdue before the read is repeated. The
	// read is repeated every rereadInterval.
	overdueAfter   = 500 * time.Millisecond
	rereadInterval = time.Second
	// maxAnswerDelay limits the first of these reads, so that a log that is slow for hours can
	// still be read.
	maxAnswerDelay = 30 * time.Second
)

type pageResult struct {
	page platform.Page
	err  error
}

// readPage reads one page of the table's log. Only followTable may call it.
//
// A request that is sent while the log is silent is never answered. When such a request was
// waited for until its time limit, which grew after each one, accepted edits came into force
// only after as much time again as the silence had lasted. So a read without an answer is
// repeated while the first one is still waited for, in case the log is only slow, and peers are
// asked for what they have read.
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
				h.log.Info("table: the log answers again.", "from", from, "after", h.clock().Sub(sent), "err", r.err)
			}
			return r.page, r.err
		case <-overdue.C:
			if rereads++; rereads == 1 {
				h.log.Warn("table: the log does not answer in time.", "from", from)
			}
			h.countTable("overdue")
			h.startTableCopy()
			h.wg.Go(func() {
				// The previous repetition is still in progress when the next one is sent, in
				// case answers take that long.
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
