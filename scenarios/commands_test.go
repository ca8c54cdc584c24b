package scenarios

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.yaml.in/yaml/v3"

	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/proof/inproc"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// command carries out one command of the scenario language.
type command func(h *harness, ts *testscript.TestScript, args []string) error

// commands is the scenario language, described in scenarios/README.md.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"site":         adapt(0, func(h *harness, _ *testscript.TestScript, args []string) error { return h.startSite(args) }),
	"host":         adapt(1, func(h *harness, _ *testscript.TestScript, args []string) error { return h.startHost(args[0], args[1:]) }),
	"ready":        adapt(1, ready),
	"config-set":   adapt(2, configSet),
	"crash":        adapt(1, killHost),
	"kill-owner":   adapt(1, killOwner),
	"freeze-owner": adapt(1, freezeOwner),
	"thaw-owner":   adapt(1, thawOwner),
	"wait-any-job": adapt(2, waitAnyJob),
	"freeze":       adapt(1, sendSignal(syscall.SIGSTOP)),
	"thaw":         adapt(1, sendSignal(syscall.SIGCONT)),
	"term":         adapt(1, term),
	"fault":        adapt(2, fault),
	"heal":         adapt(2, heal),
	"leaving":      adapt(1, leaving),
	"submit":       adapt(2, submit),
	"submit-many":  adapt(3, submitMany),
	"cancel-many":  adapt(3, cancelMany),
	"call":         adapt(2, call),
	"call-many":    adapt(3, callMany),
	"cancel":       adapt(2, cancel),
	"join":         adapt(0, join),
	"wait-job":     adapt(3, waitJob),
	"wait-log":     adapt(2, waitLog),
	"wait-ran":     adapt(1, waitRan),
	"told":         adapt(2, checkOutcomes),
	"domain":       adapt(3, domain),
	"asked":        adapt(3, asked),
	"pause":        adapt(1, pause),
	"ran":          adapt(2, ran),
	"check":        adapt(0, checkPromises),
}

// adapt returns run as a testscript command with at least the given number of
// arguments. After "!", the command must fail.
func adapt(minArgs int, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < minArgs {
			ts.Fatalf("needs at least %d arguments", minArgs)
		}
		h := ts.Value(harnessKey{}).(*harness)
		err := run(h, ts, args)
		if err != nil && !neg {
			ts.Fatalf("%v", err)
		}
		if err == nil && neg {
			ts.Fatalf("command succeeded but must fail")
		}
		if err != nil {
			ts.Logf("failed as expected: %v", err)
		}
	}
}

// waitContext returns a context that ends after waitTimeout.
func waitContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), waitTimeout)
}

// splitOptions splits NAME=VALUE arguments and bare words.
func splitOptions(args []string) (map[string]string, map[string]bool) {
	values, words := map[string]string{}, map[string]bool{}
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok {
			values[key] = value
		} else {
			words[a] = true
		}
	}
	return values, words
}

func intOption(values map[string]string, key string, fallback int) int {
	if n, err := strconv.Atoi(values[key]); err == nil {
		return n
	}
	return fallback
}

func durationOption(values map[string]string, key string, fallback time.Duration) time.Duration {
	if d, err := time.ParseDuration(values[key]); err == nil {
		return d
	}
	return fallback
}

// configSet: HOST FILE [expected=N]. Without expected it sets the first
// configuration, and retries until the hosts know their workers.
func configSet(h *harness, ts *testscript.TestScript, args []string) error {
	to, err := h.operators(args[0])
	if err != nil {
		return err
	}
	var tree any
	if err := yaml.Unmarshal([]byte(ts.ReadFile(args[1])), &tree); err != nil {
		return err
	}
	document, err := decodeDocument(tree)
	if err != nil {
		return err
	}
	values, _ := splitOptions(args[2:])
	ctx, cancel := waitContext()
	defer cancel()
	if expected := intOption(values, "expected", 0); expected > 0 {
		_, err = h.caller.SetConfig(ctx, to, schema.ConfigChange{Document: document, ExpectedVersion: int64(expected), By: args[0]})
		return err
	}
	return inproc.Configure(ctx, h.caller, to, document)
}

// waitAnyJob: ID STATE. Does the same as waitJob, at one of the running hosts.
func waitAnyJob(h *harness, ts *testscript.TestScript, args []string) error {
	for name := range h.hosts {
		return waitJob(h, ts, []string{name, args[0], args[1]})
	}
	return fmt.Errorf("no host is running")
}

// waitJob: HOST ID STATE. Waits until the job is in the state, and fails if it
// ends in another one.
func waitJob(h *harness, _ *testscript.TestScript, args []string) error {
	to, err := h.callers(args[0])
	if err != nil {
		return err
	}
	ctx, cancel := waitContext()
	defer cancel()
	job, err := h.caller.WaitJob(ctx, to, args[1], func(j schema.JobStatus) bool {
		return string(j.State) == args[2] || inproc.Ended(j)
	})
	if err != nil {
		text, _ := h.caller.Explain(context.Background(), to, args[1])
		return fmt.Errorf("%w: %s", err, text)
	}
	if string(job.State) != args[2] {
		return fmt.Errorf("job %s is %s (%s)", args[1], job.State, job.Reason)
	}
	return err
}

// waitLog: HOST,HOST... EVENT-NAME [TEXT]. Waits until one of the hosts logs the
// event, in a line that contains the text.
func waitLog(h *harness, _ *testscript.TestScript, args []string) error {
	text := ""
	if len(args) > 2 {
		text = args[2]
	}
	return waitUntil(strings.Join(args, " "), func() bool {
		for _, name := range strings.Split(args[0], ",") {
			p, err := h.host(name)
			if err != nil {
				continue
			}
			for _, l := range p.lines() {
				if l.Name == args[1] && strings.Contains(l.Raw, text) {
					return true
				}
			}
		}
		return false
	})
}

// waitRan: ID [COUNT]. Waits until COUNT tasks of the job or runs of the request
// have started, by default one.
func waitRan(h *harness, _ *testscript.TestScript, args []string) error {
	count := 1
	if len(args) > 1 {
		count, _ = strconv.Atoi(args[1])
	}
	return waitUntil(args[0]+" to run", func() bool { return h.runCount(args[0]) >= count })
}

func (h *harness) runCount(id string) int {
	records, err := h.siteHistory()
	if err != nil {
		return 0
	}
	n := 0
	for _, r := range records {
		if r.Kind == check.RequestRan && r.Request == id || r.Kind == check.TaskStarted && r.Job == id {
			n++
		}
	}
	return n
}

// ran: ID COUNT. Exactly COUNT tasks of the job or runs of the request have
// started.
func ran(h *harness, _ *testscript.TestScript, args []string) error {
	if got := h.runCount(args[0]); fmt.Sprint(got) != args[1] {
		return fmt.Errorf("%s ran %d times, not %s", args[0], got, args[1])
	}
	return nil
}

// checkOutcomes: ID OUTCOME[|OUTCOME] [repeated] [come-back]. Every caller of the
// request received one of the outcomes; with repeated, as a recorded outcome, and
// with come-back, with the time to retry after.
func checkOutcomes(h *harness, ts *testscript.TestScript, args []string) error {
	_, words := splitOptions(args[2:])
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.results[args[0]]) == 0 {
		return fmt.Errorf("no caller received an outcome of %s", args[0])
	}
	for _, r := range h.results[args[0]] {
		ts.Logf("%s: %s %s", args[0], r.Outcome, r.Error.Message)
		if !strings.Contains("|"+args[1]+"|", "|"+string(r.Outcome)+"|") {
			return fmt.Errorf("outcome of %s is %s (%s), not %s", args[0], r.Outcome, r.Error.Message, args[1])
		}
		if words["repeated"] && !r.Reply.Repeated {
			return fmt.Errorf("answer to %s is not marked as a recorded outcome", args[0])
		}
		if words["come-back"] && r.Error.ComeBackAt.IsZero() {
			return fmt.Errorf("answer to %s has no time to retry after", args[0])
		}
	}
	delete(h.results, args[0])
	return nil
}

// domain: HOST out|in DOMAIN [async]. Takes a failure domain out of service or
// back.
func domain(h *harness, _ *testscript.TestScript, args []string) error {
	to, err := h.operators(args[0])
	if err != nil {
		return err
	}
	_, words := splitOptions(args[3:])
	set := func() error {
		ctx, cancel := waitContext()
		defer cancel()
		_, err := h.caller.SetDomain(ctx, to, args[2], args[1] == "in")
		return err
	}
	if words["async"] {
		h.background.Go(func() { _ = set() })
		return nil
	}
	return set()
}

// asked: ID TASKS WITHIN. Records that all tasks of the job's guaranteed shape
// must run within this time.
func asked(h *harness, _ *testscript.TestScript, args []string) error {
	tasks, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	within, err := time.ParseDuration(args[2])
	if err != nil {
		return err
	}
	h.caller.Record(check.Record{Kind: check.GuaranteeRequested, Job: args[0], Tasks: tasks, Deadline: time.Now().Add(within)})
	return nil
}

// pause: D. Waits for a duration. It is meant only for tests of a time bound
// itself.
func pause(_ *harness, _ *testscript.TestScript, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err == nil {
		time.Sleep(d)
	}
	return err
}

// checkPromises checks every promise against the scenario's complete history.
func checkPromises(h *harness, ts *testscript.TestScript, _ []string) error {
	h.background.Wait()
	records, err := h.history()
	if err != nil {
		return err
	}
	violations := check.Check(records, check.DefaultBounds())
	if len(violations) == 0 {
		ts.Logf("all promises held over %d records", len(records))
		return nil
	}
	var text strings.Builder
	for _, v := range violations {
		fmt.Fprintln(&text, v)
	}
	return fmt.Errorf("broken promises:\n%s", text.String())
}
