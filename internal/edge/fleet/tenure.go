package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/core/vouch"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// witnessCheck is the time between two looks whether the leader's witnesses still
	// answer, and witnessRetry the time while it has fewer than it wants.
	witnessCheck = 5 * time.Second
	witnessRetry = time.Second
	// vouchAfter is how long the store has to be silent before the leader asks its witnesses
	// to vouch.
	vouchAfter = 700 * time.Millisecond
	// unconfirmedPollWait is how long a worker may delay the answer to a poll that renews no
	// lease. It is short, since the lease may be over soon.
	unconfirmedPollWait = 300 * time.Millisecond
)

// tenure is for how long this host may act as the leader.
type tenure struct {
	host *Host
	// epoch is that of the leader.
	epoch int64

	mu     sync.Mutex
	holder vouch.Holder
	// madeAt holds when each value of the leader row was made that the store may have
	// taken since the newest answer.
	madeAt map[string]time.Time
	// witnesses are those that the next row names.
	witnesses []record.Witness
	// lapsed is set while the leader may not act.
	lapsed bool
	// earlierUntil is until when earlier leaders may act.
	earlierUntil time.Time
}

// newTenure returns the tenure of a leader whose first row names the witnesses of the leader
// before. Those that have restarted since do not vouch, and are replaced soon.
func newTenure(h *Host, epoch int64, witnesses []record.Witness) *tenure {
	others := slices.DeleteFunc(slices.Clone(witnesses), func(w record.Witness) bool { return w.Host == h.witness.host })
	return &tenure{host: h, epoch: epoch, madeAt: map[string]time.Time{}, witnesses: others}
}

// sending returns the witnesses that the row names which is sent next.
func (t *tenure) sending() []record.Witness {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.Sending(t.witnesses)
	return t.witnesses
}

// made records when a value of the leader row was made.
func (t *tenure) made(value []byte, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.madeAt[string(value)] = at
}

// stored records that the store has taken a value that names the witnesses.
func (t *tenure) stored(value []byte, version int64, witnesses []record.Witness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holder.Stored(t.madeAt[string(value)], version, witnesses)
	clear(t.madeAt)
}

// mayAct reports whether the leader may start tasks and renew leases now.
func (t *tenure) mayAct() bool {
	now := t.host.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	lapsed := !now.Before(t.holder.Until())
	if lapsed != t.lapsed {
		t.lapsed = lapsed
		event := logev.LeaderConfirmed
		if lapsed {
			event = logev.LeaderUnconfirmed
		}
		event.Log(t.host.log).Int64("epoch", t.epoch).Int64("row-version", t.holder.Version()).
			Stringer("stored-for", now.Sub(t.holder.StoredAt())).Int("witnesses", len(t.holder.Witnesses())).Send()
	}
	return !lapsed
}

// allowance returns until when earlier leaders may act.
func (t *tenure) allowance() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.earlierUntil
}

// allow records until when earlier leaders may act.
func (t *tenure) allow(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.earlierUntil = until
}

// state returns the version of the newest row that is known to be stored, the witnesses
// that have to vouch, and whether the store has been silent for long.
func (t *tenure) state() (version int64, named []record.Witness, silent bool) {
	now := t.host.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Version(), t.holder.Witnesses(), now.Sub(t.holder.StoredAt()) > vouchAfter
}

// keepVouched asks the witnesses to vouch while the store is silent, until ctx ends.
func (t *tenure) keepVouched(ctx context.Context) {
	for ctx.Err() == nil {
		if version, named, silent := t.state(); silent {
			t.ask(ctx, named, version)
		}
		sleep(ctx, vouchInterval)
	}
}

// keepWitnesses replaces witnesses that do not answer, until ctx ends. While the store is
// silent no others can be named.
func (t *tenure) keepWitnesses(ctx context.Context) {
	for ctx.Err() == nil {
		pause := witnessRetry
		if version, _, silent := t.state(); !silent && t.find(ctx, version) == vouch.Witnesses {
			pause = witnessCheck
		}
		sleep(ctx, pause)
	}
}

// ask asks the witnesses that the stored row names to vouch.
func (t *tenure) ask(ctx context.Context, named []record.Witness, version int64) {
	var calls sync.WaitGroup
	for _, w := range named {
		calls.Go(func() {
			askedAt := t.host.clock()
			answer, err := t.host.askWitness(ctx, w, t.host.witnessLinks.Vouch, version)
			if err != nil || !answer.Agreed || answer.Host != w.Host || answer.Incarnation != w.Incarnation {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.holder.Vouched(w, askedAt)
		})
	}
	calls.Wait()
}

// find has the next row name witnesses that answer, and returns how many.
func (t *tenure) find(ctx context.Context, version int64) int {
	t.mu.Lock()
	present := t.witnesses
	t.mu.Unlock()
	var found []record.Witness
	for _, peer := range vouch.Choose(t.host.registry.hosts(), t.host.settings.Host.Domain, present) {
		w := record.Witness{Host: peer.ID, Address: peer.Address}
		answer, err := t.host.askWitness(ctx, w, t.host.witnessLinks.Vouch, version)
		if err != nil || !answer.Agreed || answer.Host != peer.ID {
			continue
		}
		w.Incarnation = answer.Incarnation
		found = append(found, w)
		if len(found) == vouch.Witnesses {
			break
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.witnesses = found
	return len(found)
}

// unsentStart reports a start as unanswered, so that it is repeated.
func unsentStart(cmd plan.StartCmd, now time.Time) plan.StartMsg {
	return plan.StartMsg{Worker: cmd.Worker, Task: cmd.Task, Attempt: cmd.Attempt, Outcome: plan.Unanswered, SentAt: now}
}

// withoutLease returns a poll that renews no lease while the leader may not act.
func (s *session) withoutLease(cmd plan.PollCmd) plan.PollCmd {
	if cmd.LeaseUntil.IsZero() || s.tenure.mayAct() {
		return cmd
	}
	cmd.LeaseUntil = time.Time{}
	cmd.Wait = min(cmd.Wait, unconfirmedPollWait)
	return cmd
}
