package commands

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"pollencroft/internal/host"
	"pollencroft/internal/settings"
	"pollencroft/internal/spans"
)

func init() {
	var file string
	register(command{
		name: "serve", summary: "run one entry host",
		flags: func(s *flaggy.Subcommand) { s.String(&file, "s", "settings", "settings file") },
		run:   func() error { return serve(file) },
	})
}

// memoryLimit is the garbage collector's soft limit. A host may use 256 MB, and the memory
// that callers can occupy is bounded well below this limit.
const memoryLimit = 224 << 20

func serve(file string) error {
	cfg, err := settings.Load(file)
	if err != nil {
		return err
	}
	done, err := spans.Export(cfg.Name, cfg.Trace.File, cfg.Trace.Endpoint)
	if err != nil {
		return err
	}
	defer done()
	ls, err := host.Listen(cfg.Listen)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(memoryLimit)
	h := host.New(cfg, logger(cfg.Log), time.Now)
	if err := h.LoadKeys(); err != nil {
		return err
	}
	h.Start(ls)
	return stopOnSignal(h, cfg.Limits.DrainTimeout)
}

// stopOnSignal begins a planned stop on the first signal and exits the process immediately on
// the second.
func stopOnSignal(h *host.Host, drain time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-h.Stopped():
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	// The second signal must end the process even if the planned stop hangs. The operating
	// system closes the open files and sockets.
	go func() {
		<-signals
		os.Exit(1)
	}()
	return h.Stop(ctx)
}

func logger(level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level))
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l}))
}
