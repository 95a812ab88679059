package commands

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"pollencroft/internal/entry"
	"pollencroft/internal/logs"
)

// settingsVariable holds the path of the settings file that the platform writes.
const settingsVariable = "POLLENCROFT_CONFIG"

func init() {
	var file string
	register(command{
		name: "entry", about: "run one entry host on the users' platform",
		flags: func(s *flaggy.Subcommand) {
			s.String(&file, "s", "settings", "settings file; without it "+settingsVariable+" names it")
		},
		run: func() error { return runEntry(file) },
	})
}

const (
	// collect is the collector's aim in percent: the host's live memory is a few
	// MiB, and collecting at twice that costs more processor than it saves memory.
	collect = 400
	// share is the part of the memory from which the collector works harder.
	share = 0.6
	// lastLines is how long a stop waits for its last lines to be read.
	lastLines = 200 * time.Millisecond
)

func runEntry(file string) error {
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	cfg, err := entry.Load(file)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collect)
	if cfg.Memory > 0 {
		debug.SetMemoryLimit(int64(share * float64(cfg.Memory<<20)))
	}
	w := logs.NewWriter(os.Stdout)
	defer w.Close(lastLines)
	var level slog.Level
	if err := level.UnmarshalText([]byte(cfg.Log)); err != nil {
		level = slog.LevelInfo
	}
	log := slog.New(logs.NewHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}), time.Now))
	h, err := entry.New(cfg, log, time.Now)
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
