package delays_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/ops/delays"
)

// The day of the tests' logs begins at this second.
const origin = "2026-12-04T08:00:%06.3fZ"

// logOf returns a log of one job with the given events, each as seconds, event number and
// detail. The job was accepted at 0 s and due at 4 s.
func logOf(events ...string) string {
	var out strings.Builder
	for _, e := range events {
		var at float64
		var number int
		fields := strings.SplitN(e, " ", 3)
		fmt.Sscan(fields[0], &at)
		fmt.Sscan(fields[1], &number)
		due := ""
		if number == 319 {
			due = fmt.Sprintf(`,"team":"club","priority":0,"accepted-at":"%s","due":"%s"`, fmt.Sprintf(origin, 0.0), fmt.Sprintf(origin, 4.0))
		}
		fmt.Fprintf(&out, `{"event":%d,"job":"boat-1","step":0,"task":0,"detail":%q,"time":"%s"%s}`+"\n",
			number, fields[2], fmt.Sprintf(origin, at), due)
	}
	return out.String()
}

// read returns the report on some logs and what of them could not be read.
func read(logs ...string) (delays.Report, []delays.Damage) {
	var sources []*delays.Source
	for i, text := range logs {
		sources = append(sources, delays.NewSource(fmt.Sprint("log-", i), strings.NewReader(text)))
	}
	reader, tally := delays.New(), delays.NewTally()
	delays.Merge(sources, func(l delays.Line) {
		if late, ended := reader.Add(l); ended {
			tally.Add(late)
		}
	})
	var damage []delays.Damage
	for _, s := range sources {
		damage = append(damage, s.Damage())
	}
	return tally.Report(), damage
}

// Pattern: jobs of a bad day are late for reasons that need different remedies, such as
// more workers, a faster store, or the replacement of a worker.
func TestCauses(t *testing.T) {
	cases := map[delays.Cause][]string{
		delays.NotPlanned: {"3 322 q", "3.1 310 w", "3.2 313 ", "5.2 318 done", "5.2 319 completed "},
		delays.NoCapacity: {"0 322 q", "3 310 w", "3.2 313 ", "5.2 318 done", "5.2 319 completed "},
		delays.SlowStart:  {"0 322 q", "0.1 310 w", "3.2 313 ", "5.2 318 done", "5.2 319 completed "},
		delays.TaskFailed: {"0 322 q", "0 310 w", "0 313 ", "2 314 failed at w", "2.2 310 x", "2.3 313 ", "5 318 done", "5 319 completed "},
		delays.Stalled:    {"0 322 q", "0 310 w", "0 313 ", "2 314 no progress at w, 3%", "2.6 310 x", "2.6 313 ", "5 318 done", "5 319 completed "},
		delays.SlowWorker: {"0 322 q", "0 310 w", "0 313 ", "2 314 slow at w", "2.6 310 x", "2.6 313 ", "5 318 done", "5 319 completed "},
		delays.Preempted:  {"0 322 q", "0 310 w", "0 313 ", "2 314 preempted for y", "2.6 310 x", "2.6 313 ", "5 318 done", "5 319 completed "},
		delays.WorkerLeft: {"0 322 q", "0 310 w", "0 313 ", "2 314 its worker w leaves", "2.6 310 x", "2.6 313 ", "5 318 done", "5 319 completed "},
		delays.WorkerLost: {"0 322 q", "0 310 w", "0 313 ", "2 314 the lease has expired (w)", "2.6 310 x", "2.6 313 ", "5 318 done", "5 319 completed "},
		delays.Takeover:   {"0 322 q", "0 310 w", "0 313 ", "4.5 322 q", "4.6 316 ", "5 318 done", "5 319 completed "},
		delays.LongRun:    {"0 322 q", "0 310 w", "0.1 313 ", "5 318 done", "5 319 completed "},
	}
	for cause, events := range cases {
		t.Run(string(cause), func(t *testing.T) {
			g := NewWithT(t)
			report, _ := read(logOf(events...))
			g.Expect(report.Groups).To(ConsistOf(And(HaveField("Cause", cause), HaveField("Jobs", 1))))
			g.Expect(report.Seconds).To(ConsistOf(HaveField("Jobs", 1)))
		})
	}
	if got := len(delays.Causes()); got != len(cases) {
		t.Errorf("%d causes are tested, there are %d", len(cases), got)
	}
}

// A job has several leaders, each with a log of its own.
func TestLogsOfSeveralLeaders(t *testing.T) {
	g := NewWithT(t)
	report, _ := read(logOf("2.5 322 q", "2.5 316 ", "5 318 done", "5 319 completed "), logOf("0 322 q", "0 310 w", "0.1 313 "))
	g.Expect(report.Groups).To(ConsistOf(HaveField("Cause", delays.Takeover)))
	g.Expect(report.Groups[0].MeanMillis).To(Equal(time.Second.Milliseconds()))
}

// Jobs in time, jobs that failed and lines of builds without a due time count nothing late.
func TestNotLate(t *testing.T) {
	g := NewWithT(t)
	inTime := logOf("0 322 q", "0 310 w", "0.1 313 ", "2 318 done", "2 319 completed ")
	failed := logOf("0 322 q", "9 319 failed 3 attempts failed")
	older := `{"event":319,"job":"b","detail":"completed ","time":"2026-12-04T08:00:09Z"}` + "\n"
	report, _ := read(inTime + failed + older)
	g.Expect(report).To(Equal(delays.Report{Ended: 1}))
}

// A damaged line is counted with its number, and the lines behind it are still read.
func TestDamagedLines(t *testing.T) {
	g := NewWithT(t)
	long := `{"event":1,` + strings.Repeat("x", 2<<20) + "\n"
	sound := logOf("0 322 q", "3 310 w", "3.2 313 ", "5.2 318 done", "5.2 319 completed ")
	report, damage := read("no log line\n" + `{"event":310,"job":` + "\n" + long + "  0.1 host-1 " + sound)
	g.Expect(report.Late).To(Equal(1))
	g.Expect(damage).To(ConsistOf(delays.Damage{Source: "log-0", Lines: 2, First: 2}))
}

func ExampleReader() {
	log := logOf("0 322 q", "3 310 w", "3.2 313 ", "5.2 318 done", "5.2 319 completed ")
	reader := delays.New()
	delays.Merge([]*delays.Source{delays.NewSource("host-1", strings.NewReader(log))}, func(l delays.Line) {
		if late, _ := reader.Add(l); late != nil {
			fmt.Println(late.Job, late.Cause, late.At.Sub(late.Due))
		}
	})
	// Output: boat-1 no-capacity 1.2s
}
