package entry

import (
	"github.com/rattanshore/rattanshore/internal/edge/guard"
)

// intake bounds what the callers of each listener can make the host hold.
type intake struct {
	callers, operators, peers *guard.Guard
}

func newIntake(h *Host) *intake {
	in := &intake{}
	limits := h.settings.Limits
	in.callers = guard.NewFor(guard.Listener{
		Name: "callers", Meter: h.metrics.Callers, MemoryMB: limits.MemoryMB,
		Connections: func() int { return limits.Connections },
	}, limits.Intake, h.log)
	in.operators = guard.NewFor(guard.Listener{
		Name: "operators", Meter: h.metrics.Operators, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return guard.SmallListener },
	}, limits.Intake, h.log)
	in.peers = guard.NewFor(guard.Listener{
		Name: "peers", Meter: h.metrics.Peers, MemoryMB: limits.OtherMemoryMB,
		Connections: func() int { return limits.PeerConnections },
	}, limits.Intake, h.log)
	return in
}
