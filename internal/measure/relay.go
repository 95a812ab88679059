package measure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/host"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

// RelayBench is a failure domain of real hosts on loopback with one fast backend server, and the
// standard library's reverse proxy in front of the same server.
type RelayBench struct {
	Host, Proxy string
	cell        *standin.Cell
	hosts       []*host.Host
	proxy       *http.Server
	client      *http.Client
}

// Sizes of a RelayBench, and the time that its hosts have to become ready.
const (
	relayHosts   = 2
	relaySlots   = 256
	relayCallers = 64
	relayReady   = 5 * time.Second
)

// NotReadyError reports that the hosts of a RelayBench did not become ready in time.
type NotReadyError struct{}

func (e *NotReadyError) Error() string { return "bench: hosts did not become ready in time" }

// NewRelayBench starts a RelayBench, which Close stops.
func NewRelayBench() (*RelayBench, error) {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	users := standin.Deployment{Name: "one", Domains: []string{"nord"}, Hosts: []int{relayHosts}, Backends: 1, Slots: relaySlots}
	c, err := standin.NewCell(users, local, time.Now)
	if err != nil {
		return nil, err
	}
	b := &RelayBench{cell: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayCallers}}}
	if err := b.startProxy(c.Machines[0].Address); err != nil {
		return nil, err
	}
	if err := b.startHosts(local); err != nil {
		return nil, err
	}
	return b, b.waitReady()
}

func (b *RelayBench) startProxy(to netip.AddrPort) error {
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for proxy")
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to.String()})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: relayCallers}
	b.proxy = &http.Server{Handler: proxy, ReadHeaderTimeout: time.Second}
	b.Proxy = "http://" + ln.Addr().String()
	go func() { _ = b.proxy.Serve(ln) }()
	return nil
}

func (b *RelayBench) startHosts(local netip.AddrPort) error {
	var socks []host.Listeners
	var all []settings.Settings
	for i := range relayHosts {
		ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
		if err != nil {
			return err
		}
		socks = append(socks, ls)
		at := func(ln net.Listener) netip.AddrPort { return ln.Addr().(*net.TCPAddr).AddrPort() }
		all = append(all, settings.Settings{
			Name: fmt.Sprint("h", i), Domain: "nord", Platform: b.cell.Address,
			Listen: settings.Listen{Caller: at(ls.Caller), Operator: at(ls.Operator), Peer: at(ls.Peer)},
			Limits: settings.Limits{Body: settings.DefaultBody, Queue: settings.DefaultQueue, Deadline: settings.DefaultDeadline, DrainTimeout: settings.DefaultDrain},
		})
	}
	for i, cfg := range all {
		other := all[1-i]
		cfg.Peers = []settings.Peer{{Name: other.Name, Domain: other.Domain, Address: other.Listen.Peer}}
		h := host.New(cfg, slog.New(slog.DiscardHandler), time.Now)
		h.Start(socks[i])
		b.hosts = append(b.hosts, h)
	}
	b.Host = "http://" + all[0].Listen.Caller.String() + "/do/scan"
	ctx, cancel := context.WithTimeout(context.Background(), relayReady)
	defer cancel()
	return client.New(all[0].Listen.Operator, "", nil).SetRow(ctx, "scan", "", map[string]any{"class": "urgent"})
}

func (b *RelayBench) waitReady() error {
	for end := time.Now().Add(relayReady); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if b.post(b.Host, cell.NewID()) == nil {
			return nil
		}
	}
	return &NotReadyError{}
}

// StatusError reports that a request was answered with a status other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("bench: answered with status %d", e.Status) }

func (b *RelayBench) post(base, key string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, base+"/gate", bytes.NewReader([]byte("pass 7")))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return nil
}

// Rate sends n requests from the given number of concurrent callers, up to 64, and returns the
// number of answers a second. With keyed set, each request has an idempotency key.
func (b *RelayBench) Rate(base string, keyed bool, callers, n int) (float64, error) {
	var left atomic.Int64
	left.Store(int64(n))
	errs := make(chan error, callers)
	began := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				key := ""
				if keyed {
					key = cell.NewID()
				}
				if err := b.post(base, key); err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(began)
	select {
	case err := <-errs:
		return 0, err
	default:
		return float64(n) / took.Seconds(), nil
	}
}

// Close stops the hosts, the proxy and the backend server.
func (b *RelayBench) Close() {
	for _, h := range b.hosts {
		h.Kill()
	}
	_ = b.proxy.Close()
	b.client.CloseIdleConnections()
	b.cell.Close()
}
