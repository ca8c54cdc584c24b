package verbs

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/rattanshore/rattanshore/internal/edge/entry"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/platform"
)

// errSettings marks every error found in a settings file.
var errSettings = setng.ErrInvalid

func (a *app) serveCommand() *cobra.Command {
	var file string
	var fleetMode bool
	cmd := &cobra.Command{
		Use:   "serve --config FILE",
		Short: "Run an entry host until SIGTERM, then stop gracefully",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if fleetMode {
				settings, problems, err := setng.LoadUsableFleet(file)
				if err != nil {
					return err
				}
				return serveFleet(cmd.Context(), settings, problems)
			}
			settings, err := setng.Load(file, os.Getenv)
			if err != nil {
				return err
			}
			if err := settings.RequireKeys(); err != nil {
				return err
			}
			return serve(cmd.Context(), settings)
		},
	}
	cmd.Flags().StringVar(&file, "config", "", "settings file")
	cmd.Flags().BoolVar(&fleetMode, "fleet", false, "schedule the workers of a platform, with all state in the platform's store")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func serve(ctx context.Context, settings setng.Settings) error {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stdout).Level(settings.Level()).With().Timestamp().Str("host", settings.Host.ID).Logger()
	limitMemory(settings.Machine)
	host, err := entry.New(settings, &log, platform.NewStore(settings.Platform.Table, settings.Host.ID))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	return host.Run(ctx)
}

func (a *app) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check settings files, and read or change the shared configuration"}
	cmd.AddCommand(a.configCheck(), a.configPrint(), a.configGet(), a.configSet(), a.configHistory())
	return cmd
}

func (a *app) configCheck() *cobra.Command {
	var fleetMode bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a host's settings file; 'document check' checks the operators' document",
		Args:  exactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if err := checkSettings(args[0], fleetMode); err != nil {
				return err
			}
			_, err := fmt.Fprintf(a.out, "%s is valid\n", args[0])
			return err
		},
	}
	cmd.Flags().BoolVar(&fleetMode, "fleet", false, "the file is for a host that serves with --fleet")
	return cmd
}

func checkSettings(file string, fleetMode bool) error {
	if fleetMode {
		_, err := setng.LoadFleet(file)
		return err
	}
	_, err := setng.Load(file, os.Getenv)
	return err
}

func (a *app) configPrint() *cobra.Command {
	return &cobra.Command{
		Use:   "print-defaults",
		Short: "Print a commented settings file that holds every default",
		Args:  exactArgs(0),
		RunE: func(*cobra.Command, []string) error {
			text, err := setng.Print(setng.Default())
			if err != nil {
				return errors.Wrap(err, "print defaults")
			}
			_, err = a.out.Write(text)
			return err
		},
	}
}
