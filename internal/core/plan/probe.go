package plan

import (
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rules"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// equalShare is the part of the time that a job has within which deadlines count as
// equal, since no forecast is more exact.
const equalShare = 0.25

// probe stands for a new job of a queue, of which it forecasts the start behind the
// waiting gangs that come before it.
type probe struct {
	*targetLoad
	queue rules.Queue
	// known is set if jobs of the queue wait, from which the next two are taken.
	known bool
	// slack is the least time that such a job can wait and end on time, allowed the
	// longest time in which one has a part of its value.
	slack, allowed time.Duration
}

func (l *targetLoad) newProbe(q rules.Queue) probe {
	p := probe{targetLoad: l, queue: q}
	for _, r := range l.waiting {
		if r.gang.job.spec.Queue != q.Name {
			continue
		}
		acceptedAt := r.gang.job.acceptedAt
		slack := max(0, r.startBy.Sub(acceptedAt))
		if !p.known || slack < p.slack {
			p.slack = slack
		}
		p.allowed = max(p.allowed, r.partial.Sub(acceptedAt))
		p.known = true
	}
	return p
}

// addDelays adds the delays of new jobs of a queue, given the forecast without waiting
// gangs. A job that cannot start while it is on time comes after those that are late
// already.
func (l *targetLoad) addDelays(q rules.Queue, f *capacityForecast) {
	p := l.newProbe(q)
	delays, lateDelays := p.delays(f, p.beforeOnTime), []time.Duration(nil)
	load := l.loads[q.Name]
	for i, n := range l.sizes {
		delay := delays[i]
		if delay > p.slack && p.known {
			if lateDelays == nil {
				lateDelays = p.delays(f, p.beforeLate)
			}
			delay = max(delay, lateDelays[i])
		}
		if delay > 0 {
			load.Starts = append(load.Starts, record.StartDelay{Size: n, DelayMillis: delay.Milliseconds()})
		}
	}
	if len(load.Starts) > 0 {
		load.Resource = l.resource
		l.loads[q.Name] = load
	}
}

// delays returns the delay of each size once the gangs have taken their capacity that
// come before. A size that the target cannot hold has none: the load is not the cause.
func (p probe) delays(f *capacityForecast, before func(g waitingGang, start time.Time) bool) []time.Duration {
	total := f.free[forecastSteps-1]
	f = f.copy()
	for _, g := range p.waiting {
		p.start(f, g, before)
	}
	delays := make([]time.Duration, len(p.sizes))
	for i, n := range p.sizes {
		if float64(n) <= total {
			delays[i] = delayOf(f.first(n))
		}
	}
	return delays
}

// start lets a waiting gang take its capacity as soon as that is free, if it then still
// comes before the probe. Only gangs with places can start in the present step: what
// others leave free now is free for any job.
func (p probe) start(f *capacityForecast, g waitingGang, before func(g waitingGang, start time.Time) bool) {
	need := newSpan(g.gang.size*p.of(g.gang.need()), g.duration)
	if need.amount == 0 || g.priority > p.queue.Priority || !before(g, p.now) {
		return
	}
	if g.gang.spec().Perpetual {
		need = newSpan(g.gang.size*p.of(g.gang.need()), forecastSteps*forecastStep)
	}
	if p.starting[g.gang] {
		// It has all of its amount now.
		f.free[0] -= float64(g.gang.size * p.of(g.gang.need()))
		f.take(need, 1)
		return
	}
	if at := f.earliest(need); before(g, p.now.Add(delayOf(at))) {
		f.take(need, at)
	}
}

// beforeOnTime reports whether a gang that can start at a time comes before a new job
// that is on time. Gangs of the same priority do as long as they are on time as well.
func (p probe) beforeOnTime(g waitingGang, start time.Time) bool {
	if g.priority < p.queue.Priority {
		return !p.tooLateAt(g, start)
	}
	startBy := p.now.Add(p.slack)
	if g.lateness != onTime || g.startBy.After(startBy) {
		return false
	}
	return !start.After(g.startBy) || startBy.Sub(g.startBy) <= equalPart(p.slack)
}

// beforeLate reports the same for a new job that has become late.
func (p probe) beforeLate(g waitingGang, start time.Time) bool {
	if g.priority < p.queue.Priority {
		return !p.tooLateAt(g, start)
	}
	if g.startBy.After(p.now.Add(p.slack)) {
		return false
	}
	return !p.tooLateAt(g, start) || p.now.Add(p.allowed).Sub(g.partial) <= equalPart(p.allowed)
}

// tooLateAt reports whether a gang that starts at the time ends too late to be of use.
// It then comes after all others.
func (p probe) tooLateAt(g waitingGang, start time.Time) bool {
	return start.Add(g.duration).After(g.partial)
}

// equalPart returns the part of a length of time by which two deadlines may differ and
// still count as equal.
func equalPart(d time.Duration) time.Duration {
	return time.Duration(equalShare * float64(d))
}
