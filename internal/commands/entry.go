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

	"pollencroft/internal/entry"
	"pollencroft/internal/logs"
	"pollencroft/internal/uptime"
)

// settingsVariable is the environment variable that holds the path of the settings file
// written by the platform.
const settingsVariable = "POLLENCROFT_CONFIG"

func init() {
	var file string
	register(command{
		name: "entry", summary: "run one entry host on the users' platform",
		flags: func(s *flaggy.Subcommand) {
			s.String(&file, "s", "settings", "settings file; without it "+settingsVariable+" names it")
		},
		run: func() error { return runEntry(file) },
	})
}

const (
	// gcPercent is the garbage collector's target percentage. The host's live heap is only a
	// few MiB, so collecting each time it doubles would cost more CPU time than the memory
	// that it saves is worth.
	gcPercent = 400
	// memoryLimitShare is the fraction of the host's memory that is set as the
	// garbage collector's soft limit.
	memoryLimitShare = 0.6
	// logFlushTimeout is how long a stopping host waits until its remaining log lines are written
	// to standard output.
	logFlushTimeout = 200 * time.Millisecond
)

// flushOmissions logs how many lines were left out since the last report.
func flushOmissions(log *slog.Logger) {
	if h, ok := log.Handler().(*logs.Handler); ok {
		// A failure to write the log cannot be reported anywhere.
		_ = h.Flush(context.Background())
	}
}

func runEntry(file string) error {
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	cfg, err := entry.Load(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(cfg.Memory<<20)))
	}
	w := logs.NewWriter(os.Stdout)
	defer w.Close(logFlushTimeout)
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Log)); err != nil {
		level = slog.LevelInfo
	}
	handler := logs.NewHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), time.Now)
	handler.CountDropped(w)
	// pollencroft report tells hosts and failure domains apart by these attributes.
	log := slog.New(handler).With("hostname", cfg.Name, "domain", cfg.Domain)
	defer flushOmissions(log)
	h, err := entry.New(cfg, log, time.Now, uptime.New())
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	if err := h.Start(); err != nil {
		return err
	}
	for got := range signals {
		if got != syscall.SIGHUP {
			break
		}
		next, err := entry.Load(file)
		h.Reload(next, err)
	}
	h.Stop()
	return nil
}
