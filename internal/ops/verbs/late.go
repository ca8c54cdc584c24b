package verbs

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/rattanshore/rattanshore/internal/ops/delays"
)

func (a *app) explainLateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain-late LOG...",
		Short: "Tell from hosts' logs why jobs ended late",
		Long: "Tell from the logs of a fleet's hosts which jobs ended after they were due, and what took most of\n" +
			"their time. Give the logs of all hosts that have led, since a job may have had several leaders.\n" +
			"Lines that cannot be read are counted and left out; the exit code is then 1.",
		Args: atLeastOneLog,
		RunE: func(cmd *cobra.Command, args []string) error { return a.explainLate(cmd.ErrOrStderr(), args) },
	}
}

func atLeastOneLog(_ *cobra.Command, args []string) error {
	if len(args) == 0 {
		return usageError("explain-late needs the log of at least one host")
	}
	return nil
}

// explainLate reads the logs and shows the report, also if a part of them is damaged.
func (a *app) explainLate(problems io.Writer, paths []string) error {
	var sources []*delays.Source
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return usageError("%v", err)
		}
		defer func() { _ = file.Close() }() // only read
		sources = append(sources, delays.NewSource(path, file))
	}
	reader, tally := delays.New(), delays.NewTally()
	delays.Merge(sources, func(l delays.Line) {
		if late, ended := reader.Add(l); ended {
			tally.Add(late)
		}
	})
	report := tally.Report()
	if err := a.show(report, lateTable(report)); err != nil {
		return err
	}
	return reportDamage(problems, sources, reader.Skipped(), report.Ended)
}

// reportDamage tells what could not be read. It returns an error if that is anything.
func reportDamage(out io.Writer, sources []*delays.Source, skipped, ended int) error {
	var failed error
	for _, s := range sources {
		if d := s.Damage(); d.Lines > 0 {
			failed = errors.Newf("%s:%d: the first of %d lines that cannot be read", d.Source, d.First, d.Lines)
			_, _ = fmt.Fprintln(out, failed)
		}
		if s.Err() != nil {
			failed = errors.Wrapf(s.Err(), "read %s", s.Damage().Source)
			_, _ = fmt.Fprintln(out, failed)
		}
	}
	switch {
	case skipped > 0:
		return errors.Newf("%d jobs were not followed, since too many gangs were under way", skipped)
	case failed == nil && ended == 0:
		return errors.New("no job-ended line with a due time; older builds do not log it, and only leaders do")
	default:
		return failed
	}
}

// lateTable shows the groups, and below them a bar for each second with late jobs.
func lateTable(r delays.Report) textTable {
	table := textTable{header: []string{"PRIORITY", "CAUSE", "JOBS", "TEAMS", "MEAN-LATE-MS", "MOST-LATE-MS"}}
	for _, g := range r.Groups {
		table.rows = append(table.rows, []string{
			strconv.Itoa(g.Priority), string(g.Cause), strconv.Itoa(g.Jobs), strconv.Itoa(g.Teams),
			strconv.FormatInt(g.MeanMillis, 10), strconv.FormatInt(g.MostMillis, 10),
		})
	}
	table.rows = append(table.rows, []string{"all", "late of " + strconv.Itoa(r.Ended), strconv.Itoa(r.Late)})
	for _, s := range r.Seconds {
		table.rows = append(table.rows, []string{s.At.Format("15:04:05"), strings.Repeat("#", s.Jobs), strconv.Itoa(s.Jobs)})
	}
	return table
}
