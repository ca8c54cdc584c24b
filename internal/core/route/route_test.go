package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

var start = time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC)

// harness runs a router and records the commands that it returns.
type harness struct {
	now        time.Time
	model      *route.Model[route.LeastOfTwo]
	dispatched []route.DispatchCmd
	claims     []route.ClaimCmd
	records    []route.RecordCmd
	answers    map[int64]route.Answer
	answered   map[int64]time.Time
}

func newHarness(targets int, limits route.Limits) *harness {
	h := &harness{
		now: start, model: route.New(route.LeastOfTwo{}, limits, rand.NewPCG(1, 2)),
		answers: map[int64]route.Answer{}, answered: map[int64]time.Time{},
	}
	var list []route.Target
	for i := range targets {
		list = append(list, route.Target{ID: fmt.Sprintf("target-%02d", i), Domain: fmt.Sprintf("domain-%d", i%4), Slots: 8})
	}
	h.send(route.TargetsMsg{Targets: list})
	h.send(route.FreshnessMsg{FreshUntil: start.Add(time.Hour), ClaimsAvailable: true})
	return h
}

func (h *harness) send(msg route.Msg) {
	_, cmds := h.model.Update(h.now, msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case route.DispatchCmd:
			h.dispatched = append(h.dispatched, cmd)
		case route.ClaimCmd:
			h.claims = append(h.claims, cmd)
		case route.RecordCmd:
			h.records = append(h.records, cmd)
		case route.AnswerCmd:
			Expect(h.answers).NotTo(HaveKey(cmd.Ticket), "request answered more than once")
			h.answers[cmd.Ticket] = cmd.Answer
			h.answered[cmd.Ticket] = h.now
		}
	}
}

func (h *harness) request(ticket int64, change func(*schema.CallRequest)) {
	call := schema.CallRequest{
		ID: fmt.Sprintf("request-%d", ticket), Kind: "quote", Class: schema.Urgent, Deadline: h.now.Add(2 * time.Second),
	}
	if change != nil {
		change(&call)
	}
	h.send(route.RequestMsg{Ticket: ticket, Call: call})
}

func nonIdempotent(call *schema.CallRequest) { call.NonIdempotent = true }

func (h *harness) reply(i int, result route.ReplyResult) {
	h.send(route.ReplyMsg{Ticket: h.dispatched[i].Ticket, Target: h.dispatched[i].Target, Result: result, Took: 10 * time.Millisecond})
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.send(route.TickMsg{})
}

var _ = Describe("the router", func() {
	var h *harness
	BeforeEach(func() { h = newHarness(4, route.DefaultLimits()) })

	It("dispatches a non-idempotent request only once its claim is won", func() {
		h.request(1, nonIdempotent)
		Expect(h.dispatched).To(BeEmpty())
		h.send(route.ClaimedMsg{Ticket: 1, Result: route.ClaimWon})
		Expect(h.dispatched).To(HaveLen(1))
		h.reply(0, route.ReplyUnknown)
		Expect(h.dispatched).To(HaveLen(1))
		Expect(h.answers[1].Outcome).To(Equal(route.Unknown))
		Expect(h.records[0].Answer.Outcome).To(Equal(route.Unknown))
	})

	It("sends a request to another target when the first replies that it did not run it", func() {
		h.request(1, nonIdempotent)
		h.send(route.ClaimedMsg{Ticket: 1, Result: route.ClaimWon})
		h.reply(0, route.ReplyRefused)
		Expect(h.dispatched).To(HaveLen(2))
		Expect(h.dispatched[1].Target).NotTo(Equal(h.dispatched[0].Target))
		h.reply(1, route.ReplyComplete)
		Expect(h.answers[1].Outcome).To(Equal(route.Answered))
	})

	It("retries idempotent requests no more often than the retry budget allows", func() {
		for t := range int64(200) {
			h.request(t, func(c *schema.CallRequest) { c.Deadline = h.now.Add(time.Hour) })
		}
		for i := 0; i < len(h.dispatched); i++ {
			h.reply(i, route.ReplyUnknown)
			h.advance(31 * time.Second)
			if len(h.answers) == 200 {
				break
			}
		}
		Expect(len(h.dispatched)).To(BeNumerically("<=", 200+10+20))
	})

	It("answers not-run when a claim takes too long, and releases the claim once it is won", func() {
		h.request(1, nonIdempotent)
		h.advance(route.DefaultLimits().ClaimWait)
		Expect(h.answers[1].Outcome).To(Equal(route.NotRun))
		Expect(h.answers[1].RetryAt).To(BeTemporally(">", h.now))
		h.send(route.ClaimedMsg{Ticket: 1, Result: route.ClaimWon})
		Expect(h.dispatched).To(BeEmpty())
		Expect(h.records).To(HaveLen(1))
		Expect(h.records[0].Answer.Outcome).To(Equal(route.NotRun))
		Expect(h.model.InProgress()).To(BeZero())
	})

	It("answers unknown rather than not-run while another host holds the claim", func() {
		h.request(1, nonIdempotent)
		h.send(route.ClaimedMsg{Ticket: 1, Result: route.ClaimHeld})
		h.advance(route.DefaultLimits().ClaimWait)
		Expect(h.answers[1].Outcome).To(Equal(route.Unknown))
	})

	It("answers unknown to a repeat and not-run to a first call while claims are unavailable", func() {
		h.send(route.FreshnessMsg{FreshUntil: start.Add(time.Hour), ClaimsAvailable: false})
		h.request(1, nonIdempotent)
		h.request(2, func(c *schema.CallRequest) { c.NonIdempotent, c.Repeat = true, true })
		Expect(h.answers[1].Outcome).To(Equal(route.NotRun))
		Expect(h.answers[2].Outcome).To(Equal(route.Unknown))
	})

	It("gives a repeat of a request in progress the same answer", func() {
		same := func(c *schema.CallRequest) { c.NonIdempotent, c.ID = true, "quote" }
		h.request(1, same)
		h.send(route.ClaimedMsg{Ticket: 1, Result: route.ClaimWon})
		h.request(2, same)
		h.request(3, func(c *schema.CallRequest) { c.NonIdempotent, c.ID, c.Body = true, "quote", "other" })
		Expect(h.answers[3].Outcome).To(Equal(route.Duplicate))
		h.reply(0, route.ReplyComplete)
		Expect(h.answers[1].Outcome).To(Equal(route.Answered))
		Expect(h.answers[2].Reply.Repeated).To(BeTrue())
		Expect(h.dispatched).To(HaveLen(1))
	})

	It("refuses at once when its configuration may be stale, also when the process was suspended", func() {
		h.request(1, nil)
		Expect(h.dispatched).To(HaveLen(1))
		h.send(route.FreshnessMsg{FreshUntil: h.now.Add(time.Second), ClaimsAvailable: true})
		h.now = h.now.Add(2 * time.Second)
		h.request(2, nil)
		Expect(h.answers[2].Outcome).To(Equal(route.NotRun))
		Expect(h.answers[2].Reason).To(Equal(route.RuleStale))
	})

	It("sends nothing to targets that are leaving or whose failure domain is out of service", func() {
		h.send(route.DomainsMsg{OutOfService: map[string]bool{"domain-0": true, "domain-1": true}})
		h.send(route.TargetsMsg{Targets: []route.Target{
			{ID: "target-00", Domain: "domain-0", Slots: 8}, {ID: "target-01", Domain: "domain-1", Slots: 8},
			{ID: "target-02", Domain: "domain-2", Slots: 8, Leaving: true}, {ID: "target-03", Domain: "domain-3", Slots: 8},
		}})
		for t := range int64(8) {
			h.request(t, nil)
		}
		for _, d := range h.dispatched {
			Expect(d.Target).To(Equal("target-03"))
		}
		Expect(h.dispatched).To(HaveLen(8))
	})

	It("ejects a target that fails, and probes it with one request at a time", func() {
		h = newHarness(2, route.DefaultLimits())
		failing := "target-00"
		for t := range int64(400) {
			h.request(t, nil)
			last := len(h.dispatched) - 1
			result := route.ReplyComplete
			if h.dispatched[last].Target == failing {
				result = route.ReplyUnknown
			}
			h.reply(last, result)
			h.now = h.now.Add(time.Millisecond)
		}
		attempts := 0
		for _, d := range h.dispatched {
			if d.Target == failing {
				attempts++
			}
		}
		Expect(attempts).To(BeNumerically("<=", 4))
	})

	It("dispatches urgent requests first and evicts the last request of a full queue", func() {
		limits := route.DefaultLimits()
		limits.Queue = 2
		h = newHarness(1, limits)
		patient := func(c *schema.CallRequest) { c.Class, c.Deadline = schema.Patient, h.now.Add(time.Minute) }
		for t := range int64(10) {
			h.request(t, patient)
		}
		Expect(h.dispatched).To(HaveLen(8))
		h.request(10, patient)
		Expect(h.answers[10].Reason).To(Equal(route.RuleQueueFull))
		h.request(11, nil)
		Expect(h.answers[9].Reason).To(Equal(route.RuleEvicted))
		h.reply(0, route.ReplyComplete)
		Expect(h.dispatched[8].Ticket).To(Equal(int64(11)))
	})

	It("divides the slots of a target among the live hosts", func() {
		h = newHarness(1, route.DefaultLimits())
		h.send(route.HostsMsg{Live: 4})
		for t := range int64(8) {
			h.request(t, nil)
		}
		Expect(h.dispatched).To(HaveLen(2))
	})

	It("refuses new requests while draining and finishes those in progress", func() {
		h.request(1, nil)
		h.send(route.DrainMsg{})
		h.request(2, nil)
		Expect(h.answers[2].Reason).To(Equal(route.RuleStopping))
		h.reply(0, route.ReplyComplete)
		Expect(h.answers[1].Outcome).To(Equal(route.Answered))
	})
})
