package vouch

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattanshore/rattanshore/internal/wire/record"
)

const (
	// tick is the time between two moments at which something may happen.
	tick = 950 * time.Millisecond
	// lastTick ends an order of events: Term and Margin pass twice.
	lastTick = 3
	// slowClock is how much slower than the successor's the leader's clock runs in some orders.
	slowClock = 0.04
)

// stage is how far a message and its answer have come.
type stage uint8

const (
	idle stage = iota
	sent
	// carriedOut messages have an answer under way.
	carriedOut
)

// write is one attempt of the leader to write its row.
type write struct {
	stage  stage
	expect int8
	madeAt int8
	// names is set if the row names the witnesses.
	names bool
}

// ask is a call of the leader to one witness.
type ask struct {
	stage   stage
	version int8
	at      int8
	agreed  bool
}

// leaderRow is the leader row in the store.
type leaderRow struct {
	version, madeAt int8
	names, taken    bool
}

// world is what a leader, its two witnesses, a successor and the store know at one moment,
// and what is under way between them. The successor may be the first witness.
type world struct {
	now int8
	row leaderRow

	// The leader: the newest row that it knows to be stored, its calls, and when it sent the
	// newest call to which each witness has agreed, or -1.
	known      leaderRow
	write      write
	asks       [2]ask
	vouchedAt  [2]int8
	superseded bool

	// The witnesses.
	withdrawn [2]int8
	restarted [2]bool

	// The successor: the row that it has read, its call to each witness, whether one has
	// withdrawn and when it learned that, its takeover, and when it sent that.
	read        leaderRow
	withdrawals [2]stage
	withdrew    bool
	withdrewAt  int8
	takeover    stage
	takeoverAt  int8
}

// faults are mistakes that the rules could make. With each of them, some order of events
// breaks the promise.
type faults struct {
	// keepsVouching has a witness forget that it has withdrawn.
	keepsVouching bool
	// countsFromAnswer has the leader count a confirmation from when the answer arrives.
	countsFromAnswer bool
	// anyWitness has the leader go on when one witness vouches.
	anyWitness bool
	// ignoresPending has the leader rely on the witnesses of a row that may not be stored.
	ignoresPending bool
	// skipsWithdrawal has the successor not wait for a witness to withdraw.
	skipsWithdrawal bool
	// keepsIncarnation has a restarted witness vouch in place of the one before.
	keepsIncarnation bool
	// driftsTooFar has the leader's clock run slower than Margin allows for.
	driftsTooFar bool
}

// check explores all orders of events from a start.
type check struct {
	faults
	// selfWitness is set if the successor is the first witness.
	selfWitness bool
	slow        float64
	seen        map[world]bool
	broken      *world
}

func witness(i int) record.Witness {
	return record.Witness{Host: fmt.Sprint(i), Incarnation: "first"}
}

func (c *check) named(names bool) []record.Witness {
	if !names {
		return nil
	}
	return []record.Witness{witness(0), witness(1)}
}

func at(t int8) time.Time {
	return time.Unix(0, 0).Add(time.Duration(t) * tick)
}

// leaderTime returns a moment by the leader's clock.
func (c *check) leaderTime(t int8) time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(t) * (1 - c.slow) * float64(tick)))
}

// actsUntil returns until when the leader acts.
func (c *check) actsUntil(w *world) time.Time {
	var h Holder
	h.Stored(c.leaderTime(w.known.madeAt), int64(w.known.version), c.named(w.known.names))
	if w.write.stage != idle && !c.ignoresPending {
		h.Sending(c.named(w.write.names))
	}
	for i, t := range w.vouchedAt {
		if t < 0 {
			continue
		}
		h.Vouched(witness(i), c.leaderTime(t))
		if c.anyWitness {
			h.Vouched(witness(1-i), c.leaderTime(t))
		}
	}
	until := h.Until().Sub(time.Unix(0, 0))
	return time.Unix(0, 0).Add(time.Duration(float64(until) / (1 - c.slow)))
}

// holds reports whether the promise holds: whoever has taken over allows the earlier leader
// all the time that it may act.
func (c *check) holds(w *world) bool {
	if !w.row.taken || w.superseded {
		return true
	}
	leader := record.Leader{Host: "leader", Epoch: 1, Bounded: true, Witnesses: c.named(w.read.names)}
	return !c.actsUntil(w).After(ActsUntil(at(max(w.takeoverAt, w.withdrewAt)), leader, w.withdrew))
}

// explore follows all events that may come next.
func (c *check) explore(w world) {
	if c.broken != nil || w.superseded || c.seen[w] {
		return
	}
	c.seen[w] = true
	if !c.holds(&w) {
		c.broken = &w
		return
	}
	if w.now < lastTick {
		next := w
		next.now++
		c.explore(next)
	}
	c.leaderEvents(w)
	for i := range w.asks {
		c.askEvents(w, i)
		c.successorEvents(w, i)
	}
	c.takeoverEvents(w)
}

// leaderEvents follows the leader's write of its row. It is carried out late or never, and
// so does its answer arrive.
func (c *check) leaderEvents(w world) {
	next, a := w, w.write
	switch {
	case a.stage == idle && w.known.version == 1:
		for _, names := range []bool{false, true} {
			next.write = write{stage: sent, expect: w.known.version, madeAt: w.now, names: names}
			c.explore(next)
		}
	case a.stage == sent:
		if w.row.version == a.expect && !w.row.taken {
			next.row = leaderRow{version: a.expect + 1, madeAt: a.madeAt, names: a.names}
		}
		next.write.stage = carriedOut
		c.explore(next)
	case a.stage == carriedOut:
		c.explore(c.learn(w))
	}
}

// learn returns the world once the leader knows the present row. What it has sent before can no
// longer be stored.
func (c *check) learn(w world) world {
	if w.row.taken {
		w.superseded = true
		return w
	}
	w.known = w.row
	if c.countsFromAnswer {
		w.known.madeAt = w.now
	}
	w.write = write{}
	return w
}

// askEvents follows the leader's call to one witness. It arrives late or never, and so does
// its answer.
func (c *check) askEvents(w world, i int) {
	next, a := w, &w.asks[i]
	switch a.stage {
	case idle:
		if w.vouchedAt[i] < 0 {
			next.asks[i] = ask{stage: sent, version: w.known.version, at: w.now}
			c.explore(next)
		}
	case sent:
		var p Peer
		if !c.keepsVouching {
			p.Withdraw(int64(w.withdrawn[i]))
		}
		next.asks[i].stage = carriedOut
		next.asks[i].agreed = p.Vouch(int64(a.version)) && (!w.restarted[i] || c.keepsIncarnation)
		c.explore(next)
	case carriedOut:
		if a.agreed {
			next.asks[i], next.vouchedAt[i] = ask{}, a.at
			if c.countsFromAnswer {
				next.vouchedAt[i] = w.now
			}
		}
		c.explore(next)
	}
}

// successorEvents follows the successor's call to one witness, and the witness's restart.
func (c *check) successorEvents(w world, i int) {
	next := w
	switch {
	case w.withdrawals[i] == sent:
		next.withdrawn[i] = max(w.withdrawn[i], w.read.version)
		next.withdrawals[i] = carriedOut
		c.explore(next)
	case w.withdrawals[i] == carriedOut && !w.withdrew:
		incarnation := "first"
		if w.restarted[i] {
			incarnation = "second"
		}
		next.withdrew, next.withdrewAt = Withdrawn(witness(i), fmt.Sprint(i), incarnation, !w.restarted[i]), w.now
		c.explore(next)
	}
	if i == 1 && !w.restarted[i] {
		next = w
		next.restarted[i], next.withdrawn[i] = true, 0
		c.explore(next)
	}
}

// takeoverEvents follows the successor's read of the row and its takeover.
func (c *check) takeoverEvents(w world) {
	next := w
	switch {
	case w.read.version == 0 && !w.row.taken:
		next.read = w.row
		if c.selfWitness {
			next.withdrawn[0], next.withdrew = w.row.version, w.row.names
			c.explore(next)
			return
		}
		for i := range next.withdrawals {
			next.withdrawals = [2]stage{}
			next.withdrawals[i] = sent
			c.explore(next)
		}
	case w.read.version > 0 && w.takeover == idle:
		next.takeover, next.takeoverAt = sent, w.now
		next.withdrew = w.withdrew || c.skipsWithdrawal
		c.explore(next)
	case w.takeover == sent:
		next.row.taken = w.row.version == w.read.version
		next.takeover = carriedOut
		c.explore(next)
	}
}

// run explores all orders from a leader whose row names the witnesses, or does not.
func (c *check) run(names bool) {
	row := leaderRow{version: 1, names: names}
	c.seen = map[world]bool{}
	c.explore(world{row: row, known: row, vouchedAt: [2]int8{-1, -1}})
}

// Guards against an earlier leader that acts for longer than its successor allows it, in
// any order of messages, losses, restarts of witnesses and pauses, with cuts of any
// length between any two of them, and with clocks that drift.
func TestSuccessorAllowsAllTheTimeThatALeaderMayAct(t *testing.T) {
	t.Parallel()
	for _, o := range []struct {
		slow        float64
		self, names bool
	}{
		{0, false, false}, {0, false, true}, {0, true, false}, {0, true, true},
		{slowClock, true, true}, {-slowClock, true, true},
	} {
		c := &check{selfWitness: o.self, slow: o.slow}
		c.run(o.names)
		if c.broken != nil {
			t.Errorf("%+v: %+v", o, *c.broken)
		}
		t.Logf("%+v: %d states", o, len(c.seen))
	}
}

// Guards against a check that finds nothing: each planted fault breaks the promise.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]faults{
		"keeps vouching": {keepsVouching: true}, "counts from the answer": {countsFromAnswer: true},
		"any witness": {anyWitness: true}, "ignores a pending row": {ignoresPending: true},
		"skips the withdrawal": {skipsWithdrawal: true}, "keeps the incarnation": {keepsIncarnation: true},
		"drifts too far": {driftsTooFar: true},
	} {
		found := false
		for _, self := range []bool{false, true} {
			for _, names := range []bool{false, true} {
				c := &check{faults: f, selfWitness: self}
				if f.driftsTooFar {
					c.slow = 2 * slowClock
				}
				c.run(names)
				found = found || c.broken != nil
			}
		}
		if !found {
			t.Errorf("%s: no order of events shows it", name)
		}
	}
}
