package host

import (
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/caller"
	"pollencroft/internal/cell"
	"pollencroft/internal/settings"
)

// Memory costs of a caller's request, in bytes, and the time limit for reading its body.
const (
	// requestCost is the memory that a request takes besides its body.
	requestCost = 16 << 10
	// bodyCopies is how many copies of a body are in memory: as received and as forwarded.
	bodyCopies = 2
	// bodyReadTimeout limits the reading of a body. A caller that sends a byte now and then
	// would otherwise hold its part of the budget for good.
	bodyReadTimeout = 10 * time.Second
)

// budget limits the memory that callers' requests take in this host.
type budget struct {
	limit    int64
	mu       sync.Mutex
	reserved int64
	requests atomic.Int64
}

// classFraction is the fraction of the budget that requests up to a class may fill. The rest is
// reserved for more urgent work: a flood of bulk bodies must not block a scan.
var classFraction = map[cell.Class]float64{cell.Urgent: 1, cell.Normal: 0.75, cell.Bulk: 0.5}

// reserve reserves n bytes for a request of a class. It returns false if the request must be
// shed.
func (b *budget) reserve(class cell.Class, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.reserved+n) > classFraction[class]*float64(b.limit) {
		return false
	}
	b.reserved += n
	b.requests.Add(1)
	return true
}

func (b *budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= n
	b.requests.Add(-1)
}

// InFlight returns how many callers' requests this host is processing.
func (h *Host) InFlight() int64 { return h.budget.requests.Load() }

// admit accepts a caller's request, or sheds it before its body is read, so that it has not run
// anywhere. Without this limit a burst of large bodies would exhaust the memory of the process,
// and all work in flight would be lost.
func (h *Host) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 || size > h.cfg.Limits.Body {
			size = h.cfg.Limits.Body
		}
		size = requestCost + bodyCopies*size
		class := h.classOf(r)
		if !h.budget.reserve(class, size) {
			h.shed(w, class)
			return
		}
		defer h.budget.release(size)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
		next.ServeHTTP(w, r)
	})
}

// classOf returns the class of the row that the path names. Jobs and all other requests have
// small bodies and count as normal.
func (h *Host) classOf(r *http.Request) cell.Class {
	rest, ok := strings.CutPrefix(r.URL.Path, "/do/")
	if !ok {
		return cell.Normal
	}
	name, _, _ := strings.Cut(rest, "/")
	row, version := h.Row(name)
	if version == 0 {
		return cell.Bulk
	}
	return row.Urgency()
}

type shedBody struct {
	Error      string       `json:"error"`
	Outcome    cell.Outcome `json:"outcome"`
	Reason     string       `json:"reason"`
	RetryAfter float64      `json:"again"`
}

// shedRetryAfter is when the caller of a request that was shed may try again.
const shedRetryAfter = time.Second

func (h *Host) shed(w http.ResponseWriter, class cell.Class) {
	metrics.GetOrRegisterCounter("host.shed."+class.String(), h.metrics).Inc(1)
	w.Header().Set(caller.HeaderOutcome, string(cell.Refused))
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(shedRetryAfter.Seconds()))))
	w.Header().Set("Content-Type", "application/json")
	// The body has not been read, so the connection cannot carry another request.
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(shedBody{
		Error: http.StatusText(http.StatusServiceUnavailable), Outcome: cell.Refused,
		Reason: "host has no room for class " + class.String(), RetryAfter: shedRetryAfter.Seconds(),
	})
}

// boundedListener closes connections above a limit at once, so that the client tries another
// host. If they waited in the backlog, the host would look silent.
type boundedListener struct {
	net.Listener
	maxConns int64
	open     *atomic.Int64
	refused  metrics.Counter
}

func (h *Host) limitConns(ln net.Listener) net.Listener {
	return &boundedListener{
		Listener: ln, maxConns: orDefault(h.cfg.Limits.Conns, settings.DefaultConns), open: new(atomic.Int64),
		refused: metrics.GetOrRegisterCounter("host.conns.refused", h.metrics),
	}
}

func orDefault(n, or int64) int64 {
	if n > 0 {
		return n
	}
	return or
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxConns {
			return &boundedConn{Conn: conn, open: l.open}, nil
		}
		l.open.Add(-1)
		l.refused.Inc(1)
		_ = conn.Close()
	}
}

type boundedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// NetConn returns the wrapped connection, as tls.Conn does.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and makes room for another.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
