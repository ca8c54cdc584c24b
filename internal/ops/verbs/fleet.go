package verbs

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/rattanshore/rattanshore/internal/edge/clock"
	"github.com/rattanshore/rattanshore/internal/edge/fleet"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/platform"
)

// logBufferLines is how many log lines may wait to be written; further ones
// are dropped and counted.
const logBufferLines = 4096

// serveFleet runs a host that schedules the platform's workers, until SIGTERM. problems
// describes settings that could not be used.
func serveFleet(ctx context.Context, settings setng.Fleet, problems []string) error {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	metrics := metrc.NewFleet()
	out := diode.NewWriter(os.Stdout, logBufferLines, 0, metrics.LogsDropped.Add)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).Level(settings.Level()).With().Timestamp().Str("host", settings.Host.ID).Logger()
	for _, problem := range problems {
		logev.SettingIgnored.Log(&log).Str("problem", problem).Send()
	}
	limitMemory(settings.Machine)
	steadyClock := clock.New()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go logReloadSignals(ctx, &log)
	stores := fleet.NewStores(platform.NewStore(settings.Store, settings.Host.ID), &log, &metrics.Store)
	host := fleet.New(settings, &log, metrics, steadyClock.Now, stores, platform.NewWorkers(steadyClock.Now), platform.NewDirectory(stores.Relayed, &log))
	ingress := platform.NewIngress(host.Frontend(), steadyClock.Now)
	return host.Run(ctx, ingress, http.HandlerFunc(ingress.Ready))
}

// limitMemory tells the runtime how much memory it may use, so that it collects garbage in
// time instead of letting the heap double.
func limitMemory(machine setng.Machine) {
	if limit := machine.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// logReloadSignals logs each SIGHUP, which announces a change of the settings
// file. A running host keeps its settings; the file takes effect at the next
// start.
func logReloadSignals(ctx context.Context, log *zerolog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			logev.SettingsChanged.Log(log).Str("outcome", "takes effect at the next start").Send()
		}
	}
}
