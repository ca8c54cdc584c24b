package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rattanshore/rattanshore/internal/core/admit"
	"github.com/rattanshore/rattanshore/internal/core/gate"
	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/edge/store"
	"github.com/rattanshore/rattanshore/internal/ops/metrc"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// rowStore is a store in memory whose clock can be set forward.
type rowStore struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version int64
	ahead   time.Duration
	silent  bool
	// reads and writes count the calls for jobs' rows.
	reads, writes int
}

var storeStart = time.Now()

func (s *rowStore) now() time.Time {
	return time.UnixMilli(1_000_000).Add(time.Since(storeStart) + s.ahead)
}

func (s *rowStore) put(key store.Key, value []byte) {
	s.version++
	s.rows[key] = store.Row{Key: key, Value: value, Version: s.version}
}

// begin locks the store, unless it is silent: then it waits until ctx ends.
func (s *rowStore) begin(ctx context.Context) error {
	s.mu.Lock()
	if !s.silent {
		return nil
	}
	s.mu.Unlock()
	<-ctx.Done()
	return store.ErrUnanswered
}

func (s *rowStore) Transact(ctx context.Context, change store.Change) (store.Outcome, error) {
	if err := s.begin(ctx); err != nil {
		return store.Outcome{}, err
	}
	defer s.mu.Unlock()
	outcome := store.Outcome{Applied: true, Clock: s.now()}
	for _, r := range change.Expect {
		known := s.rows[r.Key]
		known.Key = r.Key
		outcome.Current = append(outcome.Current, known)
		outcome.Applied = outcome.Applied && known.Version == r.Version
	}
	if !outcome.Applied {
		return outcome, nil
	}
	for _, r := range change.Put {
		if r.Key.Table == tableJobs {
			s.writes++
		}
		s.put(r.Key, r.Value)
	}
	for _, key := range change.Remove {
		delete(s.rows, key)
	}
	return store.Outcome{Applied: true, Version: s.version, Clock: s.now()}, nil
}

func (s *rowStore) Range(ctx context.Context, span store.Span, _ int) (store.Rows, error) {
	if err := s.begin(ctx); err != nil {
		return store.Rows{}, err
	}
	defer s.mu.Unlock()
	if span.Table == tableJobs {
		s.reads++
	}
	rows := store.Rows{Version: s.version, Clock: s.now()}
	for key, r := range s.rows {
		if key.Table == span.Table && key.Part == span.Part && key.Name >= span.From && (span.To == "" || key.Name < span.To) {
			rows.Rows = append(rows.Rows, r)
		}
	}
	return rows, nil
}

func (s *rowStore) Changes(context.Context, string, int64, time.Duration) (store.Rows, error) {
	return store.Rows{}, store.ErrUnanswered
}

// setDelay writes a digest of the given age in which new jobs wait for a minute.
func (s *rowStore) setDelay(t *testing.T, epoch int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, err := encode(record.Waiting{Epoch: epoch, ComputedAtMs: s.now().Add(-age).UnixMilli(), Queues: []record.QueueLength{{
		Queue: "patient", Jobs: 9, Resource: record.Accelerators, Starts: []record.StartDelay{{Size: 1, DelayMillis: 60000}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	s.put(waitingKey, value)
}

// admitting is a host's frontend that refuses jobs for load.
type admitting struct {
	*frontend
	t *testing.T
}

func newAdmitting(t *testing.T, s *rowStore, host string) admitting {
	log, meter := zerolog.Nop(), metrc.NewFleet()
	client := store.NewClient(s, &meter.Store)
	f := newFrontend(client, time.Now, &log, meter, gate.New(time.Second), 1<<20)
	f.admission = newAdmission(Stores{Direct: client, Relayed: client}, host, time.Now, &log, meter)
	// The tests refresh when they want to.
	f.admission.refreshing = true
	return admitting{f, t}
}

func (a admitting) submit(number int) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	queue := rules.Queue{Name: "patient", Priority: 2, Stretch: 1, Objective: time.Second}
	return a.Submit(ctx, Route{Queue: queue, Team: "bells"}, record.Job{
		ID: fmt.Sprintf("%016x", number), Queue: queue.Name, Team: "bells",
		Steps: []record.Step{{Tasks: 1, EstimateMillis: 500, Need: record.Amount{Accelerators: 1}}},
	})
}

// expect submits a job that is to be accepted or refused for load.
func (a admitting) expect(number int, accepted bool) {
	a.t.Helper()
	err := a.submit(number)
	var overload *OverloadError
	if accepted && err != nil || !accepted && (!errors.As(err, &overload) || !errors.Is(err, ErrNotStored)) {
		a.t.Errorf("job %d: %v", number, err)
	}
}

func newRowStore() *rowStore {
	return &rowStore{rows: map[store.Key]store.Row{}}
}

// Pattern: a burst of the least urgent work. Guards against calls to the store that
// admission adds to those of a submission, and against a refused job that is stored.
func TestSubmissionMakesOneCall(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	host.expect(1, true)
	s.setDelay(t, 1, 0)
	host.admission.refresh()
	host.expect(2, false)
	if s.writes != 1 || s.reads != 1 {
		t.Errorf("%d writes and %d reads for one job that was accepted and one refused", s.writes, s.reads)
	}
	if _, stored := s.rows[jobKey(fmt.Sprintf("%016x", 2))]; stored {
		t.Error("the refused job is stored")
	}
}

// Guards against "not run" for a job that is stored, whichever host was sent it.
func TestKnownJobsAreNotRefused(t *testing.T) {
	s := newRowStore()
	one, two := newAdmitting(t, s, "one"), newAdmitting(t, s, "two")
	one.expect(1, true)
	s.setDelay(t, 1, 0)
	one.admission.refresh()
	two.admission.refresh()
	one.expect(1, true)
	two.expect(1, true)
	two.expect(2, false)
}

// Guards against refusals by a digest that is lost, unreadable or old.
func TestWithoutCurrentDigest(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	host.admission.refresh()
	host.expect(1, true)
	s.setDelay(t, 1, 0)
	host.admission.refresh()
	host.expect(2, false)
	for i, value := range [][]byte{nil, []byte("no digest"), {0xa1, 0x65}} {
		s.mu.Lock()
		s.put(waitingKey, value)
		s.mu.Unlock()
		host.admission.refresh()
		host.expect(10+i, true)
	}
	s.mu.Lock()
	delete(s.rows, waitingKey)
	s.mu.Unlock()
	host.admission.refresh()
	host.expect(20, true)
	s.setDelay(t, 1, 4*time.Second)
	host.admission.refresh()
	host.expect(21, true)
}

// Pattern: a host is cut off from the store while its digest says that jobs wait.
// Guards against refusals by what was true long ago.
func TestCutOffHost(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	s.setDelay(t, 1, admit.MaxDigestAge-500*time.Millisecond)
	host.admission.refresh()
	host.expect(1, false)
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(600 * time.Millisecond)
	if err := host.submit(2); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("the store is silent: %v", err)
	}
	if age := host.admission.store.Clock().Sub(host.admission.digest.ComputedAt); age < admit.MaxDigestAge {
		t.Errorf("the digest is %v old", age)
	}
}

// Guards against "not run" for a job of which the store does not say whether it is
// stored.
func TestSilentStoreDuringAdmission(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	s.setDelay(t, 1, 0)
	host.admission.refresh()
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	if err := host.submit(1); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("the store is silent: %v", err)
	}
}

// Pattern: a new leader, which does not know the load yet. Guards against refusals by the
// earlier leader's digest, and against a late answer that brings it back.
func TestLeaderReplaced(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	s.setDelay(t, 1, 0)
	host.admission.refresh()
	outdated := s.rows[waitingKey]
	host.expect(1, false)
	value, err := encode(record.Waiting{Queues: []record.QueueLength{{Queue: "patient", Jobs: 9}}})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	s.put(waitingKey, value)
	s.mu.Unlock()
	host.admission.refresh()
	host.expect(2, true)
	host.admission.setDigest(outdated)
	host.expect(3, true)
	s.setDelay(t, 2, 0)
	host.admission.refresh()
	host.expect(4, false)
}

// Pattern: callers come back as told, to any host. Guards against a second refusal for
// the same reason.
func TestCallersComeBack(t *testing.T) {
	s := newRowStore()
	one, two := newAdmitting(t, s, "one"), newAdmitting(t, s, "two")
	refresh := func() {
		s.setDelay(t, 1, 0)
		one.admission.refresh()
		two.admission.refresh()
	}
	refresh()
	one.expect(1, false)
	one.expect(2, false)
	refresh()
	two.expect(1, false)
	s.mu.Lock()
	s.ahead += admit.MaxComeBack
	s.mu.Unlock()
	refresh()
	one.expect(1, true)
	two.expect(2, true)
	two.expect(3, false)
}

// Guards against a memory, and a row, of refusals that grow without bound.
func TestRefusalsAreBounded(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	s.setDelay(t, 1, 0)
	host.admission.refresh()
	for i := range maxRefusals {
		host.expect(i, false)
	}
	host.expect(maxRefusals, true)
	host.admission.refresh()
	if size := len(s.rows[refusalsKey("one")].Value); size == 0 || size > maxRowBytes {
		t.Errorf("the row of refusals has %d bytes", size)
	}
}

// Pattern: a host gets no submissions for a while. Guards against a read of the digest
// for nobody, and against more than one read a second.
func TestRefreshFollowsSubmissions(t *testing.T) {
	s := newRowStore()
	host := newAdmitting(t, s, "one")
	s.setDelay(t, 1, 0)
	a := host.admission
	a.refreshing = false
	host.expect(1, true)
	deadline := time.Now().Add(5 * time.Second)
	refreshed := func() time.Time {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.refreshedAt
	}
	for refreshed().IsZero() && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	first := refreshed()
	host.expect(2, false)
	for refreshed().Equal(first) && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	second := refreshed()
	if second.Sub(first) < refreshInterval-50*time.Millisecond || second.Equal(first) {
		t.Errorf("refreshed again after %v", second.Sub(first))
	}
	time.Sleep(refreshInterval + 100*time.Millisecond)
	if !refreshed().Equal(second) {
		t.Error("refreshed without a submission")
	}
}
