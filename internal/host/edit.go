package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/attempts"
	"pollencroft/internal/operator"
	"pollencroft/internal/platform"
	"pollencroft/internal/table"
)

// Time limits for an operator's edit.
const (
	verdictTimeout = 5 * time.Second
	appendTimeout  = 2 * time.Second
	// editExpiry is how long an edit is remembered after its append, maxEdits how many are.
	editExpiry = 5 * time.Minute
	maxEdits   = 1000
)

// operatorTable gives operators access to this host's table.
type operatorTable struct{ h *Host }

// Lines lists the rows in force.
func (b operatorTable) Lines() []table.Line {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.h.table.Lines()
}

// Quotas lists the quotas in force.
func (b operatorTable) Quotas() []table.Quota {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.h.table.Organisations()
}

// History lists the latest edits with their verdicts.
func (b operatorTable) History() []table.HistoryEntry {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.h.table.History()
}

// Verdict returns the verdict on an edit, or false if this host has not read the edit.
func (b operatorTable) Verdict(id string) (table.Verdict, bool) {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.h.table.Verdict(id)
}

// Preview returns the reason why an edit would be void regardless of its base version.
func (b operatorTable) Preview(e table.Edit) error {
	b.h.mu.Lock()
	defer b.h.mu.Unlock()
	return b.h.table.Preview(e)
}

// Edit writes an edit and waits for its verdict.
func (b operatorTable) Edit(ctx context.Context, e table.Edit) (table.Verdict, error) {
	e.When = b.h.clock().UnixMilli()
	body, err := table.Encode(e)
	if err != nil {
		return table.Verdict{}, err
	}
	return b.h.publish(ctx, e.ID, body)
}

// EditQuota writes an edit of a quota and waits for its verdict.
func (b operatorTable) EditQuota(ctx context.Context, e table.QuotaEdit) (table.Verdict, error) {
	e.When = b.h.clock().UnixMilli()
	body, err := table.Encode(e)
	if err != nil {
		return table.Verdict{}, err
	}
	return b.h.publish(ctx, e.ID, body)
}

// ConfirmShare writes that a failure domain has settled, as stated by an operator.
func (b operatorTable) ConfirmShare(ctx context.Context, s table.ShareConfirmation) error {
	body, err := table.Encode(s)
	if err != nil {
		return err
	}
	_, err = b.h.platform.Append(ctx, table.Stream, body)
	return err
}

// publish appends a record and waits until this host has read it back. The log's answer may be
// lost after the write, so the verdict on the record decides, never the log's answer. Operators may
// send an edit again under its id, so it is refused only if no earlier append of it may be written.
func (h *Host) publish(ctx context.Context, id string, body []byte) (table.Verdict, error) {
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	h.edits.Begin(id)
	_, err := h.platform.Append(actx, table.Stream, body)
	if h.edits.End(id, appendOutcome(err)) == attempts.NotDone {
		return table.Verdict{}, err
	}
	return h.awaitVerdict(ctx, id)
}

func appendOutcome(err error) attempts.Outcome {
	var notWritten *platform.NotWrittenError
	switch {
	case err == nil:
		return attempts.Done
	case errors.As(err, &notWritten):
		return attempts.NotDone
	default:
		return attempts.Unknown
	}
}

func (h *Host) awaitVerdict(ctx context.Context, id string) (table.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	for {
		h.mu.Lock()
		j, ok := h.table.Verdict(id)
		changed := h.tableChanged
		h.mu.Unlock()
		if ok {
			return j, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return j, &operator.UnsureError{ID: id}
		}
	}
}
