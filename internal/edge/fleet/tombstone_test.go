package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// cancelling is a host's frontend with the sweeper of the leader, on one store.
type cancelling struct {
	*frontend
	*session
	t     *testing.T
	store *rowStore
}

func newCancelling(t *testing.T) cancelling {
	log, meter, s := zerolog.Nop(), metrc.NewFleet(), &rowStore{rows: map[store.Key]store.Row{}}
	client := store.NewClient(s, &meter.Store)
	f := newFrontend(client, time.Now, &log, meter, gate.New(time.Second), 1<<20)
	f.tombstones = newTombstones(client, time.Now, &log, meter, time.Second, func() int { return 3 })
	leader := &session{host: &Host{store: client, log: &log}, sweeper: newSweeper(time.Second)}
	return cancelling{f, leader, t, s}
}

func (c cancelling) cancelJob(team string, number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.Cancel(ctx, Route{Team: team}, fmt.Sprintf("%016x", number))
}

// pass lets time pass by the store's clock, and shows it to the host.
func (c cancelling) pass(d time.Duration) {
	c.store.mu.Lock()
	c.store.ahead += d
	c.store.mu.Unlock()
	if _, err := c.frontend.store.Read(context.Background(), waitingKey); err != nil {
		c.t.Fatal(err)
	}
}

// follow shows the leader all rows, as its feed does.
func (c cancelling) follow() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	for _, row := range c.store.rows {
		c.sweeper.note(row)
	}
}

// sweepAll removes what is over.
func (c cancelling) sweepAll() {
	for rows := c.sweeper.over(c.frontend.store.Clock()); len(rows) > 0; rows = c.sweeper.over(c.frontend.store.Clock()) {
		if !c.removeTombstones(context.Background(), rows) {
			c.t.Fatal("the store did not answer")
		}
	}
}

func (c cancelling) expectRows(want int, when string) {
	c.t.Helper()
	if got := len(c.store.rows); got != want {
		c.t.Errorf("%s: %d rows, want %d", when, got, want)
	}
}

// Guards against rows of cancelled jobs that were never stored which stay for good, or which
// go while a write of the job may still be late.
func TestTombstonesAreKeptForTheirLife(t *testing.T) {
	c := newCancelling(t)
	const jobs = 120
	for i := range jobs {
		if err := c.cancelJob("parish", i); !errors.Is(err, ErrUnknownJob) {
			t.Fatal(err)
		}
	}
	c.follow()
	c.pass(leastTombstoneLife)
	c.sweepAll()
	c.expectRows(jobs, "after their life")
	c.pass(leastTombstoneLife)
	c.sweepAll()
	c.expectRows(0, "long after it")
	if left := len(c.sweeper.found); left > 0 {
		t.Errorf("the leader still remembers %d", left)
	}
}

// Guards against a job that is cancelled again just before its tombstone goes, and is not
// protected any more after that answer.
func TestTombstoneLivesAfterEachAnswer(t *testing.T) {
	c := newCancelling(t)
	cancel := func() {
		if err := c.cancelJob("parish", 1); !errors.Is(err, ErrUnknownJob) {
			t.Fatal(err)
		}
	}
	cancel()
	cancel()
	if c.store.writes != 1 {
		t.Errorf("%d writes for a cancellation that is repeated at once", c.store.writes)
	}
	c.follow()
	c.pass(leastTombstoneLife)
	cancel()
	// The leader removes the row before it learns that it was renewed.
	c.pass(leastTombstoneLife)
	c.sweepAll()
	c.expectRows(1, "renewed")
	c.follow()
	c.pass(leastTombstoneLife)
	c.sweepAll()
	c.expectRows(0, "long after it")
}

// Guards against callers that cancel random identifiers and fill the store, or keep others
// from cancelling their jobs.
func TestManyCancelsOfUnknownJobs(t *testing.T) {
	c := newCancelling(t)
	stored, err := encodeJob(record.Job{ID: fmt.Sprintf("%016x", 9999), Payload: "a bell of a job that is stored and cancelled in the flood"})
	if err != nil {
		t.Fatal(err)
	}
	c.store.put(jobKey(fmt.Sprintf("%016x", 9999)), stored)
	const calls = 1000
	results := make(chan error, calls)
	for i := range calls {
		go func() { results <- c.cancelJob("loud", i) }()
	}
	answered, refused := 0, 0
	for range calls {
		err := <-results
		var overload *OverloadError
		switch {
		case errors.Is(err, ErrUnknownJob):
			answered++
		case errors.As(err, &overload) && errors.Is(err, ErrNotStored) && overload.ComeBackAt.After(time.Now()):
			refused++
		default:
			t.Fatal(err)
		}
	}
	if answered < 100 || answered+refused != calls || c.store.writes > answered {
		t.Errorf("%d answered, %d refused, %d writes", answered, refused, c.store.writes)
	}
	if err := c.cancelJob("loud", 9999); err != nil {
		t.Errorf("a stored job: %v", err)
	}
	if err := c.cancelJob("quiet", 5000); !errors.Is(err, ErrUnknownJob) {
		t.Errorf("another team: %v", err)
	}
}

// Guards against calls to the store for identifiers that no job can have.
func TestCancelOfAnInvalidIdentifier(t *testing.T) {
	c := newCancelling(t)
	for _, id := range []string{"", "a", "zzzzzzzzzzzzzzzz", "0000000000000001/cancel"} {
		if err := c.Cancel(context.Background(), Route{}, id); !errors.Is(err, ErrUnknownJob) {
			t.Errorf("%q: %v", id, err)
		}
	}
	if c.store.reads+c.store.writes > 0 {
		t.Errorf("%d reads, %d writes", c.store.reads, c.store.writes)
	}
}
