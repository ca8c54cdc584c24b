package verbs

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

func (a *app) submitCommand() *cobra.Command {
	var spec schema.JobSpec
	var class string
	cmd := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job; submitting the same id and content again is safe",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			spec.Class = schema.JobClass(class)
			client, err := a.callerClient()
			if err != nil {
				return err
			}
			r, err := client.SubmitJobWithResponse(cmd.Context(), spec)
			if err != nil {
				return callError(err)
			}
			job, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(job, jobTable(job))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&spec.ID, "id", "", "identifier of the job")
	flags.StringVar(&spec.Team, "team", "", "team that the job belongs to")
	flags.StringVar(&spec.Kind, "kind", "", "kind of computation")
	flags.StringVar(&class, "class", "patient", "urgent or patient")
	flags.IntVar(&spec.Tasks, "tasks", 1, "number of tasks in the gang")
	flags.IntVar(&spec.Accelerators, "accelerators", 1, "accelerators for each task")
	flags.BoolVar(&spec.Adjacent, "adjacent", false, "place all tasks in one rack")
	flags.BoolVar(&spec.NonIdempotent, "non-idempotent", false, "must not run twice")
	flags.StringVar(&spec.Input, "input", "", "opaque input passed to the tasks")
	return cmd
}

func (a *app) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := a.callerClient()
			if err != nil {
				return err
			}
			r, err := client.CancelJobWithResponse(cmd.Context(), args[0])
			if err != nil {
				return callError(err)
			}
			job, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(job, jobTable(job))
		},
	}
}

func (a *app) jobCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "job", Short: "Show jobs"}
	cmd.AddCommand(a.jobGet(), a.jobList(), a.jobWatch())
	return cmd
}

// readJob reads one job from the entry host.
func (a *app) readJob(cmd *cobra.Command, id string) (schema.JobStatus, error) {
	client, err := a.callerClient()
	if err != nil {
		return schema.JobStatus{}, err
	}
	r, err := client.GetJobWithResponse(cmd.Context(), id)
	if err != nil {
		return schema.JobStatus{}, callError(err)
	}
	return resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
}

func (a *app) jobGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get JOB",
		Short: "Show one job",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := a.readJob(cmd, args[0])
			if err != nil {
				return err
			}
			return a.show(job, jobTable(job))
		},
	}
}

func (a *app) jobList() *cobra.Command {
	var team, state string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List jobs, oldest first",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.callerClient()
			if err != nil {
				return err
			}
			r, err := client.ListJobsWithResponse(cmd.Context(), &schema.ListJobsParams{Team: team, State: state})
			if err != nil {
				return callError(err)
			}
			list, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(list, jobTable(list.Jobs...))
		},
	}
	cmd.Flags().StringVar(&team, "team", "", "only this team's jobs")
	cmd.Flags().StringVar(&state, "state", "", "only jobs in this state")
	return cmd
}

// watchPoll is the interval between reads of a watched job.
const watchPoll = 200 * time.Millisecond

func (a *app) jobWatch() *cobra.Command {
	return &cobra.Command{
		Use:   "watch JOB",
		Short: "Show a job at each change of its state or run until it has ended",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			shown := ""
			for {
				job, err := a.readJob(cmd, args[0])
				if err != nil {
					return err
				}
				if current := fmt.Sprint(job.State, job.Run); current != shown {
					shown = current
					if err := a.show(job, jobTable(job)); err != nil {
						return err
					}
				}
				if job.State != schema.Waiting && job.State != schema.Running {
					return nil
				}
				time.Sleep(watchPoll)
			}
		},
	}
}

func (a *app) callCommand() *cobra.Command {
	var request schema.CallRequest
	var class string
	var within time.Duration
	cmd := &cobra.Command{
		Use:   "call",
		Short: "Send a request to a target and print its answer",
		Args:  exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			request.Class = schema.JobClass(class)
			request.Deadline = time.Now().Add(within)
			client, err := a.callerClient()
			if err != nil {
				return err
			}
			r, err := client.CallWithResponse(cmd.Context(), request)
			if err != nil {
				return callError(err)
			}
			reply, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(reply, textTable{
				header: []string{"id", "target", "repeated", "body"},
				rows:   [][]string{{reply.ID, reply.Target, fmt.Sprint(reply.Repeated), reply.Body}},
			})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&request.ID, "id", "", "identifier of the request")
	flags.StringVar(&request.Kind, "kind", "", "kind of request")
	flags.StringVar(&request.Body, "body", "", "body of the request")
	flags.StringVar(&class, "class", "urgent", "urgent or patient")
	flags.BoolVar(&request.NonIdempotent, "non-idempotent", false, "must not run twice")
	flags.DurationVar(&within, "within", 5*time.Second, "time until the deadline")
	return cmd
}

func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain JOB",
		Short: "Explain why a job waits, or why it runs where it does",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := a.callerClient()
			if err != nil {
				return err
			}
			r, err := client.ExplainJobWithResponse(cmd.Context(), args[0])
			if err != nil {
				return callError(err)
			}
			e, err := resultOf(r.JSON200, r.JSONDefault, r.HTTPResponse, nil)
			if err != nil {
				return err
			}
			return a.show(e, textTable{
				header: []string{"id", "state", "rule", "config", "text"},
				rows:   [][]string{{e.ID, string(e.State), e.Rule, fmt.Sprint(e.ConfigVersion), e.Text}},
			})
		},
	}
}
