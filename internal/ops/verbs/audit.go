package verbs

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/amount"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/audit"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/ops/setng"
	"github.com/rattanshore/rattanshore/internal/wire/record"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
	"github.com/rattanshore/rattanshore/platform"
)

// documentReadTimeout bounds each read of the version in force and of the workers.
const documentReadTimeout = 5 * time.Second

func (a *app) documentCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "document", Short: "Check the operators' document before it is sent"}
	cmd.AddCommand(a.documentCheck())
	return cmd
}

// documentFlags holds the flags of a check of a document.
type documentFlags struct {
	platform     bool
	against      string
	store        string
	strict       bool
	accelerators int
	widestGang   int
}

func (a *app) documentCheck() *cobra.Command {
	var f documentFlags
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check the operators' document; 'config check' checks a host's settings",
		Long: "Check the operators' document, as 'config set' sends it, or with --platform as the platform's store\n" +
			"holds it. The command changes nothing. It needs no host; if --operators or --store is given, the\n" +
			"document is also compared with the version in force and with the workers.\n\n" +
			"The exit code is 1 if there are errors, or warnings with --strict.",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return usageError("%v", err)
			}
			findings, err := a.auditDocument(cmd, data, f)
			if err != nil {
				return err
			}
			return a.showReport(audit.NewReport(args[0], findings), f.strict)
		},
	}
	flags := cmd.Flags()
	flags.BoolVar(&f.platform, "platform", false, "the file is the platform's document, in JSON")
	flags.StringVar(&f.against, "against", "", "file with the version in force, to compare with")
	flags.StringVar(&f.store, "store", "", "address of the platform's store, to compare with the version in force and the workers")
	flags.BoolVar(&f.strict, "strict", false, "fail on warnings too")
	flags.IntVar(&f.accelerators, "accelerators", 0, "accelerators of all workers, for the platform's document without --store")
	flags.IntVar(&f.widestGang, "widest-gang", 0, "accelerators that the widest gang needs, for the platform's document")
	return cmd
}

func (a *app) auditDocument(cmd *cobra.Command, data []byte, f documentFlags) ([]audit.Finding, error) {
	operators := cmd.Flags().Changed("operators")
	switch {
	case f.platform && operators:
		return nil, usageError("--operators does not apply to the platform's document; use --store")
	case !f.platform && (f.store != "" || f.accelerators != 0 || f.widestGang != 0):
		return nil, usageError("--store, --accelerators and --widest-gang need --platform")
	case f.accelerators < 0 || f.widestGang < 0:
		return nil, usageError("--accelerators and --widest-gang must not be negative")
	case f.platform:
		return auditPlatform(cmd.Context(), data, f)
	default:
		return a.auditShards(cmd.Context(), data, f, operators)
	}
}

// auditShards checks the product's document.
func (a *app) auditShards(ctx context.Context, data []byte, f documentFlags, operators bool) ([]audit.Finding, error) {
	document, tree, ok, findings := audit.ReadShards(data)
	if ok {
		findings = append(findings, audit.Shards(document, tree)...)
	}
	valid := !audit.NewReport("", findings).Fails(false)
	old, known, err := readVersion(f.against)
	if err != nil {
		return nil, err
	}
	if operators {
		workers, hosted, hasVersion, err := a.readHost(ctx)
		if err != nil {
			return nil, err
		}
		if valid {
			findings = append(findings, audit.Formable(document, tree, workers)...)
		}
		if !known {
			old, known = hosted, hasVersion
		}
	}
	if ok && known {
		findings = append(findings, audit.ShardDifferences(old, document, tree)...)
	}
	return findings, nil
}

// readVersion reads the version in force from a file; none is known if no file is
// given.
func readVersion(path string) (schema.ConfigDocument, bool, error) {
	if path == "" {
		return schema.ConfigDocument{}, false, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return schema.ConfigDocument{}, false, usageError("%v", err)
	}
	document, err := audit.ReadVersion(data)
	if err != nil {
		return schema.ConfigDocument{}, false, usageError("%s: %v", path, err)
	}
	return document, true, nil
}

// readHost reads the workers and the version in force from an entry host. A host
// without a configuration has no version.
func (a *app) readHost(ctx context.Context) ([]sched.Worker, schema.ConfigDocument, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, documentReadTimeout)
	defer cancel()
	client, err := a.operatorClient()
	if err != nil {
		return nil, schema.ConfigDocument{}, false, err
	}
	listed, err := client.ListWorkersWithResponse(ctx)
	if err != nil {
		return nil, schema.ConfigDocument{}, false, callError(err)
	}
	list, err := resultOf(listed.JSON200, listed.JSONDefault, listed.HTTPResponse, nil)
	if err != nil {
		return nil, schema.ConfigDocument{}, false, err
	}
	var workers []sched.Worker
	for _, w := range list.Workers {
		workers = append(workers, sched.Worker{ID: w.ID, Domain: w.Domain, Rack: w.Rack, Accelerators: w.Accelerators, Address: w.Address})
	}
	r, err := client.GetConfigWithResponse(ctx)
	if err != nil {
		return nil, schema.ConfigDocument{}, false, callError(err)
	}
	version, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
	if ExitCode(err) == ExitNotFound {
		return workers, schema.ConfigDocument{}, false, nil
	}
	return workers, version.Document, err == nil, err
}

// auditPlatform checks the platform's document.
func auditPlatform(ctx context.Context, data []byte, f documentFlags) ([]audit.Finding, error) {
	document, ok, findings := platform.ReadDocument(data)
	known := audit.Context{
		TotalAccelerators: f.accelerators,
		WidestGang:        record.Amount{Accelerators: f.widestGang},
		Reclaim:           setng.DefaultFleet().Bounds.Reclaim,
	}
	var old *rules.Config
	if f.store != "" {
		var err error
		if old, known.Capacity, err = readStore(ctx, f.store); err != nil {
			return nil, err
		}
	}
	if f.against != "" {
		content, err := os.ReadFile(f.against)
		if err != nil {
			return nil, usageError("%v", err)
		}
		against, readable, _ := platform.ReadDocument(content)
		if !readable {
			return nil, usageError("%s is not a document that hosts can read", f.against)
		}
		old = &against.Config
	}
	if !ok {
		return findings, nil
	}
	findings = append(findings, audit.Rules(document.Config, document, known)...)
	if old != nil {
		findings = append(findings, audit.Differences(*old, document.Config, document)...)
	}
	return findings, nil
}

// readStore reads the configuration in force, nil if there is none, and the
// capacity by target of the workers that stay.
func readStore(ctx context.Context, address string) (*rules.Config, map[string]record.Amount, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, usageError("address %q: %v", address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, documentReadTimeout)
	defer cancel()
	log := zerolog.Nop()
	directory := platform.NewDirectory(store.NewClient(platform.NewStore(parsed, "document-check"), &metrc.NewFleet().Store), &log)
	changes, err := directory.OperatorChanges(ctx, 0, 0)
	if err != nil {
		return nil, nil, errors.Mark(err, errUnreachable)
	}
	listed, _, err := directory.Workers(ctx, 0, 0)
	if err != nil {
		return nil, nil, errors.Mark(err, errUnreachable)
	}
	capacity := map[string]record.Amount{}
	for _, w := range listed.Changed {
		if !w.Draining {
			capacity[w.Target] = amount.Add(capacity[w.Target], w.Capacity)
		}
	}
	return changes.Config, capacity, nil
}

// showReport prints a report, and returns an error if the document should not be
// sent.
func (a *app) showReport(report audit.Report, strict bool) error {
	t := textTable{header: []string{"severity", "rule", "place", "path", "problem", "right"}}
	for _, f := range report.Findings {
		t.rows = append(t.rows, []string{
			string(f.Severity), f.Rule, fmt.Sprintf("%s:%d:%d", report.File, f.Place.Line, f.Place.Column), f.Place.Path, f.Problem, f.Want,
		})
	}
	if err := a.show(report, t); err != nil {
		return err
	}
	if a.output == "table" {
		_, _ = fmt.Fprintf(a.out, "errors %d, warnings %d, changes %d, notes %d, not listed %d\n",
			report.Errors, report.Warnings, report.Changes, report.Notes, report.Omitted)
	}
	if report.Fails(strict) {
		return errors.Newf("%s has errors %d, warnings %d", report.File, report.Errors, report.Warnings)
	}
	return nil
}
