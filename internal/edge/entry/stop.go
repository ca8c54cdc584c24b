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

// drainPollInterval is the time between two checks whether a drain is complete.
const drainPollInterval = 10 * time.Millisecond

// stop performs the graceful stop: it turns readiness off, hands over shards,
// completes requests in progress and closes the listeners.
func (h *Host) stop(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, h.settings.Timing.DrainTimeout)
	defer cancel()
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	logev.HostStopping.Log(h.log).Send()
	h.batcher.Touch()
	var shards sync.WaitGroup
	for _, o := range h.ownedShards() {
		shards.Go(func() { o.handOver(drainCtx) })
	}
	h.drainRequests(drainCtx)
	shards.Wait()
	h.closeSession(drainCtx)
	h.broadcast(schema.PeerMessage{ShardsReleased: true})
}

// closeSession waits until the outcomes of all claimed requests are recorded and
// ends the session.
func (h *Host) closeSession(ctx context.Context) {
	recorded := make(chan struct{})
	go func() {
		h.pendingRecords.Wait()
		close(recorded)
	}()
	select {
	case <-recorded:
	case <-ctx.Done():
	}
	if err := h.writer.Retire(ctx, h.expiredHostRow); err != nil {
		logev.SessionLost.Log(h.log).Err(err).Msg("session was not closed; it will expire")
	}
}

// drainRequests first gives the load balancer time to notice that this host is
// not ready. Meanwhile calls are still served and each connection is closed after
// its response, because a call may already be on its way on an idle connection.
// Then it closes the callers' listener, waits until requests in progress have
// their results, and waits until connections are idle.
func (h *Host) drainRequests(ctx context.Context) {
	select {
	case <-time.After(h.settings.Timing.DrainNotice):
	case <-ctx.Done():
	}
	h.callerListener.drain(ctx)
	h.shutdown(ctx, h.callerListener.server)
	h.router.Send(route.DrainMsg{})
	for ctx.Err() == nil {
		left := 0
		h.router.Inspect(ctx, func(m *route.Model[route.LeastOfTwo]) { left = m.InProgress() })
		if left == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	h.shutdown(ctx, h.operatorListener.server)
}

// shutdown closes a server once its connections are idle.
func (h *Host) shutdown(ctx context.Context, server *http.Server) {
	if server == nil {
		return
	}
	if err := server.Shutdown(ctx); err != nil {
		logev.InternalProblem.Log(h.log).Err(err).Msg("connections were still in use when the drain timed out")
	}
}

// handOver completes placements in progress and releases the shard's lease, so
// that the next owner need not wait for the lease to expire.
func (o *ownedShard) handOver(ctx context.Context) {
	o.scheduler.Send(sched.DrainMsg{})
	for ctx.Err() == nil {
		idle := false
		if !o.scheduler.Inspect(ctx, func(m *sched.Model[block.BestFit]) { idle = m.Idle() }) || idle {
			break
		}
		time.Sleep(drainPollInterval)
	}
	o.cancel()
	<-o.scheduler.Done()
	h := o.host
	h.mu.Lock()
	delete(h.owned, o.shard)
	h.mu.Unlock()
	if err := o.writer.Retire(ctx, o.releasedRow); err != nil {
		logev.ShardLost.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Err(err).Send()
		return
	}
	logev.ShardGivenUp.Log(h.log).Str("shard", o.shard).Int64("epoch", o.epoch).Send()
	h.broadcast(schema.PeerMessage{ShardsReleased: true})
}
