// Package verbs implements the command line of rattanshore: one verb for each
// operation of the API, which sends the same calls as any other client, and the
// verbs that run an entry host and check its settings.
package verbs

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// The exit codes of rattanshore.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitNotRun      = 3
	ExitUnknown     = 4
	ExitNotFound    = 5
	ExitConflict    = 6
	ExitRefused     = 7
	ExitUnreachable = 8
	ExitBadSettings = 9
)

const exitCodeHelp = `
Exit codes:
  0  success
  1  failed for another reason
  2  wrong usage
  3  not run or not recorded; the answer says when to retry
  4  outcome unknown; the operation may have taken effect
  5  not found
  6  conflict: the version has changed, or the identifier is in use for other content
  7  refused: bad input, missing or wrong key, or a job that can never run
  8  the entry host could not be reached; nothing was sent
  9  the settings file is not valid`

// Sentinel errors that ExitCode maps to exit codes.
var (
	errUsage       = errors.New("wrong usage")
	errUnreachable = errors.New("entry host unreachable")
	errNoAnswer    = errors.New("no answer from the entry host")
)

// apiError is an error answer of an entry host.
type apiError struct {
	answer schema.Error
}

// Error returns the code, the message, and the time to retry at if there is one.
func (e apiError) Error() string {
	text := string(e.answer.Code) + ": " + e.answer.Message
	if !e.answer.ComeBackAt.IsZero() {
		text += "; retry at " + e.answer.ComeBackAt.Format("15:04:05.000")
	}
	return text
}

// app holds the output and the flags that all verbs share.
type app struct {
	out       io.Writer
	callers   string
	operators string
	key       string
	output    string
}

// operatorKeyVariable is the environment variable with the operators' key. Its value
// is read where it is used and is no default of a flag, since help shows those.
const operatorKeyVariable = "RATTANSHORE_OPERATOR_KEY"

// operatorKey returns the key that was given, or that of the environment.
func (a *app) operatorKey() string {
	return cmp.Or(a.key, os.Getenv(operatorKeyVariable))
}

// New returns the root command, which prints to out.
func New(out io.Writer) *cobra.Command {
	a := &app{out: out}
	root := &cobra.Command{
		Use:           "rattanshore",
		Short:         "Schedule multi-accelerator jobs and route requests under team guarantees",
		Long:          "Schedule multi-accelerator jobs and route requests under team guarantees.\n" + exitCodeHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Mark(err, errUsage) })
	flags := root.PersistentFlags()
	flags.StringVar(&a.callers, "callers", "127.0.0.1:7400", "address of an entry host for callers")
	flags.StringVar(&a.operators, "operators", "127.0.0.1:7401", "address of an entry host for operators")
	flags.StringVar(&a.key, "key", "", "operators' key; the default is the value of "+operatorKeyVariable)
	flags.StringVar(&a.output, "output", "table", "table or json")
	root.AddCommand(
		a.serveCommand(), a.submitCommand(), a.cancelCommand(), a.jobCommand(), a.callCommand(),
		a.domainCommand(), a.workerCommand(), a.teamCommand(), a.configCommand(), a.documentCommand(), a.hostsCommand(), a.explainCommand(),
		a.explainLateCommand(),
	)
	return root
}

// ExitCode returns the exit code for the error of a verb.
func ExitCode(err error) int {
	var api apiError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &api):
		return exitCodeOf(api.answer.Code)
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.Is(err, errNoAnswer):
		return ExitUnknown
	case errors.Is(err, errSettings):
		return ExitBadSettings
	default:
		return ExitFailed
	}
}

func exitCodeOf(code schema.ErrorCode) int {
	switch code {
	case schema.NotRun, schema.Unavailable:
		return ExitNotRun
	case schema.OutcomeUnknown:
		return ExitUnknown
	case schema.NotFound:
		return ExitNotFound
	case schema.DuplicateID, schema.VersionConflict:
		return ExitConflict
	case schema.BadRequest, schema.BodyTooLarge, schema.UnknownField, schema.PastDeadline,
		schema.ImpossibleShape, schema.Unauthorized, schema.UnformableGuarantee:
		return ExitRefused
	default:
		return ExitFailed
	}
}

func (a *app) callerClient() (*schema.ClientWithResponses, error) {
	return a.client(a.callers)
}

func (a *app) operatorClient() (*schema.ClientWithResponses, error) {
	return a.client(a.operators)
}

func (a *app) client(address string) (*schema.ClientWithResponses, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "address %q", address), errUsage)
	}
	return schema.NewClientWithResponses("http://"+parsed.String(), schema.WithRequestEditorFn(
		func(_ context.Context, r *http.Request) error {
			r.Header.Set(peers.KeyHeader, a.operatorKey())
			return nil
		}))
}

// usageError returns an error that ExitCode maps to ExitUsage.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// exactArgs returns a check for n arguments. Its error counts as wrong usage.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError("%s takes %d arguments, got %d", cmd.CommandPath(), n, len(args))
		}
		return nil
	}
}
