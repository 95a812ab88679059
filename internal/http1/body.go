package http1

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// body is the body of a request. It ends bodies that make no progress.
type body struct {
	io.ReadCloser
	c *conn
	// until is the current deadline of reads.
	until time.Time
	// large means that the body may have more than FreeBytes, complete that all of it was read.
	large, complete bool
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if err := b.extend(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.complete = true
		b.c.pool.arrived(b.c)
	case err != nil:
		if evicted := b.c.pool.evicted(b.c); evicted != nil {
			err = evicted
		}
	}
	return n, err
}

// extend sets the deadline of reads by the progress so far.
func (b *body) extend() error {
	until := b.c.pool.stalledAt(b.c)
	if until.Equal(b.until) {
		return nil
	}
	b.until = until
	return errors.Wrap(b.c.SetReadDeadline(until), "set deadline")
}

// TooLargeError means that a body has more bytes than are allowed.
type TooLargeError struct{ Most int64 }

func (e *TooLargeError) Error() string {
	return "body has more than " + strconv.FormatInt(e.Most, 10) + " bytes"
}

// segmentSize is the size of the parts in which bodies are held. A body takes no more memory than has
// arrived of it, whatever length it declares.
const segmentSize = 8 << 10

var segments = sync.Pool{New: func() any { return new([segmentSize]byte) }}

// Body is a body that has arrived.
type Body struct {
	parts []*[segmentSize]byte
	n     int
}

// ReadBody reads the body of a request. A declared length above the limit is rejected before anything
// is read.
func ReadBody(r *http.Request, most int64) (*Body, error) {
	if r.ContentLength > most {
		return nil, &TooLargeError{Most: most}
	}
	b := &Body{}
	for {
		used := b.n % segmentSize
		if b.n == len(b.parts)*segmentSize {
			b.parts = append(b.parts, segments.Get().(*[segmentSize]byte))
		}
		n, err := r.Body.Read(b.parts[len(b.parts)-1][used:])
		b.n += n
		switch {
		case int64(b.n) > most:
			b.Release()
			return nil, &TooLargeError{Most: most}
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			b.Release()
			return nil, errors.Wrap(err, "read body")
		}
	}
}

// Len returns the number of bytes.
func (b *Body) Len() int { return b.n }

// Append appends the bytes to a slice.
func (b *Body) Append(to []byte) []byte {
	left := b.n
	for _, p := range b.parts {
		k := min(left, segmentSize)
		to = append(to, p[:k]...)
		left -= k
	}
	return to
}

// Release makes the memory available to other bodies.
func (b *Body) Release() {
	for _, p := range b.parts {
		segments.Put(p)
	}
	b.parts, b.n = nil, 0
}
