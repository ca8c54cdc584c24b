package verbs

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// resultOf returns the value that a call was answered with, or an error that
// ExitCode understands.
func resultOf[T any](value *T, apiFailure *schema.Error, response *http.Response, err error) (T, error) {
	var zero T
	switch {
	case err != nil:
		return zero, callError(err)
	case value != nil:
		return *value, nil
	case apiFailure != nil:
		return zero, apiError{answer: *apiFailure}
	case response.StatusCode == http.StatusUnauthorized:
		return zero, apiError{answer: schema.Error{Code: schema.Unauthorized, Message: "the operators' key is missing or wrong"}}
	default:
		return zero, errors.Newf("the entry host answered with status %d", response.StatusCode)
	}
}

// callError marks the error of a call without an answer: with errUnreachable if
// no connection was made, so that nothing was sent, and otherwise with
// errNoAnswer, since the call may have taken effect.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Mark(err, errUnreachable)
	}
	return errors.Mark(err, errNoAnswer)
}

// textTable is a table for the terminal.
type textTable struct {
	header []string
	rows   [][]string
}

// show prints value as JSON or as the given table, depending on --output.
func (a *app) show(value any, table textTable) error {
	switch a.output {
	case "json":
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.out, "%s\n", data)
		return err
	case "table":
		return a.printTable(table)
	default:
		return usageError("--output %q must be table or json", a.output)
	}
}

func (a *app) printTable(table textTable) error {
	writer := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.ToUpper(strings.Join(table.header, "\t")))
	for _, row := range table.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

func jobTable(jobs ...schema.JobStatus) textTable {
	t := textTable{header: []string{"id", "team", "kind", "class", "shape", "state", "run", "rule", "workers", "reason"}}
	for _, j := range jobs {
		t.rows = append(t.rows, []string{
			j.Spec.ID, j.Spec.Team, j.Spec.Kind, string(j.Spec.Class),
			fmt.Sprintf("%dx%d", j.Spec.Tasks, j.Spec.Accelerators),
			string(j.State), fmt.Sprint(j.Run), j.Rule, workersText(j), j.Reason,
		})
	}
	return t
}

// workersText lists the workers of a job, each once. Long lists are cut short.
func workersText(j schema.JobStatus) string {
	var names []string
	seen := map[string]bool{}
	for _, p := range j.Places {
		if !seen[p.Worker] {
			seen[p.Worker] = true
			names = append(names, p.Worker)
		}
	}
	const shown = 4
	if len(names) > shown {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:shown], ","), len(names)-shown)
	}
	return strings.Join(names, ",")
}

func timeText(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}
