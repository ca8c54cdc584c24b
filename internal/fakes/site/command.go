package site

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
)

// Command returns the command standin, which runs the fakes of a platform.
func Command() *cobra.Command {
	var layout Layout
	var listen, domains string
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform, its workers and its targets",
		Args:  cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return err
			}
			layout.Domains = strings.Split(domains, ",")
			return run(layout, address)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7300", "address of the store; port 0 for any")
	flags.StringVar(&domains, "domains", "domain-a,domain-b,domain-c,domain-d", "failure domains, separated by commas")
	flags.IntVar(&layout.Workers, "workers", 50, "number of workers")
	flags.IntVar(&layout.Accelerators, "accelerators", 8, "accelerators of each worker")
	flags.IntVar(&layout.WorkersPerRack, "rack", 6, "workers in a rack")
	flags.IntVar(&layout.Targets, "targets", 50, "number of targets")
	flags.IntVar(&layout.Slots, "slots", 8, "slots of each target")
	flags.BoolVar(&layout.RejectStale, "guards", true, "workers refuse stale epochs and expired deadlines")
	return cmd
}

func run(layout Layout, address netip.AddrPort) error {
	s, err := New(layout, address)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf("table %s\n", s.Address())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
