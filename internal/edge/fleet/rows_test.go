package fleet

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// TestRowsKeepFractionsOfASecond guards against a new leader that reads jobs as accepted,
// or due, up to a second before they were: urgent jobs then count as late, and timed jobs
// start early.
func TestRowsKeepFractionsOfASecond(t *testing.T) {
	g := NewWithT(t)
	at := time.Date(2026, 12, 4, 20, 0, 1, 987654321, time.UTC)
	value, err := encode(record.Job{ID: "bell-7", SubmittedAt: at, FirstDueAt: at.Add(time.Minute)})
	g.Expect(err).NotTo(HaveOccurred())
	var job record.Job
	g.Expect(decode(value, &job)).To(Succeed())
	g.Expect(job.SubmittedAt).To(BeTemporally("==", at))
	g.Expect(job.FirstDueAt).To(BeTemporally("==", at.Add(time.Minute)))
}

// TestRowsOfEarlierBuildsAreRead guards against rows with times in whole seconds, as
// earlier builds stored them, that can no longer be read.
func TestRowsOfEarlierBuildsAreRead(t *testing.T) {
	g := NewWithT(t)
	at := time.Date(2026, 12, 4, 20, 0, 1, 0, time.UTC)
	value, err := cbor.Marshal(record.Job{ID: "bell-7", SubmittedAt: at})
	g.Expect(err).NotTo(HaveOccurred())
	var job record.Job
	g.Expect(decode(value, &job)).To(Succeed())
	g.Expect(job.SubmittedAt).To(BeTemporally("==", at))
}
