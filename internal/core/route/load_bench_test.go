package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// The cluster that BenchmarkLoad simulates: 8 entry hosts that don't see each
// other's requests, and 50 targets of 8 slots, of which one is dead and one is
// ten times slower than the others.
const (
	loadHosts       = 8
	loadTargets     = 50
	loadSlots       = 8
	loadServiceTime = 40 * time.Millisecond
	loadDuration    = 5 * time.Second
	loadDeadline    = time.Second
	deadTarget      = "target-00"
	slowTarget      = "target-01"
)

// loadCapacity is the number of requests per second that the targets can answer.
var loadCapacity = float64(loadTargets*loadSlots) / loadServiceTime.Seconds()

// event is a function to run at a virtual time. Events at the same time run in
// the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs the routers of all hosts on a virtual clock.
type simulation[C route.Chooser] struct {
	now       time.Time
	random    *rand.Rand
	events    eventQueue
	sequence  int
	models    []*route.Model[C]
	busy      map[string]int
	arrivals  map[int64]time.Time
	latencies *hdrhistogram.Histogram

	requests, answered, refused, unknown       int
	dispatches, rejected, deadTargetDispatches int
	slowestRefusal                             time.Duration
	withoutRetryTime                           int
}

func newSimulation[C route.Chooser](chooser C, seed uint64) *simulation[C] {
	s := &simulation[C]{
		now: start, random: rand.New(rand.NewPCG(seed, 5)), busy: map[string]int{},
		arrivals: map[int64]time.Time{}, latencies: hdrhistogram.New(1, 60_000_000, 3),
	}
	var targets []route.Target
	for i := range loadTargets {
		targets = append(targets, route.Target{ID: fmt.Sprintf("target-%02d", i), Slots: loadSlots})
	}
	for i := range loadHosts {
		m := route.New(chooser, route.DefaultLimits(), rand.NewPCG(seed, uint64(i)))
		m.Update(start, route.TargetsMsg{Targets: targets})
		m.Update(start, route.HostsMsg{Live: loadHosts})
		m.Update(start, route.FreshnessMsg{FreshUntil: start.Add(time.Hour), ClaimsAvailable: true})
		s.models = append(s.models, m)
	}
	return s
}

func (s *simulation[C]) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now.Add(d), sequence: s.sequence, run: run})
}

func (s *simulation[C]) simulate(load float64) {
	rate := load * loadCapacity
	for n := int64(0); n < int64(rate*loadDuration.Seconds()); n++ {
		at := time.Duration(s.random.Int64N(int64(loadDuration)))
		s.after(at, func() { s.arrive(n) })
	}
	for i := range s.models {
		for tick := time.Duration(0); tick < loadDuration+2*loadDeadline; tick += 5 * time.Millisecond {
			s.after(tick, func() { s.send(i, route.TickMsg{}) })
		}
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func (s *simulation[C]) arrive(n int64) {
	s.requests++
	s.arrivals[n] = s.now
	call := schema.CallRequest{ID: fmt.Sprint(n), Kind: "quote", Class: schema.Urgent, Deadline: s.now.Add(loadDeadline)}
	s.send(s.random.IntN(loadHosts), route.RequestMsg{Ticket: n, Call: call})
}

func (s *simulation[C]) send(host int, msg route.Msg) {
	_, cmds := s.models[host].Update(s.now, msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case route.DispatchCmd:
			s.dispatch(host, cmd)
		case route.AnswerCmd:
			s.answer(cmd)
		}
	}
}

// dispatch simulates a request on its target, which refuses it when it is full.
func (s *simulation[C]) dispatch(host int, cmd route.DispatchCmd) {
	s.dispatches++
	reply := func(after time.Duration, result route.ReplyResult) {
		sentAt := s.now
		s.after(after, func() {
			s.send(host, route.ReplyMsg{
				Ticket: cmd.Ticket, Target: cmd.Target, Result: result, Busy: s.busy[cmd.Target], Took: s.now.Sub(sentAt),
			})
		})
	}
	const network = time.Millisecond
	switch {
	case cmd.Target == deadTarget:
		s.deadTargetDispatches++
		reply(network, route.ReplyNotSent)
	case s.busy[cmd.Target] >= loadSlots:
		s.rejected++
		reply(2*network, route.ReplyRefused)
	default:
		s.busy[cmd.Target]++
		service := time.Duration(s.random.ExpFloat64() * float64(loadServiceTime))
		if cmd.Target == slowTarget {
			service *= 10
		}
		s.after(service, func() { s.busy[cmd.Target]-- })
		if left := cmd.Call.Deadline.Sub(s.now); service+2*network > left {
			reply(left, route.ReplyUnknown)
			return
		}
		reply(service+2*network, route.ReplyComplete)
	}
}

func (s *simulation[C]) answer(cmd route.AnswerCmd) {
	took := s.now.Sub(s.arrivals[cmd.Ticket])
	switch cmd.Answer.Outcome {
	case route.Answered:
		s.answered++
		_ = s.latencies.RecordValue(took.Microseconds())
	case route.NotRun:
		s.refused++
		s.slowestRefusal = max(s.slowestRefusal, took)
		if !cmd.Answer.RetryAt.After(s.now) {
			s.withoutRetryTime++
		}
	case route.Unknown, route.Duplicate:
		s.unknown++
	}
}

// BenchmarkLoad compares the target selection policies at 0.8, 1, 2 and 10 times
// the capacity of the targets.
func BenchmarkLoad(b *testing.B) {
	for _, load := range []float64{0.8, 1, 2, 10} {
		b.Run(fmt.Sprintf("load=%g/least-of-two", load), func(b *testing.B) { reportLoad(b, route.LeastOfTwo{}, load) })
		b.Run(fmt.Sprintf("load=%g/random", load), func(b *testing.B) { reportLoad(b, route.Random{}, load) })
		b.Run(fmt.Sprintf("load=%g/least-loaded", load), func(b *testing.B) { reportLoad(b, route.LeastLoaded{}, load) })
	}
}

func reportLoad[C route.Chooser](b *testing.B, chooser C, load float64) {
	b.Helper()
	for b.Loop() {
		s := newSimulation(chooser, 101)
		s.simulate(load)
		if got := s.answered + s.refused + s.unknown; got != s.requests {
			b.Errorf("%d of %d requests got a result", got, s.requests)
		}
		if s.withoutRetryTime > 0 {
			b.Errorf("%d refusals without a retry time in the future", s.withoutRetryTime)
		}
		share := func(n int) float64 { return 100 * float64(n) / float64(s.requests) }
		b.ReportMetric(100*float64(s.answered)/(loadCapacity*loadDuration.Seconds()), "goodput-%")
		b.ReportMetric(share(s.refused), "refused-%")
		b.ReportMetric(share(s.unknown), "unknown-%")
		b.ReportMetric(float64(s.latencies.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(s.latencies.ValueAtQuantile(99))/1000, "p99-ms")
		b.ReportMetric(float64(s.slowestRefusal.Milliseconds()), "slowest-refusal-ms")
		b.ReportMetric(float64(s.dispatches)/float64(s.requests), "sends/request")
		b.ReportMetric(share(s.rejected), "rejected-%")
		b.ReportMetric(float64(s.deadTargetDispatches), "dead-hits")
	}
}
