package http1_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/http1"
)

func ExampleNew() {
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := http1.ReadBody(r, 16)
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		defer body.Release()
		_, _ = w.Write(body.Append(nil))
	}
	ln, err := http1.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		fmt.Println(err)
		return
	}
	srv := http1.New(http1.Limits{Conns: 10, Bytes: 1 << 20, Header: time.Second, Idle: time.Minute}, http1.Deps{
		Handler: http.HandlerFunc(handler), MaxHeader: func() int { return 16 << 10 }, Name: "echo",
		Metrics: metrics.NewRegistry(), Log: slog.New(slog.DiscardHandler), Now: time.Now,
	})
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	for _, text := range []string{"short", strings.Repeat("long", 10)} {
		resp, err := http.Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader(text))
		if err != nil {
			fmt.Println(err)
			return
		}
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		fmt.Printf("%d %s\n", resp.StatusCode, strings.TrimSpace(string(b)))
	}
	// Output:
	// 200 short
	// 413 body has more than 16 bytes
}
