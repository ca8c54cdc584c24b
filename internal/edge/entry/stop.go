package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/block"
	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/core/sched"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// settlePoll is the time between two looks at whether work has settled.
const settlePoll = 10 * time.Millisecond

// stop is the graceful stop: readiness off, shards handed over, requests in
// progress finished, listeners closed.
func (h *Host) stop(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
	defer cancel()
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	logev.HostStopping.Log(h.log).Send()
	h.group.Touch()
	var shards sync.WaitGroup
	for _, o := range h.owners() {
		shards.Go(func() { o.handOver(limited) })
	}
	h.finishRequests(limited)
	shards.Wait()
	h.closeSession(limited)
	h.broadcast(schema.PeerMessage{ShardsReleased: true})
}

// closeSession waits until every ending is recorded and ends the session.
func (h *Host) closeSession(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		h.recording.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	if err := h.lane.Retire(ctx, h.endedRow); err != nil {
		logev.SessionLost.Log(h.log).Err(err).Msg("the session was not closed and will lapse")
	}
}

// finishRequests gives the balancer time to notice that this host is not ready,
// in which calls are still served and connections closed after their answer,
// since a connection closed while idle may have a call on its way. Then it
// closes the callers' listener, lets every request in progress
// get its ending, and waits for the connections to fall idle.
func (h *Host) finishRequests(ctx context.Context) {
	select {
	case <-time.After(h.settings.Timing.DrainNotice):
	case <-ctx.Done():
	}
	h.callers.finish(ctx)
	h.shutdown(ctx, h.callers.server)
	h.router.Send(route.DrainMsg{})
	for ctx.Err() == nil {
		left := 0
		h.router.Ask(ctx, func(m *route.Model[route.LeastOfTwo]) { left = m.InProgress() })
		if left == 0 {
			break
		}
		time.Sleep(settlePoll)
	}
	h.shutdown(ctx, h.operators.server)
}

func (h *Host) shutdown(ctx context.Context, server *http.Server) {
	if server == nil {
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		logev.InternalProblem.Log(h.log).Err(err).Msg("connections were still in use at the end of the stop")
	}
}

// handOver finishes half-done placements and gives the shard up by a
// transaction, so that a successor need not wait for the lease to lapse.
func (o *owner) handOver(ctx context.Context) {
	o.runner.Send(sched.DrainMsg{})
	for ctx.Err() == nil {
		idle := false
		if !o.runner.Ask(ctx, func(m *sched.Model[block.BestFit]) { idle = m.Idle() }) || idle {
			break
		}
		time.Sleep(settlePoll)
	}
	o.cancel()
	<-o.runner.Done()
	h := o.host
	h.mu.Lock()
	delete(h.owned, o.shard)
	h.mu.Unlock()
	if err := o.lane.Retire(ctx, o.freeRow); err != nil {
		logev.ShardLost.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Err(err).Send()
		return
	}
	logev.ShardGivenUp.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Send()
	h.broadcast(schema.PeerMessage{ShardsReleased: true})
}
