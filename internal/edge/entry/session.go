package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// hostRow is the value of a host's session row.
type hostRow struct {
	Sequence      int64          `json:"sequence"`
	ID            string         `json:"id"`
	Incarnation   string         `json:"incarnation"`
	Peer          netip.AddrPort `json:"peer"`
	Caller        netip.AddrPort `json:"caller"`
	Operator      netip.AddrPort `json:"operator"`
	Domain        string         `json:"domain"`
	ExpiresAt     time.Time      `json:"expires-at"`
	Stopping      bool           `json:"stopping,omitempty"`
	ConfigVersion int64          `json:"config-version"`
}

// sessionRetry is the pause between two tries to open the session.
const sessionRetry = 200 * time.Millisecond

// openSession learns the version of this host's row, waiting for the table
// service if need be. The row's first write then fences off an earlier
// process of the same host.
func (h *Host) openSession(ctx context.Context) error {
	name := rows.Host(h.settings.Host.ID)
	for {
		row, err := h.readRow(ctx, name)
		if err == nil {
			h.lane = store.NewLane(h.store, row.Key, row.Version)
			h.group = store.NewGroup(h.lane, h.hostRow)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "no session could be opened")
		case <-time.After(sessionRetry):
		}
	}
}

func (h *Host) hostRow() []byte {
	return h.rowUntil(time.Now().Add(h.settings.Timing.Session))
}

// endedRow is the session row of a host that has stopped.
func (h *Host) endedRow() []byte {
	return h.rowUntil(time.Now().Add(-h.settings.Timing.Session))
}

func (h *Host) rowUntil(expiry time.Time) []byte {
	return encode(hostRow{
		Sequence:      h.nextSequence(),
		ID:            h.settings.Host.ID,
		Incarnation:   h.incarnation,
		Peer:          h.Peers(),
		Caller:        h.Callers(),
		Operator:      h.Operators(),
		Domain:        h.settings.Host.Domain,
		ExpiresAt:     expiry,
		Stopping:      h.isStopping(),
		ConfigVersion: h.view.configVersion(),
	})
}

func (h *Host) nextSequence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return h.sequence
}

// runSession renews the session and commits the group's changes with it.
func (h *Host) runSession(ctx context.Context) {
	h.goDo(func() {
		ticker := time.NewTicker(h.settings.Timing.SessionRenew)
		defer ticker.Stop()
		h.group.Touch()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				h.group.Touch()
			}
		}
	})
	err := h.group.Run(ctx)
	if errors.Is(err, store.ErrFenced) {
		h.lost <- errors.Mark(err, ErrSessionLost)
	}
}
