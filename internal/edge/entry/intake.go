package entry

import (
	"sync/atomic"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/target"
	"github.com/rattanshore/rattanshore/internal/edge/worker"
)

// intake bounds what the callers of each listener can make the host hold.
type intake struct {
	callers, operators, peers *guard.Guard
	// ownDescriptors is how many the host's calls to workers and targets may need.
	ownDescriptors atomic.Int64
}

func newIntake(h *Host) *intake {
	in := &intake{}
	limits := h.settings.Limits
	shares := guard.NewShares(limits.Intake, h.settings.Machine.MaxDescriptors())
	in.callers = guard.NewFor(guard.Listener{
		Name: "callers", Meter: h.metrics.Callers, MemoryMB: limits.MemoryMB,
		Connections: func() int { return shares.Callers(int(in.ownDescriptors.Load())) },
	}, limits.Intake, h.log)
	in.operators = guard.NewFor(guard.Listener{
		Name: "operators", Meter: h.metrics.Operators, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return guard.SmallListener },
	}, limits.Intake, h.log)
	in.peers = guard.NewFor(guard.Listener{
		Name: "peers", Meter: h.metrics.Peers, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return shares.Peers },
	}, limits.Intake, h.log)
	return in
}

// setHosts tells how many workers and targets there are, whose connections come before
// those of callers.
func (in *intake) setHosts(workers, targets int) {
	in.ownDescriptors.Store(int64(workers*worker.MaxConnections + targets*target.MaxConnections))
	in.callers.Trim()
}
