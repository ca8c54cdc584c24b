package verbs

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/rattanshore/rattanshore/internal/edge/clock"
	"github.com/rattanshore/rattanshore/internal/edge/fleet"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/platform"
)

// logLines is how many log lines may wait to be written; more are dropped.
const logLines = 4096

// serveFleet runs a host on the platform until SIGTERM.
func serveFleet(ctx context.Context, settings setng.Fleet) error {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	meter := metrc.NewFleet()
	out := diode.NewWriter(os.Stdout, logLines, 0, meter.LogsDropped.Add)
	defer func() { _ = out.Close() }()
	log := zerolog.New(out).Level(settings.Level()).With().Timestamp().Str("host", settings.Host.ID).Logger()
	steady := clock.New()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go logReloads(ctx, &log)
	rows := store.NewClient(platform.NewStore(settings.Store, settings.Host.ID), &meter.Store)
	host := fleet.New(settings, &log, meter, steady.Now, rows, platform.NewWorkers(steady.Now), platform.NewDirectory(rows))
	ingress := platform.NewIngress(host.Front(), steady.Now)
	return host.Run(ctx, ingress, http.HandlerFunc(ingress.Ready))
}

// logReloads notes that the settings file has changed. Nothing in it can
// change while a host runs; what it says holds from the next start.
func logReloads(ctx context.Context, log *zerolog.Logger) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			logev.SettingsChanged.Log(log).Str("outcome", "in force from the next start").Send()
		}
	}
}
