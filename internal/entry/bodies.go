package entry

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/flow"
	"pollencroft/internal/http1"
	"pollencroft/platform"
)

// bodies decodes the bodies of submissions. Large ones are decoded one after the other, because each
// takes several times its size meanwhile.
type bodies struct {
	// turn holds the buffer for large bodies while none is being decoded.
	turn chan []byte
}

func newBodies() *bodies {
	b := &bodies{turn: make(chan []byte, 1)}
	b.turn <- nil
	return b
}

// read reads and decodes a submitted job.
func (b *bodies) read(ctx context.Context, r *http.Request, most int64, id string, q flow.Queue) (flow.Spec, error) {
	body, err := http1.ReadBody(r, most)
	if err != nil {
		return flow.Spec{}, err
	}
	defer body.Release()
	if body.Len() <= http1.FreeBytes {
		return platform.ParseJob(id, q, body.Append(nil))
	}
	select {
	case buf := <-b.turn:
		buf = body.Append(buf[:0])
		defer func() { b.turn <- buf }()
		return platform.ParseJob(id, q, buf)
	case <-ctx.Done():
		return flow.Spec{}, &http1.EvictedError{Held: int64(body.Len())}
	}
}

// refuseBody answers a submission that could not be read. Nothing of it was stored, but an earlier one of
// the same job may have been.
func (h *Host) refuseBody(w http.ResponseWriter, k requestKey, err error) {
	var large *http1.TooLargeError
	var evicted *http1.EvictedError
	var invalid *platform.BodyError
	code, reason := http.StatusBadRequest, "body ends too early"
	switch {
	case errors.As(err, &large):
		code, reason = http.StatusRequestEntityTooLarge, "body is too large"
	case errors.As(err, &evicted) && h.mayBeStored(k):
		h.refuseUnsure(w, k.id, err)
		return
	case errors.As(err, &evicted):
		code, reason = http.StatusServiceUnavailable, evicted.Error()
	case errors.As(err, &invalid):
		reason = invalid.Error()
	case http1.IsStalled(err):
		code, reason = http.StatusRequestTimeout, "body does not arrive"
	}
	h.refuse(w, code, k.id, reason)
}
