package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// hostRow is the value of an entry host's session row.
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

// sessionRetryInterval is the pause between two attempts to open the session.
const sessionRetryInterval = 200 * time.Millisecond

// openSession reads the version of this host's row, retrying until the store
// answers. The first write of the row then fences off an earlier process of the
// same host.
func (h *Host) openSession(ctx context.Context) error {
	name := rows.Host(h.settings.Host.ID)
	for {
		row, err := h.readRow(ctx, name)
		if err == nil {
			h.writer = store.NewFencedWriter(h.store, row.Key, row.Version)
			h.batcher = store.NewBatcher(h.writer, h.hostRow)
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "open session")
		case <-time.After(sessionRetryInterval):
		}
	}
}

// hostRow returns the session row of this host with its expiry renewed.
func (h *Host) hostRow() []byte {
	return h.hostRowUntil(time.Now().Add(h.settings.Timing.Session))
}

// expiredHostRow returns the session row of this host once it has stopped.
func (h *Host) expiredHostRow() []byte {
	return h.hostRowUntil(time.Now().Add(-h.settings.Timing.Session))
}

func (h *Host) hostRowUntil(expiry time.Time) []byte {
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

// runSession renews the session and commits the batched changes until ctx ends or
// the session is lost.
func (h *Host) runSession(ctx context.Context) {
	h.spawn(func() {
		ticker := time.NewTicker(h.settings.Timing.SessionRenew)
		defer ticker.Stop()
		h.batcher.Touch()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				h.batcher.Touch()
			}
		}
	})
	err := h.batcher.Run(ctx)
	if errors.Is(err, store.ErrFenced) {
		h.sessionLost <- errors.Mark(err, ErrSessionLost)
	}
}
