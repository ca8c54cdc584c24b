package check_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/proof/check"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// at sets the time of a record, in seconds after the start.
func at(seconds float64, r check.Record) check.Record {
	r.At = start.Add(time.Duration(seconds * float64(time.Second)))
	return r
}

func started(run, task int, who, domain string) check.Record {
	return check.Record{Kind: check.TaskStarted, Job: "j", Run: run, Task: task, Who: who, Domain: domain}
}

func ended(run, task int, detail string) check.Record {
	return check.Record{Kind: check.TaskEnded, Job: "j", Run: run, Task: task, Detail: detail}
}

func callSent(request string, nonIdempotent bool, attempt string) check.Record {
	return check.Record{Kind: check.CallSent, Request: request, NonIdempotent: nonIdempotent, Detail: attempt}
}

func callEnded(request string, outcome check.Outcome, attempt string) check.Record {
	return check.Record{Kind: check.CallEnded, Request: request, Outcome: outcome, Detail: attempt, Who: "entry-1"}
}

func ran(request, who string) check.Record {
	return check.Record{Kind: check.RequestRan, Request: request, Who: who, Domain: "domain-a"}
}

func row(tasks int) check.Record {
	return check.Record{Kind: check.RowWritten, Key: "job/s/j", Body: fmt.Sprintf(`{"spec":{"id":"j","tasks":%d}}`, tasks)}
}

// brokenPromises returns the names of the promises that a history violates.
func brokenPromises(records ...check.Record) []string {
	var names []string
	for _, v := range check.Check(records, check.DefaultBounds()) {
		names = append(names, v.Promise)
	}
	return names
}

var _ = Describe("the checker", func() {
	It("reports no violation in a correct history", func() {
		Expect(brokenPromises(
			at(0, callSent("q", true, "1")), at(0.1, ran("q", "t")),
			at(0.2, check.Record{Kind: check.CallEnded, Request: "q", Outcome: check.Answered, Body: "x", Reply: "x", Detail: "1"}),
			at(1, row(2)), at(1, started(1, 0, "w", "domain-a")), at(1.1, started(1, 1, "w", "domain-a")),
			at(20, ended(1, 0, "done: x")), at(40, ended(1, 1, "done: x")),
		)).To(BeEmpty())
	})

	DescribeTable("reports each broken promise", func(promise string, records ...check.Record) {
		Expect(brokenPromises(records...)).To(ContainElement(promise))
	},
		Entry("a guaranteed job that starts late", "guarantee",
			at(0, check.Record{Kind: check.GuaranteeRequested, Job: "j", Tasks: 2, Deadline: start.Add(time.Second)}),
			at(0.5, started(1, 0, "w", "d")), at(1.5, started(1, 1, "w", "d"))),
		Entry("a gang of which only one task starts", "gang",
			at(0, row(2)), at(1, started(1, 0, "w", "d")), at(11, ended(1, 0, "stopped: x"))),
		Entry("a gang that runs on after one task was killed", "gang",
			at(0, row(2)), at(1, started(1, 0, "w", "d")), at(1, started(1, 1, "w", "d")),
			at(2, ended(1, 1, "killed")), at(12, ended(1, 0, "stopped: x"))),
		Entry("a task in a failure domain out of service", "domain-out",
			at(0, check.Record{Kind: check.CommandAcknowledged, Domain: "domain-a", Version: 1}),
			at(3.1, started(1, 0, "w", "domain-a"))),
		Entry("a request in a failure domain out of service", "domain-out",
			at(0, check.Record{Kind: check.CommandAcknowledged, Domain: "domain-a", Version: 1}), at(3.1, ran("q", "t"))),
		Entry("an answer to another request", "whole-answer",
			at(0, check.Record{Kind: check.CallEnded, Request: "q", Outcome: check.Answered, Body: "right", Reply: "wrong"})),
		Entry("a refused request that ran", "not-run",
			at(0, callSent("q", false, "1")), at(1, callEnded("q", check.NotRun, "1")), at(2, ran("q", "t"))),
		Entry("a repeat that was answered not-run although the request had run", "not-run",
			at(0, callSent("q", true, "1")), at(1, ran("q", "t")), at(2, callEnded("q", check.NoAnswer, "1")),
			at(3, callSent("q", true, "2")), at(4, callEnded("q", check.NotRun, "2"))),
		Entry("a refused job that ran", "not-run",
			at(0, check.Record{Kind: check.CallSent, Job: "j", Detail: "1"}),
			at(1, check.Record{Kind: check.CallEnded, Job: "j", Outcome: check.NotRun, Detail: "1"}), at(2, started(1, 0, "w", "d"))),
		Entry("a request that ran twice", "at-most-once",
			at(0, callSent("q", true, "1")), at(1, ran("q", "t")), at(2, ran("q", "u"))),
		Entry("a job that ran twice", "at-most-once",
			at(0, check.Record{Kind: check.CallSent, Job: "j", NonIdempotent: true}),
			at(1, started(1, 0, "w", "d")), at(2, started(2, 0, "w", "d"))),
		Entry("new work for a target that is leaving", "leaving",
			at(0, check.Record{Kind: check.HostLeaving, Who: "t"}), at(3.1, ran("q", "t"))),
		Entry("a request left without an answer by a planned stop", "graceful-stop",
			at(0, callEnded("q", check.NoAnswer, "1")), at(1, check.Record{Kind: check.ProcessStopped, Who: "entry-1"})),
		Entry("a planned stop that failed", "graceful-stop",
			at(1, check.Record{Kind: check.ProcessStopped, Who: "entry-1", Detail: "exit status 1"})),
		Entry("a configuration that reverts", "config",
			at(0, check.Record{Kind: check.ConfigInForce, Who: "h", Version: 2}),
			at(1, check.Record{Kind: check.ConfigInForce, Who: "h", Version: 1})),
		Entry("a configuration in force too late", "config",
			at(0, check.Record{Kind: check.CommandAcknowledged, Version: 2}),
			at(4.1, check.Record{Kind: check.ConfigInForce, Who: "h", Version: 1})),
	)

	It("allows what the promises allow", func() {
		Expect(brokenPromises(
			at(0, check.Record{Kind: check.CommandAcknowledged, Domain: "domain-a", Version: 1}),
			at(2.9, ran("q", "t")),
			at(5, check.Record{Kind: check.RowWritten, Key: "domain/domain-a", Body: `{"in-service":true,"epoch":2}`}),
			at(5.1, ran("r", "t")),
			at(6, row(2)), at(6, started(1, 0, "w", "d")), at(14, ended(1, 0, "stopped: x")),
			at(20, callSent("s", true, "1")), at(21, callEnded("s", check.NotRun, "1")),
			at(22, callSent("s", true, "2")), at(23, ran("s", "t")), at(24, callEnded("s", check.Unknown, "2")),
		)).To(BeEmpty())
	})
})
