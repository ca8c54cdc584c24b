package soak

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/platform/fake"
)

const (
	// limitChangeEvery is the mean number of faults between two changes of the team's
	// limit.
	limitChangeEvery = 6
	// acceleratorsPerWorker is the number of accelerators of a fake worker.
	acceleratorsPerWorker = 8
)

// setLimit puts a configuration in force that limits the accelerators that the team has
// running; 0 is no limit.
func (r *run) setLimit(accelerators int) {
	r.config.Version++
	r.config.Teams[0].Limit.Accelerators = accelerators
	r.recordFault("the team may have %d accelerators running", accelerators)
	r.platform.Configure(r.config)
}

// injectFault injects a random fault, or clears one.
func (r *run) injectFault() {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	worker := fmt.Sprintf("i-%04d", r.random.IntN(r.options.Workers))
	if r.limits.IntN(limitChangeEvery) == 0 {
		r.setLimit(r.limits.IntN(r.options.Workers * acceleratorsPerWorker))
	}
	switch r.random.IntN(14) {
	case 0, 1:
		r.recordFault("kill %s", h.name)
		h.kill()
		r.restart(h)
	case 2:
		r.recordFault("terminate %s", h.name)
		r.terminate(h)
	case 3:
		r.recordFault("pause %s", h.name)
		h.pause()
		time.Sleep(time.Duration(300+r.random.IntN(2500)) * time.Millisecond)
		h.resume()
	case 4, 5:
		mode := linkMode(1 + r.random.IntN(4))
		r.recordFault("link of %s is set to mode %d", h.name, mode)
		h.link.setMode(mode)
	case 6, 7:
		r.recordFault("links are restored")
		for _, other := range r.hosts {
			other.link.setMode(linkNormal)
		}
	case 8:
		r.injectStoreFault()
	case 9:
		r.recordFault("store faults are cleared")
		r.platform.Store.SetFaults(fake.StoreFaults{})
		r.carryOutLate()
	case 10:
		r.recordFault("store drops its change history")
		r.platform.Store.DropHistory()
	case 11:
		r.recordFault("%s restarts", worker)
		r.platform.RestartWorker(worker)
	case 12:
		cut := r.random.IntN(2) == 0
		r.recordFault("%s is cut off: %v", worker, cut)
		r.platform.WithLock(func() { r.platform.Pool.Worker(worker).Unreachable = cut })
	case 13:
		probability := float64(r.random.IntN(3)) * 0.04
		r.recordFault("workers lose a fraction of %v of their answers", probability)
		r.platform.SetResponseLoss(probability)
	}
}

// maxLate is the longest time after its silence in which the store carries out what it has
// left unanswered.
const maxLate = 6 * time.Second

// carryOutLate has the store carry out late what it has left unanswered.
func (r *run) carryOutLate() {
	delay := time.Duration(r.late.Int64N(int64(maxLate)))
	r.recordFault("the store carries out what it left unanswered in %v", delay.Round(time.Millisecond))
	r.lastLate = time.Now().Add(delay)
	time.AfterFunc(delay, func() { r.platform.Store.CarryOutKept() })
}

// injectStoreFault injects one random fault into the store.
func (r *run) injectStoreFault() {
	faults := []fake.StoreFaults{
		{Refuse: true}, {Silent: true, KeepWrites: true}, {Delay: 120 * time.Millisecond}, {ResponseLoss: 0.3},
	}
	f := faults[r.random.IntN(len(faults))]
	r.recordFault("store has faults %+v", f)
	r.platform.Store.SetFaults(f)
}

// recordFault adds a line to the report's list of faults, with the time since
// the run's start.
func (r *run) recordFault(format string, args ...any) {
	r.report.Faults = append(r.report.Faults, time.Since(r.startedAt).Round(time.Millisecond).String()+" "+fmt.Sprintf(format, args...))
}

func (r *run) restart(h *host) {
	if err := h.start(); err != nil {
		r.reportProblem("cannot start %s: %v", h.name, err)
	}
}

// terminate stops a host gracefully and starts it again.
func (r *run) terminate(h *host) {
	if !h.terminate(stopGrace) {
		r.reportProblem("%s did not stop within its grace period", h.name)
	}
	r.restart(h)
}

// clearFaults clears every fault and starts the hosts that are down.
func (r *run) clearFaults() {
	r.recordFault("all faults are cleared")
	r.platform.Store.SetFaults(fake.StoreFaults{})
	r.carryOutLate()
	r.platform.SetResponseLoss(0)
	r.setLimit(0)
	for _, h := range r.hosts {
		h.link.setMode(linkNormal)
		h.resume()
		r.restart(h)
	}
	r.platform.WithLock(func() {
		for _, id := range r.platform.Pool.IDs() {
			r.platform.Pool.Worker(id).Unreachable = false
		}
	})
}
