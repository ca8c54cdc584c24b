package soak

import (
	"fmt"
	"time"

	"github.com/rattanshore/rattanshore/platform/stand"
)

// fault lets one random thing go wrong, or ends one that did.
func (r *run) fault() {
	h := r.hosts[r.random.IntN(len(r.hosts))]
	w := fmt.Sprintf("i-%04d", r.random.IntN(r.options.Workers))
	switch r.random.IntN(14) {
	case 0, 1:
		r.note("kill %s", h.name)
		h.kill()
		r.restart(h)
	case 2:
		r.note("terminate %s", h.name)
		r.terminate(h)
	case 3:
		r.note("pause %s", h.name)
		h.pause()
		time.Sleep(time.Duration(300+r.random.IntN(2500)) * time.Millisecond)
		h.resume()
	case 4, 5:
		mode := linkMode(1 + r.random.IntN(4))
		r.note("link of %s to mode %d", h.name, mode)
		h.link.set(mode)
	case 6, 7:
		r.note("links pass")
		for _, other := range r.hosts {
			other.link.set(linkPasses)
		}
	case 8:
		r.storeFault()
	case 9:
		r.note("store is sound")
		r.platform.Store.SetFaults(stand.StoreFaults{})
	case 10:
		r.note("history is dropped")
		r.platform.Store.Forget()
	case 11:
		r.note("%s restarts", w)
		r.platform.Restart(w)
	case 12:
		cut := r.random.IntN(2) == 0
		r.note("%s cut off %v", w, cut)
		r.platform.Do(func() { r.platform.Crew.Worker(w).Cut = cut })
	case 13:
		chance := float64(r.random.IntN(3)) * 0.04
		r.note("workers lose %v of answers", chance)
		r.platform.LoseAnswers(chance)
	}
}

func (r *run) storeFault() {
	faults := []stand.StoreFaults{
		{Refuse: true}, {Silent: true}, {Delay: 120 * time.Millisecond}, {LoseAnswer: 0.3},
	}
	f := faults[r.random.IntN(len(faults))]
	r.note("store faults %+v", f)
	r.platform.Store.SetFaults(f)
}

func (r *run) note(format string, args ...any) {
	r.seen.Faults = append(r.seen.Faults, time.Since(r.begun).Round(time.Millisecond).String()+" "+fmt.Sprintf(format, args...))
}

func (r *run) restart(h *host) {
	if err := h.start(); err != nil {
		r.problem("%s does not start: %v", h.name, err)
	}
}

// terminate stops a host as planned and starts it again.
func (r *run) terminate(h *host) {
	if !h.terminate(stopGrace) {
		r.problem("%s did not stop within its grace", h.name)
	}
	r.restart(h)
}

// heal ends every fault.
func (r *run) heal() {
	r.note("all faults end")
	r.platform.Store.SetFaults(stand.StoreFaults{})
	r.platform.LoseAnswers(0)
	for _, h := range r.hosts {
		h.link.set(linkPasses)
		h.resume()
		r.restart(h)
	}
	r.platform.Do(func() {
		for _, id := range r.platform.Crew.IDs() {
			r.platform.Crew.Worker(id).Cut = false
		}
	})
}
